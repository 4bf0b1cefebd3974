"""The order in which waiting steps are looked at: within a queue, first what can still end by its aim,
then what is late but not yet of no use, then the rest; within each, steps of the tenant that has the
smallest share of the room for its weight; of one tenant, the oldest. Oldest first alone keeps everybody late once a queue is behind: room goes to what can earn no more (docs/decisions.md)."""

from heapq import heapify, heappop, heappush, heapreplace
from typing import NamedTuple

from ..record.jobs import shape_of
from .standings import IN_AIM

HELD_FOR = -1  # index of a step that workers are held back for: it stands beside its shape's line


class Waiting(NamedTuple):
    """A step in its queue's heap; `index` is its place in the line of its shape and tenant, `share` the
    weighted share of the room that its tenant had when it came here."""

    standing: int
    share: float
    stamp: int
    job: str
    step: str
    index: int
    shape: tuple
    tenant: str


class OrderMixin:
    """Heaps of waiting steps, one for each queue."""

    def standing(self, *, job, step):
        """IN_AIM, LATE or TOO_LATE: what the job can still come to if this step began now, by the
        caller's estimates; IN_AIM where its queue names no aim."""
        if self.aims is None or not self.policy.order_by_aim:
            return IN_AIM
        return self.aims.standing(job=self.rec.jobs[job], step=step, now=self.now)

    def ordered(self, *, lane, key):
        """The waiting steps of a line as [(standing, stamp, job, step)], in their order. key: the
        line's shape and tenant."""
        if (lane, key) not in self.orders:
            line = self.rec.lines[lane][key]
            self.orders[lane, key] = sorted((self.standing(job=k[1], step=k[2]), *k) for k in line)
        return self.orders[lane, key]

    def waiting(self, *, lane, key, index):
        """The step at a place of a line."""
        shape, tenant = key
        standing, stamp, job, step = self.ordered(lane=lane, key=key)[index]
        return Waiting(standing, self.tenant_share(tenant), stamp, job, step, index, shape, tenant)

    def line(self, lane):
        """A queue's ready steps as a heap: the head of each line, for where a shape finds no worker
        none behind the head does; and the steps that workers are held back for, which may fit there
        all the same."""
        h = [self.waiting(lane=lane, key=key, index=0) for key in self.rec.lines[lane]]
        for job, step in dict.fromkeys(self.kept.values()):
            j = self.rec.jobs[job]
            if j.lane == lane:
                shape, share = shape_of(j.steps[step].spec), self.tenant_share(j.tenant)
                standing = self.standing(job=job, step=step)
                h.append(Waiting(standing, share, j.stamp, job, step, HELD_FOR, shape, j.tenant))
        heapify(h)
        return h

    def first_of(self, h):
        """The step on top of a heap, once each that comes there stands where its tenant's share of
        the room, which grows with each start, has put it by now."""
        while (share := self.tenant_share(h[0].tenant)) > h[0].share:
            heapreplace(h, h[0]._replace(share=share))
        return h[0]

    def refusal(self, *, lane, shape):
        """Why steps of this queue and shape find nothing in this round; '' where they may."""
        directed = self.directed(lane=lane, shape=shape)
        return self.failed.get(directed, "headroom" if (lane, directed) in self.must_leave else "")

    def next(self, h, lane):
        """The step on top of a heap is over for this round: on to the one behind it."""
        top = heappop(h)
        key, index = (top.shape, top.tenant), top.index + 1
        if top.index == HELD_FOR or self.refusal(lane=lane, shape=top.shape):
            return
        if index < len(self.ordered(lane=lane, key=key)) and not self.line_over(top):
            heappush(h, self.waiting(lane=lane, key=key, index=index))
