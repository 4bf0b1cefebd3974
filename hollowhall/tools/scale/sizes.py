"""The size that is to be carried, the budgets, and every constant of the scale run, each
with its unit and reason; and the plan of one run, read from options by a schema. One
axis of the load is varied, the others stand still, so that a slope has one cause."""

from dataclasses import asdict, dataclass
from dataclasses import fields as dataclass_fields

from marshmallow import Schema, ValidationError, fields, post_load, validate, validates_schema

from ...base.params import flat
from ...base.problems import BadInput, Raised


@dataclass(frozen=True, kw_only=True)
class Load:
    """A size, by axis."""

    workers: int = 0  # workers that beat
    running: int = 0  # tasks that run on and on
    starts: int = 0  # task starts a second
    masts: int = 0  # masts beside those that serve the hollow workers
    kept: int = 0  # tasks of ended jobs that the record keeps readable


AXES = tuple(f.name for f in dataclass_fields(Load))
TARGET = Load(
    workers=1400,
    running=7200,
    starts=75,
    masts=18,  # two in each of 9 zones: our guess, nobody named a number
    kept=45_000,
)  # 75 starts a second for the ten minutes a job stays readable
SHARED = ("workers", "running", "starts")  # axes whose load the masts share between them
CPU_BUDGET = 1.1  # % of a core; for control, a daemon
MEMORY_BUDGET = 64.0  # MB; the same
NET_BUDGET = 22.0  # KB a second, both ways together; the same
URGENT_MS = 2000  # ms; urgent work starts within
EDIT_S = 4.0  # s; a change of configuration is in force everywhere within
TEAMS = 41  # lanes; one for each team, with a quota as its limit
GANG = 16  # tasks of a job of callers; gangs go up to 64
GANG_MOST = 64  # tasks; of a standing job, the largest gang
ZONES, RACKS = 9, 4  # zones of three regions; racks of a zone, our guess
WORKER_ROOM = (64, 262_144, 2)  # cores, MB, accelerators; far more than tasks take here
TASK_MS = 1000  # ms; a caller's task: short, so that starts do not pile up as running
STAND_MS = 86_400_000  # ms; a standing task outlives every run
KEPT_STEP = 1000  # tasks of one job that is only to be kept
CORES = 3.0  # cores; all of a run together, for others work on the machine
MEMORY_PART = 0.5  # part of the machine's memory that a run may take
PROCESSES_MOST = 100  # processes of one run
PER_PROCESS = {
    "workers": 100,
    "running": 100_000,
    "starts": 25,
    "masts": 20,
    "kept": 1_000_000,
}  # of each axis in one shared process: half a core or less
BEAT_GAP = 0.05  # s; least pause between two beats, as docs/workers.md has it
BEAT_WAIT = 1.5  # s; a beat without outcome goes to another mast after this
FOLLOW_GAP = 1.0  # s; between two looks of a caller at its job
URGENT_GAP = 0.5  # s; between two urgent jobs of one task
EDIT_GAP = 4.0  # s; between two edits: 910 a day would show none in a short run
LOOK_GAP = 0.01  # s; between two looks whether an edit has come to a mast
START_WAIT = 30.0  # s; until daemons serve; a cold start of all takes some 3 s
REPLY_WAIT = 5.0  # s; for a process's figures; one that is later is overloaded
PORTS = (20_000, 32_000)  # ports; below those that dialling sockets are given


@dataclass(frozen=True, kw_only=True)
class Plan:
    """One run: the axis, its sizes, what stands still, and the run's bounds."""

    vary: str
    sizes: list
    base: Load
    hold: float  # s; measured at each size
    settle: float  # s; at most, until a size is reached, and 2 s more
    limit: float  # s; of the whole run
    front: int  # real masts that serve the hollow workers
    busy: float  # load average a core, others' included, past which nothing is begun
    seed: int
    virtual: bool

    def load(self, size):
        return Load(**asdict(self.base) | {self.vary: size})


class PlanSchema(Schema):
    vary = fields.Str(required=True, validate=validate.OneOf(AXES))
    sizes = fields.List(
        fields.Int(validate=validate.Range(min=0, max=200_000)),
        required=True,
        validate=validate.Length(min=3, max=12),
    )
    workers = fields.Int(validate=validate.Range(min=0, max=2000))
    running = fields.Int(validate=validate.Range(min=0, max=20_000))
    starts = fields.Int(validate=validate.Range(min=0, max=500))
    masts = fields.Int(validate=validate.Range(min=0, max=200))
    kept = fields.Int(validate=validate.Range(min=0, max=200_000))
    hold = fields.Float(validate=validate.Range(min=1, max=120))
    settle = fields.Float(validate=validate.Range(min=1, max=120))
    limit = fields.Float(validate=validate.Range(min=10, max=900))
    front = fields.Int(validate=validate.Range(min=1, max=20))
    busy = fields.Float(validate=validate.Range(min=0.1, max=1000))
    seed = fields.Int(validate=validate.Range(min=0, max=1 << 31))
    virtual = fields.Bool(load_default=False)

    @validates_schema
    def fits(self, d, **kw):
        ss, top = d.get("sizes", []), self.fields.get(d.get("vary", ""))
        if any(b <= a for a, b in zip(ss, ss[1:])):
            raise ValidationError("each size must be larger than the one before", "sizes")
        try:
            for s in ss if top is not None else ():
                top.deserialize(s)
        except ValidationError as e:
            raise ValidationError(e.messages, "sizes") from None
        need = len(ss) * d.get("hold", 0)
        if need > d.get("limit", need):
            raise ValidationError(f"{need:g} s of measuring do not fit", "limit")

    @post_load
    def make(self, d, **kw):
        return Plan(base=Load(**{a: d.pop(a) for a in AXES}), **d)


def read_plan(options):
    """A plan from a command's options; raises Raised(BadInput) with every bad one."""
    d = dict(options)
    d["sizes"] = [x for x in str(d["sizes"]).split(",") if x]
    try:
        p = PlanSchema().load(d)
    except ValidationError as e:
        raise Raised(BadInput(errors=flat(messages=e.messages))) from None
    n = processes(plan=p, load=p.load(p.sizes[-1]))
    if n > PROCESSES_MOST:
        raise Raised(BadInput(errors=[["sizes", f"{n} processes, more than {PROCESSES_MOST}"]]))
    return p


def processes(*, plan, load):
    """How many processes a load takes at most: daemons, hollow ones, the run itself."""
    d = asdict(load)
    grown = len(plan.sizes) if d[plan.vary] else 0
    return 8 + plan.front + grown + sum(-(-d[a] // PER_PROCESS[a]) for a in AXES)


def card(i):
    """Hollow worker i: its name, kind, zone and rack."""
    z = i % ZONES
    return {
        "id": f"hollow-{i:05d}",
        "kind": "hollow",
        "zone": f"z{z + 1}",
        "rack": f"z{z + 1}-r{i // ZONES % RACKS + 1}",
    }


def lanes():
    """A lane for each team, with a quota, and one for urgent work."""
    rows = {
        f"team-{n + 1:02d}": {"weight": 1.0 + n % 4, "limit": 2000, "urgency": n % 5} for n in range(TEAMS)
    }
    return rows | {"urgent": {"weight": 1.0, "limit": 0, "urgency": 9}}


def job(*, lane, tasks, ms, **kw):
    return {
        "lane": lane,
        "steps": [
            {
                "name": "s",
                "kind": "hollow",
                "tasks": tasks,
                "maxFailures": 100,
                "room": {"cores": 1, "memMb": 64, "gpus": 0},
                "work": {"ms": ms, **kw},
            }
        ],
    }
