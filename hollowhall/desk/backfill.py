"""Workers held back for steps that starve. A task that has waited long for room gets the worker
nearest to having it; a gang gets workers for all its members, or none."""

from ..record.kinds import UP


class BackfillMixin:
    def release_unusable(self):
        """Gives free what is held back for a step that waits no more, or on a worker that has gone."""
        for worker_id, key in list(self.kept.items()):
            if key not in self.rec.ready or worker_id not in self.rec.workers:
                del self.kept[worker_id]

    def reserve(self, *, t, s, could):
        """Keeps the worker nearest to having room for t; one a step, half of a kind."""
        if (t.job, t.step) in self.kept.values():
            return
        ws = [w for w in could if w.state == UP and w.id not in self.kept]
        kind = self.kinds[could[0].kind] if could else ()
        mine = [w for w in kind if w.id in self.kept]
        if ws and len(mine) * 2 < len(kind):
            w = min(
                ws, key=lambda w: (max(w.used[i] + s.spec["room"][i] - w.room[i] for i in range(3)), w.id)
            )
            self.kept[w.id] = (t.job, t.step)

    def reserve_gang(self, *, k, s, ws, n):
        """Keeps workers for all members, or none: two gangs that each kept a part of what
        they need would wait for each other."""
        if not ws or k in self.kept.values():
            return
        kind = self.kinds[ws[0].kind]
        left, take = len(kind) // 2 - sum(w.id in self.kept for w in kind), []
        if left <= 0:
            return
        for w in sorted(ws, key=lambda w: (-self.members_of(s=s, w=w), w.id)):
            m = self.members_of(s=s, w=w, empty=True)
            if m and n > 0 and w.id not in self.kept:
                take.append(w.id)
                n -= m
        if n <= 0 and len(take) <= left:
            self.kept.update((i, k) for i in take)
