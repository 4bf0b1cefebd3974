"""Authentication of tenants by API key, against the configuration that the gateway holds. Only digests
of keys are held, and no answer, log line or metric contains a key."""

import hmac

from ..base.problems import Success, Unauthorized
from ..record.tenant_bodies import key_digest

BEARER = "bearer "


def bearer_key(headers):
    """The key of an `Authorization: Bearer KEY` header; None where there is none."""
    value = headers.get("authorization", "")
    return value[len(BEARER) :].strip() if value.lower().startswith(BEARER) else None


class KeysMixin:
    """An index of tenants by key digest, rebuilt when the configuration changes."""

    keys_version, tenant_by_digest = -1, {}  # the index, and the configuration version it was built from

    def tenants_configured(self):
        """Whether the configuration has tenants; without them no call needs a key."""
        return self.charter.get("tenants") is not None

    def tenant_index(self):
        if self.keys_version != self.charter["version"]:
            rows = self.charter.get("tenants") or {}
            self.tenant_by_digest = {digest: name for name, row in rows.items() for digest in row["keys"]}
            self.keys_version = self.charter["version"]
        return self.tenant_by_digest

    def tenant_of_key(self, key):
        """The tenant that has this key; '' if none has. Compares in constant time."""
        digest = key_digest(key)
        tenant = self.tenant_index().get(digest, "")
        known = self.charter["tenants"][tenant]["keys"] if tenant else ()
        return tenant if any([hmac.compare_digest(digest, other) for other in known]) else ""

    def authorize(self, *, key, lane=""):
        """Success with the caller's tenant, which is '' if the configuration has no tenants or the queue
        needs no key; Unauthorized if a key is needed and this one is missing or unknown. key: str or
        None; lane: the queue that the call is for, '' if the call names none."""
        if not self.tenants_configured():
            return Success(value="")
        tenant = self.tenant_of_key(key) if key else ""
        if tenant or self.charter["rows"].get(lane, {}).get("open"):
            return Success(value=tenant)
        return Unauthorized()
