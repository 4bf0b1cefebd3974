"""The primary's rounds of placement, one before each decision batch: the inputs of a round, and the
events that result from it."""

from ..base import constants
from ..base.loop_time import in_section
from .aims import Aims
from .giving_back import GiveBackMixin
from .headroom import UseMixin
from .health import HealthMixin
from .overdue import OverdueMixin
from .place import Round
from .policy import DEFAULT
from .preempt import PreemptMixin
from .round_time import RoundTime
from .tenant_turns import TenantTurns


class PlacementMixin(GiveBackMixin, PreemptMixin, HealthMixin, OverdueMixin, UseMixin):
    """Runs rounds of placement and keeps what one round leaves to the next."""

    policy = DEFAULT

    def remaining_ms_of(self, attempt):
        """Estimated ms that an attempt still needs, where its progress is not known."""
        return self.usual_ms_by_lane.get(attempt.lane, constants.DEFAULT_TASK_MS)

    def open_place(self):
        """Initializes the state that is kept between rounds."""
        self.kept, self.kept_until, self.last_grant_ms, self.last_round, self.cache = {}, {}, {}, None, {}
        # steps for which rounds that were cut short found nothing; tried again once the backlog is through
        self.examined = set()
        self.aims = Aims(rows=lambda: self.record.charter["rows"])
        self.tenant_turns = TenantTurns()
        self.open_use()
        self.open_preempt()
        self.open_health()
        self.open_overdue()
        self.open_reserving()

    last_round_duration_s = 0.0  # duration of the last round in seconds

    @in_section("place")
    def place_tasks(self, *, most, ends=()):
        """The start and stop events of one round. ends: runs whose ends precede these events in the same
        batch, so that their room counts as free."""
        ending = [
            attempt for run in dict.fromkeys(ends) if (attempt := self.record.attempts.get(run)) is not None
        ]
        for attempt in ending:
            self.record.count_attempt(attempt=attempt, sign=-1)
        round_time = RoundTime(runtime=self.runtime, most=constants.PLACEMENT_ROUND_MAX_S)
        placement_round = Round(
            rec=self.record,
            now=self.clock_ms(),
            most=most,
            kept=self.kept,
            kept_until=self.kept_until,
            left_ms=self.remaining_ms_of,
            last_grant_ms=self.last_grant_ms,
            far=self.settings.far_times,
            slow=self.slow,
            usual=self.usual_ms_by_lane,
            cache=self.cache,
            policy=self.policy,
            aims=self.aims,
            peak_use=self.peaks(),
            tenant_turns=self.tenant_turns,
            round_time=round_time,
            examined=self.examined,
            overdue=self.overdue_steps(ms=self.clock_ms()),
            **self.health_view(),
        )
        self.note_use(ms=placement_round.now)
        placement_round.open_plan(self.plan_now(ms=placement_round.now))
        try:
            events = [["grant", task_id, worker_id] for task_id, worker_id in placement_round.run()] + [
                ["gang", *gang] for gang in placement_round.gangs
            ]
            self.last_round = placement_round
            events += (
                self.preempt(placement_round=placement_round, ms=placement_round.now)
                if self.record.level > 1
                else []
            )
            events += self.give_back(placement_round=placement_round, ms=placement_round.now)
        finally:
            for attempt in ending:
                self.record.count_attempt(attempt=attempt, sign=1)
        self.due_at, self.last_round, self.last_round_duration_s = (
            placement_round.due,
            placement_round,
            round_time.took(),
        )
        if placement_round.cut_short:
            self.work.set()  # wakes the batch loop for the rest of the backlog
        else:
            self.examined.clear()
        if len(self.last_grant_ms) > 2 * constants.GRANTED_SHAPES_KEPT:
            self.last_grant_ms = dict(
                sorted(self.last_grant_ms.items(), key=lambda item: item[1])[-constants.GRANTED_SHAPES_KEPT :]
            )
        return events

    def wait_reason(self, step_key):
        """Why a ready step waits, according to the last round."""
        return self.last_round.wait_reason_of(step_key) if self.last_round is not None else "turn"
