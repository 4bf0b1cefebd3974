"""The command line, built with cleo. Each daemon role and each tool is a subcommand. Exit codes: 0 success,
1 it ran and found a failure, 2 invalid settings or flags, 3 damaged disk, 4 no daemon could be reached."""

import sys

from cleo.application import Application

from . import __version__
from .explore.command import EXPLORE
from .tools.check.check import CHECK
from .tools.check.storm import STORM
from .tools.experiment.command import EXPERIMENT
from .tools.explain.command import EXPLAIN
from .tools.fleet.commands import FLEET
from .tools.measure.measure import MEASURE
from .tools.measure.sick import SICK_WORKERS
from .tools.operate.commands import OPERATE
from .tools.operate.members import MEMBERS
from .tools.operate.reservations import RESERVATIONS
from .tools.operate.restore import RESTORE
from .tools.operate.tenants import TENANTS
from .tools.plan.plan import PLAN
from .tools.plan.solve import SOLVE
from .tools.run import RUN
from .tools.scale import SCALE


def make():
    app = Application("hollowhall", __version__)
    for command in (
        RUN
        + FLEET
        + CHECK
        + MEMBERS
        + OPERATE
        + RESERVATIONS
        + TENANTS
        + PLAN
        + STORM
        + MEASURE
        + RESTORE
        + SOLVE
        + SCALE
        + SICK_WORKERS
        + EXPLORE
        + EXPERIMENT
        + EXPLAIN
    ):
        app.add(command())
    return app


def main():
    sys.exit(make().run())


if __name__ == "__main__":
    main()
