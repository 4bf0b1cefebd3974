"""The numbered events of the log. docs/events.md lists them; a test compares the two. A number is never
reused with another meaning."""

import logbook

ALL = {}


class Event:
    """A kind of log line: its number, level and text."""

    def __init__(self, number, level, text):
        self.no, self.level, self.text = number, level, text
        ALL[number] = self


def ev(number, level, text):
    return Event(number, level, text)


UP = ev(100, "INFO", "daemon up")
LEAVING = ev(101, "INFO", "shutting down: no new requests, naming a successor")
GONE = ev(102, "INFO", "daemon ended")
PARAMS_KEPT = ev(103, "ERROR", "new settings are invalid, the old ones stay")
PARAMS_TAKEN = ev(104, "INFO", "settings read again and applied")
PARAMS_LATER = ev(105, "WARNING", "setting needs a restart to change")
TASK_CRASHED = ev(106, "CRITICAL", "a task of the daemon crashed")
HELLO_REFUSED = ev(110, "WARNING", "connection refused at its first frame")
SERVE_BROKEN = ev(111, "ERROR", "a request handler raised an exception")
LOOP_HELD = ev(112, "WARNING", "the event loop was blocked")
ROLE = ev(200, "INFO", "store member changed its role")
FOUNDED = ev(201, "INFO", "store bootstrapped")
FOUND_REFUSED = ev(202, "WARNING", "bootstrap refused, others already have a store")
CAUGHT_UP = ev(203, "INFO", "empty replica caught up and counts again")
SNAP_SAVED = ev(204, "INFO", "snapshot saved")
SNAP_TAKEN = ev(205, "INFO", "snapshot taken from the leader")
TAIL_CUT = ev(206, "WARNING", "incomplete entry cut from the end of the log")
DISK_DAMAGE = ev(207, "CRITICAL", "log or snapshot damaged, member will not start")
DISK_STALLED = ev(208, "WARNING", "disk stalled, leader steps down")
DISK_FAILED = ev(209, "CRITICAL", "disk failed, member ends")
LEVEL_RAISED = ev(211, "INFO", "format level raised, every member knows it")
LEVEL_NEWER = ev(212, "CRITICAL", "record has a newer format level, this version must not continue")
LEVEL_OLD = ev(213, "WARNING", "request refused, its daemon is too old for the record's format")
DIVERGED = ev(214, "CRITICAL", "this member's record differs from that of the others, it ends")
MEMBER_COUNTS = ev(215, "INFO", "a new member has caught up and becomes a voter")
MEMBER_OUT = ev(216, "INFO", "this member was removed from the store, its process can be ended")
MEMBER_ASKS = ev(217, "INFO", "a store member outside the membership asks to join and is added")
MEMBER_DROPPED = ev(218, "WARNING", "a long silent member is removed to make room for another")
HANDED = ev(210, "INFO", "leadership handed to a named successor")
CLOCK_WON = ev(300, "INFO", "clock leadership won")
CLOCK_LOST = ev(301, "INFO", "clock leadership ended")
CLOCK_WAITS = ev(302, "WARNING", "waiting for the clock to pass the saved bound")
CLOCK_FROM_BOUND = ev(303, "WARNING", "saved bound far ahead, issuing timestamps from it")
CLOCK_OVERFLOW = ev(304, "ERROR", "logical part above its limit, retrying")
CLOCK_UNSYNCED = ev(305, "WARNING", "timestamps requested before the clock was synced, retrying")
CLOCK_STALE = ev(306, "WARNING", "bound not saved in time, physical part behind, retrying")
DESK_WON = ev(400, "INFO", "scheduler is primary")
DESK_LOST = ev(401, "INFO", "scheduler is no longer primary")
DESK_NAMED = ev(402, "INFO", "primary named its successor")
TURN_REFUSED = ev(403, "WARNING", "a decision batch was refused by the record")
TURN_UNSURE = ev(404, "WARNING", "result of a decision batch unknown, reading the record again")
END_VOID = ev(406, "WARNING", "success reported for an attempt that had been ended otherwise")
ENDS_CONCLUDED = ev(407, "INFO", "attempts ended by the scheduler without a report from their worker")
WORKER_NEW = ev(410, "INFO", "worker announced itself")
WORKER_LOST = ev(411, "WARNING", "worker lost, its attempts have certainly stopped")
WORKER_LEAVES = ev(412, "INFO", "worker is leaving")
WORKER_CLEARED = ev(417, "INFO", "probation lifted, its peers fail as it did")
WORKER_LONE = ev(414, "WARNING", "worker lost, attempts that may still run are not restarted yet")
WORKER_BACK = ev(415, "INFO", "lost worker is heard again, its attempts continue")
WORKER_GONE = ev(416, "WARNING", "lost worker declared gone by an operator")
DESK_BEHIND = ev(405, "WARNING", "primary could not read the record in time, gives its lease up")
WORKER_SLOW = ev(419, "INFO", "worker set aside, its attempts are far slower than others")
WAITS_LONG = ev(418, "INFO", "steps have waited long for a worker")
JOB_TRACE = ev(430, "INFO", "a job missed its target time or lost work")
QUEUE_TRACE = ev(431, "INFO", "jobs of a queue that ended recently")
RESERVED_SHORT = ev(420, "WARNING", "too few healthy workers for a reservation")
RESERVED_WHOLE = ev(421, "INFO", "a reservation has all its workers again")
WORKER_FLAKY = ev(413, "WARNING", "worker fails far more than its peers, on probation")
ASK_SHED = ev(500, "INFO", "requests refused under load")
REFILL_FAILED = ev(502, "WARNING", "no refill of tenants' buckets, the remaining tokens are spent")
VIEW_NEW = ev(501, "INFO", "fleet view changed")
MEMBER_DOWN = ev(600, "WARNING", "daemon marked down by its watchers")
MEMBER_UP = ev(601, "INFO", "daemon is back")


def writer(*, name):
    """A function say(event, **fields) that logs to the logger `name`."""
    log = logbook.Logger(name)

    def say(event, **fields):
        tail = " ".join(f"{field}={value}" for field, value in fields.items())
        log.log(event.level, "HH{} {}{}", event.no, event.text, " | " + tail if tail else "")

    return say
