"""Headroom for urgent work.

Less urgent work leaves free as much room of a kind of worker as the more urgent queues recently used at
their peak beyond what they use now, up to HEADROOM_FRACTION of the kind's room. Bursts of short urgent tasks
then find room at once, instead of waiting behind long tasks."""

from collections import deque

from ..base import constants
from ..record.kinds import UP


class UseMixin:
    """Remembers how much room each queue used recently."""

    def open_use(self):
        self.used_lately, self.used_at = {}, 0

    def note_use(self, *, ms):
        """Samples the room in use by queue every USAGE_SAMPLE_PERIOD_MS; the last USAGE_SAMPLES_KEPT samples are kept."""
        if ms - self.used_at < constants.USAGE_SAMPLE_PERIOD_MS:
            return
        self.used_at = ms
        for lane, used in self.record.used_by_queue.items():
            seen = self.used_lately.setdefault(lane, deque(maxlen=constants.USAGE_SAMPLES_KEPT))
            seen.append(tuple(used))

    def peaks(self):
        """The largest room that each queue used in these samples, by resource."""
        return {
            lane: [max(use[i] for use in seen) for i in range(3)]
            for lane, seen in self.used_lately.items()
            if seen
        }


class HeadroomMixin:
    """What a round leaves free for more urgent queues. peak_use: the result of UseMixin.peaks."""

    def open_headroom(self, *, peak_use):
        self.peak_use, self.room_by_kind = peak_use or {}, {}
        self.headroom_refusals = set()  # (queue, shape) that were refused a start to keep headroom

    def free_room(self, kind):
        """[free room, total room] of a kind's workers, by resource. Free room counts only workers that accept
        starts and are not held back. It is computed once per round and reduced by the round's starts."""
        if kind not in self.room_by_kind:
            free, room = [0, 0, 0], [0, 0, 0]
            for worker in self.kinds.get(kind, ()):
                if worker.state != UP:
                    continue
                room = [a + b for a, b in zip(room, worker.room)]
                if worker.id not in self.kept and self.accepts_starts(worker):
                    free = [free[i] + worker.room[i] - worker.used[i] for i in range(3)]
            self.room_by_kind[kind] = [free, room]
        return self.room_by_kind[kind]

    def headroom(self, *, kind, lane, room):
        """The room of a kind that this queue has to leave free, by resource."""
        rows = self.rec.charter["rows"]
        wanted = [0, 0, 0]
        for other, peak in self.peak_use.items():
            row = rows.get(other)
            if row is None or row["urgency"] <= rows[lane]["urgency"] or row.get("kind", kind) != kind:
                continue
            used = self.lane_use.get(other, (0, 0, 0))
            wanted = [wanted[i] + max(0, peak[i] - used[i]) for i in range(3)]
        return [min(wanted[i], int(constants.HEADROOM_FRACTION * room[i])) for i in range(3)]

    def leaves_headroom(self, *, kind, lane, rooms):
        """Whether enough headroom for more urgent queues is left after a start that takes `rooms` in
        total."""
        if not self.policy.headroom or not self.peak_use:
            return True
        if self.unused_reserved_rooms(lane):
            return True  # it has reserved room that is not in use
        free, room = self.free_room(kind)
        keep = self.headroom(kind=kind, lane=lane, room=room)
        return all(free[i] - rooms[i] >= keep[i] for i in range(3) if rooms[i] and keep[i])

    def note_taken(self, *, worker, room):
        """Reduces the free room of a worker's kind by a start of this round."""
        counted = self.room_by_kind.get(worker.kind)
        if counted is not None and worker.id not in self.kept:
            counted[0] = [counted[0][i] - room[i] for i in range(3)]
