"""The time of a daemon's event loop by section: the time of a nested section is not counted for the section
around it, also when a section raises."""

from hollowhall.base.loop_time import LoopTime, in_section


class Clock:
    """A clock that the daemon below moves on."""

    def __init__(self):
        self.now = 5.0


class Daemon:
    """Has a section within another one."""

    def __init__(self, clock):
        self.clock, self.loop_time = clock, LoopTime(now=lambda: clock.now)

    @in_section("outer")
    def outer(self):
        self.clock.now += 0.1
        self.inner()

    @in_section("inner")
    def inner(self):
        self.clock.now += 0.3


def test_a_nested_section_is_not_counted_for_the_outer_one():
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


def test_an_object_without_a_daemon_is_not_timed():
    class Part:
        """An object without a daemon's loop_time."""

        @in_section("work")
        def work(self):
            return 7

    assert Part().work() == 7
