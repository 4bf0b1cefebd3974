"""Members of the store that are replaced, wiped or killed just while another one is gone:
nine voters and one gone for good, a newcomer that loses its disk or is killed as it is let
in, a wiped member while another is down. Nothing of it may stop the store for good."""

import asyncio

import pytest
from test_hall import Halls, up

from hollowhall.almanac.vote import LEADER
from hollowhall.sim.disk import SimDisk


async def one_gone(w, *, leads, wait):
    """All up, their list in the log; then one is dark for good, the leader or another, and
    after a while a blank one at another address asks to be let in."""
    w.start_all()
    await w.until(up(w, 3))
    await w.until(lambda: all(h.store.conf["v"] >= 1 for h in w.halls()))
    gone = next(
        x for x in w.nodes if x.startswith("hall") and (w.nodes[x].daemon.store.rank == LEADER) == leads
    )
    w.power_off(w.cards[gone]["machine"])
    await asyncio.sleep(wait)
    w.add_hall(9)
    w.start("hall-9")


def test_of_nine_voters_one_gone_for_good_is_replaced():
    w = Halls(seed=9, n=9)

    async def go():
        w.start_all()
        await w.until(up(w, 9), limit=40)
        gone = next(x for x in w.nodes if x.startswith("hall") and w.nodes[x].daemon.store.rank != LEADER)
        w.power_off(w.cards[gone]["machine"])
        w.add_hall(12)
        w.start("hall-12")
        await w.until(
            lambda: all("10.0.0.12:7000" in h.store.voters and not h.store.blank for h in w.halls()), limit=40
        )
        await w.until(lambda: all(w.cards[gone]["addr"] not in h.store.voters for h in w.halls()), limit=40)

    w.run(go())


def test_of_nine_after_a_replacement_a_wiped_one_counts_again():
    w = Halls(seed=9, n=9)

    async def go():
        w.start_all()
        await w.until(up(w, 9), limit=40)
        gone, wiped = [x for x in w.nodes if x.startswith("hall") and w.nodes[x].daemon.store.rank != LEADER][
            :2
        ]
        w.power_off(w.cards[gone]["machine"])
        w.add_hall(12)
        w.start("hall-12")
        await asyncio.sleep(20)
        w.kill(wiped)
        w.disks[w.cards[wiped]["machine"]] = SimDisk(rng=w.rng)
        w.start(wiped)
        await w.until(lambda: not w.nodes[wiped].daemon.store.blank, limit=60)

    w.run(go())


def test_of_five_one_wiped_while_one_is_down_and_then_a_third():
    """Two may be lost at once: wiped and back for 8 s is not lost any more."""
    w = Halls(seed=5, n=5)

    async def go():
        w.start_all()
        await w.until(up(w, 5))
        await w.until(lambda: all(h.store.conf["v"] >= 1 for h in w.halls()))
        down, wiped, third = [
            x for x in w.nodes if x.startswith("hall") and w.nodes[x].daemon.store.rank != LEADER
        ][:3]
        w.power_off(w.cards[down]["machine"])
        w.kill(wiped)
        w.disks[w.cards[wiped]["machine"]] = SimDisk(rng=w.rng)
        w.start(wiped)
        await asyncio.sleep(8)
        w.kill(third)
        await asyncio.sleep(6)
        assert len(w.primary()) == 1

    w.run(go())


@pytest.mark.parametrize("seed", range(4))
def test_of_three_one_replaced_and_then_another_loses_its_disk(seed):
    """The new one is back for syncS (4 s), so one more may be lost: all its disk, for good."""
    w = Halls(seed=seed, n=3)

    async def go():
        await one_gone(w, leads=True, wait=0.6)
        await asyncio.sleep(4.3)
        wiped = next(
            x
            for x in w.nodes
            if x.startswith("hall") and x != "hall-9" and w.nodes[x].daemon.store.rank != LEADER
        )
        w.kill(wiped)
        w.disks[w.cards[wiped]["machine"]] = SimDisk(rng=w.rng)
        await asyncio.sleep(0.5)
        w.start(wiped)
        await asyncio.sleep(2)
        await w.until(lambda: len(w.primary()) == 1, limit=40)

    w.run(go())


@pytest.mark.parametrize("ms", [0, 20, 40, 60, 80, 100, 120, 140, 160, 180, 200, 250, 300])
def test_a_newcomer_killed_while_it_is_let_in_does_not_stop_the_store(ms):
    w = Halls(seed=ms, n=3)

    async def go():
        await one_gone(w, leads=False, wait=1.0)
        await w.until(
            lambda: any(
                "10.0.0.9:7000" in getattr(h.store, "alms", ()) and h.store.rank == LEADER for h in w.halls()
            )
        )
        await asyncio.sleep(ms / 1000)
        w.kill("hall-9")
        await asyncio.sleep(0.5)
        w.start("hall-9")
        await asyncio.sleep(15)
        await w.until(
            lambda: (
                len(w.primary()) == 1
                and all(not h.store.blank and "10.0.0.9:7000" in h.store.voters for h in w.halls())
            ),
            limit=30,
        )

    w.run(go())


@pytest.mark.parametrize("ms", range(200, 5000, 400))
def test_a_newcomer_that_loses_its_disk_at_once_does_not_stop_the_store(ms):
    w = Halls(seed=ms, n=3)

    async def go():
        await one_gone(w, leads=True, wait=1.0)
        await asyncio.sleep(ms / 1000)
        w.kill("hall-9")
        w.disks["core-9"] = SimDisk(rng=w.rng)
        await asyncio.sleep(0.5)
        w.start("hall-9")
        await asyncio.sleep(10)
        await w.until(lambda: len(w.primary()) == 1, limit=30)

    w.run(go())
