"""The scheduler's constants, each with its unit and reason: waiting, packing, progress estimates, worker
health, preemption, reservations and the trace of decisions. constants.py re-exports them."""

STARVATION_MS = 4000  # ms; a task that waits longer for room gets a worker reserved
GANG_STARVATION_MS = 400  # ms; a gang that waits longer gets workers reserved
REMOTE_COST_WAIT_FRACTION = (
    0.8  # fraction; of the cost of a remote placement that may be spent waiting for a near one
)
LOCALITY_WAIT_MAX_MS = 2000  # ms; longest such wait while less than half of the worker kind is in use
TENANT_PRECEDENCE_MAX_MS = (
    2500  # ms; that work waits for the step whose turn it is, below half of its tenant's limit
)
TENANT_PRECEDENCE_PAUSE_MS = 5000  # ms; before a step that did not use its turn may get another one
STARVING_GANGS_PER_ROUND = 2  # oldest starving gangs of one shape that a placement round considers
PLACEMENT_ROUND_MAX_S = (
    0.08  # s; longest time a placement round blocks the loop: a quarter of an election time-out
)
PLACEMENT_PAUSE_FACTOR = (
    2.0  # times the duration of a round; pause after it for heartbeats, requests and the store
)
DRAIN_ESTIMATE_CPU_S = (
    0.03e-3  # s; CPU time to estimate when one worker will have room; used by the simulation
)
RACK_STEPS_PER_ROUND = 16  # steps of one shape waiting for a rack that a round considers
DEFAULT_TASK_MS = 2000  # ms; assumed duration of a task without an estimate
DURATION_NEWEST_WEIGHT = 0.1  # fraction; weight of the newest completion in a queue's usual duration
PROGRESS_MIN_AGE_MS = 500  # ms; the progress of younger attempts is not used
PROGRESS_JUDGED_MAX_PERCENT = 98  # percent; attempts beyond this are not judged by their progress
QUEUE_COMPARISON_WEIGHT = (
    0.34  # fraction; weight of a comparison with a queue's usual duration, to one within a step
)
DURATION_SPREAD_FACTOR = 3.0  # times; by which a task may well take longer than its queue's usual duration
SLOW_WORKER_RATIO = 2.5  # times; a worker slower than others by this factor is set aside
STALLED_PERCENT = 6.0  # percent; overdue by the time of this much progress, an attempt counts as stalled
STALLED_SURE_S = 1.8  # s; a single attempt stalled for this long is sufficient evidence
STALLED_MIN_S = 0.7  # s; shortest time without progress before an attempt counts as stalled
SLOW_WORKER_ASIDE_S = 3.0  # s; a slow worker stays set aside for this long after the last sign of slowness
ASIDE_MAX_FRACTION = 0.34  # fraction of a kind; most workers set aside at once
RESTARTS_PER_CHECK = 8  # attempts restarted on another worker in one check
RESTART_COST_MS = 500  # ms; cost of stopping an attempt and starting it on another worker
SILENT_WORKER_S = 0.9  # s; a worker silent for this long is given no new attempts
PREEMPTION_CHECK_PERIOD_MS = 60  # ms; between two checks for attempts to preempt
PREEMPTION_WAIT_MS = 200  # ms; that urgent work waits before it preempts
PREEMPTIONS_PER_CHECK = 8  # attempts preempted in one check
PREEMPTION_STEPS_PER_CHECK = 24  # steps considered in one check
PREEMPTION_YOUNG_MS = 300  # ms; an attempt this young loses little, even without checkpoints
PREEMPTION_DEADLINE_MS = 800  # ms; within this a preempted attempt has stopped and its room is used
CHECKPOINT_LOSS_MS = 1000  # ms; about what an attempt with checkpoints may lose
DEPARTURE_SLACK_MS = 200  # ms; an attempt must end this long before its worker leaves
DEPARTURE_STOP_MS = 1400  # ms; before a worker leaves, attempts with checkpoints are stopped: time for
# the order, the stop, the report and a check
PENDING_RESERVATIONS_MAX = (
    8  # reservations waiting for a decision; further ones must retry: deciding one takes
)
# some ms beside many others, and a batch of hundreds would block everything else
RESERVED_PERCENT = 50  # percent; of a kind's room that reservations may take, by default
RESERVATION_PLAN_PERIOD_MS = 200  # ms; period at which the assignment of workers to reservations is checked
RESERVATION_REASSIGN_MS = (
    2000  # ms; a reservation short of workers is reassigned no more often without a change
)
RESERVATION_FINAL_CHOICE_MS = 60_000  # ms; this long before a window its workers are chosen once more
RESERVATION_RECLAIM_MS = 2000  # ms; this long before a window lent room is reclaimed, if it is needed
RESERVATION_GRACE_MS = 1000  # ms; into a window, before attempts without checkpoints are stopped too
LENT_DURATION_FACTOR = 2  # times; work on lent room is expected to end within this many usual durations
LENT_SLACK_MS = 1000  # ms; added to that, for the start and for the report of the end
UNKNOWN_DURATION_MS = 3_600_000  # ms; assumed duration of work without an estimate or a known end
GRANTED_SHAPES_KEPT = 500  # shapes; whose last grant is remembered
LONG_WAITS_LOG_INTERVAL = 5.0  # s; long waits are logged no more often
LONG_WAIT_MS = 5000  # ms; a wait that counts as long
STEPS_PER_LOG_LINE = 6  # steps; named in one log line
WORKER_ENDS_KEPT = 20  # ends of attempts remembered for each worker
SICK_WORKER_FAILURE_RATE = 0.6  # fraction; assumed failure rate of a sick worker
DEFAULT_FAILURE_RATE = 0.03  # fraction; assumed failure rate of a queue before any ends are observed
FAILURE_RATE_NEWEST_WEIGHT = 0.02  # fraction; weight of the newest end in a queue's failure rate
FAILURE_RATE_MIN = 0.02  # fraction; lowest failure rate assumed for a queue
FAILURE_RATE_MAX = 0.4  # fraction; highest: above it failures would say nothing about the worker
EVIDENCE_SUSPECTED = 1.5  # evidence; a worker is suspected from here on: one failure in a healthy queue
EVIDENCE_SET_ASIDE = 4.0  # evidence; a worker is set aside from here on: two such failures
EVIDENCE_HALF_LIFE_MS = 20_000  # ms; half-life of the evidence
FAILURES_PER_STEP_MAX = 3  # failures of one step that count against one worker
AMBIGUOUS_FAILURE_WEIGHT = 0.5  # fraction; weight of a failure whose step failed on a sick worker, too
REEVALUATED_WORKERS_MAX = 12  # workers; a step with attempts on more is not re-evaluated at each end
WORKER_STEPS_KEPT = 12  # steps; a worker's most recent ones, whose evidence may still be withdrawn
STEP_RESULTS_KEPT = 2000  # steps; whose ends by worker are remembered
PROBATION_MS = 5000  # ms; length of a worker's first probation; each relapse doubles it
PROBATION_MAX_MS = 80_000  # ms; longest probation: at this length one attempt per probation may be lost
RELAPSE_FORGOTTEN_MS = 60_000  # ms; without a relapse, after which one is forgotten
TRIAL_SUCCESSES = 2  # consecutive good ends that complete a trial
TRIAL_MAX_MS = 8000  # ms; a trial without failures ends after this, whatever its worker ran
RECENT_SUCCESS_MS = 2000  # ms; a good end this recent makes a worker preferred for a retry
RETRY_WAIT_MS = 1500  # ms; that a task's last attempt waits for a worker without suspicion
OVERDUE_WAIT_MS = 1500  # ms; after which a step is overdue: half of what a job may stand still beside room
OVERDUE_CHECK_PERIOD_MS = 250  # ms; between two searches for overdue steps
OVERDUE_STEPS_PER_CHECK = 8  # overdue steps of a kind of worker; in a backlog, the rules hold for the rest
PROBATION_WAIT_MAX_MS = 1500  # ms; longest wait of a step for lack of workers, while some are on probation

CHAIN_STEPS_MAX = 60  # steps; the estimates of a longer job are summed, as if its steps ran one after another
MILLICORE_MS_PER_CORE_S = 1_000_000  # one core-second in thousandths of a core times ms
TRACED_JOBS_MAX = 20_000  # open jobs that are traced; some hundred bytes each
TARGET_TIMES_CACHED_MAX = 4000  # jobs; whose target times are cached; beyond this they are computed again
TRACE_CHECK_PERIOD_MS = 100  # ms; period at which the reasons of waiting steps are checked
TRACE_GAP_MAX_MS = 1000  # ms; a longer pause between two checks is not counted as waiting
TRACE_STEPS_PER_CHECK = 400  # waiting steps examined in one check; the oldest come first
QUEUE_TRACE_INTERVAL_MS = 5000  # ms; between two log lines of a queue
DRAIN_CHOICE_PERIOD_MS = 300  # ms; period at which the workers held for a gang are chosen again
REMAINING_TIME_MIN_MS = (
    50  # ms; lowest estimate of an attempt's remaining time: one heartbeat, which reports its end
)
BACKFILL_DURATION_FACTOR = 1.5  # times the queue's usual duration; allowed for a task on a held worker
HOLD_MAX_MS = 10_000  # ms; longest time for which workers are held back before that is decided anew
HOLD_SLACK_FACTOR = 1.5  # times the expected wait for room; allowed for a single task's hold
HOLD_PAUSE_MS = 3000  # ms; without a hold, after one that brought a single task no room
LATE_TIMES = 3  # times its target time; up to this a late job still has some value
OVERDUE_REMAINING_FRACTION = 0.5  # fraction of its age; estimated remaining time of an overdue attempt
USAGE_SAMPLE_PERIOD_MS = 250  # ms; period at which the room used by queues is sampled
USAGE_SAMPLES_KEPT = 40  # samples kept: ten seconds, a few load peaks
HEADROOM_FRACTION = 0.1  # fraction of a kind's room; most that is left free for more urgent work
