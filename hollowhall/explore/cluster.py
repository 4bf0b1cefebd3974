"""A cluster of replicas with their disks and the messages between them, driven by events.

An event is a tuple of a name and its arguments, so that a run can be saved, shrunk and replayed:
the same events from the same initial state give the same run."""

from collections import Counter

from ..almanac.ring import LogSegments
from ..almanac.vote import LEADER
from ..base.circuit import pack
from ..base.params import DaemonSettings
from ..base.problems import Raised
from .events import EventsMixin
from .network import Network
from .replica import ModelDisk, ModelReplica, ModelRuntime
from .stepped_loop import SteppedLoop

LOG_SEGMENT_BYTES = 1 << 14  # bytes; room for some dozens of entries
LOG_SEGMENTS = 4
FORMAT_LEVEL = 2  # the first level at which operators number configurations themselves


def address_of(member):
    return f"10.0.0.{member + 1}:7000"


class Cluster(EventsMixin):
    """The state of a run.

    `members` replicas start with the same initial membership on their disks; `spares` further
    replicas start outside it with empty disks. `replica_class` is the class of the replicas,
    `initial_disks` the disks to copy instead of bootstrapping new ones.

    Beside the replicas it records what the invariants compare over the whole run: the leader of
    each term, the committed entry of each index, the state at each applied index, and the
    operators' operations."""

    def __init__(
        self, *, members=3, spares=0, replica_class=ModelReplica, seed=0, snap_every=1000, initial_disks=None
    ):
        self.loop, self.network = SteppedLoop(), Network()
        self.members, self.spares, self.replica_class, self.seed = members, spares, replica_class, seed
        self.snap_every = snap_every
        self.addresses = [address_of(n) for n in range(members + spares)]
        self.disks = {a: ModelDisk() for a in self.addresses}
        self.replicas, self.incarnations, self.stopped_voters = {}, Counter(), set()
        self.append_tasks, self.event_number = {}, 0
        self.operations, self.orders, self.history_changed = [], [], False
        self.leader_of_term, self.checked_leaders, self.committed, self.checked_to = {}, set(), {}, {}
        self.state_at_index, self.last_digested, self.durable = {}, {}, {}
        self.invalid_votes = []
        self.newest_membership = {"v": -1, "voters": self.addresses[:members]}
        self.event_counts = Counter()
        if initial_disks is None:
            self._bootstrap_disks()
        else:
            for address, disk in initial_disks.items():
                self.disks[address].copy_from(disk)
        for address in self.addresses:
            self.start(address)

    def _bootstrap_disks(self):
        """Writes to each initial member's disk the log of a bootstrapped store at FORMAT_LEVEL."""
        voters = self.addresses[: self.members]
        membership = {"v": 1, "voters": voters, "learner": "", "out": "", "past": []}
        bodies = [["noop"], ["members", membership]] + [["level", n + 1] for n in range(FORMAT_LEVEL)]
        entries = [[n + 1, 1, pack(body)] for n, body in enumerate(bodies)]
        for address in voters:
            segments = LogSegments(disk=self.disks[address], files=LOG_SEGMENTS, size=LOG_SEGMENT_BYTES)
            segments.load()
            hard_state = {"t": 1, "v": "", "m": True, "f": None}
            self.loop.complete(segments.put(hard=hard_state, entries=entries))

    # --- replicas

    def running(self):
        return list(self.replicas.values())

    def leader(self):
        """The running leader of the newest term, or None."""
        leaders = [r for r in self.running() if r.election_role == LEADER]
        return max(leaders, key=lambda r: r.term, default=None)

    def start(self, address):
        self.incarnations[address] += 1
        seed = f"{self.seed} {address} {self.incarnations[address]}"
        params = DaemonSettings(
            id=f"r{self.addresses.index(address)}",
            addr=address,
            role="almanac",
            data="/d",
            seeds=self.addresses[: min(3, self.members)],
            auto_members=True,
            ring_files=LOG_SEGMENTS,
            ring_bytes=LOG_SEGMENT_BYTES,
            snap_every=self.snap_every,
        )
        seam = ModelRuntime(loop=self.loop, disk=self.disks[address], seed=seed)
        replica = self.replica_class(
            settings=params, runtime=seam, network=self.network, incarnation=self.incarnations[address]
        )
        self.durable.pop(address, None)
        self.replicas[address] = replica
        self.loop.complete(self._boot(replica))

    async def _boot(self, replica):
        replica.boot()

    def stop(self, address):
        replica = self.replicas.pop(address)
        replica.stop()
        self.network.drop_replies_to(address, replica.incarnation)
        self.append_tasks = {k: v for k, v in self.append_tasks.items() if k[0] != address}
        self.loop.settle()

    def _note_durable_state(self, address):
        """Reads from its disk which entries a stopped replica holds and whether it may vote."""
        segments = LogSegments(disk=self.disks[address], files=LOG_SEGMENTS, size=LOG_SEGMENT_BYTES)
        try:
            hard_state, snapshot, entries = segments.load()
        except Raised as error:
            self.loop.errors.append(f"{address}: {error}")
            return
        self.stopped_voters.discard(address)
        if hard_state.get("m") or hard_state.get("f") == 0:
            self.stopped_voters.add(address)
        snapshot_index = snapshot["i"] if snapshot else 0
        self.durable[address] = (snapshot_index, {index: term for index, term, _ in entries})

    # --- queries of the invariants

    def current_voters(self):
        """The voters of the newest membership that any replica has known as committed."""
        for replica in self.running():
            committed = replica.membership_at(replica.commit)
            if replica.commit >= 2 and committed["v"] > self.newest_membership["v"]:
                self.newest_membership = committed
        return self.newest_membership["voters"]

    def may_vote(self, address):
        """Whether a replica may vote, running or not; for a stopped one its disk decides."""
        if address in self.replicas:
            return self.replicas[address].may_vote()
        return address in self.stopped_voters

    def holds(self, address, *, index, term):
        """Whether a replica, running or not, holds the entry in its log or in a snapshot."""
        if address in self.replicas:
            replica = self.replicas[address]
            return replica.base_index >= index or replica.term_at(index) == term
        snapshot_index, entries = self.durable.get(address, (0, {}))
        return snapshot_index >= index or entries.get(index) == term

    # --- queries of the searches

    def newest_number(self):
        """The largest configuration number that any running replica has accepted."""
        return max((r.record.charter.get("chosen", 0) for r in self.running()), default=0)

    def fingerprint(self):
        """A hash of the state; a search treats states with equal hashes as one."""
        replica_parts = []
        for address in self.addresses:
            replica = self.replicas.get(address)
            if replica is None:
                replica_parts.append((address, self.durable.get(address)))
                continue
            log = tuple((index, term) for index, term, _ in replica.log_entries)
            replica_parts.append(
                (
                    address,
                    replica.election_role,
                    replica.term,
                    replica.vote,
                    replica.leader,
                    replica.base_index,
                    log,
                    replica.commit,
                    replica.applied,
                    replica.synced,
                )
                + (
                    replica.membership["v"],
                    replica.blank,
                    replica.minimum_term,
                    tuple(sorted(replica.match.items())),
                    len(replica.pending_reads),
                    len(replica.pending_proposals),
                )
                + (
                    tuple(sorted(replica.acked_number.items())),
                    len(replica.ballots),
                    self.disks[address].syncs_held,
                )
            )
        messages = sorted(repr(m.key()) for m in self.network.messages.values())
        operations = [(x.kind, x.order, x.returned is None, x.confirmed) for x in self.operations]
        return hash((repr(replica_parts), tuple(messages), repr(operations), round(self.loop.now, 3)))

    def close(self):
        for address in list(self.replicas):
            self.stop(address)
        self.loop.close()


def bootstrapped_disks(*, members, spares=0):
    """Disks of a bootstrapped store, from which many runs can start."""
    cluster = Cluster(members=members, spares=spares)
    disks = cluster.disks
    cluster.close()
    return disks
