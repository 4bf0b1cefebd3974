"""The order in which waiting steps are looked at: within a queue, first what can still end by its aim,
then what is late but not yet of no use, then the rest; the oldest first within each. Oldest first alone
keeps everybody late once a queue is behind: room goes to what can earn no more (docs/decisions.md)."""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

from ..record.jobs import shape_of
from .standings import IN_AIM

HELD_FOR = -1  # index of a step that workers are held back for: it stands beside its shape's line


class Waiting(NamedTuple):
    """A step in its queue's heap; `index` is its place in the line of its shape."""

    standing: int
    stamp: int
    job: str
    step: str
    index: int
    shape: tuple


class OrderMixin:
    """Heaps of waiting steps, one for each queue."""

    def standing(self, *, job, step):
        """IN_AIM, LATE or TOO_LATE: what the job can still come to if this step began now, by the
        caller's estimates; IN_AIM where its queue names no aim."""
        if self.aims is None or not self.policy.order_by_aim:
            return IN_AIM
        return self.aims.standing(job=self.rec.jobs[job], step=step, now=self.now)

    def ordered(self, *, lane, shape):
        """The waiting steps of a shape as [(standing, stamp, job, step)], in their order."""
        key = (lane, shape)
        if key not in self.orders:
            line = self.rec.lines[lane][shape]
            self.orders[key] = sorted((self.standing(job=k[1], step=k[2]), *k) for k in line)
        return self.orders[key]

    def line(self, lane):
        """A queue's ready steps as a heap: the head of each shape's line, for where a shape finds
        no worker none behind the head does; and the steps that workers are held back for, which may
        fit there all the same."""
        h = [Waiting(*self.ordered(lane=lane, shape=shape)[0], 0, shape) for shape in self.rec.lines[lane]]
        for job, step in dict.fromkeys(self.kept.values()):
            j = self.rec.jobs[job]
            if j.lane == lane:
                shape = shape_of(j.steps[step].spec)
                h.append(Waiting(self.standing(job=job, step=step), j.stamp, job, step, HELD_FOR, shape))
        heapify(h)
        return h

    def refusal(self, *, lane, shape):
        """Why steps of this queue and shape find nothing in this round; '' where they may."""
        directed = self.directed(lane=lane, shape=shape)
        return self.failed.get(directed, "headroom" if (lane, directed) in self.must_leave else "")

    def next(self, h, lane):
        """The step on top of a heap is over for this round: on to the one behind it."""
        top = heappop(h)
        line = self.ordered(lane=lane, shape=top.shape)
        index = top.index + 1
        over = self.refusal(lane=lane, shape=top.shape)
        if top.index != HELD_FOR and not over and index < len(line):
            heappush(h, Waiting(*line[index], index, top.shape))
