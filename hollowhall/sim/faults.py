"""Injects faults drawn from a seed. `schedule` draws all faults before the run begins, so a
failing run can be shrunk by leaving faults out. Every fault undoes itself: the run of faults
has ended when the last one is undone."""

import asyncio
import random

from .faults_net import NetFaults
from .faults_sharp import SharpFaults

CORE = """
kill_primary kill_leader kill_any pause_primary pause_leader pause_clock pause_any pause_turn
pause_beat pause_stamp pause_append pause_mast pause_lost core_gone replace_core power power_primary
lose_disk stall_disk slow_disk wall_jump leave_daemon power_all
""".split()
NET = """
split_core split_leader cut_one_way isolate_core isolate_edge core_from_edge slow_net
""".split()
WORK = """
mate_crash mate_slow mate_flop mate_freeze mate_leave mate_cut mate_stuck mate_vanish mate_run_on
late_start late_beat
""".split()
CROWD = """
burst fat timed racked urgent large impossible edit_storm edit_race big_table cancels squeeze shots
stale_reads
""".split()
LARGE = ["huge", "wide_table"]  # each takes minutes of CPU time, so they are not in ALL
ALL = CORE + NET + WORK + CROWD


def schedule(*, seed, kinds=ALL, fault_count=10, start=4.0, end=34.0):
    """Draws `n` faults: a sorted list of (second, name of the fault, seed of the fault)."""
    rng = random.Random(seed * 7919 + 13)
    plan = [
        (round(rng.uniform(start, end), 3), rng.choice(kinds), rng.getrandbits(30))
        for _ in range(fault_count)
    ]
    return sorted(plan)


class Faults(SharpFaults, NetFaults):
    """Faults of daemons, machines and disks of a World. Each method named in the lists above
    is one fault: it injects the fault, waits, and undoes it."""

    def __init__(self, *, world, requester, operators, calm):
        self.world, self.requester, self.operators, self.request_tasks = world, requester, operators, []
        self.calm = calm

    async def run(self, plan):
        """Injects the faults of the plan, and waits until all are undone and the jobs that they sent
        have ended or timed out."""
        tasks = [asyncio.ensure_future(self.inject(*fault)) for fault in plan]
        await asyncio.gather(*tasks)
        self.world.hist.note("fault", what="the last one is healed")
        await asyncio.gather(*self.request_tasks)

    async def inject(self, time, what, fault_seed):
        await asyncio.sleep(max(0.0, time - self.world.loop.virtual_time))
        self.world.hist.note("fault", what=what)
        self.world.log.append(f"{self.world.loop.virtual_time:.6f} fault {what} {fault_seed}")
        await getattr(self, what)(random.Random(fault_seed))

    def pick(self, rng, names, default):
        return rng.choice(sorted(names)) if names else default

    # --- daemons

    async def kill_and_restart(self, name, seconds):
        self.world.kill(name)
        await asyncio.sleep(seconds)
        if name not in self.world.nodes and self.world.cards[name]["machine"] not in (
            "scrap",
            *self.world.net.dark,
        ):
            self.world.start(name)

    async def kill_primary(self, rng):
        await self.kill_and_restart(
            self.pick(rng, self.world.who("desk", "primary"), "desk-1"), rng.uniform(0.1, 6)
        )

    async def kill_leader(self, rng):
        await self.kill_and_restart(
            self.pick(rng, self.world.who("almanac", "leader"), "almanac-1"), rng.uniform(0.1, 6)
        )

    async def kill_any(self, rng):
        await self.kill_and_restart(self.pick(rng, self.world.cards, ""), rng.uniform(0.1, 6))

    async def pause(self, name, seconds, sockets_first=False):
        """Freezes a daemon; `sockets_first` as in `Node.wake`."""
        self.world.pause(name)
        await asyncio.sleep(seconds)
        self.world.pause(name, on=False, sockets_first=sockets_first)

    def primary(self, rng):
        return self.pick(rng, self.world.who("desk", "primary"), "desk-1")

    async def pause_mast(self, rng):
        name = self.pick(rng, [name for name in self.world.nodes if name.startswith("mast")], "mast-1")
        await self.pause(name, rng.uniform(1, 7), sockets_first=True)

    async def pause_primary(self, rng):
        await self.pause(self.primary(rng), rng.uniform(0.5, 8), sockets_first=rng.random() < 0.5)

    async def pause_leader(self, rng):
        await self.pause(
            self.pick(rng, self.world.who("almanac", "leader"), "almanac-1"), rng.uniform(0.3, 8)
        )

    async def pause_clock(self, rng):
        names = [name for name, node in self.world.nodes.items() if getattr(node.daemon, "clk", None)]
        await self.pause(self.pick(rng, names, "almanac-1"), rng.uniform(0.5, 8))

    async def pause_any(self, rng):
        await self.pause(self.pick(rng, self.world.nodes, "mast-1"), rng.uniform(0.2, 8))

    async def leave_daemon(self, rng):
        name = self.pick(rng, self.world.nodes, "")
        if name and self.world.nodes[name].awake:
            self.world.leave(name)
            await asyncio.sleep(rng.uniform(2.5, 5))
            if name in self.world.nodes:
                self.world.kill(name)
            if self.world.cards[name]["machine"] not in ("scrap", *self.world.net.dark):
                self.world.start(name)

    async def power(self, rng, core=None, lose=False):
        """Cuts the power of a core machine for some seconds; `lose` empties its disk as well."""
        machine = core or f"core-{rng.randint(1, 3)}"
        if machine in self.world.net.dark or machine not in self.world.disks:
            return
        self.world.power_off(machine)
        if lose:
            self.world.disks[machine].lose()
        await asyncio.sleep(rng.uniform(0.2, 6))
        self.world.power_on(
            machine, [name for name, card in self.world.cards.items() if card["machine"] == machine]
        )

    async def power_primary(self, rng):
        leader = self.pick(rng, self.world.who("almanac", "leader"), "almanac-1")
        await self.power(rng, core=self.world.cards[leader]["machine"])

    async def core_gone(self, rng):
        """Kills all daemons on the machine of the store's leader at once, which may include the
        clock leader and the primary scheduler, and starts them again some seconds later."""
        leader = self.pick(rng, self.world.who("almanac", "leader"), "almanac-1")
        machine = self.world.cards[leader]["machine"]
        names = self.world.on_machine(machine)
        for name in names:
            self.world.kill(name)
        await asyncio.sleep(rng.uniform(1, 9))
        for name in names:
            if (
                name not in self.world.nodes
                and self.world.cards[name]["machine"] == machine
                and machine not in self.world.net.dark
            ):
                self.world.start(name)

    async def replace_core(self, rng):
        """Replaces a store member by one at another address, which two operators request at once. The
        old member is killed before, or removed while it runs and perhaps frozen afterwards."""
        for _ in range(100):
            members = [name for name in sorted(self.world.nodes) if name.startswith("almanac")]
            if len(members) >= 3 and not getattr(self.world, "losing", False):
                break
            await asyncio.sleep(0.2)
        number = 1 + sum(1 for card in self.world.cards.values() if card["role"] == "almanac")
        if number > 6 or len(members) < 3 or getattr(self.world, "losing", False):
            return
        self.world.losing, name, address = True, f"almanac-{number}", f"10.0.0.{number}:7000"
        self.world.add_card(name, "almanac", f"core-{number}", address, zone=number, data="/d", join=True)
        self.world.start(name)
        old, end = rng.choice(members), self.world.loop.virtual_time + 60
        old_address, killed_first = self.world.cards[old]["addr"], rng.random() < 0.4
        if killed_first:
            self.world.kill(old)
        while self.world.loop.virtual_time < end:
            memberships = await asyncio.gather(
                *[operator.replace(old_address, address) for operator in self.operators]
            )
            if any(
                membership and address in membership["voters"] and old_address not in membership["voters"]
                for membership in memberships
            ):
                break
            await asyncio.sleep(0.5)
        if not killed_first and rng.random() < 0.5:
            await self.pause(old, rng.uniform(1, 5))
        await asyncio.sleep(rng.uniform(0, 2))
        self.world.kill(old)
        self.world.cards[old]["machine"] = "scrap"  # other faults do not start it again
        self.world.losing = False

    async def power_all(self, rng):
        """Cuts the power of all core machines at once, while slow disks are writing."""
        machines = [machine for machine in sorted(self.world.disks) if machine not in self.world.net.dark]
        for machine in machines:
            self.world.disks[machine].slow = 0.2
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        for machine in machines:
            self.world.power_off(machine)
            self.world.disks[machine].slow = 0.0
        await asyncio.sleep(rng.uniform(0.2, 3))
        for machine in sorted(machines, key=lambda _machine: rng.random()):
            self.world.power_on(
                machine, [name for name, card in self.world.cards.items() if card["machine"] == machine]
            )
            await asyncio.sleep(rng.uniform(0, 1))

    async def lose_disk(self, rng):
        """Empties one disk. At most one replica is empty at a time: the store does not promise to
        survive the loss of two disks out of three."""
        if getattr(self.world, "losing", False):
            return
        self.world.losing = True
        await self.power(rng, lose=True)
        for _ in range(600):
            if not any(getattr(node.daemon, "blank", False) for node in self.world.nodes.values()):
                break
            await asyncio.sleep(0.1)
        self.world.losing = False

    async def stall_disk(self, rng):
        disk = self.world.disks[f"core-{rng.randint(1, 3)}"]
        disk.stalled = True
        await asyncio.sleep(rng.uniform(0.5, 8))
        disk.stalled = None

    async def slow_disk(self, rng):
        disk = self.world.disks[f"core-{rng.randint(1, 3)}"]
        disk.slow = rng.uniform(0.01, 0.3)
        await asyncio.sleep(rng.uniform(2, 8))
        disk.slow = 0.0

    async def wall_jump(self, rng):
        machine = f"core-{rng.randint(1, 3)}"
        self.world.wall_offsets_ms[machine] = self.world.wall_offsets_ms.get(machine, 0) + rng.choice(
            (-1, 1)
        ) * rng.choice((200, 5000, 3_600_000))
        await asyncio.sleep(rng.uniform(1, 8))
        self.world.wall_offsets_ms[machine] = 0
