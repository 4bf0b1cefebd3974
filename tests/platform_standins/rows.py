"""Histories written by hand, row by row, in the stand-ins' own form: a lawful one of two
workers, one queue and one job, and short ways to add to it. Times are ms from its start."""

from .config import route, service, whole

T0 = 1_780_000_000_000.0
J, K, G = "a" * 16, "b" * 16, "c" * 16  # the lawful job; ones that tests add
HOST, PREFIX, PROFILE = "h.example", "/q/", "profile of {}"


def add(rows, t, ev, **d):
    rows.append({"t": T0 + t, "ev": ev, **d})


def row(rows, ev, n=0, **d):
    return [r for r in rows if r["ev"] == ev and all(r.get(k) == v for k, v in d.items())][n]


def worker(rows, w, n, t=0, **d):
    add(
        rows,
        t,
        "worker",
        **{
            "w": w,
            "service": "tiles",
            "zone": f"z{n}",
            "rack": f"r{n}",
            "capacity": [4000, 8192, 0],
            "labels": ["a", f"r{n}"],
            "guards": False,
        }
        | d,
    )
    add(rows, t, "held", w=w)


def call(
    rows, t, ev, i, *, status=200, by="e1", took=2, job="", why="", host=HOST, prefix=PREFIX, body=None, **d
):
    """A client's call and its answer; status None: none has come."""
    d |= {"job": job, "host": host, "prefix": prefix, "by": by}
    add(rows, t, ev, id=i, **d, **({"body": body} if body else {}))
    if status is not None:
        add(rows, t + took, ev + "_out", id=i, sent=T0 + t, status=status, why=why, **d)


def submit(rows, t, job, *stages, status=200, n=1, took=2, why="", key="", **kw):
    body = {"jobProfile": PROFILE.format(job), "stages": list(stages)} | kw
    whose = {"key": key} if key else {}
    call(rows, t, "submit", f"s{n}-{job}", status=status, job=job, body=body, took=took, why=why, **whose)


def one(**kw):
    return {"taskCount": 1, "cpu": 1000, "memMb": 256} | kw


def start(rows, t, task, *, run=1, w="w1", by="k1", saved="", spec=None):
    spec = PROFILE.format(task.split(".")[0]) if spec is None else spec
    add(rows, t, "order", w=w, task=task, run=run, spec=spec, saved=saved, by=by)
    add(rows, t, "start", w=w, task=task, run=run, saved=saved, by=by)


def end(rows, t, task, *, run=1, w="w1", how="done", n=0, noted=None):
    """The end of a run; `noted`: when it was taken note of."""
    n = n or 1 + sum(r["ev"] == "end" and r["w"] == w for r in rows)
    add(rows, t, "end", w=w, n=n, task=task, run=run, how=how, saved="")
    if noted is not None:
        add(rows, noted, "noted", w=w, n=n)


def ran(rows, t0, t1, task, *, noted=None, how="done", **kw):
    start(rows, t0, task, **kw)
    end(rows, t1, task, how=how, run=kw.get("run", 1), w=kw.get("w", "w1"), noted=noted)


def table(revision, *, prefixes=(PREFIX,), to="tiles", tenants=None, **fields):
    return whole(
        tenants=tenants,
        revision=revision,
        services=[service("tiles"), service("other")],
        routes=[route("r" + p, host=HOST, prefix=p, service=to, retryLimit=2, **fields) for p in prefixes],
    )


def config(rows, t, c, *, base, status=200, n=1, whole=True, invalid="", took=5):
    i, d = f"c{c['revision']}-{base}-{n}", {"by": "k1", "base": base, "whole": whole}
    d |= {"invalid": invalid, "body_sent": c, "revision": c["revision"]}
    add(rows, t, "config", id=i, order=i, **d)
    if status is not None:
        add(rows, t + took, "config_out", id=i, order=i, status=status, why="", **d)


def read(rows, t, body, *, status=200):
    add(
        rows,
        t,
        "read_out",
        id=f"g{t}",
        order="g",
        status=status,
        why="",
        by="k1",
        final=True,
        **({"body": body} if body else {}),
    )


def evacuation(rows, t, *, zone="z1", withdraw=False):
    add(rows, t, "evacuation", id=f"v{t}", order="v", by="k1", zone=zone, withdraw=withdraw)
    add(
        rows,
        t + 5,
        "evacuation_out",
        id=f"v{t}",
        order="v",
        by="k1",
        zone=zone,
        status=200,
        withdraw=withdraw,
        why="",
    )


def trouble(rows, t, what, m, *, until=None, **d):
    i = f"{what}-{m}-{t}"
    add(rows, t, "trouble", what=what, m=m, id=i, **d)
    if until is not None:
        add(rows, until, "calm", id=i)


def lawful():
    """One job of two steps, a configuration, all read back in the end. The core: k1 to k3;
    e1 and e2 serve clients."""
    rows = []
    for m in ("k1", "k2", "k3", "e1", "e2"):
        add(rows, -9000, "machine", m=m, core=m[0] == "k")
        add(rows, -9000, "daemon", addr=m, m=m)
    worker(rows, "w1", 1, t=-9000)
    worker(rows, "w2", 2, t=-9000)
    config(rows, -9000, table(5), base=0)
    submit(rows, 10, J, one(), one(dependsOn=[0], checkpoints=True))
    ran(rows, 100, 500, f"{J}.0.0.0", noted=600)
    start(rows, 700, f"{J}.0.1.0", w="w2")
    add(rows, 1200, "saved", w="w2", task=f"{J}.0.1.0", run=1, saved="progress-j")
    end(rows, 1500, f"{J}.0.1.0", w="w2", noted=1600)
    call(rows, 1700, "state", "g1", job=J, state="complete")
    return rows
