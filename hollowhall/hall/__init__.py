"""The controller (role `hall`): a store member (`almanac`) and a scheduler (`desk`) in one process, for
machines on which a second process would cost memory, start-up time and network hops. The two share one copy
of the record: the store member applies entries, the scheduler reads and proposes. The scheduler's requests to
its own store member are direct calls; everything else is as in two processes, and a cluster may mix all three
roles."""

import asyncio

from mode import Service

from ..almanac import StoreMember
from ..almanac.vote import LEADER
from ..base import constants
from ..desk import Desk


class HallDesk(Desk):
    """A scheduler that uses the record of its store member."""

    def __init__(self, *, settings, runtime, almanac):
        self.almanac = almanac
        super().__init__(settings=settings, runtime=runtime)
        self.local_daemons = {almanac.settings.addr: almanac}
        self.loop_time = almanac.loop_time  # both run in one event loop
        self.known_leaders = almanac.known_leaders
        almanac.entry_listeners.append(self.before)

    @property
    def record(self):
        return self.almanac.record

    @record.setter
    def record(self, r):
        pass  # only the store member changes its record

    @property
    def applied(self):
        return self.almanac.applied

    @applied.setter
    def applied(self, index):
        pass

    def before(self, op, entry):
        """Called before the store member applies an entry."""
        if op == "turn":
            self.note_batch(entry)

    def take(self, value):
        pass

    def have(self):
        return constants.INDEX_AFTER_ALL  # answers need no entries: the store member gets them

    async def tail(self):
        pass

    async def tail_to(self, index, *, wait):
        end = self.runtime.now() + wait
        while self.applied < index and self.runtime.now() < end:
            await asyncio.sleep(constants.APPLY_POLL_PERIOD)
        return self.applied >= index

    async def defer_campaign(self):
        """Lets the scheduler beside the store's leader go first: its batches need no network hop."""
        almanac = self.almanac
        if almanac.election_role != LEADER:
            await asyncio.sleep(constants.KEEPALIVE_PERIOD * (0.6 + 0.4 * self.runtime.rng.random()))

    def can_read_all(self):
        almanac = self.almanac
        return not almanac.blank and almanac.settings.addr in almanac.voters and not almanac.out_of_touch()

    def successor(self):
        return ""  # first_go lets the scheduler beside the store's next leader go first


class Hall(Service):
    """Starts and stops both; when one ends, so does the process."""

    abstract = False
    role = "hall"

    def __init__(self, *, settings, runtime):
        super().__init__()
        self.settings, self.runtime = settings, runtime
        self.store = StoreMember(settings=settings, runtime=runtime)
        desk_params = type(settings)(
            **{
                **settings.__dict__,
                "addr": settings.desk,
                "id": settings.id + ".desk",
                "role": "desk",
                "bind": "",
                "http": "",
            }
        )
        self.desk = HallDesk(settings=desk_params, runtime=runtime, almanac=self.store)
        self.say, self.ended = self.store.say, asyncio.Event()

    async def on_start(self):
        for daemon in (self.store, self.desk):
            await daemon.start()
            self.add_future(self.watch(daemon))

    async def watch(self, daemon):
        await daemon.ended.wait()
        self.ended.set()

    async def leave(self):
        """Shuts the scheduler down first, so that its successor finds the clock and the store running."""
        await self.desk.leave()
        await self.store.leave()

    async def on_stop(self):
        for daemon in (self.desk, self.store):
            await daemon.stop()

    @property
    def failed(self):
        return self.store.failed or self.desk.failed

    def apply_settings(self, settings):
        self.store.apply_settings(settings)
        self.desk.apply_settings(
            type(settings)(
                **{
                    **settings.__dict__,
                    "addr": self.desk.settings.addr,
                    "id": self.desk.settings.id,
                    "role": "desk",
                }
            )
        )
