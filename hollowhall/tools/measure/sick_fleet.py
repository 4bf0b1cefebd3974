"""A fleet with sick workers, in ticks of virtual time and without a network: the primary's own
code decides over a real record, and workers that are only figures run what they are told. Sick
ones fail, stand still, go slowly, or vanish and come back under another id."""

from types import SimpleNamespace as Bag

from ...base import constants
from ...desk.beats import BeatsMixin
from ...desk.leaving import LeavingMixin
from ...desk.pace import ProgressMixin
from ...desk.placing import PlacementMixin
from ...desk.worker_session import WorkerSession
from ...record import Record
from ...record.charter import check_job

TICK = 0.05  # s; a turn is made and due beats are heard this often
BEAT = 0.15  # s; between two beats of a worker without news
STOP = 0.2  # s; a stop takes this
HOLD_MS = 3600  # ms; a worker's lease
ROOM = [32_000, 65_536, 8]
DOWN, UP = 2.0, 4.0  # s; a worker that flaps is away and there for about this long
LANES = {  # name: (share of the work, tasks, ms, cores, failures allowed, urgency, a gang?)
    "merge": (0.45, 5, 800, 3700, 2, 5, False),
    "lookup": (0.25, 10, 3000, 8000, 2, 7, False),
    "pretrans": (0.2, 8, 2400, 2800, 3, 3, True),
    "rebuild": (0.1, 6, 6000, 4000, 3, 3, False),
}
STRETCH, TARGET_MS = 1.5, 1000  # a job's aim: so many times its work, and this beside
OWN = 0.02  # part of the jobs whose first task fails once by itself


class Judge(LeavingMixin, ProgressMixin, PlacementMixin, BeatsMixin):
    """The primary's judgement: reports in, a turn each tick, orders out."""

    def __init__(self, *, rows):
        self.record, self.t, self.said, self.queue, self.recent_failures = Record(), 1.0, [], [], {}
        self.settings = Bag(far_times=2.0, hold_ms=HOLD_MS, margin_ms=300)
        self.runtime, self.work = Bag(now=lambda: self.t, spend=lambda s: 0.0), Bag(set=lambda: None)
        self.epoch, self.sessions, self.aside_failure_share, self.leaving = 1, {}, {}, False
        self.open_pace()
        self.open_place()
        for n in (1, 2):
            self.record.apply_entry(op="level", d=n)
        self.record.apply_entry(op="edit", d={"base": 1, "rows": rows, "whole": True})

    def say(self, e, **kw):
        self.said.append((self.t, e.number, kw))

    def live(self):
        return True

    def clock_ms(self):
        return 1_000_000 + int(self.t * 1000)

    def queue_event(self, *, event, callback=None, size=64):
        self.queue.append((event, callback))

    def hear(self, b):
        """One report; what the worker is told."""
        i = b["id"]
        h, w = self.sessions.setdefault(i, WorkerSession(boot="1", since=self.t)), self.record.workers.get(i)
        h.seq, h.last_beat_at, h.until, h.names_attempts = h.seq + 1, self.t, self.t + self.lease_s(), True
        b = b | {"ended": self.read_report(request=b, session=h, worker=w)}
        if w is None:
            self.register_worker(request=b, session=h)
        else:
            self.take_report(request=b, session=h, worker=w)
        o = self.beat_answer(worker_id=i, session=h)
        return o.value if o.ok else None

    def turn(self):
        items, self.queue = self.queue, []
        evs = [ev for ev, _ in items]
        evs += self.place_tasks(most=constants.BATCH_EVENTS_MAX, ends=[e[1] for e in evs if e[0] == "end"])
        if not evs:
            return
        ms = self.clock_ms()
        self.note_ends(evs)
        self.note_health(events=evs, ms=ms)
        self.learn_durations(events=evs, ms=ms)
        d = {"e": 1, "c": 1, "s": max(self.record.last + 1, ms << constants.LOGICAL_BITS), "v": evs}
        for (_, k), r in zip(items, self.record.apply_entry(op="turn", d=d).value):
            if k is not None:
                k(r, 0)


class Worker:
    """What runs on one worker, and how it is ill: `fails` is a share, `slow` a factor."""

    def __init__(self, *, id, n, fleet):
        self.id, self.n, self.fleet = id, n, fleet
        self.fails, self.slow, self.sick, self.away = 0.0, 1.0, False, False
        self.runs, self.ends, self.no, self.due, self.starts = {}, [], 0, 0.0, []

    def order(self, v):
        for task, no, _, _ in v["starts"]:
            if (task, no) in self.runs or any(e[1:3] == (task, no) for e in self.ends):
                continue
            f, ms = self.fleet, self.fleet.ms_of(task)
            own = f.own.pop(task, 0) if f.own.get(task, 0) < 9 else 9
            bad = self.sick and f.rng.random() < self.fails
            part = f.rng.uniform(0.05, 0.5) if bad else 0.5 if own else 1.0
            self.runs[task, no] = Bag(ms=0.0, of=ms, to=ms * part, bad=bad or own, stop=None)
            self.starts.append(f.d.t)
            f.gangs.setdefault((task.rsplit("/", 1)[0], no), {})[task] = self
        for task, no in v["stops"]:
            r = self.runs.get((task, no))
            if r is not None:
                r.stop = r.stop or self.fleet.d.t + STOP
        last = v["seen"]
        self.ends = [e for e in self.ends if e[0] > last]

    def pass_time(self, t):
        for k, r in list(self.runs.items()):
            r.ms = min(r.to, r.ms + TICK * 1000 / self.slow)
            if r.stop and t >= r.stop:
                self.end(k, "stopped")
            elif r.ms >= r.to:
                if r.bad:
                    self.end(k, "bad")
                elif self.fleet.through(k):
                    self.end(k, "ok")

    def end(self, k, how):
        r = self.runs.pop(k, None)
        if r is None:
            return
        self.no += 1
        self.ends.append((self.no, *k, how, ""))
        self.due = min(self.due, self.fleet.d.t + TICK)
        if how != "ok":
            self.fleet.lose(k, r)

    def report(self):
        return {
            "id": self.id,
            "boot": "1",
            "kind": "k",
            "zone": f"z{self.n % 3}",
            "rack": f"r{self.n // 12}",
            "room": list(ROOM),
            "labels": ["a"],
            "keepsHold": True,
            "ends": list(self.ends),
            "named": [(*k, "", min(99, int(100 * r.ms / r.of))) for k, r in self.runs.items()],
        }


class Fleet:
    def __init__(self, *, judge, workers, rng, load, poison):
        self.rng, self.load, self.poison = rng, load, poison
        self.d = judge(rows={a: {"weight": 1.0, "limit": 0, "urgency": x[5]} for a, x in LANES.items()})
        self.ws = [Worker(id=f"w{n:04d}", n=n, fleet=self) for n in range(workers)]
        self.jobs, self.own, self.gangs, self.lost, self.done, self.n = {}, {}, {}, 0.0, 0.0, 0
        self.next = {a: 1.0 for a in LANES}
        self.every = {
            a: x[1] * x[2] * x[3] / 1000 / (x[0] * load * workers * ROOM[0]) for a, x in LANES.items()
        }

    def ms_of(self, task):
        return self.jobs[task.split("/")[0]].ms

    def useful(self):
        """Core-seconds of work that all jobs sent so far are."""
        return sum(j.ms * LANES[j.lane][1] * LANES[j.lane][3] for j in self.jobs.values()) / 1e6

    def send(self, lane):
        _, tasks, ms, cores, fails, _, gang = LANES[lane]
        self.n += 1
        name, ms = f"j{self.n}", ms * self.rng.uniform(0.8, 1.25)
        spec, digest = check_job(
            {
                "lane": lane,
                "steps": [
                    {
                        "name": "0.0",
                        "kind": "k",
                        "tasks": tasks,
                        "maxFailures": fails,
                        "backoffMs": 0,
                        "room": {"cores": cores},
                        "estimateMs": int(ms * self.rng.uniform(0.5, 2)),
                        **({"gang": True} if gang else {}),
                    }
                ],
            }
        )
        j = self.jobs[name] = Bag(lane=lane, ms=ms, at=self.d.t, ideal=ms, poison=False)
        if self.rng.random() < self.poison:
            j.poison = True
            self.own |= {f"{name}/0.0/{n}": 9 for n in range(tasks)}
        elif self.rng.random() < OWN:
            self.own[f"{name}/0.0/0"] = 1
            j.ideal += ms / 2
        self.d.queue_event(event=["job", name, spec, digest])

    def through(self, k):
        """Whether a run that has done its work ends now: a gang's, once all have."""
        task, no = k
        if not LANES[self.jobs[task.split("/")[0]].lane][6]:
            return True
        ms = self.gangs[task.rsplit("/", 1)[0], no]
        rs = [w.runs.get((t, no)) for t, w in ms.items()]
        if len(ms) < LANES[self.jobs[task.split("/")[0]].lane][1] or any(
            r is not None and (r.ms < r.to or r.bad) for r in rs
        ):
            return False
        return True

    def lose(self, k, r):
        """An attempt came to nothing; a gang's other members are broken with it."""
        task, no = k
        lane = LANES[self.jobs[task.split("/")[0]].lane]
        self.lost += r.ms * lane[3] / 1e6
        if lane[6]:
            for t, w in list(self.gangs[task.rsplit("/", 1)[0], no].items()):
                w.end((t, no), "broken")

    def leave(self, w):
        """A worker is gone at once with all it runs."""
        rs, w.runs, w.away = w.runs, {}, True
        for k, r in rs.items():
            self.lose(k, r)

    def come_back(self, w):
        w.id, w.away, w.ends, w.no, w.due = f"{w.id.split('.')[0]}.{self.n}", False, [], 0, 0.0

    def tick(self, *, sending):
        d = self.d
        d.t = round(d.t + TICK, 3)
        for lane, _at in self.next.items():
            while sending and self.next[lane] <= d.t:
                self.send(lane)
                self.next[lane] += self.rng.expovariate(1 / self.every[lane])
        for w in self.ws:
            w.pass_time(d.t)
        for w in self.ws:
            if not w.away and w.due <= d.t:
                w.due = d.t + BEAT * self.rng.uniform(0.8, 1.2)
                v = d.hear(w.report())
                if v is not None:
                    w.order(v)
        if int(d.t / TICK + 0.5) % int(constants.ENDED_JOBS_CHECK_PERIOD / TICK) == 0:
            d.check_workers(now=d.t, ms=d.clock_ms())
        d.turn()
