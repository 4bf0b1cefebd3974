"""The check command, and the report of violations that it and a fleet's trials end with."""

import json

from cleo.commands.command import Command
from cleo.helpers import argument

from ...check.judge import judge
from ...standins.history import read


def report(cmd, rows, fig=None):
    bad, seen = judge(rows)
    if fig:
        cmd.line(json.dumps(fig))
    cmd.line(json.dumps(seen))
    for b in bad[:50]:
        cmd.line_error(f"{b.at or 'check'}: {b.rule}: {b.text}")
    cmd.line(f"check: {len(bad)} violations in {len(rows)} rows")
    return 1 if bad else 0


class CheckCommand(Command):
    name = "check"
    description = "Judge histories by what must never happen."
    arguments = [argument("history", "History files.", multiple=True)]

    def handle(self):
        try:
            return report(self, read(self.argument("history")))
        except OSError as e:
            self.line_error(f"{e.filename}: {e.strerror}")
            return 2


CHECK = [CheckCommand]
