"""The part of the `plan` command that forecasts: with and without the change, or with each worker drained
by itself."""

from ...base.problems import BadInput, Raised
from ...standins.history import read
from .ahead import forecast, from_history, from_record, worst_outcome
from .change import Change, apply, read_picture


class AheadMixin:
    """Options and output of `plan --ahead`."""

    def number(self, name):
        """The value of a numeric option. Raises Raised(BadInput) outside 1 to 86400."""
        text = self.option(name)
        if not text.isdigit() or not 0 < int(text) <= 86_400:
            raise Raised(BadInput(errors=[[name, "a number from 1 to 86400 is wanted"]]))
        return int(text)

    def ahead(self, picture):
        """The forecasts that the options ask for: {without, with}, or {without, drained} with --drainable."""
        record, now = read_picture(picture)
        try:
            durations = (
                from_history(read(self.option("durations")))
                if self.option("durations")
                else from_record(record)
            )
        except (OSError, KeyError, TypeError) as error:
            raise Raised(BadInput(errors=[["durations", str(error)]])) from None
        arguments = dict(
            picture=picture, durations=durations, seconds=self.number("ahead"), seeds=self.number("seeds")
        )
        out = {"without": forecast(change=lambda copy: None, **arguments)}
        if self.option("drainable"):
            out["drained"] = {
                worker: worst_outcome(
                    forecast(
                        change=lambda copy, worker=worker: apply(copy, Change(drain=[worker]), now),
                        **arguments,
                    )
                )
                for worker in sorted(record.workers)
            }
        else:
            out["with"] = forecast(change=lambda copy: apply(copy, self.change(picture), now), **arguments)
        return out

    def show(self, out):
        for what in ("without", "with"):
            for lane, figures in out.get(what, {"lanes": {}})["lanes"].items():
                self.line(
                    f"{what:8} {lane}: "
                    + ", ".join(f"{key} {'/'.join(map(str, values))}" for key, values in figures.items())
                )
        undrained_wait, undrained_left = worst_outcome(out["without"])
        for worker_id, (wait, left) in sorted(
            out.get("drained", {}).items(), key=lambda row: (row[1], row[0])
        ):
            self.line(
                f"drained {worker_id}: longest wait {wait} ms ({wait - undrained_wait:+}), "
                f"left {left} ({left - undrained_left:+})"
            )
