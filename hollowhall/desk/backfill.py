"""Workers held back for steps that starve. A task that has waited long for room gets the worker
nearest to having it; a gang gets workers for all its members, or none. Only workers that the step
could start on are held back: one that has turned unfit is given free again, and another one takes
its place."""

from ..base import consts as C
from ..record.kinds import UP


class BackfillMixin:
    def release_unusable(self):
        """Gives free what is held back for a step that waits no more, or on a worker that has
        gone or that the step could not start on now, whatever its room."""
        for worker_id, key in list(self.kept.items()):
            worker = self.rec.workers.get(worker_id)
            if key not in self.rec.ready or worker is None or not self.usable(w=worker, k=key):
                del self.kept[worker_id]

    def usable(self, *, w, k):
        """Whether the step k could start on worker w once it has room."""
        return self.sound(w) and not self.trial_bars(w=w, k=k, empty=True)

    def trial_bars(self, *, w, k, empty=False):
        """Whether a worker on trial takes no start of step k: it takes one attempt at a time, and of
        a gang, which fails whole where one member does, only when that has waited long."""
        if w.id not in self.trials:
            return False
        if w.runs and not empty:
            return True
        return bool(self.rec.jobs[k[0]].steps[k[1]].spec.get("gang")) and not self.waits_long(k)

    def waits_long(self, k):
        """Whether a ready step has waited so long that workers on trial are better than none."""
        task = next(iter(self.rec.ready[k].values()))
        return self.now - max(task.at >> C.LOGICAL_BITS, task.due) > C.FLAKY_WAIT_MS

    def reserve(self, *, t, s, could):
        """Keeps the worker nearest to having room for t; one a step, half of a kind."""
        k = (t.job, t.step)
        if k in self.kept.values():
            return
        ws = [w for w in could if w.state == UP and w.id not in self.kept and self.usable(w=w, k=k)]
        kind = self.kinds[could[0].kind] if could else ()
        mine = [w for w in kind if w.id in self.kept]
        if ws and len(mine) * 2 < len(kind):
            w = min(
                ws, key=lambda w: (max(w.used[i] + s.spec["room"][i] - w.room[i] for i in range(3)), w.id)
            )
            self.kept[w.id] = k

    def reserve_gang(self, *, k, s, ws, n):
        """Keeps workers for all members, or none: two gangs that each kept a part of what
        they need would wait for each other."""
        if not ws:
            return
        mine = [w for w in ws if self.kept.get(w.id) == k]
        n -= sum(self.members_of(s=s, w=w, empty=True) for w in mine)
        if n <= 0:
            return
        kind = self.kinds[ws[0].kind]
        left, take = len(kind) // 2 - sum(w.id in self.kept for w in kind), []
        free = [w for w in ws if w.id not in self.kept and self.usable(w=w, k=k)]
        for w in sorted(free, key=lambda w: (-self.members_of(s=s, w=w), w.id)):
            m = self.members_of(s=s, w=w, empty=True)
            if m and n > 0:
                take.append(w.id)
                n -= m
        if n <= 0 and len(take) <= left:
            self.kept.update((i, k) for i in take)
        else:  # what was left to it does not suffice any more
            for w in mine:
                del self.kept[w.id]
