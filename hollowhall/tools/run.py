"""The subcommands that run a daemon: `almanac` (store member), `desk` (scheduler), `mast` (gateway) and `hall` (a store
member and a scheduler in one process). Settings are checked before any socket is opened. SIGTERM and SIGINT shut the
daemon down gracefully; SIGHUP reloads the settings."""

import asyncio
import signal
import sys

import logbook
from cleo.commands.command import Command
from cleo.helpers import option

from ..almanac import StoreMember
from ..base import log_events
from ..base import params as P
from ..base.problems import DiskDamage, Raised
from ..base.seam import Runtime
from ..desk import Desk
from ..hall import Hall
from ..mast import Mast

ROLES = {"almanac": StoreMember, "desk": Desk, "mast": Mast, "hall": Hall}
SINGLE_FLAGS = ("id", "addr", "http", "bind", "zone", "cluster", "data", "log", "desk")


def daemon_options():
    return [
        option("params", "p", "TOML file with the daemon's settings.", flag=False),
        option("id", None, "Name of this daemon.", flag=False),
        option("addr", None, "IP:port for RPC between daemons.", flag=False),
        option("http", None, "IP:port for HTTP (mast).", flag=False),
        option(
            "bind", None, "IP:port to listen on, if it differs from the address that others use.", flag=False
        ),
        option("desk", None, "IP:port of the scheduler of a hall.", flag=False),
        option("zone", None, "Zone of this machine.", flag=False),
        option("cluster", None, "Name of the cluster.", flag=False),
        option("seed", None, "IP:port of a store member; give it three times.", flag=False, multiple=True),
        option("data", None, "Data directory (almanac and hall).", flag=False),
        option("log", None, "Log level: debug, info, warning or error.", flag=False),
        option("found", None, "Bootstrap a new store if all members are empty.", flag=True),
    ]


def read_flags(command, role):
    """The settings of a daemon, from its file and the command line. Raises Raised if they are invalid."""
    flags = {flag: command.option(flag) for flag in SINGLE_FLAGS}
    flags |= {"seeds": command.option("seed") or None, "found": command.option("found") or None, "role": role}
    return P.read(path=command.option("params"), flags=flags)


def report_errors(command, problem):
    """Prints each invalid setting; returns the exit code."""
    for key, why in problem.errors:
        command.line_error(f"params: {key}: {why}")
    return 2


async def serve(command, role, settings):
    """Runs a daemon until it ends; returns the exit code: 0 after a shutdown, 1 after a failure, 3 if its data is
    damaged."""
    folder = settings.data if role in ("almanac", "hall") else None
    daemon = ROLES[role](settings=settings, runtime=Runtime(folder=folder))
    loop, leaving, started = asyncio.get_running_loop(), [], asyncio.Event()

    def leave():
        if not leaving:
            leaving.append(loop.create_task(leave_once_started()))

    async def leave_once_started():
        await started.wait()
        await daemon.leave()
        daemon.ended.set()

    def reload_params():
        try:
            daemon.apply_settings(read_flags(command, role))
            set_log_level(settings.log)
        except Raised as error:
            daemon.say(log_events.PARAMS_KEPT, errors=error.failure.errors)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, leave)
    loop.add_signal_handler(signal.SIGHUP, reload_params)
    try:
        await daemon.start()
        started.set()
    except Raised as error:
        command.line_error(repr(error.failure))
        return 3 if isinstance(error.failure, DiskDamage) else 1
    except OSError as error:
        command.line_error(f"{settings.addr}: {error.strerror}")
        return 1
    await daemon.ended.wait()
    await daemon.stop()
    return 1 if daemon.failed else 0


LOG_HANDLER = logbook.StreamHandler(
    sys.stderr,
    format_string=(
        "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel} {record.message}"
    ),
)


def set_log_level(name):
    LOG_HANDLER.level = logbook.lookup_level(name.upper())


class RoleCommand(Command):
    """Base of the commands that run a daemon; the command's name is the daemon's role."""

    options = daemon_options()

    def handle(self):
        try:
            params = read_flags(self, self.name)
        except Raised as e:
            return report_errors(self, e.failure)
        logbook.set_datetime_format("utc")
        set_log_level(params.log)
        LOG_HANDLER.push_application()
        return asyncio.run(serve(self, self.name, params))


class AlmanacCommand(RoleCommand):
    """Runs a store member."""

    name = "almanac"
    description = "Run a member of the replicated store (needs a disk)."


class DeskCommand(RoleCommand):
    """Runs a scheduler."""

    name = "desk"
    description = "Run a scheduler; one is primary, the others are standbys."


class MastCommand(RoleCommand):
    """Runs a gateway."""

    name = "mast"
    description = "Run a gateway: HTTP for clients, workers and operators."


class HallCommand(RoleCommand):
    """Runs a store member and a scheduler in one process."""

    name = "hall"
    description = "Run a store member and a scheduler in one process, for a small core machine."


RUN = [HallCommand, AlmanacCommand, DeskCommand, MastCommand]
