"""Membership changes without the majority of the present members, and feeds that must end."""

import asyncio

import weak as W
from test_members import change, joiner, play, settled, until, world

from hollowhall.almanac import Almanac


class Hurried(Almanac):
    """Counts a new member at once, and lets go of the old one's majority."""

    abstract = False

    def most(self):
        return 1 if self.conf["v"] else super().most()


def test_without_majorities_of_the_present_members_things_are_lost():
    def lost(build, seed=3):
        w = world(seed, build=build)

        async def steps(op):
            lead = w.who("almanac", "leader")[0]
            old = "almanac-1" if lead != "almanac-1" else "almanac-2"
            await change(op, "replace", w.cards[old]["addr"], joiner(w, 4))
            await until(w, op, settled)
            m = w.cards[w.who("almanac", "leader")[0]]["machine"]
            for n in range(1, 5):
                w.net.cut(m, f"core-{n}")
            for n in range(40):
                c = await op.read()
                if c is not None:
                    await op.edit(
                        base=c["version"], rows={"tiles": w.shape.lanes["tiles"] | {"weight": n + 1}}
                    )
                await asyncio.sleep(0.15)
            w.net.heal()
            await asyncio.sleep(3)

        return play(w, steps)[0]

    assert any(lost(W.REAL | {"almanac": Hurried}, s) for s in range(3, 9))
    assert lost(W.REAL) == []


def test_a_feed_ends_whenever_its_member_is_taken_out():
    """Memoria 41022 of a sweep: the word of news and the end of the feed came in one
    moment, asyncio's wait_for let the one hide the other, and the leader's feed broke."""
    for n in range(4):
        w = world(2)

        async def go(w=w, n=n):
            w.start_all()
            await asyncio.sleep(3)
            a = w.nodes[w.who("almanac", "leader")[0]].daemon
            p = a.peers[0]
            feed = a.feeds[p]

            async def out():
                a.news[p].set()
                for _ in range(n):
                    await asyncio.sleep(0)
                a.confs.append((a.last(), a.conf | {"voters": [x for x in a.voters if x != p]}))
                a.use_conf()

            await w.nodes[a.params.id].run(out())
            await asyncio.sleep(1)
            return feed.done(), [x for x in w.log if "HH106" in x]

        assert w.run(go()) == (True, []), n
