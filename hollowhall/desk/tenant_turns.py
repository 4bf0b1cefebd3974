"""Which step goes first within a tenant.

A gang or a large task would wait for ever while smaller tasks take each part of its tenant's limit that
becomes free. A step that has waited long gets the turn: steps of its tenant that are not more urgent, and
need a resource that it lacks, wait until it has started.

A turn must not keep a tenant's work waiting for nothing. Only a step that would fit beside the tenant's
tasks without an end gets it. If the tenant runs under half of its limit and the step still does not fit,
since the running tasks take long, its turn ends after TENANT_PRECEDENCE_MAX_MS, and it gets no other one for
TENANT_PRECEDENCE_PAUSE_MS."""

from dataclasses import dataclass, field

from ..base import constants
from ..record.tenants import room_limits


@dataclass(kw_only=True, slots=True)
class Turn:
    """The step of a tenant that goes first."""

    step: tuple  # (job, step)
    until: int | None = None  # ms at which the turn ends; set while its tenant runs under half of its limit


@dataclass(kw_only=True)
class TenantTurns:
    """first: the turns by tenant; rests: steps that had a turn in vain, with the ms at which they may get
    another one."""

    first: dict = field(default_factory=dict)
    rests: dict = field(default_factory=dict)


class TenantTurnsMixin:
    """Gives and ends the turns of tenants' steps in a round."""

    def open_turns_of_tenants(self):
        """Ends the turns of steps that no longer wait, and turns that have expired."""
        turns, ready = self.turns, self.rec.ready
        turns.rests = {k: ms for k, ms in turns.rests.items() if k in ready and ms > self.now}
        for tenant, turn in list(turns.first.items()):
            usable = turn.step in ready and self.may_have_turn(turn.step)
            if usable:
                self.update_end(turn)
            if not usable or self.had_turn(turn):
                del turns.first[tenant]

    def had_turn(self, turn):
        """Whether a turn has expired without a start; its step then gets no turn for TENANT_PRECEDENCE_PAUSE_MS."""
        if turn.until is None or self.now < turn.until:
            return False
        self.turns.rests[turn.step] = self.now + constants.TENANT_PRECEDENCE_PAUSE_MS
        return True

    def update_end(self, turn):
        """Sets when a turn ends while its tenant runs under half of its limit; else it does not end."""
        job = self.rec.jobs[turn.step[0]]
        limits, used = room_limits(self.rec.tenant_row(job.tenant)), self.rec.tenant_use(job.tenant)
        if any(limit and 2 * use >= limit for limit, use in zip(limits, used)):
            turn.until = None
        elif turn.until is None:
            turn.until = self.now + constants.TENANT_PRECEDENCE_MAX_MS

    def may_have_turn(self, step_key):
        """Whether a step would fit within its tenant's limit beside the tenant's tasks without an end."""
        job = self.rec.jobs[step_key[0]]
        row = self.rec.tenant_row(job.tenant)
        if row is None or job.lane not in self.rec.charter["rows"]:
            return False
        room, count = job.steps[step_key[1]].spec["room"], self.count_of(job=job, step=step_key[1])
        lasting = self.rec.lasting_use(job.tenant)
        return all(not m or u + count * r <= m for m, u, r in zip(room_limits(row), lasting, room))

    def note_limited(self, *, job, step):
        """Gives the turn to a step that its tenant's limit keeps waiting, once it has waited GANG_STARVATION_MS
        and none of its tasks runs; of several, to the one that has waited longest."""
        step_key = (job.name, step)
        since = self.waits_since(step_key)
        if (
            job.steps[step].on
            or self.now - since < constants.GANG_STARVATION_MS
            or step_key in self.turns.rests
        ):
            return
        first = self.turns.first.get(job.tenant)
        waits = first is not None and first.step in self.rec.ready
        if waits and (first.step == step_key or since >= self.waits_since(first.step)):
            return
        if self.may_have_turn(step_key):
            self.turns.first[job.tenant] = Turn(step=step_key)

    def waits_since(self, step_key):
        """The ms at which a ready step's next task became able to start."""
        task = next(iter(self.rec.ready[step_key].values()))
        return max(task.at >> constants.LOGICAL_BITS, task.due)

    def yields(self, *, job, step):
        """Whether a step has to wait for the step of its tenant that has the turn."""
        turn = self.turns.first.get(job.tenant)
        if turn is None or turn.step == (job.name, step) or turn.step not in self.rec.ready:
            return False
        other, rows = self.rec.jobs[turn.step[0]], self.rec.charter["rows"]
        if job.lane not in rows or other.lane not in rows:
            return False
        room, short = job.steps[step].spec["room"], self.short_of(job=other, step=turn.step[1])
        as_urgent = rows[job.lane]["urgency"] <= rows[other.lane]["urgency"]
        return as_urgent and any(room[i] for i in range(3) if short[i])

    def short_of(self, *, job, step):
        """By resource, whether a step needs more of it than its tenant's limit leaves now."""
        room, count = job.steps[step].spec["room"], self.count_of(job=job, step=step)
        limits, used = room_limits(self.rec.tenant_row(job.tenant)), self.rec.tenant_use(job.tenant)
        return [bool(m) and u + count * r > m for m, u, r in zip(limits, used, room)]
