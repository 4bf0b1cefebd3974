"""Requests that a store member answers: transactions, leases, reads, batches of the scheduler,
configuration edits and the tail of the log. Any replica answers the tail from its applied state;
transactions, reads and keep-alives are served by the leader only."""

import asyncio

from ..base import constants, log_events
from ..base.circuit import pack
from ..base.problems import Mismatch, NotSynced, StaleBase, Success, Unknown, Unsure
from ..base.slab import PendingRequests
from .clock import LEADER_KEY
from .vote import LEADER


class ServeMixin:
    """Applies log entries, and answers requests of daemons and operators."""

    level_known = 0  # the format level that a leader has raised the record to, or is about to

    def open_serve(self):
        self.pending_polls, self.polls = (
            PendingRequests(capacity=constants.PENDING_REQUESTS_PER_CONNECTION),
            {},
        )

    def apply_entry(self, *, index, command):
        """Applies one committed entry and returns its result; deterministic, the same on every replica."""
        op = command[0]
        if op == "txn":
            outcome = self.keys.txn(cmp=command[1], then=command[2], els=command[3])
            self.note_clock()
            return outcome
        if op == "grant":
            self.lease_kept_at[index] = self.runtime.now()
            if self.election_role == LEADER:
                self.lease_ends[index] = self.runtime.now() + command[1]
            return self.keys.grant(lease=index, ttl=command[1], caller=command[2])
        if op == "revoke":
            outcome = self.keys.revoke(lease=command[1])
            self.note_clock()
            return outcome
        if op == "members":
            return self.enact_membership(command[1])
        if op in ("turn", "edit", "level"):
            for listener in self.entry_listeners:
                listener(op, command[1])
            outcome = self.record.apply_entry(op=op, d=command[1])
            if op == "level":
                self.say(log_events.LEVEL_RAISED, level=self.record.level)
            return outcome
        return Success(value={})

    def note_clock(self):
        """Takes the clock's leader from the keys, so that this process does not ask a former one."""
        entry = self.keys.kv.get(LEADER_KEY)
        self.known_leaders["clock"] = entry["v"] if entry else ""

    def on_tail(self, *, request, callback, caller):
        """A long poll for the record's entries after an index, or for the snapshot if they are gone."""
        index = request["i"]
        if self.refuse_old_level(request=request, callback=callback, caller=caller):
            return

        def test(final):
            if index < self.base_index:
                if request.get("level", 0) and self.record.level:
                    chunk = self.chunk(
                        offset=request["off"] if request.get("of") == [self.settings.addr, self.snap_i] else 0
                    )
                    if chunk is None:
                        return Success(value={"to": index, "es": []}) if final else None
                    return Success(value=chunk | {"to": self.snap_i})
                return Success(value={"to": self.applied, "picture": self.record.pack()})
            entries, size = [], 0
            upto = self.applied
            for entry in self.entries(index + 1):
                if entry[0] > self.applied:
                    break
                if entry[2][:6] in RECORD_PREFIXES:
                    entries.append([entry[0], entry[2]])
                    size += len(entry[2])
                    if size > constants.APPEND_MAX_BYTES:
                        upto = entry[0]
                        break
            if entries or final:
                return Success(value={"to": upto, "es": entries})
            return None

        self.park(test=test, callback=callback, wait=request.get("wait", constants.LONG_POLL_TIMEOUT))

    def refuse_old_level(self, *, request, callback, caller):
        """Answers Mismatch and returns True if the caller does not support the record's format level: it
        would compute a different state."""
        if request.get("level", 0) >= self.record.level:
            return False
        self.say(log_events.LEVEL_OLD, who=caller, level=request.get("level", 0), record=self.record.level)
        callback(Mismatch(field="level", want=str(self.record.level), got=str(request.get("level", 0))))
        return True

    # --- on the leader

    def on_turn(self, *, request, callback, caller):
        """A scheduler's batch. The answer includes the record's entries that the scheduler lacks; `gap` says
        that some of them are gone from the log."""
        have = request["have"]

        def then(outcome):
            if not outcome.ok:
                callback(outcome)
                return
            entries = [
                [entry[0], entry[2]]
                for entry in self.entries(have + 1)
                if entry[0] <= self.applied and entry[2][:6] in RECORD_PREFIXES
            ]
            gap = have < self.base_index
            callback(
                Success(
                    value={
                        "o": outcome.value,
                        "to": self.applied,
                        "es": [] if gap else entries,
                        "gap": gap,
                        "sum": self.record.sum,
                    }
                )
            )

        self.propose(request=pack(["turn", request["d"]]), callback=then)

    def on_txn(self, *, request, callback, caller):
        self.propose(
            request=pack(["txn", request["cmp"], request["then"], request.get("els", [])]), callback=callback
        )

    def on_grant(self, *, request, callback, caller):
        if not self.refuse_old_level(request=request, callback=callback, caller=caller):
            self.propose(request=pack(["grant", request["ttl"], caller]), callback=callback)

    def on_revoke(self, *, request, callback, caller):
        self.propose(request=pack(["revoke", request["hold"]]), callback=callback)

    def on_edit(self, *, request, callback, caller):
        """An edit of the configuration. The answer to a stale one is Unsure if the record may have forgotten
        whether it was accepted before."""
        if "chosen" in request and (self.record.level < 2 or self.level_known > self.record.level):
            callback(NotSynced(tries=0))  # not supported at this format level, or the level is about to rise
            return

        def then(outcome):
            if isinstance(outcome, StaleBase) and self.record.may_have_forgotten(request):
                outcome = Unsure(why="older than what is remembered of changes")
            callback(outcome)

        self.propose(request=pack(["edit", request]), callback=then)

    def on_configure(self, *, request, callback, caller):
        """An edit that may include tenants. Daemons that do not support tenants do not know this request
        either, so no tenant table is dropped silently."""
        if not self.record.rule["tenants"]:
            callback(NotSynced(tries=0))
            return
        self.on_edit(request=request, callback=callback, caller=caller)

    def on_get(self, *, request, callback, caller):
        def then(failure):
            callback(
                failure
                if failure is not None
                else Success(value={"rev": self.keys.rev, "kv": self.keys.with_prefix(prefix=request["p"])})
            )

        self.read(callback=then)

    def on_where_to(self, *, request, callback, caller):
        """A barrier: an applied index that includes everything confirmed before this request."""
        self.read(
            callback=lambda failure: callback(
                failure if failure is not None else Success(value={"i": self.applied})
            )
        )

    def on_charter_now(self, *, request, callback, caller):
        """The newest configuration; with `public`, without API keys, as readers may see it."""

        def then(failure):
            configuration = (
                self.record.public_configuration() if request.get("public") else self.record.charter
            )
            callback(failure if failure is not None else Success(value=configuration))

        self.read(callback=then)

    def on_keep(self, *, request, callback, caller):
        """A keep-alive of a lease; confirmed only by a leader that a majority still follows."""
        lease = request["hold"]
        self.lease_kept_at[lease] = (
            self.runtime.now()
        )  # set before the appends that confirm the keep-alive, which carry it

        def then(failure):
            if failure is not None:
                callback(failure)
            elif lease not in self.keys.leases or lease in self.expiring or self.election_role != LEADER:
                callback(Unknown(what="hold", id=str(lease)))
            else:
                self.lease_ends[lease] = self.runtime.now() + self.keys.leases[lease]["ttl"]
                callback(Success(value={}))

        self.read(callback=then)

    async def expire_leases(self):
        """The leader's task that revokes expired leases through the log. Also drops the parked polls of a
        replica that is out of touch."""
        while True:
            await asyncio.sleep(constants.LEADER_CHECK_PERIOD)
            if self.polls and self.out_of_touch():
                self.drop_polls()
            if self.election_role != LEADER or not self.has_committed():
                continue
            now = self.runtime.now()
            for lease in list(self.keys.leases):
                if self.lease_ends.get(lease, now) < now and lease not in self.expiring:
                    self.expiring.add(lease)
                    self.propose(request=pack(["revoke", lease]), callback=lambda outcome: None)

    def on_wall(self, *, request, callback, caller):
        callback(Success(value={"wall": self.runtime.wall()}))


# The first bytes of the packed log entries that belong to the record: [kind, fields].
RECORD_PREFIXES = tuple(pack([x, 0])[:6] for x in ("turn", "edit", "level"))
