"""A whole system in one process and in memory, as small as one that keeps the rules can be:
the stand-ins and the checker are tried on it, and a subclass that breaks one rule shows that
the checker sees it in a real history. It has nothing to do with the daemons."""

import json

from hollowhall.mast import Reply

from . import config as F
from .bounds import labels, need, parse, times

HOLD = 4000  # ms; the lease that each beat gives
MARGIN = 1.05  # a worker is taken for lost this much later, its clock may be slow
AGAIN = 100  # ms; beats come this often


class Runs:
    """One task: the run it has now, and what became of the earlier ones."""

    def __init__(self, *, step):
        self.step, self.no, self.w, self.fails = step, 0, "", 0
        self.done, self.saved, self.sent = False, "", False


class Reference:
    def __init__(self, *, loop, wall_ms, bounds):
        self.loop, self.wall_ms, self.bounds = loop, wall_ms, bounds
        self.jobs, self.workers, self.zones = {}, {}, set()
        self.config = {"revision": 0, "routeTable": [], "serviceTable": []}

    # --- doors

    def take(self, *, call, callback):
        body = json.loads(call.body) if call.body else None
        p = call.path.strip("/").split("/")
        if p[0] == "readiness":
            callback(Reply(status=200, body={}))
        elif p[0] == "instances":
            callback(self.beat(p[1], body) if call.method == "PUT" else self.bye(p[1]))
        elif p[0] == "config":
            callback(self.on_config(call, body))
        elif p[0] == "evacuations":
            (self.zones.add if call.method == "POST" else self.zones.discard)(p[1])
            callback(Reply(status=200, body={}))
        else:
            callback(self.on_job(call, body))
        return lambda: None

    def on_config(self, call, body):
        if call.method == "GET":
            return Reply(status=200, body=self.config)
        base, now = int(call.headers["if-match"]), self.config["revision"]
        new = body if call.method == "PUT" else F.apply(self.config, body)
        if F.same(new, self.config):
            return Reply(status=200, body={})
        names = {s["name"] for s in new["serviceTable"]}
        if any(r["targetService"] not in names or not r["timeoutMs"] for r in new["routeTable"]):
            return Reply(status=400, body={})
        if base != now or new["revision"] <= now:
            return Reply(status=412, body={})
        self.config = new
        return Reply(status=200, body={})

    def on_job(self, call, body):
        r = F.find(self.config, host=call.headers["host"], prefix=call.path)
        if r is None:
            return Reply(status=404, body={})
        i = call.path[len(r["pathPrefix"]) :]
        if call.method == "POST":
            if i not in self.jobs:
                self.jobs[i] = self.new_job(i, body, r)
            return Reply(status=200, body={})
        if not i:
            return Reply(status=200, body={"pending": len(self.jobs)})
        if i not in self.jobs:
            return Reply(status=410, body={})
        j = self.jobs[i]
        if call.method == "DELETE":
            j["cancelled"] = j["cancelled"] or self.state(j) not in ("complete", "failed")
            return Reply(status=200, body={})
        return Reply(status=200, body={"state": self.state(j)})

    def new_job(self, i, body, route):
        ts = {
            f"{i}.{k}.{n}.{x}": Runs(step=s)
            for k in range(times(body))
            for n, s in enumerate(body["stages"])
            for x in range(s["taskCount"])
        }
        return {"id": i, "body": body, "route": route, "tasks": ts, "cancelled": False}

    def state(self, j):
        if j["cancelled"]:
            return "cancelled"
        ts = j["tasks"].values()
        if any(
            t.fails >= j["route"]["retryLimit"] and not t.step.get("longRunning") and not t.done for t in ts
        ):
            return "failed"
        return "complete" if all(t.done for t in ts) else "active" if any(t.no for t in ts) else "queued"

    # --- workers

    def bye(self, w):
        if w in self.workers:
            self.workers[w]["until"] = 0.0
            self.lose()
        return Reply(status=200, body={})

    def beat(self, w, b):
        self.workers[w] = b | {"until": self.loop.time() + HOLD / 1000 * MARGIN}
        self.lose()
        for _, task, run, how, saved in b["ended"]:
            self.ended(task, run, how, saved)
        for task, run, saved, _ in b["active"]:
            t = self.task(task)
            if t is not None and t.no == run:
                t.saved, t.sent = saved or t.saved, True
        self.place()
        mine = [(j, n, t) for j in self.jobs.values() for n, t in j["tasks"].items() if t.w == w]
        return Reply(
            status=200,
            body={
                "holdMs": HOLD,
                "lastSeen": max((e[0] for e in b["ended"]), default=0),
                "fenceToken": 1,
                "retryAfterMs": AGAIN,
                "start": [[n, t.no, self.profile(j), t.brought] for j, n, t in mine if not t.sent],
                "stop": [[n, t.no] for j, n, t in mine if j["cancelled"]],
            },
        )

    def profile(self, j):
        return j["body"]["jobProfile"]

    def lose(self):
        now = self.loop.time()
        for w in [w for w, b in self.workers.items() if b["until"] < now]:
            del self.workers[w]
            for j in self.jobs.values():
                for t in j["tasks"].values():
                    if t.w == w:
                        t.w = ""

    def task(self, name):
        p = parse(name)
        return self.jobs[p.job]["tasks"].get(name) if p and p.job in self.jobs else None

    def ended(self, name, run, how, saved):
        t = self.task(name)
        if t is None or t.no != run or not t.w:
            return
        t.w, t.saved = "", saved or t.saved
        if how == "done" and not t.step.get("longRunning"):
            t.done = True
        t.fails += how == "failed"

    # --- placing

    def due(self, j, p, step):
        b, ts = j["body"], j["tasks"]
        if b.get("runCount") and self.wall_ms() < b["firstRunMs"] + p.k * b["intervalMs"]:
            return False
        return all(
            t.done
            for n, t in ts.items()
            for q in [parse(n)]
            if q.k == p.k and q.step in step.get("dependsOn", ())
        )

    def place(self):
        """Starts everything that is due and has room; a gang whole or not at all."""
        free = self.room()
        for j in self.jobs.values():
            if self.state(j) not in ("queued", "active"):
                continue
            groups = {}
            for n, t in j["tasks"].items():
                key = parse(n).group if t.step.get("gangScheduled") else n
                if not t.done and not t.w and self.due(j, parse(n), t.step):
                    groups.setdefault(key, []).append((n, t))
            for ts in groups.values():
                s = ts[0][1].step
                if not s.get("gangScheduled") or len(ts) == s["taskCount"]:
                    self.place_group(j, ts, free)

    def room(self):
        free = {
            w: [b["capacity"][a] for a in ("cpu", "memMb", "gpu")]
            for w, b in self.workers.items()
            if b["state"] == "up" and b["zone"] not in self.zones
        }
        for j in self.jobs.values():
            for t in j["tasks"].values():
                if t.w in free:
                    free[t.w] = [a - x for a, x in zip(free[t.w], need(t.step))]
        return free

    def place_group(self, j, ts, free):
        to, left = {}, {w: list(f) for w, f in free.items()}
        for n, t in ts:
            w = next((w for w in left if self.fits(j, n, t, left[w], w, to)), None)
            if w is None:
                return
            to[n] = w
            left[w] = [a - x for a, x in zip(left[w], need(t.step))]
        free.update(left)
        no, saved = max(t.no for _, t in ts) + 1, ts[0][1].saved
        for n, t in ts:
            t.no, t.w, t.sent, t.brought = no, to[n], False, saved

    def fits(self, j, n, t, left, worker, to):
        b, most = self.workers[worker], t.step.get("antiAffinity", 0)
        here = sum(x.w == worker for x in j["tasks"].values() if x.step is t.step) + sum(
            x == worker for x in to.values()
        )
        return (
            b["targetService"] == j["route"]["targetService"]
            and all(a in b["labels"] for a in labels(t.step))
            and not (most and here >= most)
            and all(x <= a for x, a in zip(need(t.step), left))
        )
