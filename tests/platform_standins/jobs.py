"""Jobs of all kinds that the platform's clients send, as small as they can be: each maker
returns the body and, for the workers only, what the tasks of each step really do. Values
that are 0, false or empty are left out, as the protocol has it."""

from .registry import Work

PROFILE = "profile of {}: "


def step(n=1, **kw):
    d = {"taskCount": n, "cpu": 1000, "memMb": 256, "estimateMs": 500} | kw
    return {k: v for k, v in d.items() if v not in (0, False, "", [], None)}


def job(rng, what, stages, **kw):
    p = PROFILE.format(what) + f"{rng.getrandbits(64):016x}"
    return {"jobProfile": p, "stages": stages} | kw


def some_ms(rng, most=900):
    return 100 + rng.randrange(most)


def simple(rng):
    return job(rng, "simple", [step(rng.randint(1, 5))]), [Work(ms=some_ms(rng))]


def chain(rng):
    """Steps that wait for others, two of them for the same one."""
    stages = [
        step(rng.randint(1, 3)),
        step(2, dependsOn=[0], memMb=512),
        step(1, dependsOn=[0]),
        step(1, dependsOn=[1, 2]),
    ]
    return job(rng, "chain", stages), [Work(ms=some_ms(rng, 400)) for _ in stages]


def flaky(rng):
    """Fails by itself once for each task, and is then done."""
    return job(rng, "flaky", [step(2)]), [Work(ms=some_ms(rng, 400), fails=1)]


def poison(rng):
    """Can never be done: its tasks fail however often they are started."""
    return job(rng, "poison", [step(rng.randint(1, 3))]), [Work(ms=200, fails=-1)]


def gang(rng, **kw):
    s = step(rng.randint(2, 4), gangScheduled=True, sameRack=rng.random() < 0.5, cpu=2000, **kw)
    return job(rng, "gang", [s]), [Work(ms=some_ms(rng))]


def saving_gang(rng):
    body, works = gang(rng, checkpoints=True)
    works[0].ms = 2500 + rng.randrange(1500)
    return body, works


def saving(rng):
    """Long work that keeps its progress."""
    s = step(rng.randint(1, 2), checkpoints=True, cpu=2000, estimateMs=4000)
    return job(rng, "saving", [s]), [Work(ms=2500 + rng.randrange(3000))]


def long(rng):
    """Longer than any lease, so that a worker which is cut off has something to kill."""
    s = step(rng.randint(1, 2), cpu=2000, estimateMs=9000)
    return job(rng, "long", [s]), [Work(ms=7000 + rng.randrange(4000))]


def large(rng):
    """Takes much of a worker, so that room is short."""
    s = step(rng.randint(1, 3), cpu=3000 + rng.randrange(3000), memMb=4096, gpu=rng.randrange(3))
    return job(rng, "large", [s]), [Work(ms=some_ms(rng, 2500))]


def hanging(rng):
    """The first run of each task stands still on its way."""
    s = step(1, estimateMs=400)
    return job(rng, "hanging", [s]), [Work(ms=400, hangs=1)]


def labelled(label):
    def make(rng):
        return job(rng, "labelled", [step(2, requiredLabels=label)]), [Work(ms=some_ms(rng))]

    return make


def near(racks):
    def make(rng):
        s = step(rng.randint(1, 4), affinity=rng.choice(racks))
        return job(rng, "near", [s]), [Work(ms=some_ms(rng))]

    return make


def apart(rng):
    return job(rng, "apart", [step(4, antiAffinity=1)]), [Work(ms=some_ms(rng))]


def twice(rng):
    """Copies of its tasks may run at the same time."""
    return job(rng, "twice", [step(2, duplicateRun=True)]), [Work(ms=some_ms(rng))]


def lasting(rng):
    return (
        job(rng, "lasting", [step(rng.randint(1, 3), longRunning=True, cpu=500)]),
        [Work(ms=300, fails=rng.randint(0, 1), at=4.0)],
    )


def timed(*, wall_ms, count=3, every_ms=1500, first_ms=1000):
    """Runs several times from a while after now, by the true time."""

    def make(rng):
        body = job(
            rng,
            "timed",
            [step(rng.randint(1, 2)), step(1, dependsOn=[0])],
            runCount=count,
            intervalMs=every_ms,
            firstRunMs=int(wall_ms()) + first_ms,
        )
        return body, [Work(ms=some_ms(rng, 300)), Work(ms=100)]

    return make


def mix(*, wall_ms, racks=(), label=""):
    """(maker, how often), a little of everything."""
    some = [
        (simple, 5),
        (chain, 2),
        (flaky, 1),
        (poison, 0.3),
        (gang, 1),
        (saving_gang, 0.3),
        (saving, 1),
        (long, 0.4),
        (large, 1),
        (apart, 0.5),
        (twice, 0.5),
        (lasting, 0.3),
        (hanging, 0.2),
        (timed(wall_ms=wall_ms), 0.4),
    ]
    if racks:
        some.append((near(list(racks)), 1))
    if label:
        some.append((labelled(label), 0.5))
    return some
