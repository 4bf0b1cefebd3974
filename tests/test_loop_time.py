"""The time of a daemon's loop by section: a section within another one counts for itself alone, and what a
loop that was held up ran stands in its log line."""

from hollowhall.base.loop_time import LoopTime, in_section


class Clock:
    def __init__(self):
        self.now = 5.0


class Daemon:
    def __init__(self, clock):
        self.clock, self.loop_time = clock, LoopTime(now=lambda: clock.now)

    @in_section("outer")
    def outer(self):
        self.clock.now += 0.1
        self.inner()

    @in_section("inner")
    def inner(self):
        self.clock.now += 0.3


def test_a_section_within_another_counts_for_itself_alone():
    daemon = Daemon(Clock())
    daemon.outer()
    daemon.inner()
    assert daemon.loop_time.take() == "inner:600,outer:100"
    assert daemon.loop_time.take() == "-"


def test_a_section_that_raises_is_counted():
    daemon = Daemon(Clock())
    try:
        with daemon.loop_time.section("broken"):
            daemon.inner()
            raise KeyError
    except KeyError:
        pass
    daemon.inner()
    assert daemon.loop_time.take() == "inner:600,broken:0"


def test_a_part_without_a_daemon_is_not_timed():
    class Part:
        @in_section("work")
        def work(self):
            return 7

    assert Part().work() == 7
