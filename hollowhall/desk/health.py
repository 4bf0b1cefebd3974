"""Worker health, judged by the results of attempts. Each worker is sound, suspected, set aside or
on trial; only `set_health_state` changes that. Evidence is the logarithm of how much likelier a
sick worker is to show what was seen than a sound one: failures weigh by how rare they are in
their queue, successes count against it, and all of it decays. Where a step fails on other
workers as well, the task is at fault and no worker is blamed. A suspected worker is chosen last
and gets no task that failed before; one on trial gets one attempt at a time, and each relapse
doubles the time for which it is set aside, up to a bound. A trial ends with good ends, a relapse, or after
TRIAL_MAX_MS: then the worker is suspected, until its evidence has decayed."""

from dataclasses import dataclass, field
from math import log

from ..base import constants, log_events
from ..record.kinds import UP

SOUND, SUSPECTED, ASIDE, TRIAL = "sound", "suspected", "aside", "trial"
MOVES = {
    SOUND: (SUSPECTED, ASIDE),
    SUSPECTED: (SOUND, ASIDE),
    ASIDE: (TRIAL, SOUND),
    TRIAL: (SOUND, SUSPECTED, ASIDE),
}


@dataclass(kw_only=True)
class Health:
    """The health of one worker. Times are ms of stamped time."""

    state: str = SOUND
    evidence: float = 0.0  # that the worker is sick; natural logarithm of odds
    updated_ms: int = 0  # when `evidence` was last decayed, or a relapse forgotten
    aside_until_ms: int = 0  # end of its time aside
    slow_seen_ms: int = 0  # the last sign that its attempts go too slowly
    relapses: int = 0  # how often it was set aside lately
    trial_successes: int = 0  # successes since the trial began
    trial_since_ms: int = 0  # when it was last put on trial
    last_success_ms: int = 0  # when its last success ended
    generation: int = 0  # rises when a trial begins or it is cleared: older results no longer count
    blame_by_step: dict = field(default_factory=dict)  # (job, step): evidence that its failures add


class HealthMixin:
    """Keeps the health of all workers, on the primary and on standbys.

    `health` is by worker; `step_tallies` holds [successes, failures, generation] by (job, step) and worker;
    `queue_failure_share` the usual share of failed attempts by lane.
    """

    def open_health(self):
        self.health, self.step_tallies, self.queue_failure_share = {}, {}, {}

    def health_of(self, worker_id):
        return self.health.setdefault(worker_id, Health())

    def set_health_state(self, *, worker_id, state, ms, until=0):
        """Moves a worker to another state of health; MOVES lists the transitions that are allowed."""
        health = self.health_of(worker_id)
        assert state in MOVES[health.state], (worker_id, health.state, state)
        if state == ASIDE:
            health.relapses, health.aside_until_ms = health.relapses + 1, until
        else:
            health.evidence, health.trial_successes = (
                (constants.EVIDENCE_SUSPECTED / 2, 0) if state == TRIAL else (health.evidence, 0)
            )
        if state == TRIAL:
            health.trial_since_ms = ms
        if state in (SOUND, TRIAL):
            health.blame_by_step, health.generation = {}, health.generation + 1
        health.state, health.updated_ms = state, ms

    def probation_ms(self, worker_id):
        """For how many ms a worker is set aside now; twice as long with each relapse, up to a bound."""
        return min(
            constants.PROBATION_MAX_MS, constants.PROBATION_MS << min(self.health_of(worker_id).relapses, 8)
        )

    # --- evidence

    def note_health(self, *, events, ms):
        """Takes note of the attempt results and probation changes of a batch, before it is applied."""
        if not self.policy.health:
            return
        for event in events:
            if event[0] == "flaky" and event[1] in self.record.workers:
                self.note_probation(worker_id=event[1], until=event[2], ms=ms)
            elif event[0] == "end" and event[2] in ("ok", "bad") and event[1] in self.record.attempts:
                attempt = self.record.attempts[event[1]]
                # attempts of `forever` steps may fail at any time
                if not self.record.jobs[attempt.job].steps[attempt.step].spec.get("forever"):
                    self.note_end(attempt=attempt, bad=event[2] == "bad", ms=ms)

    def note_probation(self, *, worker_id, until, ms):
        """Follows a `flaky` event: probation up to `until` (ms), or its end where that has passed."""
        health = self.health_of(worker_id)
        if until > ms and health.state != ASIDE:
            self.set_health_state(worker_id=worker_id, state=ASIDE, ms=ms, until=until)
        elif until > ms:
            health.aside_until_ms = until
        elif health.state == ASIDE:
            health.relapses = max(0, health.relapses - 1)
            self.set_health_state(worker_id=worker_id, state=SOUND, ms=ms)

    def note_end(self, *, attempt, bad, ms):
        """Counts one result of an attempt and updates the health of the workers that it concerns."""
        step_key, worker_id = (attempt.job, attempt.step), attempt.worker
        tallies = self.step_tallies.setdefault(step_key, {})
        tally, generation = tallies.setdefault(worker_id, [0, 0, 0]), self.health_of(worker_id).generation
        if tally[2] != generation:
            tally[:] = [0, 0, generation]
        tally[bad] += 1
        usual_share = self.queue_failure_share.get(attempt.lane, constants.DEFAULT_FAILURE_RATE)
        if self.health_of(worker_id).state == SOUND:
            self.queue_failure_share[attempt.lane] = usual_share + constants.FAILURE_RATE_NEWEST_WEIGHT * (
                bad - usual_share
            )
        usual_share = min(max(usual_share, constants.FAILURE_RATE_MIN), constants.FAILURE_RATE_MAX)
        if not bad:
            self.health_of(worker_id).last_success_ms = ms
            self.add_evidence(
                worker_id=worker_id,
                change=log((1 - constants.SICK_WORKER_FAILURE_RATE) / (1 - usual_share)),
                ms=ms,
            )
        weight = log(constants.SICK_WORKER_FAILURE_RATE / usual_share)
        for blamed_id in list(tallies) if len(tallies) <= constants.REEVALUATED_WORKERS_MAX else [worker_id]:
            if (
                self.blame(worker_id=blamed_id, step_key=step_key, tallies=tallies, weight=weight, ms=ms)
                and blamed_id != worker_id
            ):
                self.update_health(worker_id=blamed_id, ms=ms)
        self.update_health(worker_id=worker_id, ms=ms, bad=bad)
        while len(self.step_tallies) > constants.STEP_RESULTS_KEPT:
            del self.step_tallies[next(iter(self.step_tallies))]

    def blame(self, *, worker_id, step_key, tallies, weight, ms):
        """Updates the evidence that a step's failures on a worker add, by the step's results elsewhere: the
        full weight where it succeeded on others, nothing where it failed on sound ones too, a part
        where it failed only on workers that are not sound. True if the evidence changed."""
        failures, health = tallies[worker_id][1], self.health_of(worker_id)
        before = health.blame_by_step.get(step_key, 0.0)
        if not failures or tallies[worker_id][2] != health.generation:
            return False
        others = [(other_id, tally) for other_id, tally in tallies.items() if other_id != worker_id]
        failed_on_sound = {
            self.health_of(other_id).state in (SOUND, SUSPECTED) for other_id, tally in others if tally[1]
        }
        if True in failed_on_sound:
            new = 0.0
        elif failed_on_sound:
            new = weight * constants.AMBIGUOUS_FAILURE_WEIGHT
        else:
            new = weight * (
                min(failures, constants.FAILURES_PER_STEP_MAX) if any(tally[0] for _, tally in others) else 1
            )
        if new != before:
            health.blame_by_step[step_key] = new
            self.add_evidence(worker_id=worker_id, change=new - before, ms=ms)
            while len(health.blame_by_step) > constants.WORKER_STEPS_KEPT:
                del health.blame_by_step[next(iter(health.blame_by_step))]
        return new != before

    def add_evidence(self, *, worker_id, change, ms):
        """Adds evidence after decaying the earlier evidence to `ms`; there is no decay while set aside."""
        health = self.health_of(worker_id)
        if health.state != ASIDE:
            health.evidence *= 0.5 ** (max(0, ms - health.updated_ms) / constants.EVIDENCE_HALF_LIFE_MS)
        health.evidence, health.updated_ms = (max(0.0, health.evidence + change), max(ms, health.updated_ms))

    def update_health(self, *, worker_id, ms, bad=None):
        """Moves a worker to the state that its evidence calls for. Only the primary sets workers aside."""
        health, worker = self.health_of(worker_id), self.record.workers.get(worker_id)
        if worker is None:
            return
        if health.state == TRIAL:
            health.trial_successes += bad is False
            if health.trial_successes >= constants.TRIAL_SUCCESSES:
                self.set_health_state(worker_id=worker_id, state=SOUND, ms=ms)
            elif bad and health.evidence >= constants.EVIDENCE_SUSPECTED:
                self.start_probation(worker=worker, ms=ms)
        elif health.state == ASIDE:
            if health.evidence < constants.EVIDENCE_SUSPECTED and worker.flaky > ms and self.live():
                health.evidence = constants.EVIDENCE_SUSPECTED
                self.say(log_events.WORKER_CLEARED, worker=worker_id)
                self.queue_event(event=["flaky", worker_id, 0])
        elif health.evidence >= constants.EVIDENCE_SET_ASIDE:
            self.start_probation(worker=worker, ms=ms)
        elif health.evidence >= constants.EVIDENCE_SUSPECTED and health.state == SOUND:
            self.set_health_state(worker_id=worker_id, state=SUSPECTED, ms=ms)
        elif health.evidence < constants.EVIDENCE_SUSPECTED / 2 and health.state == SUSPECTED:
            self.set_health_state(worker_id=worker_id, state=SOUND, ms=ms)

    def start_probation(self, *, worker, ms):
        """Sets a worker aside and records its probation, unless too many of its kind are aside already."""
        if not self.live() or not self.may_set_aside(worker):
            return
        until = ms + self.probation_ms(worker.id)
        ends = self.recent_failures.get(worker.id) or (1,)
        self.aside_failure_share[worker.id] = max(constants.SICK_WORKER_FAILURE_RATE, sum(ends) / len(ends))
        self.say(
            log_events.WORKER_FLAKY,
            worker=worker.id,
            failed=round(self.aside_failure_share[worker.id], 2),
            guilt=round(self.health_of(worker.id).evidence, 1),
            ms=until - ms,
        )
        self.set_health_state(worker_id=worker.id, state=ASIDE, ms=ms, until=until)
        self.queue_event(event=["flaky", worker.id, until])

    def note_slow_worker(self, *, worker_id, ms):
        """Sets a worker aside whose attempts go far too slowly or stand still. Returns for how many ms after
        this sign; twice as long with each relapse, up to a bound."""
        health, relapses = self.health_of(worker_id), self.health_of(worker_id).relapses
        span_ms = min(
            constants.PROBATION_MAX_MS,
            int(constants.SLOW_WORKER_ASIDE_S * 1000) << min(relapses - (health.state == ASIDE), 8),
        )
        if health.state != ASIDE:
            self.set_health_state(worker_id=worker_id, state=ASIDE, ms=ms, until=ms + span_ms)
        health.aside_until_ms, health.slow_seen_ms = max(health.aside_until_ms, ms + span_ms), ms
        return span_ms

    def slowness_over(self, *, worker_id, ms):
        """Whether a worker was set aside for slowness and showed none for SLOW_WORKER_ASIDE_S since."""
        health = self.health_of(worker_id)
        return (
            health.state == ASIDE
            and health.slow_seen_ms > 0
            and ms - health.slow_seen_ms >= constants.SLOW_WORKER_ASIDE_S * 1000
        )

    def start_trial(self, *, worker_id, ms):
        """Puts a worker that was set aside on trial before its time aside is over."""
        if self.health_of(worker_id).state == ASIDE:
            self.set_health_state(worker_id=worker_id, state=TRIAL, ms=ms)

    def may_set_aside(self, worker):
        """Whether one more worker of this kind may be set aside; at most ASIDE_MAX_FRACTION of a kind is at once."""
        same_kind = [
            peer.id for peer in self.record.workers.values() if peer.kind == worker.kind and peer.state == UP
        ]
        aside_count = sum(
            worker_id in self.slow or worker_id in self.health and self.health[worker_id].state == ASIDE
            for worker_id in same_kind
        )
        return aside_count < len(same_kind) * constants.ASIDE_MAX_FRACTION

    def check_health(self, *, ms):
        """Applies what passes with time: decay of evidence and relapses, and the end of times aside."""
        for worker_id in [worker_id for worker_id in self.health if worker_id not in self.record.workers]:
            del self.health[worker_id]
        for worker_id, health in self.health.items():
            if health.state == ASIDE and ms >= health.aside_until_ms and worker_id not in self.slow:
                self.set_health_state(worker_id=worker_id, state=TRIAL, ms=ms)
            elif health.state == TRIAL and ms - health.trial_since_ms >= constants.TRIAL_MAX_MS:
                self.set_health_state(worker_id=worker_id, state=SUSPECTED, ms=ms)
                health.evidence = constants.EVIDENCE_SUSPECTED
            elif health.state == SUSPECTED:
                self.add_evidence(worker_id=worker_id, change=0.0, ms=ms)
                self.update_health(worker_id=worker_id, ms=ms)
            elif (
                health.state == SOUND
                and health.relapses
                and ms - health.updated_ms > constants.RELAPSE_FORGOTTEN_MS
            ):
                health.relapses, health.updated_ms = health.relapses - 1, ms

    def health_view(self):
        """The workers that placement treats differently: `doubt`, the suspected and those with a reported
        failure that is not recorded yet; `trials`; `aside`, with when that ends; `proven`, sound
        ones with a success in the last RECENT_SUCCESS_MS."""
        by_state, since_ms = {state: {} for state in MOVES}, self.clock_ms() - constants.RECENT_SUCCESS_MS
        for worker_id, health in self.health.items():
            by_state[health.state][worker_id] = (0.0, health.aside_until_ms)
        failing = {
            worker_id
            for worker_id, session in self.sessions.items()
            if any(end.how == "bad" for end in session.ends.values())
        }
        return {
            "doubt": by_state[SUSPECTED].keys() | failing,
            "trials": by_state[TRIAL].keys(),
            "aside": by_state[ASIDE],
            "proven": {
                worker_id
                for worker_id in by_state[SOUND]
                if self.health[worker_id].last_success_ms > since_ms and worker_id not in failing
            }
            if self.policy.proven_retries
            else set(),
        }
