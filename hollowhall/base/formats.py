"""The record's rules, by format level. Copies of the record must not differ, so a value here
never changes: another value is another level (docs/versions.md)."""

LEVEL = 5  # level; the highest this version knows; 0.1.0 knew 0, 0.2.0 knew 1
LEVEL_USUAL = 2  # level; a fleet rises to this one by itself, to a later one by the param
RULES = [
    {  # table; one row of values a level
        "readable_ms": 600_000,  # ms; an ended job stays readable ten minutes
        "names_ms": 86_400_000,  # ms; a job's name is remembered a day for late resends
        "names_max": 200_000,  # names; bound on that memory
        "boots_kept": 16,  # boots of a worker remembered, so a late beat is known
        "gone_kept": 10_000,  # workers that went, remembered with their boots
        "rows_max": 20_000,  # rows in a charter; the stated limit
        "lost_waits": False,  # a lost worker's legs may wait until they surely stopped
        "gangs_last": False,  # a lasting gang is started again after a good end, too
        "jobs_follow_place": False,  # a job belongs to the queue at its place, whatever its name
        "tenants": False,  # tenants have limits, keys and budgets
    }
]
RULES.append(RULES[0] | {"lost_waits": True})
RULES.append(RULES[1] | {"taken_kept": 200})  # operators' own versions remembered
RULES.append(
    RULES[2]
    | {
        "reserve_late_ms": 60_000,  # ms; a window may have begun so long before, for a
        # client that means 'from now' and is sent again
        "reserve_far_ms": 90 * 86_400_000,  # ms; a window begins at most so far ahead
        "reserve_long_ms": 31 * 86_400_000,  # ms; and lasts no longer
        "reservations_max": 100,  # reservations not over; each is looked at for a new one
        "reservations_kept": 2000,  # reservations in all, released and over ones too
        "reservation_kept_ms": 600_000,  # ms; one that is over stays readable ten minutes
    }
)
RULES.append(RULES[3] | {"jobs_follow_place": True, "gangs_last": True})
RULES.append(
    RULES[4]
    | {
        "tenants": True,
        "budget_most_ms": 6000,  # tokens; a budget, and so a burst, of three refills' time
        "budget_rate_percent": 150,  # percents of real time; by which a budget grows at most: callers'
        # estimates are rough, and what a tenant may run binds in any case
        "budget_full_percent": 105,  # percents of its limit; a tenant that runs so much grows no budget
        "budget_slope": 6,  # percents of growth that each percent below that gives
        "budget_parts": 8,  # part of what is left that any daemon gets, whatever others ask for
        "bucket_least_ms": 200,  # tokens; in a bucket whose tenant asks for little
        "loan_ms": 6000,  # ms; the term of a loan: three refills
    }
)
