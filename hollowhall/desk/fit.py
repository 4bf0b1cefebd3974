"""Which workers a step may start on.

The workers that could run a step if they were empty depend only on the fleet and are cached between
rounds. Workers with room are ranked once per shape and round, best last, and checked again when used:
room only shrinks within a round. The cost of a round is thus that of the waiting shapes, not of each
task and worker."""

from ..base import constants
from ..record.kinds import UP
from ..record.legs import suits

# why no worker was found; the first one that applies is reported
REASONS = ("room", "spread", "reserved", "probation", "worker", "evacuated", "slow")


def total_room(rec):
    """Room of all workers that are up, as [cores, memory, accelerators]."""
    total = [0, 0, 0]
    for worker in rec.workers.values():
        if worker.state == UP:
            total = [a + b for a, b in zip(total, worker.room)]
    return total


def has_room(*, worker, room):
    """Whether a worker has this much room free."""
    used, total = worker.used, worker.room
    return used[0] + room[0] <= total[0] and used[1] + room[1] <= total[1] and used[2] + room[2] <= total[2]


def in_use(workers):
    """The part of these workers' room that is in use, 0 to 1, of the resource that is used most."""
    workers = [w for w in workers if w.state == UP]
    return max(
        (sum(w.used[i] for w in workers) / n for i in range(3) if (n := sum(w.room[i] for w in workers))),
        default=0.0,
    )


class FitMixin:
    """Feasibility and ranking of workers for a step."""

    def fleet(self, cache):
        """Loads the workers by kind from the cache, which is valid as long as the fleet has not changed."""
        if cache.get("fleet") != self.rec.fleet or "kinds" not in cache:
            cache.clear()
            cache["fleet"], kinds = self.rec.fleet, {}
            for worker in sorted(self.rec.workers.values(), key=lambda worker: worker.id):
                kinds.setdefault(worker.kind, []).append(worker)
            cache["kinds"] = kinds
        self.cache, self.kinds, self.ranked = cache, cache["kinds"], {}

    def requirements_of(self, *, lane, spec):
        """A cache key of what a step requires of a worker; its preferred rack is not part of it."""
        return (
            self.rec.kind_of(lane=lane, spec=spec),
            spec.get("label", ""),
            spec["zone"],
            spec["rack"],
            *spec["room"],
        )

    def effective_shape(self, *, lane, shape):
        """A shape with the service that its queue names now, whichever it named when the job was submitted.
        Whether steps of one such shape find a worker does not depend on their queue."""
        kind = self.rec.charter["rows"].get(lane, {}).get("kind")
        return (kind, *shape[1:]) if kind else shape

    def eligible_workers(self, *, lane, spec):
        """The workers that could run a step if they were empty."""
        key = self.requirements_of(lane=lane, spec=spec)
        kind, workers = key[0], self.cache.get(key)
        if workers is None:
            workers = self.cache[key] = [
                worker for worker in self.kinds.get(kind, ()) if suits(spec=spec, worker=worker, kind=kind)
            ]
        return workers

    def accepts_starts(self, worker):
        """Whether a worker accepts starts at all now; if not, no step waits for it."""
        return (
            worker.state == UP
            and worker.zone not in self.rec.evacuated
            and self.now >= worker.flaky
            and worker.id not in self.slow
        )

    def ranked_workers(self, *, step, lane, near):
        """Workers with room for one shape: ([(sort key, worker)] with the best last, the reasons that exclude
        the others, whether any worker is eligible). Shapes that differ only in the rack they prefer share
        one list; the workers in that rack are moved to its end. near: only workers in that rack."""
        spec = step.spec
        rack, eligible = spec.get("near"), self.eligible_workers(lane=lane, spec=spec)
        if near:
            nearby = [w for w in self.in_rack(lane=lane, spec=spec) if self.accepts_starts(w)]
            if nearby:
                return self.rank(workers=nearby, room=spec["room"])
        key = ("any", *self.requirements_of(lane=lane, spec=spec))
        if key not in self.ranked:
            self.ranked[key] = self.rank(workers=eligible, room=spec["room"])
        ranked, reasons, any_eligible = self.ranked[key]
        if not rack:
            return list(ranked), set(reasons), any_eligible
        return (
            [x for x in ranked if x[1].rack != rack] + [x for x in ranked if x[1].rack == rack],
            set(reasons),
            any_eligible,
        )

    def in_rack(self, *, lane, spec):
        """The eligible workers of a step that are in its preferred rack."""
        key = ("rack", *self.requirements_of(lane=lane, spec=spec))
        if key not in self.cache:
            by_rack = self.cache[key] = {}
            for worker in self.eligible_workers(lane=lane, spec=spec):
                by_rack.setdefault(worker.rack, []).append(worker)
        return self.cache[key].get(spec["near"], ())

    def rank(self, *, workers, room):
        """As ranked_workers, of these workers. The best one is neither suspected nor held back and has the
        least room left."""
        ranked, reasons, evacuated = [], set(), self.rec.evacuated
        for worker in workers:
            if worker.state != UP:
                reasons.add("worker")
            elif worker.zone in evacuated:
                reasons.add("evacuated")
            elif self.now < worker.flaky:
                reasons.add("probation")
            elif worker.id in self.slow:
                reasons.add("slow")
            elif not has_room(worker=worker, room=room):
                reasons.add("room")
            else:
                free_share = (
                    max(
                        (worker.room[i] - worker.used[i] - room[i]) / worker.room[i]
                        for i in range(3)
                        if worker.room[i]
                    )
                    if any(worker.room)
                    else 0.0
                )
                ranked.append(
                    ((worker.id in self.suspected, worker.id in self.kept, free_share, worker.id), worker)
                )
        ranked.sort(key=lambda x: x[0], reverse=True)
        return ranked, reasons, bool(workers)

    def is_trusted_for(self, *, task, worker):
        """Whether a worker is a first choice for a task: a task that failed goes to workers that are neither
        suspected nor on trial."""
        return worker.id not in task.bad and not (
            task.fails and (worker.id in self.suspected or worker.id in self.trials)
        )

    def is_shape_refused(self, *, shape, near):
        """Whether a shape that found no room is not tried again in this round. A step that still waits for
        its rack tells nothing about steps that waited long enough, so RACK_STEPS_PER_ROUND of them are tried."""
        self.near_looks[shape] = self.near_looks.get(shape, 0) + near
        return not near or self.near_looks[shape] >= constants.RACK_STEPS_PER_ROUND

    def scan_workers(self, *, task, step, step_key, lane, shape):
        """The best worker for a task: (worker, "", _) or (None, reason, whether the same holds for every
        other step of this shape)."""
        spec = step.spec
        near = bool(spec.get("near")) and self.now - (task.at >> constants.LOGICAL_BITS) < self.rack_wait_ms(
            spec=spec, lane=lane
        )
        key = (shape, lane, near)
        if key not in self.ranked:
            self.ranked[key] = self.ranked_workers(step=step, lane=lane, near=near)
        ranked, reasons, any_eligible = self.ranked[key]
        if not any_eligible:
            return None, "never", True
        unproven = untrusted = None
        refusals, index = set(), len(ranked)
        while index:
            index -= 1
            worker = ranked[index][1]
            if not has_room(worker=worker, room=spec["room"]):
                del ranked[index]
                reasons.add("room")
                continue
            reason = self.unfit(step, worker, step_key, lane)
            if reason:
                refusals.add(reason)
            elif not self.is_trusted_for(task=task, worker=worker):
                untrusted = untrusted or worker
            elif not task.fails or not self.proven or worker.id in self.proven:
                return worker, "", True
            else:
                unproven = unproven or worker
        if unproven is not None:
            return unproven, "", True
        if untrusted is not None:
            if (
                task.fails + 1 >= spec["maxFailures"]
                and self.now - (task.at >> constants.LOGICAL_BITS) < constants.RETRY_WAIT_MS
                and untrusted.id in self.suspected
            ):
                return None, "slow", False
            return untrusted, "", True
        refusals |= reasons
        return (
            None,
            next((reason for reason in REASONS if reason in refusals), "room"),
            self.is_shape_refused(shape=shape, near=near)
            and "spread" not in refusals
            and step_key not in self.kept.values(),
        )
