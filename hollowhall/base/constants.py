"""Every constant of hollowhall, with its unit and, where a reader would wonder, its reason. Durations are
in seconds unless the name ends in _MS. "PD" gives the name of the same constant in the TiKV placement
driver, whose timestamp oracle the clock follows. Values that belong to a format level stand in formats.py
and the scheduler's weights in scheduling.py; both are re-exported here."""

from .formats import LEVEL, LEVEL_CONFIRMS_CONFIGURATION, LEVEL_DEFAULT, RULES  # noqa: F401
from .scheduling import *  # noqa: F403

# --- RPC connections between daemons
WIRE_VERSION = 1  # protocol version sent in the first frame; raised when a frame's meaning changes
FRAME_MAX_BYTES = 64 << 20  # bytes; a snapshot of a full record must fit in one frame
SEND_BUFFER_MAX_BYTES = 96 << 20  # bytes; a connection with more unsent data is closed
PENDING_REQUESTS_PER_CONNECTION = 4096  # pending requests on one connection; far above the usual load
CONNECT_TIMEOUT = 1.0  # s; a connection within a rack takes far less, unless the network is cut
RECONNECT_DELAY = 0.15  # s; first pause before reconnecting, doubled up to RECONNECT_DELAY_MAX
RECONNECT_DELAY_MAX = 1.0  # s; a machine that is back must be found within a second
REQUEST_TIMEOUT = 1.5  # s; default time-out of a request between daemons
PROBE_TIMEOUT = 1.0  # s; a connection with pending requests that is silent for half of this is probed,
# and closed if no answer arrives in this time: a machine without power must not block its callers
PEER_SILENT_AFTER = 0.3  # s; a peer that owes answers and is silent for this long is asked last
TIMESTAMP_ATTEMPT_TIMEOUT = 0.5  # s; one attempt to get timestamps, which are served from memory
DEPRIORITIZED_FOR = 2.0  # s; a store member that did not answer a long poll is asked last for this time
LAG_SAMPLE_PERIOD = 0.05  # s; period at which a daemon measures the lag of its event loop
LAG_HALF_LIFE = 0.5  # s; half-life of the measured lag
LOOP_STALL = 0.5  # s; a longer stall of the event loop is logged
LOOP_SECTIONS_LOGGED = 6  # sections; number named in the log line of a stalled event loop
READS_REFUSED_LAG = 0.4  # s; a primary whose loop lags this much answers no reads: half of its lease is gone
GATEWAY_FULL_LAG = 0.4  # s; loop lag of a gateway at capacity: heartbeats must get through within a second
# --- the store's log
LEADER_HEARTBEAT_PERIOD = (
    0.08  # s; heartbeat from leader to followers; four fit into the shortest election time-out
)
ELECTION_TIMEOUT_MIN = 0.35  # s; shortest silence of the leader before a follower campaigns
ELECTION_TIMEOUT_MAX = 0.7  # s; longest; the spread keeps two followers from campaigning at the same time
ELECTION_TIMEOUT_AT_START = (
    0.2  # s; the same after a start, up to twice this: members that ended together have no leader
)
FROZEN_LOOP_LAG = 0.5  # s; a loop that runs this late was frozen, so silence measured meanwhile says nothing
LEADER_CHECK_PERIOD = 0.05  # s; period at which the leader's silence is checked
DISK_SYNC_MAX = 1.0  # s; a leader whose disk sync takes longer steps down
APPEND_MAX_BYTES = (
    1 << 20
)  # bytes; entries in one append message, so that a heartbeat is never far behind one
LOG_SEGMENTS = 6  # files; one is being filled, the others hold the log since the last snapshot
LOG_SEGMENT_BYTES = 4 << 20  # bytes per file; must hold the largest configuration entry
SNAPSHOT_INTERVAL_ENTRIES = 4000  # entries between snapshots; keeps replay under a second. A quarter of
# them is kept in memory after a snapshot for members that lag
SNAPSHOT_INTERVAL_SPREAD = 0.25  # fraction; by which the members' snapshot intervals differ
PACK_SLICE_MAX_TASKS = 2000  # tasks; most that are serialized for a snapshot at a time: about 13 ms of CPU
PACK_FIRST_SLICE_TASKS = 400  # tasks; in the first slice, before the time per task is known
PACK_SLICE_MIN_TASKS = 50  # tasks; in a slice on the slowest processor
PACK_SLICE_TARGET_TIME = 0.02  # s; target time of one slice: below a tenth of an election time-out
PACK_SLICE_PAUSE = 0.01  # s; pause between two slices, for all other work
PACK_TASK_CPU_TIME = 6.4e-6  # s; CPU time to serialize one task; used by the simulation
CHECK_JOB_CPU_TIME = 350e-6  # s; CPU time to validate one submitted job; used by the simulation
LOAD_TASK_CPU_TIME = 17e-6  # s; CPU time to deserialize one task; used by the simulation
SNAPSHOT_CHUNK_BYTES = (
    256 << 10
)  # bytes; of a snapshot in one frame, so that heartbeats never wait behind more
LEADER_CONTACT_MAX_AGE = (
    0.8  # s; a member that has not heard a leader for this long answers no polls for updates
)
UNCOMMITTED_ENTRIES_MAX = 2048  # entries proposed and not yet committed; further ones are refused
ENTRY_MAX_BYTES = 2 << 20  # bytes; two entries must fit into one segment file

JOIN_REQUEST_PERIOD = 0.3  # s; period at which a store member outside the membership asks to join
REMOVED_CHECK_AFTER = 2.5  # s; time without a leader after which a member checks whether it was removed
JOIN_REQUEST_EXPIRY = 2.0  # s; a request to join expires unless it is repeated
SILENT_LEARNER_REMOVED_AFTER = 5.0  # s; a learner that is silent for this long is removed again
EMPTY_REPLICA_WAIT = 2.5  # s; five polls; after this an empty replica no longer has to hear every member
REPLACEABLE_AFTER = 2.5  # s; a member silent for this long may be replaced
DEPARTURE_NOTIFY_TIMEOUT = (
    0.6  # s; a member that shuts down notifies the leader within this: an election and one attempt
)
DEPARTURE_REMOVAL_TIMEOUT = (
    0.5  # s; and waits this long to leave an even number of members; two entries take less
)
DEPARTURE_EXPIRY = 3.0  # s; a departure announced this long ago has expired: the member is back, or silent
REPLACEABLE_AFTER_EVEN = (
    1.0  # s; as REPLACEABLE_AFTER for a membership of even size, whose majority is one larger than needed
)
VOTERS_MAX = 9  # members; more only add replication cost

# --- leases
LEASE_TTL = 0.95  # s; lease of the clock leader and of the primary scheduler (PD: LeaderLease, 3 s there)
KEEPALIVE_PERIOD = 0.2  # s; keep-alive period; four attempts fit into a lease
KEEPALIVE_RETRY_DELAY = (
    0.05  # s; pause after a failed keep-alive; short, so that the end of an election is noticed soon
)
KEEPALIVE_ATTEMPT_TIMEOUT = 0.3  # s; one attempt at a keep-alive; two attempts and a pause fit into a lease
KEEPALIVE_TOTAL_TIMEOUT = 0.6  # s; after this a keep-alive starts again, at any member
UNKNOWN_KEEPALIVE_KEPT = (
    10.0  # s; how long a keep-alive of a lease unknown here is remembered; far above LEASE_TTL
)
LEASE_SAFETY_MARGIN = 0.15  # s; the holder counts its lease as this much shorter than the store does
LONG_POLL_TIMEOUT = 5.0  # s; a long poll without updates is answered empty after this, as a sign of life

# --- the clock
BOUND_AHEAD_MS = 700  # ms; the upper bound is saved this far ahead (PD: TsoSaveInterval)
BOUND_SAVE_EARLY_MS = 250  # ms; a new bound is requested this long before the clock reaches the saved one
CLOCK_REFRESH_PERIOD = 0.05  # s; period at which the physical part is refreshed (PD: tsTicker)
PHYSICAL_LAG_MAX_MS = 60  # ms; no timestamp is issued whose physical part lags more: due times
# are counted from timestamps and must be accurate to a tenth of a second
BOUND_GUARD_MS = 1  # ms; a new leader waits this far past the saved bound (PD: updateTimestampGuard)
LOGICAL_BITS = 18  # bits; 262144 timestamps per millisecond (PD: maxLogical)
MAX_LOGICAL = 1 << LOGICAL_BITS
TIMESTAMP_RETRIES_MAX = 10  # attempts on logical overflow or before the clock is synced (PD: maxRetryCount)
UNSYNCED_SLEEP = 0.2  # s; pause before retrying while not synced (PD: 200 ms)
BOUND_WAIT_MS = 6000  # ms; a saved bound further ahead than this is not waited for
CLOCK_SLEW_RATE = 0.01  # ratio; rate at which the physical part is adjusted to the median wall clock
CLOCK_CAMPAIGN_DELAY = 0.2  # s; members other than the store's leader campaign later by about this
TIME_BROADCAST_PERIOD = 0.5  # s; period at which the clock leader sends its time to the other members
TRACKED_TIME_WINDOW = 10.0  # s; window of received times of which the one with the least delay counts
TRACKING_PAUSE_AFTER_FREEZE = 1.0  # s; after a freeze, received times are not trusted for this long
TRACKED_TIME_MIN_SAMPLES = 3  # samples; fewer do not give a reliable one-way delay
TRACKED_TIME_MAX_AGE = 600.0  # s; a tracked time older than this is no better than the wall clock

# --- the scheduler
BATCH_INTERVAL_MIN = (
    0.02  # s; shortest time between two decision batches, so that timestamps are requested together
)
BATCH_EVENTS_MAX = 400  # events in one batch; keeps an entry well under ENTRY_MAX_BYTES
BATCH_BYTES_MAX = 1 << 20  # bytes of events in one batch, and of one job; half of ENTRY_MAX_BYTES
REFUSABLE_EVENTS = (
    "cancel",
    "leave",
    "reserve",
    "release",
    "shorten",
)  # events; refused beyond 2 QUEUED_EVENTS_MAX
QUEUED_EVENTS_MAX = 3000  # events queued by the scheduler before it refuses with Retry-After
INITIAL_SUBMISSION_RATE = 2000.0  # jobs per second; assumed submission throughput before any is observed
SUBMISSION_WAIT_MAX = 1.5  # s; a submission that would wait longer is refused at once; the limit falls
# with the urgency of its queue, down to half of this
SUBMISSION_EXPIRY = 2.5  # s; a submission that waited this long is refused: its gateway gives up after
# CLIENT_REQUEST_TIMEOUT, and a definite refusal is better than a late uncertain answer
SUBMISSIONS_PER_BATCH_MIN = (
    100  # events; part of a batch that completions and heartbeats leave to submissions
)
RETRY_AFTER_MAX = 30  # s; longest Retry-After; an overload has usually eased by then
HEARTBEAT_ANSWER_DELAY = (
    0.3  # s; a worker's heartbeat is answered after this, or earlier with an order for it
)
HEARTBEAT_ANSWER_DELAY_BUSY = (
    0.12  # s; the same for a worker with running tasks, whose completions wait for the answer
)
HEARTBEAT_ANSWER_DELAY_ENDS = (
    0.06  # s; the same once its completions are recorded, so that a start can use the room
)
DEPARTURE_ACK_TIMEOUT = (
    0.7  # s; a departure is acknowledged once it is recorded within this time, or not at all
)
NEXT_HEARTBEAT_MS = 10  # ms; until the next heartbeat of a worker with free room
NEXT_HEARTBEAT_FULL_MS = (
    250  # ms; until the next heartbeat of a worker without: its completions trigger one earlier
)
RECORD_READ_TIMEOUT = 3.0  # s; a primary that has not read the whole record by then gives its lease up
PRIMARY_CHECK_PERIOD = 0.25  # s; period at which a standby checks that the primary is alive
PRIMARY_SILENT_MAX = 0.6  # s; a primary silent for this long is no longer named to clients
FIND_PRIMARY_TIMEOUT = 0.6  # s; how long a request for the primary's address waits until one is known
ORDER_RESEND_DELAY = 0.3  # s; an order already sent to a worker is sent again after this
WORKER_LEASE_MS = 6000  # ms; a worker stops all its tasks this long after its last answered heartbeat
WORKER_CLOCK_SLOWNESS = 1.02  # ratio; a worker's clock may run slower by this factor
WORKER_LEASE_MARGIN = 1.5  # s; added by the primary before it takes a lost worker's attempt as stopped
START_ORDER_VALID_MS = (
    1000  # ms; a start expires this long after the heartbeat was sent; a departure takes 2 s
)
ENDED_JOBS_CHECK_PERIOD = 0.5  # s; ended jobs are checked for removal no more often than this

# --- the record's replicas; the rules of its format levels are in formats.py
CHECKSUM_INTERVAL_ENTRIES = 64  # entries; interval at which members compare state checksums
CHECKSUMS_KEPT = 8  # checksums; a member that lags by more is compared later

# --- the gateway
CONFIRMATION_PERIOD = 0.5  # s; pause between two confirmations of the configuration held
CONFIRMATION_MAX_AGE = 0.7  # s; nothing is refused by a configuration that was confirmed longer ago. With
# LEADER_CONTACT_MAX_AGE it must stay below the time in which operators expect a change to be in force
CONFIRMATION_NEXT_DELAY = 0.15  # s; without an answer by then the next store member is asked as well
CONFIRMATION_TIMEOUT = 0.6  # s; after the last store member was asked, a confirmation has failed
CONFIGURATION_PUSH_DELAY = 0.4  # s; a long poll brings a newer configuration within this, or it is fetched
ROWS_PER_SLICE = 500  # rows; of a table validated at a time: about 16 ms of CPU
CHECK_ROW_CPU_TIME = 31e-6  # s; CPU time to validate one row; used by the simulation
CLIENT_REQUEST_TIMEOUT = 4.0  # s; a client's request to the primary is answered as unsure after this
APPLY_POLL_PERIOD = 0.002  # s; period at which a scheduler polls its own store member for an applied entry
INDEX_AFTER_ALL = 1 << 60  # index; larger than that of any entry
REQUEST_ATTEMPT_TIMEOUT = 1.0  # s; one attempt of a request, before the primary is asked again
REQUEST_ATTEMPT_PAUSE = 0.04  # s; pause between two attempts of a request
FRAMES_PER_YIELD = 16  # frames; processed for one connection before other tasks get the loop
GATEWAY_REQUESTS_MAX = 400  # requests in flight in one gateway; above this, queues are shed by urgency
SHED_COUNTS_HALF_LIFE = 3.0  # s; half-life of the counts behind the Retry-After of a refused request,
# and that time itself where as many requests are shed as accepted
HTTP_SHUTDOWN_TIMEOUT = 1.5  # s; a request whose body is still arriving may finish during a shutdown
LOAD_FULL = 0.9  # load; above it more submissions are refused, below it fewer
LOAD_SUBMISSIONS_CLOSED = (
    3.0  # load; no submission is accepted: a loop lag of 1.2 s, where heartbeats may wait 1.5 s
)
REFUSED_FRACTION_RISE, REFUSED_FRACTION_FALL = (
    0.5,
    0.5,
)  # fraction per second; slow compared with the lag, to avoid oscillation
REFUSED_FRACTION_MAX = (
    0.85  # fraction; the most urgent remainder is accepted until LOAD_SUBMISSIONS_CLOSED is reached
)
URGENCY_HALVING_RETRY_AFTER = 4.5  # urgency; a queue this much more urgent gets half the Retry-After
LOAD_LOG_INTERVAL = 1.0  # s; shedding is logged no more often
REFILL_PERIOD = 2.0  # s; between two refills of tenants' buckets
REFILL_PERIOD_EMPTY = 0.25  # s; between two refills while a bucket is empty
REFILL_RETRY_DELAY = 0.5  # s; the same after a refill without an answer
REFILL_TIMEOUT = 1.0  # s; time-out of a refill
LOAN_TERM = 5.8  # s; the term of a loan, by a clock that may be slow: below `loan_ms` of the record
NEW_BUCKET_DEBT_MAX = 500  # tokens; that a tenant new to this gateway may owe until its first refill
CHARGE_MAX = 2000  # tokens; highest charge of a job: a third of a whole budget
CHARGE_DEFAULT_MS = 1000  # ms; assumed duration of a task without an estimate
CHARGE_LONG_RUNNING_MS = 5000  # ms; duration charged for a task that runs until stopped
CHARGE_GANG_FACTOR = 2  # times; charge of a gang, which must start as a whole
TENANT_KEY_MAX_LENGTH = 4096  # characters; of a tenant's key, as a header line may hold
TENANT_KEYS_MAX = 1000  # keys; of one tenant
TENANTS_MAX = 5000  # tenants; each row is some hundred bytes of an edit of 2 MiB
TENANT_NAME_MAX_LENGTH = 200  # characters; of a tenant's name
QUEUE_PATH_MAX_LENGTH = 1 << 16  # characters; of a queue's path; longer than any request line
BODY_MAX = 4 << 20  # bytes; a very large configuration has 20,000 rows, about 2 MiB
TASKS_MAX = 5000  # tasks in a job; a composite of a whole coast has under 2000
GANG_MAX = 400  # members; a gang is one event, and takes as many timestamps
LISTING_PAGE_MAX = 500  # jobs in one page of a listing
RETRY_AFTER = 1  # s; shortest Retry-After under load

# --- resource limits of a process (base/limits.py)
OWN_DESCRIPTORS = 64  # descriptors; used by a process besides its listener: links, files, its event loop
OWN_DESCRIPTORS_FRACTION = 0.25  # fraction; the same for a large process, which has many peers
LISTENER_CONNECTIONS_MIN = 16  # connections; a listener with fewer cannot serve
PRIORITY_CONNECTIONS_FRACTION = 0.25  # fraction; of connections reserved for worker reports and operators
REFUSAL_CONNECTIONS = 4  # connections; reserved for refusals where all clients are of one kind
CONNECTIONS_MEMORY_FRACTION = 0.25  # fraction of the memory limit; used for connections
CONNECTION_BYTES = 48 << 10  # bytes; memory of one connection: 16 KB of objects and two read buffers
READ_BUFFER_BYTES = 16 << 10  # bytes; buffered of one body that is not read yet
BODIES_MEMORY_FRACTION = 1 / 32  # fraction of the memory limit; a parsed body is up to eight times as large
RECORD_MEMORY_FRACTION = 0.2  # fraction of the memory limit; loading a snapshot takes as much again, twice
CONCURRENT_ACCEPTS = 8  # connections; accepted at a time: such a few are briefly open, beside those that
# are kept, before the first of them can be closed
LISTEN_BACKLOG = 1024  # connections; not yet accepted, as many clients may arrive at once
SLOW_CLIENT_CHECK_PERIOD = 0.25  # s; period at which a listener looks for slow clients
HEADER_TIMEOUT = 10.0  # s; for a request's header, unless the operator configures it
BODY_TIMEOUT = 10.0  # s; for a body: 2 MB on the slowest link
IDLE_TIMEOUT = 75.0  # s; between two requests, unless the operator configures it
IDLE_MIN = 1.0  # s; a connection idle for less may have its next request on the way
LINGERING_TIME = 2.0  # s; a refused body is read and discarded, so that the answer is not lost to a reset
JOB_BYTES = 1000  # bytes; memory of a job, without its steps
STEP_BYTES = 1500  # bytes; memory of a step, without its tasks
TASK_BYTES = 350  # bytes; memory of a task
JOB_NAME_BYTES = 300  # bytes; memory of the name of a job no longer kept

# --- monitoring ring
WATCHERS_PER_DAEMON = 3  # daemons; that monitor each daemon, by position in the ring
MONITORING_HEARTBEAT_PERIOD = 0.4  # s; period of heartbeats to each watcher
SUSPECT_AFTER_SILENCE = 2.0  # s; silence after which a watcher suspects a daemon
SUSPECTING_WATCHERS_MIN = 2  # watchers; that must agree before a daemon is marked down
