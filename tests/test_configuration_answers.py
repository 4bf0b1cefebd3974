"""What edge machines answer at a new route's queue while core machines are cut off or replaced, in virtual time:
a request that is sent later than the platform's bound after the version's acknowledgement is not refused with
404. Guards against edge machines that decide by a configuration whose age they do not know."""

import asyncio

import pytest
from platform_standins import config as F
from platform_world import PORTS, START, PlatformWorld, table

CHANGE_PERIOD_S = 0.4
REPEATS = 5
TROUBLE_S, CALM_S = 4.5, 3.5


class EdgeAnswers:
    """A fleet whose operator adds a route each CHANGE_PERIOD_S, and the edges' answers at the new queues."""

    def __init__(self, *, seed, cores, edges=6):
        self.world = PlatformWorld(seed=seed, cores=cores, edges=edges, workers=0)
        self.edges = [name for name in self.world.settings if name.startswith("edge")]
        self.refused, self.answered, self.tasks, self.over = [], 0, [], False
        self.replacements = 0

    async def ask(self, edge, prefix):
        """Asks one edge machine for the count of a queue, as soon as the bound is over."""
        acknowledged = self.world.loop.virtual_time
        await asyncio.sleep(self.world.bounds.config_apply_ms / 1000 + 0.001)
        answer = await self.world.s.web("client").ask(
            method="GET",
            addr=f"{self.world.settings[edge]['ip']}:{PORTS['front']}",
            path=prefix,
            wait=2.0,
            headers={"Host": "h.example", "Time-Remaining": "2000"},
        )
        self.answered += isinstance(answer, tuple) and answer[0] == 200
        if isinstance(answer, tuple) and answer[0] == 404:
            self.refused.append((edge, prefix, round(acknowledged, 2)))

    async def add_routes(self, operator):
        number = 0
        while not self.over:
            number += 1
            prefix = f"/n{number}/"
            route = F.route(f"r-n{number}", host="h.example", prefix=prefix, service="tiles")
            if await operator.patch(upsert={"routeTable": [route]}, limit=8.0):
                self.tasks += [asyncio.ensure_future(self.ask(edge, prefix)) for edge in self.edges]
            await asyncio.sleep(CHANGE_PERIOD_S)

    def cores(self):
        nodes = self.world.nodes
        return [name for name in nodes if name.startswith("core") and nodes[name].alive]

    async def cut_off(self, name):
        """Cuts a core machine off from the other core machines and the edges."""
        others = [other for other in self.world.cards if other != name]
        for other in others:
            self.world.net.cut(name, other)
        await asyncio.sleep(TROUBLE_S)
        self.world.net.heal()

    async def replace(self, name):
        """A core machine is gone for good, without a word; an empty one comes 1 s later at another address."""
        self.world.power_off(name)
        await asyncio.sleep(1.0)
        self.replacements += 1
        new, zone = f"core-{20 + self.replacements}", int(self.world.settings[name]["zone"][1:])
        self.world.add_machine("hall", new, f"10.0.0.{20 + self.replacements}", zone=zone, first=False)
        self.world.start(new)
        await asyncio.sleep(TROUBLE_S)

    def play(self, trouble):
        async def scenario():
            self.world.start_all()
            operator = self.world.s.operator("op")
            assert await operator.put(table(), limit=START)
            await asyncio.sleep(4.0)
            changes = asyncio.ensure_future(self.add_routes(operator))
            for _ in range(REPEATS):
                await trouble(self.world.rng.choice(self.cores()))
                await asyncio.sleep(CALM_S)
            self.over = True
            await changes
            await asyncio.gather(*self.tasks)

        try:
            self.world.run(scenario(), limit=300.0)
        finally:
            for node in self.world.s.nodes.values():
                node.kill()


@pytest.mark.parametrize(
    "cores, trouble, seed",
    [
        (3, "cut_off", 1),
        (3, "cut_off", 2),
        (3, "cut_off", 3),
        (5, "cut_off", 4),
        (3, "replace", 2),
        (3, "replace", 3),
    ],
)
def test_no_edge_refuses_a_route_that_was_acknowledged_longer_ago_than_the_bound(cores, trouble, seed):
    # An edge machine whose long-poll lay at a silent replica answered 404 for routes acknowledged 2.1 s before.
    day = EdgeAnswers(seed=seed, cores=cores)
    day.play(getattr(day, trouble))
    assert day.refused == [] and day.answered > 100
