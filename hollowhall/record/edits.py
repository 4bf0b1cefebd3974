"""Changes of the configuration, validated when their entry is applied: whether their base is the present
version, whether the result is valid (even if a caller checked it before), and whether the change was
applied already."""

from ..base import constants
from ..base.problems import BadInput, StaleBase, Success
from .queues import shared_places
from .tenants import shared_keys


class EditsMixin:
    """The part of the record that applies changes of the configuration."""

    def may_have_forgotten(self, change):
        """Whether an edit under a version that its operator chose is older than every remembered
        edit, so that it is unknown whether it was applied. Decides only how the answer is worded;
        not used when an entry is applied."""
        full = len(self.taken) >= constants.RULES[2]["taken_kept"]
        return full and 0 < change.get("chosen", 0) < min(self.taken)

    def edit_chosen(self, change):
        """Replaces the whole configuration, under a version number that the operator chose and on a
        base that they name. A repeated edit, known by its idempotency key, succeeds again."""
        configuration = self.charter
        chosen = configuration.get("chosen", 0)
        if self.taken.get(change["chosen"]) == change["mark"]:
            return Success(value={"version": configuration["version"], "chosen": change["chosen"]})
        if change["on"] != chosen:
            return StaleBase(base=change["on"], version=chosen)
        if change["chosen"] <= chosen:
            return BadInput(errors=[["chosen", f"not above {chosen}"]])
        tenants = self.tenants_of_edit(change)
        if refusal := self.edit_refusal(rows=change["rows"], tenants=tenants.get("tenants", {})):
            return refusal
        self.reconfigure(
            {
                "version": configuration["version"] + 1,
                "rows": change["rows"],
                "at": self.last,
                "chosen": change["chosen"],
                "kinds": change["kinds"],
                "notes": change["notes"],
            }
            | tenants
        )
        self.taken[change["chosen"]] = change["mark"]
        while len(self.taken) > constants.RULES[2]["taken_kept"]:
            del self.taken[min(self.taken)]
        return Success(value={"version": configuration["version"] + 1, "chosen": change["chosen"]})

    def tenants_of_edit(self, change):
        """The tenants of an edit, as {"tenants": table}; empty if the edit has no such table."""
        has = self.rule["tenants"] and change.get("tenants") is not None
        return {"tenants": change["tenants"]} if has else {}

    def changed_tenants(self, change):
        """The tenants that are configured after an edit of all rows or of some (None removes one), as
        {"tenants": table}; empty if the edit has no such table and leaves tenants as they are."""
        update = self.tenants_of_edit(change)
        if not update:
            return {}
        before = {} if change["whole"] else self.configured_tenants() or {}
        after = before | update["tenants"]
        return {"tenants": {name: row for name, row in after.items() if row is not None}}

    def edit_refusal(self, *, rows, tenants):
        """A BadInput if rows and tenants would not form a valid configuration; else None."""
        return (self.rule["jobs_follow_place"] and shared_places(rows)) or shared_keys(tenants)

    def edit(self, change):
        """Changes the configuration: all rows, or some of them (None removes one), on a base version."""
        if "chosen" in change:
            return self.edit_chosen(change)
        if change["base"] != self.charter["version"]:
            return StaleBase(base=change["base"], version=self.charter["version"])
        rows = dict(change["rows"]) if change["whole"] else self.charter["rows"] | change["rows"]
        rows = {name: row for name, row in rows.items() if row is not None}
        if len(rows) > self.rule["rows_max"]:
            return BadInput(errors=[["rows", f"more than {self.rule['rows_max']}"]])
        tenants = self.changed_tenants(change)
        if refusal := self.edit_refusal(rows=rows, tenants=tenants.get("tenants", {})):
            return refusal
        self.reconfigure(
            self.charter | {"version": change["base"] + 1, "rows": rows, "at": self.last} | tenants
        )
        return Success(value={"version": change["base"] + 1})
