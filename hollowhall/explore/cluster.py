"""A few replicas, their disks and the messages between them, moved on by events.

An event is a tuple of a name and its arguments, so that a run can be written down, shrunk and
played again: the same events from the same start give the same run."""

from collections import Counter

from ..almanac.ring import Ring
from ..almanac.vote import LEADER
from ..base.circuit import pack
from ..base.params import Params
from ..base.problems import Raised
from .events import EventsMixin
from .network import Network
from .replica import ModelDisk, ModelReplica, ModelSeam
from .stepped_loop import SteppedLoop

RING_BYTES = 1 << 14  # bytes; a log of some dozens of entries
RING_FILES = 4
LEVEL = 2  # format level; the first that knows operators' own numbers


def address_of(member):
    return f"10.0.0.{member + 1}:7000"


class Cluster(EventsMixin):
    """`members` founders hold one list of members on their disks; `spares` begin with empty
    disks outside it. `build` is the class of the replicas."""

    def __init__(self, *, members=3, spares=0, build=ModelReplica, seed=0, snap_every=1000, clone=None):
        self.loop, self.network = SteppedLoop(), Network()
        self.members, self.spares, self.build, self.seed = members, spares, build, seed
        self.snap_every = snap_every
        self.addresses = [address_of(n) for n in range(members + spares)]
        self.disks = {a: ModelDisk() for a in self.addresses}
        self.replicas, self.lives, self.counting = {}, Counter(), set()
        self.feeding, self.step = {}, 0
        self.operations, self.orders, self.history_changed = [], [], False
        self.leaders, self.elected, self.committed, self.checked = {}, set(), {}, {}
        self.digests, self.digested, self.durable = {}, {}, {}
        self.counted_orphans = []
        self.newest_list = {"v": -1, "voters": self.addresses[:members]}
        self.counts = Counter()
        if clone is None:
            self._found()
        else:
            for address, disk in clone.items():
                self.disks[address].copy_from(disk)
        for address in self.addresses:
            self.start(address)

    def _found(self):
        """Writes the log of a store that was founded and rose to LEVEL on each founder's disk."""
        voters = self.addresses[: self.members]
        first = {"v": 1, "voters": voters, "learner": "", "out": "", "past": []}
        bodies = [["noop"], ["members", first]] + [["level", n + 1] for n in range(LEVEL)]
        entries = [[n + 1, 1, pack(body)] for n, body in enumerate(bodies)]
        for address in voters:
            ring = Ring(disk=self.disks[address], files=RING_FILES, size=RING_BYTES)
            ring.load()
            hard = {"t": 1, "v": "", "m": True, "f": None}
            self.loop.complete(ring.put(hard=hard, es=entries))

    # --- replicas

    def running(self):
        return list(self.replicas.values())

    def leader(self):
        """The running leader of the newest term, or None."""
        leaders = [r for r in self.running() if r.rank == LEADER]
        return max(leaders, key=lambda r: r.term, default=None)

    def start(self, address):
        self.lives[address] += 1
        seed = f"{self.seed} {address} {self.lives[address]}"
        params = Params(
            id=f"r{self.addresses.index(address)}",
            addr=address,
            role="almanac",
            data="/d",
            seeds=self.addresses[: min(3, self.members)],
            auto_members=True,
            ring_files=RING_FILES,
            ring_bytes=RING_BYTES,
            snap_every=self.snap_every,
        )
        seam = ModelSeam(loop=self.loop, disk=self.disks[address], seed=seed)
        replica = self.build(params=params, seam=seam, network=self.network, life=self.lives[address])
        self.durable.pop(address, None)
        self.replicas[address] = replica
        self.loop.complete(self._boot(replica))

    async def _boot(self, replica):
        replica.boot()

    def stop(self, address):
        replica = self.replicas.pop(address)
        replica.stop()
        self.network.drop_unanswerable(address, replica.life)
        self.feeding = {k: v for k, v in self.feeding.items() if k[0] != address}
        self.loop.settle()

    def _note_durable(self, address):
        """What a stopped replica still holds, read from its disk."""
        ring = Ring(disk=self.disks[address], files=RING_FILES, size=RING_BYTES)
        try:
            hard, snapshot, entries = ring.load()
        except Raised as error:
            self.loop.errors.append(f"{address}: {error}")
            return
        self.counting.discard(address)
        if hard.get("m") or hard.get("f") == 0:
            self.counting.add(address)
        behind = snapshot["i"] if snapshot else 0
        self.durable[address] = (behind, {index: term for index, term, _ in entries})

    # --- what invariants ask

    def present_voters(self):
        """The voters of the newest list of members that any replica ever held as committed."""
        for replica in self.running():
            committed = replica.conf_at(replica.commit)
            if replica.commit >= 2 and committed["v"] > self.newest_list["v"]:
                self.newest_list = committed
        return self.newest_list["voters"]

    def may_vote(self, address):
        if address in self.replicas:
            return self.replicas[address].may_vote()
        return address in self.counting

    def holds(self, address, *, index, term):
        if address in self.replicas:
            replica = self.replicas[address]
            return replica.base_i >= index or replica.term_at(index) == term
        behind, entries = self.durable.get(address, (0, {}))
        return behind >= index or entries.get(index) == term

    # --- for searches

    def newest_number(self):
        """The largest number that any running replica has taken."""
        return max((r.record.charter.get("chosen", 0) for r in self.running()), default=0)

    def fingerprint(self):
        """A digest of what the search takes for the state of the cluster."""
        parts = []
        for address in self.addresses:
            r = self.replicas.get(address)
            if r is None:
                parts.append((address, self.durable.get(address)))
                continue
            log = tuple((index, term) for index, term, _ in r.book)
            parts.append(
                (address, r.rank, r.term, r.vote, r.leader, r.base_i, log, r.commit, r.applied, r.synced)
                + (r.conf["v"], r.blank, r.floor, tuple(sorted(r.match.items())), len(r.reads), len(r.waits))
                + (tuple(sorted(r.acked_n.items())), len(r.ballots), self.disks[address].held)
            )
        messages = sorted(repr(m.key()) for m in self.network.messages.values())
        told = [(x.kind, x.order, x.returned is None, x.confirmed) for x in self.operations]
        return hash((repr(parts), tuple(messages), repr(told), round(self.loop.now, 3)))

    def close(self):
        for address in list(self.replicas):
            self.stop(address)
        self.loop.close()


def founded_disks(*, members, spares=0):
    """Disks of a founded store, to begin many runs from."""
    cluster = Cluster(members=members, spares=spares)
    disks = cluster.disks
    cluster.close()
    return disks
