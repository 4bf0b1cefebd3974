"""What a desk answers to the masts: jobs in, jobs read, jobs cancelled, the
fleet's workers. Only a primary whose hold has not run out answers, reads included:
whatever was confirmed before a read stands in the record it is answered from."""

from ..base import consts as C
from ..base.circuit import pack
from ..base.limits import record_bytes
from ..base.problems import (
    BadInput,
    Done,
    Forgotten,
    Full,
    NotSynced,
    OtherBody,
    TooLarge,
    Unauthorized,
    Unknown,
)
from ..record.charter import newest
from ..record.jobs import weight_of
from ..record.tenants import public_configuration
from .views import ViewsMixin


def refusal(*, n, r):
    """What the record said of a job's name, as a problem."""
    if r[0] == "other":
        return OtherBody(name=n)
    if r[0] == "gone":
        return Forgotten(name=n, state=r[1])
    if r[0] == "nolane":
        return BadInput(errors=[["lane", f"no lane {r[1]!r} in the charter"]])
    if r[0] == "notenant":
        return Unauthorized()
    return Unknown(what="job", id=n)


READS = ("read", "list", "state", "count", "workers", "picture")


class OutcomesMixin(ViewsMixin):
    def serve(self, *, op, b, k, who):
        """Where the loop is late, keep-alives, reports and what is taken go before reads."""
        if op in READS and self.lag > C.LAG_SHUT and self.live():
            k(Full(where="desk", after=self.come_back()))
            return
        super().serve(op=op, b=b, k=k, who=who)

    def ready_to(self, k):
        if self.live() and not self.leaving:
            return True
        k(self.not_primary())
        return False

    def told(self, *, n, k, good):
        """What k is told of job n once the turn is over: the job as it then is, with what
        `good` adds for that result, or a problem."""

        def then(r, st):
            if st is None:
                k(r)
            elif r[0] in good:
                k(Done(v=self.job_view(n) | good[r[0]]))
            else:
                k(refusal(n=n, r=r))

        return then

    def on_job(self, *, b, k, who):
        """A job sent in; confirmed once the turn that took it is committed."""
        if not self.ready_to(k):
            return
        n = b["name"]
        j = self.record.jobs.get(n)
        if j is not None:  # a resend of what is recorded needs no turn
            k(Done(v=self.job_view(n) | {"new": False}) if j.digest == b["digest"] else OtherBody(name=n))
            return
        if newest(b["spec"]) > self.record.level:
            k(NotSynced(tries=0))  # not every daemon knows such jobs yet
            return
        size = len(pack(b["spec"]))
        if size > C.TURN_BYTES:
            k(TooLarge(limit=C.TURN_BYTES))
            return
        w = weight_of(b["spec"])
        if not self.room_for(w):
            k(Full(where="memory", after=self.come_back()))
            return
        then = self.told(n=n, k=k, good={"new": {"new": True}, "same": {"new": False}})

        def back(r, st):
            self.coming -= w
            then(r, st)

        self.coming += w
        self.hold_event(ev=["job", n, b["spec"], b["digest"]], size=size, k=back)

    coming = 0  # bytes of memory of the jobs that are held for a turn

    def room_for(self, w):
        """Whether the record may grow by w bytes; ends, cancels and reports are not asked."""
        most, r = record_bytes(self.params), self.record
        return not most or r.weight + C.NAME_BYTES * len(r.names) + self.coming + w <= most

    def may_name(self, *, b, k):
        """Whether a caller may ask for a job by its name: it is of the tenant that the request names,
        or of none. One that names no tenant at all was let in by its daemon."""
        j = self.record.jobs.get(b["name"])
        if j is None or not j.tenant or b.get("tenant", j.tenant) == j.tenant:
            return True
        k(Unknown(what="job", id=b["name"]) if b["tenant"] else Unauthorized())
        return False

    def on_cancel(self, *, b, k, who):
        if not self.ready_to(k) or not self.may_name(b=b, k=k):
            return
        n = b["name"]
        self.hold_event(ev=["cancel", n], k=self.told(n=n, k=k, good={"ok": {}}))

    def on_read(self, *, b, k, who):
        if not self.ready_to(k) or not self.may_name(b=b, k=k):
            return
        n = b["name"]
        if n in self.record.jobs:
            k(Done(v=self.job_view(n, tasks=b.get("tasks", True))))
        elif n in self.record.names:
            k(Forgotten(name=n, state=self.record.names[n][2]))
        else:
            k(Unknown(what="job", id=n))

    def on_state(self, *, b, k, who):
        """A job's state in brief: as it will end, where that is decided."""
        if not self.ready_to(k):
            return
        j = self.record.jobs.get(b["name"])
        if j is None:
            k(Unknown(what="job", id=b["name"]))
        else:
            k(Done(v={"state": j.goal or j.state, "began": any(t.starts for t in j.tasks.values())}))

    def on_count(self, *, b, k, who):
        """How many tasks of a lane wait for a worker."""
        if self.ready_to(k):
            ls = self.record.lines.get(self.record.queue_named(name=b["lane"], place=b.get("place", "")), {})
            k(
                Done(
                    v={
                        "waiting": sum(
                            len(self.record.ready[(x[1], x[2])]) for line in ls.values() for x in line
                        )
                    }
                )
            )

    def on_evacuate(self, *, b, k, who):
        """A zone that is to take no starts, or again: confirmed once it is in the record."""
        if not self.ready_to(k):
            return
        if self.record.level < 2:
            k(NotSynced(tries=0))
            return
        self.hold_event(
            ev=["evacuate", b["zone"], b["on"]],
            k=lambda r, st: k(r if st is None else Done(v={"zone": b["zone"], "on": b["on"]})),
        )

    def on_list(self, *, b, k, who):
        if not self.ready_to(k):
            return
        out, more = [], ""
        for n in sorted(self.record.jobs):
            j = self.record.jobs[n]
            if (
                n <= b["after"]
                or not n.startswith(b["prefix"])
                or b["lane"] not in ("", j.lane)
                or b["state"] not in ("", j.state)
            ):
                continue
            if len(out) == b["most"]:
                more = out[-1]["name"]
                break
            out.append(self.job_view(n, tasks=False))
        k(Done(v={"jobs": out, "next": more}))

    def on_workers(self, *, b, k, who):
        if not self.ready_to(k):
            return
        out = []
        for i, w in sorted(self.record.workers.items()):
            out.append(
                {
                    "id": i,
                    "kind": w.kind,
                    "zone": w.zone,
                    "rack": w.rack,
                    "state": w.state,
                    "room": w.room,
                    "used": w.used,
                    "legs": len(w.runs),
                    "probation": w.flaky > self.clock_ms(),
                }
            )
        k(Done(v={"workers": out, "epoch": self.epoch, "turns": self.turn_n}))

    def on_picture(self, *, b, k, who):
        """The record as it stands, for the planner and for replay; taken in slices."""
        if self.ready_to(k):
            self.run_task(co=self.show(k), name="picture")

    async def show(self, k):
        x = await self.record.picture(
            spend=self.seam.spend, now=self.seam.now, also=lambda: {"at": self.clock_ms(), "to": self.applied}
        )
        if x is None:
            k(self.not_primary())
            return
        k(Done(v=x[1] | {"record": x[0] | {"charter": public_configuration(x[0]["charter"])}}))
