"""The rules of the record for each format level. Replicas of the record must not differ, so a value here
never changes: a different value is a new level (docs/versions.md)."""

LEVEL = 6  # level; the highest this version supports; 0.1.0 supported 0, 0.2.0 supported 1
LEVEL_CONFIRMS_CONFIGURATION = 6  # level; store members that support it say how recent their state is
LEVEL_DEFAULT = 2  # level; a cluster is raised to this one by itself, to a higher one by the setting `level`
RULES = [
    {  # one dict of values for each level
        "readable_ms": 600_000,  # ms; an ended job stays readable for ten minutes
        "names_ms": 86_400_000,  # ms; a job's name is kept for a day, to recognize late retries
        "names_max": 200_000,  # names; most that are kept
        "boots_kept": 16,  # boot ids of a worker, one for each start; kept to recognize late heartbeats
        "gone_kept": 10_000,  # departed workers that are kept with their boot ids
        "rows_max": 20_000,  # rows in a configuration
        "lost_waits": False,  # attempts on a lost worker may wait until they have certainly stopped
        "gangs_last": False,  # a gang that runs until stopped is restarted after a success, too
        "jobs_follow_place": False,  # a job belongs to the queue at its path, whatever the queue's name
        "tenants": False,  # tenants have limits, keys and budgets
    }
]
RULES.append(RULES[0] | {"lost_waits": True})
RULES.append(RULES[1] | {"taken_kept": 200})  # versions of operators' edits that are kept
RULES.append(
    RULES[2]
    | {
        "reserve_late_ms": 60_000,  # ms; a window may have begun this long ago: a client
        # may retry a request for a window that starts now
        "reserve_far_ms": 90 * 86_400_000,  # ms; a window begins at most this far ahead
        "reserve_long_ms": 31 * 86_400_000,  # ms; longest window
        "reservations_max": 100,  # reservations that have not ended; all are examined for a new one
        "reservations_kept": 2000,  # reservations in all, including released and ended ones
        "reservation_kept_ms": 600_000,  # ms; an ended one stays readable for ten minutes
    }
)
RULES.append(RULES[3] | {"jobs_follow_place": True, "gangs_last": True})
RULES.append(
    RULES[4]
    | {
        "tenants": True,
        "budget_most_ms": 6000,  # tokens; a budget, and so a burst, covers the time of three refills
        "budget_rate_percent": 150,  # percent of real time; fastest growth of a budget: clients'
        # estimates are rough, and the limit on running work applies in any case
        "budget_full_percent": 105,  # percent of its limit; a tenant that runs this much gets no budget
        "budget_slope": 6,  # percent of growth for each percent below that
        "budget_parts": 8,  # of the remaining budget a gateway gets at least one part, whatever others ask
        "bucket_least_ms": 200,  # tokens; in a bucket whose tenant requests little
        "loan_ms": 6000,  # ms; the term of a loan: three refills
    }
)
RULES.append(
    RULES[5]
    | {
        "cancelled_names_ms": 600_000,  # ms; a name that was cancelled before its submission is refused for
        # as long as a job that was cancelled after it stays readable
        "cancelled_names_max": 20_000,  # names; most of these that are kept
    }
)
