"""The numbered events of the log. docs/events.md lists them; a test compares the two. A number is never
reused with another meaning."""

import logbook

ALL = {}


class Event:
    """A kind of log line: its number, level and text."""

    def __init__(self, number, level, text):
        self.number, self.level, self.text = number, level, text
        ALL[number] = self


def define_event(number, level, text):
    return Event(number, level, text)


UP = define_event(100, "INFO", "daemon up")
LEAVING = define_event(101, "INFO", "shutting down: no new requests, naming a successor")
GONE = define_event(102, "INFO", "daemon ended")
PARAMS_KEPT = define_event(103, "ERROR", "new settings are invalid, the old ones stay")
PARAMS_TAKEN = define_event(104, "INFO", "settings read again and applied")
PARAMS_LATER = define_event(105, "WARNING", "setting needs a restart to change")
TASK_CRASHED = define_event(106, "CRITICAL", "a task of the daemon crashed")
HELLO_REFUSED = define_event(110, "WARNING", "connection refused at its first frame")
SERVE_BROKEN = define_event(111, "ERROR", "a request handler raised an exception")
LOOP_HELD = define_event(112, "WARNING", "the event loop was blocked")
ROLE = define_event(200, "INFO", "store member changed its role")
FOUNDED = define_event(201, "INFO", "store bootstrapped")
FOUND_REFUSED = define_event(202, "WARNING", "bootstrap refused, others already have a store")
CAUGHT_UP = define_event(203, "INFO", "empty replica caught up and counts again")
SNAP_SAVED = define_event(204, "INFO", "snapshot saved")
SNAP_TAKEN = define_event(205, "INFO", "snapshot taken from the leader")
TAIL_CUT = define_event(206, "WARNING", "incomplete entry cut from the end of the log")
DISK_DAMAGE = define_event(207, "CRITICAL", "log or snapshot damaged, member will not start")
DISK_STALLED = define_event(208, "WARNING", "disk stalled, leader steps down")
DISK_FAILED = define_event(209, "CRITICAL", "disk failed, member ends")
LEVEL_RAISED = define_event(211, "INFO", "format level raised, every member knows it")
LEVEL_NEWER = define_event(212, "CRITICAL", "record has a newer format level, this version must not continue")
LEVEL_OLD = define_event(213, "WARNING", "request refused, its daemon is too old for the record's format")
DIVERGED = define_event(214, "CRITICAL", "this member's record differs from that of the others, it ends")
MEMBER_COUNTS = define_event(215, "INFO", "a new member has caught up and becomes a voter")
MEMBER_OUT = define_event(216, "INFO", "this member was removed from the store, its process can be ended")
MEMBER_ASKS = define_event(217, "INFO", "a store member outside the membership asks to join and is added")
MEMBER_DROPPED = define_event(218, "WARNING", "a long silent member is removed to make room for another")
HANDED = define_event(210, "INFO", "leadership handed to a named successor")
CLOCK_WON = define_event(300, "INFO", "clock leadership won")
CLOCK_LOST = define_event(301, "INFO", "clock leadership ended")
CLOCK_WAITS = define_event(302, "WARNING", "waiting for the clock to pass the saved bound")
CLOCK_FROM_BOUND = define_event(303, "WARNING", "saved bound far ahead, issuing timestamps from it")
CLOCK_OVERFLOW = define_event(304, "ERROR", "logical part above its limit, retrying")
CLOCK_UNSYNCED = define_event(305, "WARNING", "timestamps requested before the clock was synced, retrying")
CLOCK_STALE = define_event(306, "WARNING", "bound not saved in time, physical part behind, retrying")
DESK_WON = define_event(400, "INFO", "scheduler is primary")
DESK_LOST = define_event(401, "INFO", "scheduler is no longer primary")
DESK_NAMED = define_event(402, "INFO", "primary named its successor")
TURN_REFUSED = define_event(403, "WARNING", "a decision batch was refused by the record")
TURN_UNSURE = define_event(404, "WARNING", "result of a decision batch unknown, reading the record again")
END_VOID = define_event(406, "WARNING", "success reported for an attempt that had been ended otherwise")
ENDS_CONCLUDED = define_event(
    407, "INFO", "attempts ended by the scheduler without a report from their worker"
)
WORKER_NEW = define_event(410, "INFO", "worker announced itself")
WORKER_LOST = define_event(411, "WARNING", "worker lost, its attempts have certainly stopped")
WORKER_LEAVES = define_event(412, "INFO", "worker is leaving")
WORKER_CLEARED = define_event(417, "INFO", "probation lifted, its peers fail as it did")
WORKER_LONE = define_event(414, "WARNING", "worker lost, attempts that may still run are not restarted yet")
WORKER_BACK = define_event(415, "INFO", "lost worker is heard again, its attempts continue")
WORKER_GONE = define_event(416, "WARNING", "lost worker declared gone by an operator")
DESK_BEHIND = define_event(405, "WARNING", "primary could not read the record in time, gives its lease up")
WORKER_SLOW = define_event(419, "INFO", "worker set aside, its attempts are far slower than others")
WAITS_LONG = define_event(418, "INFO", "steps have waited long for a worker")
JOB_TRACE = define_event(430, "INFO", "a job missed its target time or lost work")
QUEUE_TRACE = define_event(431, "INFO", "jobs of a queue that ended recently")
RESERVED_SHORT = define_event(420, "WARNING", "too few healthy workers for a reservation")
RESERVED_WHOLE = define_event(421, "INFO", "a reservation has all its workers again")
WORKER_FLAKY = define_event(413, "WARNING", "worker fails far more than its peers, on probation")
ASK_SHED = define_event(500, "INFO", "requests refused under load")
REFILL_FAILED = define_event(502, "WARNING", "no refill of tenants' buckets, the remaining tokens are spent")
VIEW_NEW = define_event(501, "INFO", "fleet view changed")
MEMBER_DOWN = define_event(600, "WARNING", "daemon marked down by its watchers")
MEMBER_UP = define_event(601, "INFO", "daemon is back")


def writer(*, name):
    """A function say(event, **fields) that logs to the logger `name`."""
    log = logbook.Logger(name)

    def say(event, **fields):
        tail = " ".join(f"{field}={value}" for field, value in fields.items())
        log.log(event.level, "HH{} {}{}", event.number, event.text, " | " + tail if tail else "")

    return say
