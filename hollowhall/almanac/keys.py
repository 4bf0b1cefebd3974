"""The store's key-value state: a deterministic state machine over log entries. Each key has the revision
that created it and the one that last changed it. A transaction compares and then writes atomically. A key
may be attached to a lease and is deleted with it; the leader decides that a lease has expired, and that is
applied as a log entry."""

from ..base.problems import Success, Unknown


class Keys:
    """Keys with their revisions, and leases. `deletions` holds, by a key's first path component, the
    revision of the last deletion."""

    def __init__(self):
        self.rev, self.kv, self.leases, self.deletions = 0, {}, {}, {}

    def pack(self):
        return {"rev": self.rev, "kv": self.kv, "holds": self.leases, "gone": self.deletions}

    def load(self, state):
        self.rev, self.kv, self.leases, self.deletions = (
            state["rev"],
            state["kv"],
            state["holds"],
            state["gone"],
        )

    def put(self, *, key, value, lease):
        old = self.kv.get(key)
        made = old["made"] if old else self.rev
        self.kv[key] = {"v": value, "made": made, "mod": self.rev, "hold": lease}

    def drop(self, *, key):
        if self.kv.pop(key, None) is not None:
            self.deletions[key.split("/")[0] + "/"] = self.rev

    def comparison_holds(self, comparison):
        key, field, expected = comparison
        entry = self.kv.get(key)
        actual = {
            "made": entry["made"] if entry else 0,
            "mod": entry["mod"] if entry else 0,
            "v": entry["v"] if entry else None,
        }[field]
        return actual == expected

    def txn(self, *, cmp, then, els):
        """Applies `then` if all comparisons hold, else `els`, atomically. Returns which one, the revision
        and what the reads found; Unknown if a put names a lease that does not exist."""
        yes = all(self.comparison_holds(comparison) for comparison in cmp)
        operations, got = (then if yes else els), []
        if any(operation[0] != "get" for operation in operations):
            self.rev += 1
        for operation in operations:
            if operation[0] == "put":
                if operation[3] and operation[3] not in self.leases:
                    return Unknown(what="hold", id=str(operation[3]))
        for operation in operations:
            if operation[0] == "put":
                self.put(key=operation[1], value=operation[2], lease=operation[3])
            elif operation[0] == "del":
                self.drop(key=operation[1])
            else:
                got.append(self.kv.get(operation[1]))
        return Success(value={"yes": yes, "rev": self.rev, "got": got})

    def grant(self, *, lease, ttl, caller):
        self.leases[lease] = {"ttl": ttl, "who": caller}
        return Success(value={"hold": lease})

    def revoke(self, *, lease):
        """Deletes a lease and the keys attached to it."""
        if self.leases.pop(lease, None) is None:
            return Unknown(what="hold", id=str(lease))
        self.rev += 1
        for key in [name for name, entry in self.kv.items() if entry["hold"] == lease]:
            self.drop(key=key)
        return Success(value={"rev": self.rev})

    def with_prefix(self, *, prefix):
        return {name: entry for name, entry in self.kv.items() if name.startswith(prefix)}

    def last_revision(self, *, prefix):
        """The last revision that changed or deleted a key under a prefix."""
        revision = max(
            (entry["mod"] for name, entry in self.kv.items() if name.startswith(prefix)), default=0
        )
        return max(revision, self.deletions.get(prefix.split("/")[0] + "/", 0))
