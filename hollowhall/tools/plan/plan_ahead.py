"""The part of the `plan` command that runs ahead in time, with and without the change, or
with each worker drained by itself."""

from ...base.problems import BadInput, Raised
from ...standins.history import read
from .ahead import from_history, from_record, look, worst
from .change import Change, apply, read_picture


class AheadMixin:
    def number(self, name):
        x = self.option(name)
        if not x.isdigit() or not 0 < int(x) <= 86_400:
            raise Raised(BadInput(errors=[[name, "a number from 1 to 86400 is wanted"]]))
        return int(x)

    def ahead(self, pic):
        rec, now = read_picture(pic)
        try:
            durs = (
                from_history(read(self.option("durations"))) if self.option("durations") else from_record(rec)
            )
        except (OSError, KeyError, TypeError) as e:
            raise Raised(BadInput(errors=[["durations", str(e)]])) from None
        kw = dict(picture=pic, durs=durs, secs=self.number("ahead"), seeds=self.number("seeds"))
        out = {"without": look(change=lambda r: None, **kw)}
        if self.option("drainable"):
            out["drained"] = {
                i: worst(look(change=lambda r, i=i: apply(r, Change(drain=[i]), now), **kw))
                for i in sorted(rec.workers)
            }
        else:
            out["with"] = look(change=lambda r: apply(r, self.change(pic), now), **kw)
        return out

    def show(self, out):
        for what in ("without", "with"):
            for lane, d in out.get(what, {"lanes": {}})["lanes"].items():
                self.line(
                    f"{what:8} {lane}: " + ", ".join(f"{k} {'/'.join(map(str, v))}" for k, v in d.items())
                )
        ws, left = worst(out["without"])
        for i, (w, n) in sorted(out.get("drained", {}).items(), key=lambda x: (x[1], x[0])):
            self.line(f"drained {i}: longest wait {w} ms ({w - ws:+}), left {n} ({n - left:+})")
