"""Requests that gateways pass on: submitting, reading, listing and cancelling jobs, and listing
workers. Only a primary with a valid lease answers, reads included, so a read shows everything
that was confirmed before it."""

from ..base import constants
from ..base.circuit import pack
from ..base.limits import record_bytes
from ..base.problems import (
    BadInput,
    Forgotten,
    Full,
    NotSynced,
    OtherBody,
    Success,
    TooLarge,
    Unauthorized,
    Unknown,
)
from ..record.charter import required_level
from ..record.jobs import weight_of
from ..record.tenants import public_configuration
from .views import ViewsMixin


def job_failure(*, name, result):
    """The failure for a record's result that is not a success."""
    if result[0] == "other":
        return OtherBody(name=name)
    if result[0] == "gone":
        return Forgotten(name=name, state=result[1])
    if result[0] == "nolane":
        return BadInput(errors=[["lane", f"no lane {result[1]!r} in the charter"]])
    if result[0] == "notenant":
        return Unauthorized()
    return Unknown(what="job", id=name)


READS = ("read", "list", "state", "count", "workers", "picture")


class JobRequestsMixin(ViewsMixin):
    """Answers requests for jobs and workers."""

    def serve(self, *, op, request, callback, caller):
        """Refuses reads while the event loop is late: keep-alives, reports and accepted work go first."""
        if op in READS and self.loop_lag > constants.READS_REFUSED_LAG and self.live():
            callback(Full(where="desk", after=self.retry_after_s()))
            return
        super().serve(op=op, request=request, callback=callback, caller=caller)

    def check_primary(self, callback):
        """Whether this scheduler may answer; if not, answers NotPrimary."""
        if self.live() and not self.leaving:
            return True
        callback(self.not_primary())
        return False

    def has_queue(self, *, request, callback):
        """Whether the queue that a gateway found in the configuration it holds is still there. If a newer
        configuration has none at its place, answers Unknown. Requests that name no version, or one that is
        not applied here yet, are not checked."""
        record = self.record
        if request.get("version", record.charter["version"]) >= record.charter["version"]:
            return True
        place = request.get("place", "")
        if place and record.rule["jobs_follow_place"]:
            found = place in record.queue_at
        else:
            found = request["lane"] in record.charter["rows"]
        if not found:
            callback(Unknown(what="queue", id=request["lane"]))
        return found

    def job_callback(self, *, name, callback, good):
        """A callback for an event about a job: answers with the job as it is after the batch and the fields
        that `good` holds for the event's result, or with a failure."""

        def then(result, stamp):
            if stamp is None:
                callback(result)
            elif result[0] in good:
                callback(Success(value=self.job_view(name) | good[result[0]]))
            else:
                callback(job_failure(name=name, result=result))

        return then

    def on_job(self, *, request, callback, caller):
        """Submits a job; confirmed once the batch with it is committed."""
        if not self.check_primary(callback):
            return
        name = request["name"]
        job = self.record.jobs.get(name)
        if job is not None:  # a resend of a recorded job needs no batch
            callback(
                Success(value=self.job_view(name) | {"new": False})
                if job.digest == request["digest"]
                else OtherBody(name=name)
            )
            return
        if required_level(request["spec"]) > self.record.level:
            callback(NotSynced(tries=0))  # the fleet's format level does not cover this specification yet
            return
        size = len(pack(request["spec"]))
        if size > constants.BATCH_BYTES_MAX:
            callback(TooLarge(limit=constants.BATCH_BYTES_MAX))
            return
        weight = weight_of(request["spec"])
        if not self.has_memory_for(weight):
            callback(Full(where="memory", after=self.retry_after_s()))
            return
        answer = self.job_callback(
            name=name, callback=callback, good={"new": {"new": True}, "same": {"new": False}}
        )

        def then(result, stamp):
            self.pending_job_bytes -= weight
            answer(result, stamp)

        self.pending_job_bytes += weight
        self.queue_event(event=["job", name, request["spec"], request["digest"]], size=size, callback=then)

    pending_job_bytes = 0  # bytes of memory of the jobs that are queued for a batch

    def has_memory_for(self, weight):
        """Whether the record may grow by `weight` bytes. Ends, cancels and reports are never checked."""
        limit, record = record_bytes(self.settings), self.record
        names = len(record.names) + len(record.cancelled_names)
        return (
            not limit
            or record.weight + constants.JOB_NAME_BYTES * names + self.pending_job_bytes + weight <= limit
        )

    def may_access_job(self, *, request, callback):
        """Whether a caller may access a job by name: the job has no tenant, or the one that the request
        names. If not, answers with a failure. A request without a tenant was authorized by its daemon."""
        job = self.record.jobs.get(request["name"])
        if job is None or not job.tenant or request.get("tenant", job.tenant) == job.tenant:
            return True
        callback(Unknown(what="job", id=request["name"]) if request["tenant"] else Unauthorized())
        return False

    def on_cancel(self, *, request, callback, caller):
        """Cancels a job; confirmed once the cancellation is recorded."""
        if not self.check_primary(callback) or not self.has_queue(request=request, callback=callback):
            return
        if not self.may_access_job(request=request, callback=callback):
            return
        name = request["name"]
        self.queue_event(
            event=["cancel", name], callback=self.job_callback(name=name, callback=callback, good={"ok": {}})
        )

    def on_read(self, *, request, callback, caller):
        """Answers with one job, with its tasks unless the request declines them."""
        if not self.check_primary(callback) or not self.may_access_job(request=request, callback=callback):
            return
        name = request["name"]
        if name in self.record.jobs:
            callback(Success(value=self.job_view(name, tasks=request.get("tasks", True))))
        elif name in self.record.names:
            callback(Forgotten(name=name, state=self.record.names[name][2]))
        else:
            callback(Unknown(what="job", id=name))

    def on_state(self, *, request, callback, caller):
        """The state of a job, or the final one where that is decided, and whether any task started."""
        if not self.check_primary(callback) or not self.has_queue(request=request, callback=callback):
            return
        job = self.record.jobs.get(request["name"])
        if job is None:
            callback(Unknown(what="job", id=request["name"]))
        else:
            callback(
                Success(
                    value={
                        "state": job.goal or job.state,
                        "began": any(task.starts for task in job.tasks.values()),
                    }
                )
            )

    def on_count(self, *, request, callback, caller):
        """The number of tasks of a lane that wait for a worker."""
        if self.check_primary(callback) and self.has_queue(request=request, callback=callback):
            lines = self.record.lines.get(
                self.record.queue_named(name=request["lane"], place=request.get("place", "")), {}
            )
            callback(
                Success(
                    value={
                        "waiting": sum(
                            len(self.record.ready[(entry[1], entry[2])])
                            for line in lines.values()
                            for entry in line
                        )
                    }
                )
            )

    def on_evacuate(self, *, request, callback, caller):
        """Starts or ends the evacuation of a zone; confirmed once it is recorded."""
        if not self.check_primary(callback):
            return
        if self.record.level < 2:
            callback(NotSynced(tries=0))
            return
        self.queue_event(
            event=["evacuate", request["zone"], request["on"]],
            callback=lambda result, stamp: callback(
                result if stamp is None else Success(value={"zone": request["zone"], "on": request["on"]})
            ),
        )

    def on_list(self, *, request, callback, caller):
        """A page of jobs by name; `next` is where the following page begins, '' on the last."""
        if not self.check_primary(callback):
            return
        jobs, next_name = [], ""
        for name in sorted(self.record.jobs):
            job = self.record.jobs[name]
            if (
                name <= request["after"]
                or not name.startswith(request["prefix"])
                or request["lane"] not in ("", job.lane)
                or request["state"] not in ("", job.state)
            ):
                continue
            if len(jobs) == request["most"]:
                next_name = jobs[-1]["name"]
                break
            jobs.append(self.job_view(name, tasks=False))
        callback(Success(value={"jobs": jobs, "next": next_name}))

    def on_workers(self, *, request, callback, caller):
        """Answers with all workers and what they use."""
        if not self.check_primary(callback):
            return
        workers = []
        for worker_id, worker in sorted(self.record.workers.items()):
            workers.append(
                {
                    "id": worker_id,
                    "kind": worker.kind,
                    "zone": worker.zone,
                    "rack": worker.rack,
                    "state": worker.state,
                    "room": worker.room,
                    "used": worker.used,
                    "legs": len(worker.runs),
                    "probation": worker.flaky > self.clock_ms(),
                }
            )
        callback(Success(value={"workers": workers, "epoch": self.epoch, "turns": self.batch_count}))

    def on_picture(self, *, request, callback, caller):
        """A snapshot of the record, for the planner and for replay; packed in slices between other work."""
        if self.check_primary(callback):
            self.run_task(coroutine=self.send_snapshot(callback), name="picture")

    async def send_snapshot(self, callback):
        """Answers with a snapshot of the record, its configuration reduced to what may be shown."""
        snapshot = await self.record.picture(
            spend=self.runtime.spend,
            now=self.runtime.now,
            also=lambda: {"at": self.clock_ms(), "to": self.applied},
        )
        if snapshot is None:
            callback(self.not_primary())
            return
        callback(
            Success(
                value=snapshot[1]
                | {"record": snapshot[0] | {"charter": public_configuration(snapshot[0]["charter"])}}
            )
        )
