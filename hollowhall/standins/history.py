"""The history: a log of what clients, workers and operators observed, in memory or as a file with
one JSON object per line. The checker judges it."""

import json
import time


class History:
    """A history in memory, or appended to the file at `path`. `now` gives the time in ms."""

    def __init__(self, *, path=None, now=None):
        self.file = open(path, "a", buffering=1) if path else None
        self.rows, self.now = [], now or (lambda: time.time() * 1000)

    def note(self, event_kind, **fields):
        row = {"t": round(self.now(), 3), "ev": event_kind, **fields}
        if self.file:
            self.file.write(json.dumps(row) + "\n")
        else:
            self.rows.append(row)
        return row


def read(paths):
    """Rows of several history files, sorted by time, each with its file and line. A line that is not
    a row becomes a row of kind `unreadable`, which the checker lists. Only a torn last line, of a
    writer that was killed, is left out."""
    rows = []
    for path in paths:
        time_of_row = 0.0
        with open(path, errors="replace") as file:
            for number, line in enumerate(file, 1):
                try:
                    row = json.loads(line)
                except ValueError:
                    row = None
                    if not line.endswith("\n"):
                        continue
                if (
                    not isinstance(row, dict)
                    or not isinstance(row.get("ev"), str)
                    or isinstance(row.get("t"), bool)
                    or not isinstance(row.get("t"), (int, float))
                ):
                    row = {"t": time_of_row, "ev": "unreadable", "line": line.strip()[:80]}
                time_of_row = row["t"]
                rows.append(row | {"_at": f"{path}:{number}"})
    rows.sort(key=lambda row: row["t"])
    return rows
