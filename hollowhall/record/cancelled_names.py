"""Names of jobs that were cancelled before the record knew them. The submission may still be on its way: a
gateway that was suspended reads it when it wakes, and cannot know that another one has acknowledged the
cancel. From format level 6 on such a name is refused for a limited time, as that of a cancelled job."""

from ..base import constants


class CancelledNamesMixin:
    """The part of the record that keeps the names of jobs that were cancelled before their submission."""

    def clear_cancelled_names(self):
        self.cancelled_names = {}  # name: stamp of its last cancel; the oldest cancel first

    def pack_cancelled_names(self):
        return {"cancelled_names": dict(self.cancelled_names)} if self.level > 5 else {}

    def load_cancelled_names(self, snapshot):
        self.cancelled_names = dict(snapshot.get("cancelled_names", {}))

    def keep_cancelled_name(self, *, name, stamp):
        """Keeps a name, and forgets those that have expired or are too many."""
        if self.level < 6:
            return
        self.cancelled_names.pop(name, None)
        self.cancelled_names[name] = stamp
        while (
            not self.is_cancelled_name(name=oldest_of(self.cancelled_names), stamp=stamp)
            or len(self.cancelled_names) > self.rule["cancelled_names_max"]
        ):
            del self.cancelled_names[oldest_of(self.cancelled_names)]

    def is_cancelled_name(self, *, name, stamp):
        """Whether a job of this name was cancelled before its submission, so lately that it is refused."""
        cancelled_at = self.cancelled_names.get(name)
        if cancelled_at is None:
            return False
        age_ms = (stamp >> constants.LOGICAL_BITS) - (cancelled_at >> constants.LOGICAL_BITS)
        return age_ms <= self.rule["cancelled_names_ms"]


def oldest_of(names):
    """The name that was added first."""
    return next(iter(names))
