"""The order in which waiting steps are tried.

Within a queue: first steps of jobs that can still end by their aim, then of jobs that are late but still
of use, then the rest; within each of these, steps of the tenant with the smallest weighted share of the
room; of one tenant, the oldest. With the oldest first alone, every job is late once a queue has fallen
behind, since room goes to jobs that can no longer end in time (docs/decisions.md)."""

from heapq import heapify, heappop, heappush, heapreplace
from typing import NamedTuple

from ..record.jobs import shape_of
from .standings import IN_AIM

EXEMPT = -1  # index of a step that workers are held back for or that is overdue: it is tried though its shape
# was refused, so its heap entry is separate from its line's


class Waiting(NamedTuple):
    """A step in its queue's heap. `index` is its position in the line of its shape and tenant; `share` the
    weighted share of the room that its tenant had when the entry was made."""

    standing: int
    share: float
    stamp: int
    job: str
    step: str
    index: int
    shape: tuple
    tenant: str


class OrderMixin:
    """Heaps of waiting steps, one per queue. A line is the waiting steps of one shape and tenant."""

    def standing(self, *, job, step):
        """IN_AIM, LATE or TOO_LATE: when the job would end if this step started now, by the client's
        estimates; IN_AIM if its queue has no aim."""
        if self.aims is None or not self.policy.order_by_aim:
            return IN_AIM
        return self.aims.standing(job=self.rec.jobs[job], step=step, now=self.now)

    def ordered(self, *, lane, key):
        """The waiting steps of a line as [(standing, stamp, job, step)], sorted. key: the line's shape and
        tenant."""
        if (lane, key) not in self.sorted_lines:
            line = self.rec.lines[lane][key]
            self.sorted_lines[lane, key] = sorted(
                (self.standing(job=entry[1], step=entry[2]), *entry) for entry in line
            )
        return self.sorted_lines[lane, key]

    def waiting(self, *, lane, key, index):
        """The heap entry of the step at a position of a line."""
        shape, tenant = key
        standing, stamp, job, step = self.ordered(lane=lane, key=key)[index]
        return Waiting(standing, self.tenant_share(tenant), stamp, job, step, index, shape, tenant)

    def heap_of(self, lane):
        """A queue's ready steps as a heap. It has only the head of each line, since a shape that finds no
        worker finds none for the steps behind the head either; and the steps that workers are held back
        for or that are overdue, which may start all the same."""
        heap = [self.waiting(lane=lane, key=key, index=0) for key in self.rec.lines[lane]]
        for name, step in self.exempt_steps():
            job = self.rec.jobs[name]
            if job.lane == lane:
                shape, share = shape_of(job.steps[step].spec), self.tenant_share(job.tenant)
                standing = self.standing(job=name, step=step)
                heap.append(Waiting(standing, share, job.stamp, name, step, EXEMPT, shape, job.tenant))
        heapify(heap)
        return heap

    def exempt_steps(self):
        """The steps that are tried though their shape was refused, as (job, step)."""
        overdue = [key for key in self.overdue if key in self.rec.ready and self.is_overdue(key)]
        return dict.fromkeys([*self.kept.values(), *sorted(overdue)])

    def top_of(self, heap):
        """The first step of a heap, after entries with an outdated share have been moved down: a tenant's
        share grows with each start."""
        while (share := self.tenant_share(heap[0].tenant)) > heap[0].share:
            heapreplace(heap, heap[0]._replace(share=share))
        return heap[0]

    def refusal(self, *, lane, shape):
        """Why steps of this queue and shape find no worker in this round; "" if they may."""
        effective = self.effective_shape(lane=lane, shape=shape)
        return self.refused_shapes.get(
            effective, "headroom" if (lane, effective) in self.headroom_refusals else ""
        )

    def next(self, heap, lane):
        """Removes the first step of a heap for this round and adds the one behind it in its line."""
        top = heappop(heap)
        key, index = (top.shape, top.tenant), top.index + 1
        if top.index == EXEMPT or self.refusal(lane=lane, shape=top.shape):
            return
        if index < len(self.ordered(lane=lane, key=key)) and not self.line_over(top):
            heappush(heap, self.waiting(lane=lane, key=key, index=index))
