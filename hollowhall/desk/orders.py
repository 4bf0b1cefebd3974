"""What a worker is told to start and to stop: the record's attempts on it, beside what it reports to run.
What was granted and has not begun is taken back where it may not begin any more: the worker leaves,
its zone is evacuated, or the limit of the attempt's tenant was lowered below what the tenant has
running. The worker reports such an attempt as not started, and its task is ready again."""

from ..record.kinds import LEAVES


class OrdersMixin:
    """Starts and stops of a worker."""

    def orders(self, *, i, h):
        """(starts, stops) that stand for this worker now."""
        w = self.record.workers.get(i)
        if w is None or w.boot != h.boot or h.going:
            return [], sorted(h.running)
        starts, stops = [], sorted(h.running - w.runs.keys())
        for run, g in w.runs.items():
            if h.unsettled(run):
                continue
            if g.stop or run not in h.running and self.taken_back(g=g, w=w):
                stops.append(run)
            elif run not in h.running:
                starts.append(run)
        return starts, stops

    def taken_back(self, *, g, w):
        """Whether an attempt that has not begun need not."""
        if self.takes_none(w):
            return True
        if not self.record.over_limit(g):
            return False
        if g.gang:
            self.take_gang_back(g)
        return True

    def takes_none(self, w):
        """Whether a worker may begin nothing more: it leaves, or its zone is evacuated."""
        return w.state == LEAVES or w.zone in self.record.evacuated

    def take_gang_back(self, g):
        """Members that have begun wait for the others: they are stopped rather than left alone."""
        for member in self.record.gang_of(g):
            if not member.stop and member.run not in self.gangs_taken_back:
                self.gangs_taken_back.add(member.run)
                self.hold_event(
                    ev=["stop", member.run, "tenant"],
                    k=lambda result, stamp, run=member.run: self.gangs_taken_back.discard(run),
                )

    def start_card(self, g):
        s = self.record.jobs[g.job].steps[g.step].spec
        return {
            "runId": str(g.run),
            "task": g.task,
            "job": g.job,
            "step": g.step,
            "cores": g.room[0],
            "memMb": g.room[1],
            "gpus": g.room[2],
            "runMs": s["runMs"],
            "work": s["work"],
        }
