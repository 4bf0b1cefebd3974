"""What all daemons share: a mode service with a runtime, RPC connections both ways and a client of the store.
The client follows the store's leader: a NotLeader failure names it, and if a connection is down the next
store member is tried. A request is repeated only if it certainly had no effect, or if it may safely be
applied twice."""

import asyncio
import traceback

from mode import Service

from . import constants, log_events
from .circuit import HostMixin, Link
from .here import LocalClient
from .loop_time import LoopTime
from .params import LIVE
from .problems import (
    Broken,
    CircuitDown,
    Diverged,
    Full,
    Late,
    NewerLevel,
    NotLeader,
    Raised,
    Success,
    Unsure,
)


class StoreMixin:
    """The client of the store, in any daemon."""

    def open_store(self):
        self.links = {}
        self.avoided_until = {}  # store member: until when others are asked first, as it did not answer
        self.alms = getattr(self, "alms", list(self.params.seeds))
        for address in self.alms:
            self.link(addr=address)

    def link(self, *, addr):
        """The client for an address, made on first use."""
        if addr not in self.links:
            host = self.here.get(addr)
            self.links[addr] = (
                Link(host=self, addr=addr) if host is None else LocalClient(host=host, caller=self.params.id)
            )
        return self.links[addr]

    async def store(
        self, *, op, request, wait=constants.CALL_WAIT, safe=False, total=4.0, of="store", sent=lambda: None
    ):
        """Sends a request to the leader `of` the store or the clock and returns the last attempt's result.
        `safe` requests may be repeated if it is unknown whether they were applied; others only if they
        certainly were not. `wait`: s, for one attempt; `total`: s, for all. `sent` is called before each
        attempt."""
        end, tries, result, unsure = self.seam.now() + total, 0, Late(op=op), False
        ring = self.in_order()
        while self.seam.now() < end:
            address = self.leads[of] or ring[tries % len(ring)]
            tries += 1
            sent()
            result = await self.link(addr=address).call(op=op, request=request, wait=wait)
            if result.ok or not (result.taken == "no" or safe):
                self.leads[of] = address if result.ok else ""
                return result
            if not isinstance(result, (NotLeader, CircuitDown, Late, Unsure, Full, Broken)):
                return result
            unsure = unsure or result.taken != "no"
            hint = getattr(result, "hint", "")
            self.leads[of] = hint if hint and hint != address else ""
            if not self.leads[of]:
                await asyncio.sleep(0.03 + 0.05 * self.seam.rng.random())
        return Unsure(why=op) if unsure and result.taken == "no" else result

    def in_order(self):
        """The store members in the order in which to try them while no leader is known: only the one in this
        process, if there is one, since it learns of a leader first; otherwise in random order, with those
        that owe answers and are silent last."""
        own, now = [address for address in self.alms if address in self.here], self.seam.now()
        if own:
            return own
        ring = list(self.alms)
        self.seam.rng.shuffle(ring)
        return sorted(ring, key=lambda address: self.link(addr=address).silent(now=now))

    async def keep_lease(self, *, hold):
        """Sends a keep-alive for a lease. Returns (its result, the time from which the lease counts anew, s
        until the next keep-alive). The lease counts from the start of the attempt that was answered: the
        store counts from that attempt's arrival or later, and an earlier attempt that was lost proves
        nothing."""
        at = [self.seam.now()]
        result = await self.store(
            op="keep",
            request={"hold": hold},
            wait=constants.KEEP_WAIT,
            safe=True,
            total=constants.KEEPALIVE_TOTAL_TIMEOUT,
            sent=lambda: at.append(self.seam.now()),
        )
        took = self.seam.now() - at[0]  # the period runs from the start of one keep-alive to the next
        return (
            result,
            at[-1],
            max(constants.HOLD_RETRY, constants.HOLD_KEEP - took) if result.ok else constants.HOLD_RETRY,
        )

    async def near(self, *, op, request, wait=constants.CALL_WAIT, at=""):
        """Sends a request that any store member answers, such as a long poll, to a connected one: the member
        `at` if possible, else the one in this process, else preferably not one that is `risky`."""
        now = self.seam.now()
        up = [address for address in self.alms if self.link(addr=address).up]
        up = [address for address in up if self.avoided_until.get(address, 0.0) < now] or up
        if not up:
            await asyncio.sleep(constants.REDIAL)
            return Late(op=op)
        first = [address for address in (at, *self.here) if address in up]
        risky = self.risky()
        chosen = (
            first[0]
            if first
            else self.seam.rng.choice([address for address in up if address not in risky] or up)
        )
        result = await self.links[chosen].call(op=op, request=request, wait=wait)
        if not result.ok and chosen not in self.here:  # the member in this process is never avoided
            self.avoided_until[chosen] = now + constants.DEPRIORITIZED_FOR
        elif result.ok and isinstance(result.value, dict) and result.value.get("lead"):
            self.leads["store"] = result.value["lead"]
        return result

    def risky(self):
        """Store members whose failure a long poll is meant to report: a client that polls such a member
        learns of it last, once the connection is found to be dead."""
        return {self.leads["store"]}


class Daemon(HostMixin, StoreMixin, Service):
    """The base class of the daemons. A role overrides `open`, `shut` and `leave`."""

    abstract = True
    role = ""

    def __init__(self, *, params, seam):
        super().__init__()
        self.params, self.seam, self.connections = params, seam, {}
        self.running_tasks, self.here = [], {}  # here: daemons in this process, by address
        self.leads = {"store": "", "clock": ""}
        self.say = getattr(seam, "writer", log_events.writer)(name=f"{self.role}.{params.id}")
        self.leaving, self.failed, self.lag = False, None, 0.0
        self.felt, self.woke = seam.now(), -constants.TRACK_OLD
        self.loop_time = LoopTime(now=seam.now)

    def oops(self, error):
        """Keeps an exception's traceback in `trace` and logs it at debug level."""
        self.trace = "".join(traceback.format_exception(error))
        self.log.debug("%s", self.trace)

    async def supervise(self, *, co, name):
        """Runs a task of the daemon; if it fails, the daemon ends with the reason."""
        try:
            await co
        except asyncio.CancelledError:
            raise
        except GeneratorExit:
            return  # the event loop has been closed
        except Raised as error:
            self.must_end(error.problem)
        except Exception as error:
            self.oops(error)
            self.say(log_events.TASK_CRASHED, task=name, problem=repr(error))
            self.failed = self.failed or error
            self.ended.set()

    def must_end(self, failure):
        """Ends the daemon because of a failure, and logs it."""
        self.say(
            {NewerLevel: log_events.LEVEL_NEWER, Diverged: log_events.DIVERGED}.get(
                type(failure), log_events.DISK_FAILED
            ),
            problem=failure,
        )
        self.failed = self.failed or failure
        self.ended.set()

    def run_task(self, *, co, name=""):
        """Starts a task that is cancelled when the daemon stops."""
        task = self.add_future(self.supervise(co=co, name=name or co.__name__))
        self.running_tasks = [other for other in self.running_tasks if not other.done()] + [task]
        return task

    async def on_start(self):
        self.ended = asyncio.Event()
        self.server = await self.seam.net.listen(
            addr=self.params.bind or self.params.addr, got=self.accept_connection
        )
        self.open_store()
        self.run_task(co=self.measure_lag(), name="feel")
        await self.open()
        self.say(log_events.UP, role=self.role, addr=self.params.addr, zone=self.params.zone)

    async def measure_lag(self):
        """Measures how late the event loop runs, under load or during one long step."""
        logged = -constants.SHED_SAY
        while True:
            start = self.seam.now()
            await asyncio.sleep(constants.LAG_SAMPLE_PERIOD)
            self.felt = self.seam.now()
            late = max(0.0, self.felt - start - constants.LAG_SAMPLE_PERIOD)
            if late > constants.LAG_HELD:
                self.woke = self.felt
            self.lag = max(
                late, self.lag * 0.5 ** ((late + constants.LAG_SAMPLE_PERIOD) / constants.LAG_HALF_LIFE)
            )
            spent = self.loop_time.take()
            if late > constants.LAG_HELD and start - logged > constants.SHED_SAY:
                logged = start
                self.say(log_events.LOOP_HELD, ms=round(late * 1000), spent=spent)

    async def on_stop(self):
        self.server.close()
        for connection in list(self.connections):
            connection.down()
        await self.shut()
        for (
            task
        ) in self.running_tasks:  # in the order in which they started, so that a shutdown can be replayed
            task.cancel()
        self.say(log_events.GONE, role=self.role)

    async def open(self):
        """Starts what is particular to the role."""
        pass

    async def shut(self):
        """Stops what is particular to the role."""
        pass

    async def leave(self):
        """Starts a graceful shutdown; a role hands its duties over here."""
        self.leaving = True
        self.say(log_events.LEAVING, role=self.role)

    def take_params(self, settings):
        """Applies settings re-read on SIGHUP where they can change at run time, and logs the others."""
        for name in settings.__dataclass_fields__:
            old, new = getattr(self.params, name), getattr(settings, name)
            if old != new and name in LIVE:
                setattr(self.params, name, new)
            elif old != new and name != "found":
                self.say(log_events.PARAMS_LATER, key=name, now=old, asked=new)
        self.say(log_events.PARAMS_TAKEN)

    def on_where(self, *, request, callback, caller):
        callback(Success(value={"almanacs": self.alms, "id": self.params.id, "role": self.role}))
