"""What a run was worth, by the brief's own measures: the whole day, its two worst windows, its
worst class of requests, less the price of work that was thrown away."""

from dataclasses import dataclass, field

WINDOW_S = 2.0  # s; jobs are put into windows by when they were sent
WINDOW_LEAST = 0.25  # of the mean worth owed in a window; thinner ones say nothing
WORST_WINDOWS = 2
PARTS = {"whole": 0.6, "windows": 0.25, "class": 0.15}  # how much each part counts
LARGEST, LARGE = 0.1, 0.3  # the largest tenth of a queue's jobs, and the fifth below it


@dataclass(kw_only=True)
class QueueFigures:
    """One queue of one run: counts of jobs by their end, and the share of its worth earned."""

    jobs: int = 0
    in_aim: int = 0
    late: int = 0
    lost: int = 0
    earned: float = 0.0
    owed: float = 0.0

    @property
    def share(self):
        return self.earned / self.owed if self.owed else 1.0


@dataclass(kw_only=True)
class Figures:
    """One run's figures; shares are parts of the worth owed, `thrown_away` core-seconds by cause."""

    worth: float
    whole: float
    windows: float
    worst_class: float
    price: float
    queues: dict
    thrown_away: dict = field(default_factory=dict)
    use: list = field(default_factory=list)

    def row(self):
        """The figures that are compared, by name."""
        out = {
            "worth": self.worth,
            "whole": self.whole,
            "windows": self.windows,
            "class": self.worst_class,
            "thrown away": sum(self.thrown_away.values()),
        }
        return out | {f"{name} in aim": q.in_aim / max(1, q.jobs) for name, q in self.queues.items()}


def classes_of(jobs):
    """The classes that may be the worst: each queue, its largest tenth, and the fifth below it."""
    out = [jobs]
    by_size = sorted(jobs, key=lambda job: -job.core_s)
    n = len(by_size)
    if n >= 20:
        out += [by_size[: round(n * LARGEST)], by_size[round(n * LARGEST) : round(n * LARGE)]]
    return out


def figures_of(fleet):
    """The figures of a run that was played to its end."""
    jobs = list(fleet.jobs.values())
    by_queue = {q.name: [j for j in jobs if j.queue.name == q.name] for q in fleet.workload.queues}
    mean = {n: sum(j.core_s for j in js) / max(1, len(js)) for n, js in by_queue.items()}
    pay = {j.name: j.earned(mean_core_s=mean[j.queue.name]) for j in jobs}

    def share(some):
        owed = sum(pay[j.name][1] for j in some)
        return sum(pay[j.name][0] for j in some) / owed if owed else 1.0

    windows = {}
    for job in jobs:
        windows.setdefault(int(job.sent_at / WINDOW_S), []).append(job)
    owed = {w: sum(pay[j.name][1] for j in js) for w, js in windows.items()}
    least = WINDOW_LEAST * sum(owed.values()) / max(1, len(owed))
    worst = sorted(share(js) for w, js in windows.items() if owed[w] >= least)[:WORST_WINDOWS]
    parts = {
        "whole": share(jobs),
        "windows": sum(worst) / max(1, len(worst)),
        "class": min(share(some) for js in by_queue.values() if js for some in classes_of(js)),
    }
    price = fleet.workload.waste_price * sum(fleet.thrown_away.values()) / max(1e-9, sum(owed.values()))
    queues = {}
    for name, some in by_queue.items():
        figures = queues[name] = QueueFigures(jobs=len(some))
        for job in some:
            earned, due = pay[job.name]
            figures.earned, figures.owed = figures.earned + earned, figures.owed + due
            figures.in_aim += earned == due
            figures.late += 0 < earned < due
            figures.lost += earned == 0
    return Figures(
        worth=sum(PARTS[p] * x for p, x in parts.items()) - price,
        whole=parts["whole"],
        windows=parts["windows"],
        worst_class=parts["class"],
        price=price,
        queues=queues,
        thrown_away=dict(fleet.thrown_away),
        use=fleet.samples,
    )
