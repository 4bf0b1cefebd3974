"""What all daemons share: a mode service with a runtime, RPC connections both ways and a client of the store.
The client follows the store's leader: a NotLeader failure names it, and if a connection is down the next
store member is tried. A request is repeated only if it certainly had no effect, or if it may safely be
applied twice."""

import asyncio
import traceback

from mode import Service

from . import constants, log_events
from .circuit import RpcClient, RpcServerMixin
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


class StoreClientMixin:
    """The client of the store, in any daemon."""

    def open_store(self):
        self.links = {}
        self.avoided_until = {}  # store member: until when others are asked first, as it did not answer
        self.store_addresses = getattr(self, "store_addresses", list(self.settings.seeds))
        for address in self.store_addresses:
            self.link(addr=address)

    def link(self, *, addr):
        """The client for an address, made on first use."""
        if addr not in self.links:
            host = self.local_daemons.get(addr)
            self.links[addr] = (
                RpcClient(host=self, addr=addr)
                if host is None
                else LocalClient(host=host, caller=self.settings.id)
            )
        return self.links[addr]

    async def store(
        self,
        *,
        op,
        request,
        wait=constants.REQUEST_TIMEOUT,
        safe=False,
        total=4.0,
        of="store",
        sent=lambda: None,
    ):
        """Sends a request to the leader `of` the store or the clock and returns the last attempt's result.
        `safe` requests may be repeated if it is unknown whether they were applied; others only if they
        certainly were not. `wait`: s, for one attempt; `total`: s, for all. `sent` is called before each
        attempt."""
        end, tries, result, unsure = self.runtime.now() + total, 0, Late(op=op), False
        ring = self.in_order()
        while self.runtime.now() < end:
            address = self.known_leaders[of] or ring[tries % len(ring)]
            tries += 1
            sent()
            result = await self.link(addr=address).call(op=op, request=request, wait=wait)
            if result.ok or not (result.taken == "no" or safe):
                self.known_leaders[of] = address if result.ok else ""
                return result
            if not isinstance(result, (NotLeader, CircuitDown, Late, Unsure, Full, Broken)):
                return result
            unsure = unsure or result.taken != "no"
            hint = getattr(result, "hint", "")
            self.known_leaders[of] = hint if hint and hint != address else ""
            if not self.known_leaders[of]:
                await asyncio.sleep(0.03 + 0.05 * self.runtime.rng.random())
        return Unsure(why=op) if unsure and result.taken == "no" else result

    def in_order(self):
        """The store members in the order in which to try them while no leader is known: only the one in this
        process, if there is one, since it learns of a leader first; otherwise in random order, with those
        that owe answers and are silent last."""
        own, now = (
            [address for address in self.store_addresses if address in self.local_daemons],
            self.runtime.now(),
        )
        if own:
            return own
        ring = list(self.store_addresses)
        self.runtime.rng.shuffle(ring)
        return sorted(ring, key=lambda address: self.link(addr=address).silent(now=now))

    async def keep_lease(self, *, hold):
        """Sends a keep-alive for a lease. Returns (its result, the time from which the lease counts anew, s
        until the next keep-alive). The lease counts from the start of the attempt that was answered: the
        store counts from that attempt's arrival or later, and an earlier attempt that was lost proves
        nothing."""
        at = [self.runtime.now()]
        result = await self.store(
            op="keep",
            request={"hold": hold},
            wait=constants.KEEPALIVE_ATTEMPT_TIMEOUT,
            safe=True,
            total=constants.KEEPALIVE_TOTAL_TIMEOUT,
            sent=lambda: at.append(self.runtime.now()),
        )
        took = self.runtime.now() - at[0]  # the period runs from the start of one keep-alive to the next
        return (
            result,
            at[-1],
            max(constants.KEEPALIVE_RETRY_DELAY, constants.KEEPALIVE_PERIOD - took)
            if result.ok
            else constants.KEEPALIVE_RETRY_DELAY,
        )

    async def ask_any_member(self, *, op, request, wait=constants.REQUEST_TIMEOUT, at=""):
        """Sends a request that any store member answers, such as a long poll, to a connected one: the member
        `at` if possible, else the one in this process, else preferably not one that is `risky`."""
        now = self.runtime.now()
        up = [address for address in self.store_addresses if self.link(addr=address).up]
        up = [address for address in up if self.avoided_until.get(address, 0.0) < now] or up
        if not up:
            await asyncio.sleep(constants.RECONNECT_DELAY)
            return Late(op=op)
        first = [address for address in (at, *self.local_daemons) if address in up]
        risky = self.members_to_avoid()
        chosen = (
            first[0]
            if first
            else self.runtime.rng.choice([address for address in up if address not in risky] or up)
        )
        result = await self.links[chosen].call(op=op, request=request, wait=wait)
        if not result.ok and chosen not in self.local_daemons:  # the member in this process is never avoided
            self.avoided_until[chosen] = now + constants.DEPRIORITIZED_FOR
        elif result.ok and isinstance(result.value, dict) and result.value.get("lead"):
            self.known_leaders["store"] = result.value["lead"]
        return result

    def members_to_avoid(self):
        """Store members whose failure a long poll is meant to report: a client that polls such a member
        learns of it last, once the connection is found to be dead."""
        return {self.known_leaders["store"]}


class Daemon(RpcServerMixin, StoreClientMixin, Service):
    """The base class of the daemons. A role overrides `open`, `shut` and `leave`."""

    abstract = True
    role = ""

    def __init__(self, *, settings, runtime):
        super().__init__()
        self.settings, self.runtime, self.connections = settings, runtime, {}
        self.running_tasks, self.local_daemons = [], {}  # here: daemons in this process, by address
        self.known_leaders = {"store": "", "clock": ""}
        self.say = getattr(runtime, "writer", log_events.writer)(name=f"{self.role}.{settings.id}")
        self.leaving, self.failed, self.loop_lag = False, None, 0.0
        self.lag_measured_at, self.last_stall_at = runtime.now(), -constants.TRACKED_TIME_MAX_AGE
        self.loop_time = LoopTime(now=runtime.now)

    def log_exception(self, error):
        """Keeps an exception's traceback in `trace` and logs it at debug level."""
        self.trace = "".join(traceback.format_exception(error))
        self.log.debug("%s", self.trace)

    async def supervise(self, *, coroutine, name):
        """Runs a task of the daemon; if it fails, the daemon ends with the reason."""
        try:
            await coroutine
        except asyncio.CancelledError:
            raise
        except GeneratorExit:
            return  # the event loop has been closed
        except Raised as error:
            self.end_with_failure(error.failure)
        except Exception as error:
            self.log_exception(error)
            self.say(log_events.TASK_CRASHED, task=name, problem=repr(error))
            self.failed = self.failed or error
            self.ended.set()

    def end_with_failure(self, failure):
        """Ends the daemon because of a failure, and logs it."""
        self.say(
            {NewerLevel: log_events.LEVEL_NEWER, Diverged: log_events.DIVERGED}.get(
                type(failure), log_events.DISK_FAILED
            ),
            problem=failure,
        )
        self.failed = self.failed or failure
        self.ended.set()

    def run_task(self, *, coroutine, name=""):
        """Starts a task that is cancelled when the daemon stops."""
        task = self.add_future(self.supervise(coroutine=coroutine, name=name or coroutine.__name__))
        self.running_tasks = [other for other in self.running_tasks if not other.done()] + [task]
        return task

    async def on_start(self):
        self.ended = asyncio.Event()
        self.server = await self.runtime.net.listen(
            addr=self.settings.bind or self.settings.addr, on_connection=self.accept_connection
        )
        self.open_store()
        self.run_task(coroutine=self.measure_lag(), name="feel")
        await self.open()
        self.say(log_events.UP, role=self.role, addr=self.settings.addr, zone=self.settings.zone)

    async def measure_lag(self):
        """Measures how late the event loop runs, under load or during one long step."""
        logged = -constants.LOAD_LOG_INTERVAL
        while True:
            start = self.runtime.now()
            await asyncio.sleep(constants.LAG_SAMPLE_PERIOD)
            self.lag_measured_at = self.runtime.now()
            late = max(0.0, self.lag_measured_at - start - constants.LAG_SAMPLE_PERIOD)
            if late > constants.LOOP_STALL:
                self.last_stall_at = self.lag_measured_at
            self.loop_lag = max(
                late, self.loop_lag * 0.5 ** ((late + constants.LAG_SAMPLE_PERIOD) / constants.LAG_HALF_LIFE)
            )
            spent = self.loop_time.take()
            if late > constants.LOOP_STALL and start - logged > constants.LOAD_LOG_INTERVAL:
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

    def apply_settings(self, settings):
        """Applies settings re-read on SIGHUP where they can change at run time, and logs the others."""
        for name in settings.__dataclass_fields__:
            old, new = getattr(self.settings, name), getattr(settings, name)
            if old != new and name in LIVE:
                setattr(self.settings, name, new)
            elif old != new and name != "found":
                self.say(log_events.PARAMS_LATER, key=name, now=old, asked=new)
        self.say(log_events.PARAMS_TAKEN)

    def on_where(self, *, request, callback, caller):
        callback(Success(value={"almanacs": self.store_addresses, "id": self.settings.id, "role": self.role}))
