"""The events of a cluster: a method do_<name> for each event name."""

from ..almanac.vote import LEADER
from ..base import constants
from ..base.circuit import unpack
from ..base.problems import BadInput, StaleBase
from .network import NO_REPLY, result_of
from .orders import Operation, Order

ELECTION_WAIT_S = (
    constants.ELECTION_TIMEOUT_MAX + 0.05
)  # time without a leader after which a follower campaigns
REMOVAL_WAIT_S = constants.REPLACEABLE_AFTER + 0.1  # silence after which a member may be removed


class EventsMixin:
    """Applies events to the cluster. Arguments of an event are the arguments of its method."""

    def apply(self, event):
        """Plays one event; does nothing if its message or replica no longer exists."""
        self.event_number += 1
        name, *arguments = event
        self.event_counts[name] += 1
        getattr(self, "do_" + name)(*arguments)
        self.loop.settle()

    def do_timeout(self, address):
        """An election timeout passes for everybody, and this replica acts on it."""
        self.loop.advance(ELECTION_WAIT_S)
        if address in self.replicas:
            self.replicas[address].time_out()

    def do_silence(self):
        """Time passes until silent members may be removed."""
        self.loop.advance(REMOVAL_WAIT_S)

    def do_append(self, address, peer):
        """The leader sends its next append request, or a chunk of a snapshot, to a peer."""
        replica = self.replicas.get(address)
        task = self.append_tasks.get((address, peer))
        if replica is None or replica.election_role != LEADER or peer not in replica.peers:
            return
        if task is None or task.done():
            self.append_tasks[address, peer] = replica.start_task(replica.replicate_once(peer))

    def do_deliver(self, number, keep_in_flight=False):
        """Delivers a message; with `keep_in_flight` it is a duplicate, and the message can arrive again."""
        if number not in self.network.messages:
            return
        message = self.network.messages[number]
        if not keep_in_flight:
            self.network.remove(number)
        if message.is_reply:
            if (
                not keep_in_flight
                and self.incarnations[message.target] == message.incarnation
                and message.target in self.replicas
            ):
                message.callback(result_of(message))
            return
        replica = self.replicas.get(message.target)
        if replica is None:
            self._lose(message)
            return
        self._serve(replica, message, reply_wanted=not keep_in_flight)

    def _serve(self, replica, message, reply_wanted):
        def reply(outcome):
            self._note_invalid_vote(replica, message, outcome)
            if reply_wanted and self.incarnations[message.source] == message.incarnation:
                self.network.reply(message, outcome)

        replica.serve(
            op=message.operation, request=unpack(message.payload), caller=message.source, callback=reply
        )

    def _note_invalid_vote(self, replica, message, outcome):
        """Records a vote of an empty replica, unless no member has ever known its address (floor 0)."""
        if message.operation == "vote" and outcome.ok and outcome.value["yes"]:
            if replica.blank and replica.minimum_term != 0:
                self.invalid_votes.append(f"{replica.settings.addr} votes in term {outcome.value['t']}")

    def do_lose(self, number):
        """Loses a message."""
        if number in self.network.messages:
            self._lose(self.network.remove(number))

    def _lose(self, message):
        """Tells the requesting replica, if it still runs, that no reply will come."""
        requester = message.target if message.is_reply else message.source
        if requester in self.replicas and self.incarnations[requester] == message.incarnation:
            message.callback(NO_REPLY)

    def do_hold(self, address):
        """From here on each sync of this disk waits for a "sync" event."""
        self.disks[address].syncs_held = True

    def do_sync(self, address):
        """Completes the oldest waiting sync of a disk."""
        if self.disks[address].waiting_syncs:
            self.disks[address].complete_sync()

    def do_power(self, address, keep_writes, keep_renames):
        """The machine loses power: unsynced writes and renames are kept or lost as given."""
        if address in self.replicas:
            self.stop(address)
            self.disks[address].lose_power(keep_writes=keep_writes, keep_renames=keep_renames)
            self.disks[address].syncs_held = False
            self._note_durable_state(address)

    def do_kill(self, address):
        """The process is killed; the page cache of its machine survives."""
        if address in self.replicas:
            self.stop(address)
            self.disks[address].end_of_process()
            self.disks[address].syncs_held = False
            self._note_durable_state(address)

    def do_wipe(self, address):
        """The replica stops and its disk is replaced by an empty one."""
        if address in self.replicas:
            self.stop(address)
        self.disks[address].lose()
        self.disks[address].waiting_syncs, self.disks[address].syncs_held = [], False
        self.stopped_voters.discard(address)
        self.event_counts["lost disks"] += 1
        self.durable[address] = (0, {})

    def do_restart(self, address):
        if address not in self.replicas:
            self.start(address)

    def do_steer(self, address):
        """The leader proposes the next step of a membership change, if there is one."""
        replica = self.replicas.get(address)
        if replica is not None and replica.settled():
            replica.advance_membership()

    def do_knock(self, address):
        """A replica that is no member asks the leader to add it."""
        replica, leader = self.replicas.get(address), self.leader()
        if replica is None or leader is None or address in replica.store_addresses:
            return
        if not (replica.blank and replica.minimum_term is None):
            leader.serve(op="join", request={"addr": address}, caller=address, callback=lambda outcome: None)

    def do_depart(self, address):
        """A member that is about to shut down notifies the leader."""
        leader = self.leader()
        if address in self.replicas and leader is not None and address != leader.settings.addr:
            leader.serve(
                op="depart", request={"addr": address}, caller=address, callback=lambda outcome: None
            )

    def do_snapshot(self, address):
        """Makes the replica take a snapshot, if it has applied entries since the last one."""
        replica = self.replicas.get(address)
        if replica is not None and replica.applied > replica.snap_i:
            replica.snapshot_event.set()

    def do_order(self, address, number, base, author):
        """An operator sends a configuration change; an equal one sent before is retried."""
        order = Order(number=number, base=base, author=author)
        if order not in self.orders:
            self.orders.append(order)
        operation = Operation(kind="order", invoked=self.event_number, order=order)
        self.operations.append(operation)
        replica = self.replicas.get(address)
        if replica is not None:
            replica.serve(
                op="edit",
                request=order.body(),
                caller="operator",
                callback=lambda outcome: self._order_returned(operation, outcome),
            )

    def _order_returned(self, operation, outcome):
        operation.returned, self.history_changed = self.event_number, True
        operation.confirmed = outcome.ok
        operation.refused = isinstance(outcome, (StaleBase, BadInput))

    def do_read(self, address):
        """An operator reads the current configuration."""
        operation = Operation(kind="read", invoked=self.event_number)
        self.operations.append(operation)
        replica = self.replicas.get(address)
        if replica is not None:
            replica.serve(
                op="charter_now",
                request={},
                caller="operator",
                callback=lambda outcome: self._read_returned(operation, outcome),
            )

    def _read_returned(self, operation, outcome):
        operation.returned, self.history_changed = self.event_number, True
        operation.confirmed = outcome.ok
        if outcome.ok and outcome.value.get("chosen"):
            operation.value = (outcome.value["chosen"], outcome.value["notes"]["author"])
