"""Faults, from a seed. `schedule` draws a list of (second, fault, number) before the
run begins, so a failing run can be shrunk by leaving faults out. Every fault heals
itself; the last second of healing is the last fault of the run."""

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
LARGE = ["huge", "wide_table"]  # minutes of a processor a run, so not among ALL
ALL = CORE + NET + WORK + CROWD


def schedule(*, seed, kinds=ALL, n=10, start=4.0, end=34.0):
    r = random.Random(seed * 7919 + 13)
    out = [(round(r.uniform(start, end), 3), r.choice(kinds), r.getrandbits(30)) for _ in range(n)]
    return sorted(out)


class Faults(SharpFaults, NetFaults):
    """Carries faults out on a world. Each method is one fault, from cause to cure."""

    def __init__(self, *, world, requester, operators, calm):
        self.w, self.req, self.ops, self.extra = world, requester, operators, []
        self.calm = calm

    async def run(self, plan):
        ts = [asyncio.ensure_future(self.one(*x)) for x in plan]
        await asyncio.gather(*ts)
        self.w.hist.note("fault", what="the last one is healed")
        await asyncio.gather(*self.extra)

    async def one(self, t, what, num):
        await asyncio.sleep(max(0.0, t - self.w.loop.vt))
        self.w.hist.note("fault", what=what)
        self.w.log.append(f"{self.w.loop.vt:.6f} fault {what} {num}")
        await getattr(self, what)(random.Random(num))

    def pick(self, r, names, default):
        return r.choice(sorted(names)) if names else default

    # --- daemons

    async def down_up(self, name, secs):
        self.w.kill(name)
        await asyncio.sleep(secs)
        if name not in self.w.nodes and self.w.cards[name]["machine"] not in ("scrap", *self.w.net.dark):
            self.w.start(name)

    async def kill_primary(self, r):
        await self.down_up(self.pick(r, self.w.who("desk", "primary"), "desk-1"), r.uniform(0.1, 6))

    async def kill_leader(self, r):
        await self.down_up(self.pick(r, self.w.who("almanac", "leader"), "almanac-1"), r.uniform(0.1, 6))

    async def kill_any(self, r):
        await self.down_up(self.pick(r, self.w.cards, ""), r.uniform(0.1, 6))

    async def pause(self, name, secs, first=False):
        self.w.pause(name)
        await asyncio.sleep(secs)
        self.w.pause(name, on=False, sockets_first=first)

    def primary(self, r):
        return self.pick(r, self.w.who("desk", "primary"), "desk-1")

    async def pause_mast(self, r):
        n = self.pick(r, [n for n in self.w.nodes if n.startswith("mast")], "mast-1")
        await self.pause(n, r.uniform(1, 7), first=True)

    async def pause_primary(self, r):
        await self.pause(self.primary(r), r.uniform(0.5, 8), first=r.random() < 0.5)

    async def pause_leader(self, r):
        await self.pause(self.pick(r, self.w.who("almanac", "leader"), "almanac-1"), r.uniform(0.3, 8))

    async def pause_clock(self, r):
        n = [n for n, x in self.w.nodes.items() if getattr(x.daemon, "clk", None)]
        await self.pause(self.pick(r, n, "almanac-1"), r.uniform(0.5, 8))

    async def pause_any(self, r):
        await self.pause(self.pick(r, self.w.nodes, "mast-1"), r.uniform(0.2, 8))

    async def leave_daemon(self, r):
        n = self.pick(r, self.w.nodes, "")
        if n and self.w.nodes[n].awake:
            self.w.leave(n)
            await asyncio.sleep(r.uniform(2.5, 5))
            if n in self.w.nodes:
                self.w.kill(n)
            if self.w.cards[n]["machine"] not in ("scrap", *self.w.net.dark):
                self.w.start(n)

    async def power(self, r, core=None, lose=False):
        m = core or f"core-{r.randint(1, 3)}"
        if m in self.w.net.dark or m not in self.w.disks:
            return
        self.w.power_off(m)
        if lose:
            self.w.disks[m].lose()
        await asyncio.sleep(r.uniform(0.2, 6))
        self.w.power_on(m, [n for n, c in self.w.cards.items() if c["machine"] == m])

    async def power_primary(self, r):
        n = self.pick(r, self.w.who("almanac", "leader"), "almanac-1")
        await self.power(r, core=self.w.cards[n]["machine"])

    async def core_gone(self, r):
        """The machine that leads the store goes, with clock and primary where they are
        its own: their daemons are killed in one moment, and stay away for a while."""
        n = self.pick(r, self.w.who("almanac", "leader"), "almanac-1")
        m = self.w.cards[n]["machine"]
        names = self.w.on_machine(m)
        for x in names:
            self.w.kill(x)
        await asyncio.sleep(r.uniform(1, 9))
        for x in names:
            if x not in self.w.nodes and self.w.cards[x]["machine"] == m and m not in self.w.net.dark:
                self.w.start(x)

    async def replace_core(self, r):
        """A control machine is replaced at another address, while two operators want
        it so; the old one is killed, or taken out unawares and woken late."""
        for _ in range(100):
            olds = [n for n in sorted(self.w.nodes) if n.startswith("almanac")]
            if len(olds) >= 3 and not getattr(self.w, "losing", False):
                break
            await asyncio.sleep(0.2)
        n = 1 + sum(1 for c in self.w.cards.values() if c["role"] == "almanac")
        if n > 6 or len(olds) < 3 or getattr(self.w, "losing", False):
            return
        self.w.losing, name, addr = True, f"almanac-{n}", f"10.0.0.{n}:7000"
        self.w.add_card(name, "almanac", f"core-{n}", addr, zone=n, data="/d", join=True)
        self.w.start(name)
        old, end = r.choice(olds), self.w.loop.vt + 60
        out, dead = self.w.cards[old]["addr"], r.random() < 0.4
        if dead:
            self.w.kill(old)
        while self.w.loop.vt < end:
            vs = await asyncio.gather(*[op.replace(out, addr) for op in self.ops])
            if any(v and addr in v["voters"] and out not in v["voters"] for v in vs):
                break
            await asyncio.sleep(0.5)
        if not dead and r.random() < 0.5:
            await self.pause(old, r.uniform(1, 5))
        await asyncio.sleep(r.uniform(0, 2))
        self.w.kill(old)
        self.w.cards[old]["machine"] = "scrap"  # nobody starts it again
        self.w.losing = False

    async def power_all(self, r):
        """The whole core loses power at one moment, with slow disks under way."""
        ms = [m for m in sorted(self.w.disks) if m not in self.w.net.dark]
        for m in ms:
            self.w.disks[m].slow = 0.2
        await asyncio.sleep(r.uniform(0.3, 1.5))
        for m in ms:
            self.w.power_off(m)
            self.w.disks[m].slow = 0.0
        await asyncio.sleep(r.uniform(0.2, 3))
        for m in sorted(ms, key=lambda x: r.random()):
            self.w.power_on(m, [n for n, c in self.w.cards.items() if c["machine"] == m])
            await asyncio.sleep(r.uniform(0, 1))

    async def lose_disk(self, r):
        """At most one blank disk at a time: two of three is past what we promise."""
        if getattr(self.w, "losing", False):
            return
        self.w.losing = True
        await self.power(r, lose=True)
        for _ in range(600):
            if not any(getattr(x.daemon, "blank", False) for x in self.w.nodes.values()):
                break
            await asyncio.sleep(0.1)
        self.w.losing = False

    async def stall_disk(self, r):
        d = self.w.disks[f"core-{r.randint(1, 3)}"]
        d.stalled = True
        await asyncio.sleep(r.uniform(0.5, 8))
        d.stalled = None

    async def slow_disk(self, r):
        d = self.w.disks[f"core-{r.randint(1, 3)}"]
        d.slow = r.uniform(0.01, 0.3)
        await asyncio.sleep(r.uniform(2, 8))
        d.slow = 0.0

    async def wall_jump(self, r):
        m = f"core-{r.randint(1, 3)}"
        self.w.walls[m] = self.w.walls.get(m, 0) + r.choice((-1, 1)) * r.choice((200, 5000, 3_600_000))
        await asyncio.sleep(r.uniform(1, 8))
        self.w.walls[m] = 0
