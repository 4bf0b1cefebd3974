"""The history: the log of what requesters, workers and operators saw, in memory or as a
file of one JSON object a line; the checker judges it."""

import json
import time


class History:
    """What requesters, workers and operators saw, one JSON object a line."""

    def __init__(self, *, path=None, now=None):
        self.f = open(path, "a", buffering=1) if path else None
        self.rows, self.now = [], now or (lambda: time.time() * 1000)

    def note(self, ev, **d):
        row = {"t": round(self.now(), 3), "ev": ev, **d}
        if self.f:
            self.f.write(json.dumps(row) + "\n")
        else:
            self.rows.append(row)
        return row


def read(paths):
    """Rows of several history files, by time, each knowing its file and line. A line that
    is no row becomes one of its own kind for the checker to list; only a torn last line,
    of a writer that was killed, is left out."""
    out = []
    for p in paths:
        t = 0.0
        with open(p, errors="replace") as f:
            for n, line in enumerate(f, 1):
                try:
                    r = json.loads(line)
                except ValueError:
                    r = None
                    if not line.endswith("\n"):
                        continue
                if (
                    not isinstance(r, dict)
                    or not isinstance(r.get("ev"), str)
                    or isinstance(r.get("t"), bool)
                    or not isinstance(r.get("t"), (int, float))
                ):
                    r = {"t": t, "ev": "unreadable", "line": line.strip()[:80]}
                t = r["t"]
                out.append(r | {"_at": f"{p}:{n}"})
    out.sort(key=lambda r: r["t"])
    return out
