"""Admission control of tenants' jobs at a gateway. It keeps a token bucket for each tenant that sent it
jobs recently, and admits or refuses a job from that bucket alone: no request waits for a call. Every
few seconds, and at once when a bucket is empty, it asks the primary for a refill and reports what it
holds and what was requested.

A bucket admits a job while it has tokens, and pays its whole cost, so that a job larger than what is
left is not refused for ever; later refills pay the debt. A tenant that is new at this gateway may run
up a small debt before its first refill. Granted tokens expire after a term: a gateway without contact
to the primary spends what it has, and then refuses."""

import asyncio
from dataclasses import dataclass
from functools import partial

from ..base import constants, log_events
from ..base.problems import BudgetUnknown, Success, Throttled
from ..record.tenants import room_limits


@dataclass(kw_only=True, slots=True)
class Bucket:
    """A tenant's tokens at this daemon."""

    tokens: int
    until: float  # s; when the granted tokens expire
    min_tokens: int = 0  # a job is admitted while there are more tokens than this
    asked: int = 0  # tokens that jobs requested since the last refill
    last_active_at: float = 0.0  # s; time of the tenant's last job
    admitted: int = 0  # jobs since the daemon's start
    refused: int = 0


def charge_of(*, spec, limits):
    """The cost of a job in tokens: milliseconds of its tenant's whole limit, in the resource it uses most
    of. It depends on size (tasks, their resources, their estimated time) and kind: a gang, which must
    start as a whole, costs CHARGE_GANG_FACTOR as much; a long-running step counts for a fixed time. At
    most CHARGE_MAX, since the limit itself bounds what a job may run at once. 0 without limits."""
    if not any(limits):
        return 0
    total = 0
    for step in spec["steps"]:
        part = max((need / limit for need, limit in zip(step["room"], limits) if limit), default=0.0)
        lasts = spec["standing"] or step.get("forever")
        ms = (
            constants.CHARGE_LONG_RUNNING_MS
            if lasts
            else step.get("estimateMs") or constants.CHARGE_DEFAULT_MS
        )
        total += step["tasks"] * part * ms * (constants.CHARGE_GANG_FACTOR if step.get("gang") else 1)
    return max(1, min(constants.CHARGE_MAX, round(total)))


class AdmissionMixin:
    """The token buckets of a gateway and their refills."""

    def open_admission(self):
        self.buckets, self.life = {}, ""
        self.refill_seq = self.refill_answered = (
            0  # numbers of the last refill request and the last one answered
        )
        self.refilled_at, self.refill_wanted = -constants.LOAN_TERM, asyncio.Event()
        self.last_refill_ok = True  # whether the last refill request succeeded

    def begin_refills(self):
        """Called with the first bucket: a gateway without tenants that have limits requests no refills."""
        self.life = f"{self.settings.id}/{self.runtime.rng.getrandbits(32):08x}"
        self.run_task(coroutine=self.refill_buckets(), name="refill")

    # --- admission

    def limits_of_tenant(self, tenant):
        row = (self.charter.get("tenants") or {}).get(tenant)
        return room_limits(row) if row is not None else [0, 0, 0]

    def bucket_of(self, tenant):
        """A tenant's bucket without its expired tokens; created, with a refill request, if it is new."""
        now = self.runtime.now()
        bucket = self.buckets.get(tenant)
        if bucket is None:
            if not self.life:
                self.begin_refills()
            bucket = self.buckets[tenant] = Bucket(
                tokens=0, min_tokens=-constants.NEW_BUCKET_DEBT_MAX, until=now + constants.LOAN_TERM
            )
            self.refill_wanted.set()
        elif now > bucket.until:
            bucket.tokens = min(0, bucket.tokens)
        return bucket

    def admit(self, *, tenant, spec):
        """Admits or refuses a tenant's job. Success with the charge, which `refund` returns if the job is
        not new or not accepted; otherwise Throttled, or BudgetUnknown if this gateway has been without
        a refill for so long that it cannot know the tenant's budget."""
        charge = charge_of(spec=spec, limits=self.limits_of_tenant(tenant)) if tenant else 0
        if not charge:
            return Success(value=0)
        bucket = self.bucket_of(tenant)
        bucket.last_active_at, bucket.asked = self.runtime.now(), bucket.asked + charge
        if bucket.tokens > bucket.min_tokens:
            bucket.tokens -= charge
            bucket.admitted += 1
            self.gauges.admitted(tenant)
            if bucket.tokens <= 0:
                self.refill_wanted.set()
            return Success(value=charge)
        bucket.refused += 1
        self.gauges.refused(tenant)
        self.refill_wanted.set()
        kind = Throttled if self.runtime.now() - self.refilled_at < constants.LOAN_TERM else BudgetUnknown
        return kind(resource="tenant", operation="submit", limit="budget", after=constants.RETRY_AFTER)

    def refund(self, *, tenant, charge):
        """Returns the charge of an admitted job that was not accepted or existed before."""
        bucket = self.buckets.get(tenant)
        if bucket is not None and charge:
            bucket.tokens += charge
            bucket.asked = max(0, bucket.asked - charge)

    def submit(self, *, request, tenant, callback, wait):
        """Sends a job to the primary if its tenant's bucket admits it; otherwise calls callback at once.
        The charge is refunded if the job is not new or was certainly not accepted. request: name, spec,
        digest; tenant: of the key that came with it, '' for none; wait: s, at most. Returns a function
        that frees the slot when the client disconnects."""
        admitted = self.admit(tenant=tenant, spec=request["spec"])
        if not admitted.ok:
            callback(admitted)
            return lambda: None
        if tenant:
            request = request | {"spec": request["spec"] | {"tenant": tenant}}
        on_result = partial(self.submitted, tenant=tenant, charge=admitted.value, callback=callback)
        return self.request(op="job", request=request, callback=on_result, wait=wait)

    def submitted(self, result, *, tenant, charge, callback):
        unused = not result.value.get("new", True) if result.ok else result.taken == "no"
        if unused:
            self.refund(tenant=tenant, charge=charge)
        callback(result)

    # --- refills

    async def refill_buckets(self):
        while True:
            await self.refill_due()
            self.drop_idle_buckets()
            if self.buckets and self.tenants_configured():
                await self.refill()

    async def refill_due(self):
        """Waits for the next period or until a bucket is empty, at least a pause after the last refill."""
        gap = constants.REFILL_PERIOD_EMPTY if self.last_refill_ok else constants.REFILL_RETRY_DELAY
        await asyncio.sleep(gap)
        try:
            await asyncio.wait_for(self.refill_wanted.wait(), constants.REFILL_PERIOD - gap)
        except TimeoutError:
            pass
        self.refill_wanted.clear()

    def drop_idle_buckets(self):
        """Drops buckets that were unused for a term, and those of removed tenants. The primary takes
        their tokens back with the next refill request, which does not name them."""
        now, tenants = self.runtime.now(), self.charter.get("tenants") or {}
        self.buckets = {
            tenant: bucket
            for tenant, bucket in self.buckets.items()
            if tenant in tenants and now - bucket.last_active_at < constants.LOAN_TERM
        }

    async def refill(self):
        """Sends one refill request to the primary. The next one says which answer was received last, so
        that the primary can account for lost answers."""
        if not self.primary:
            return
        sent, self.refill_seq = self.runtime.now(), self.refill_seq + 1
        asked = {tenant: self.bucket_of(tenant).asked for tenant in self.buckets}
        request = {
            "life": self.life,
            "seq": self.refill_seq,
            "have": self.refill_answered,
            "rows": [[tenant, self.buckets[tenant].tokens, count] for tenant, count in asked.items()],
            "counts": {name: [bucket.admitted, bucket.refused] for name, bucket in self.buckets.items()},
        }
        link = self.way(op="refill", addr=self.primary)
        result = await link.call(op="refill", request=request, wait=constants.REFILL_TIMEOUT)
        if not result.ok:
            if self.last_refill_ok:
                self.say(log_events.REFILL_FAILED, failure=type(result).__name__)
            self.last_refill_ok = False
            return
        self.refill_answered, self.refilled_at, self.last_refill_ok = self.refill_seq, sent, True
        for tenant, tokens in result.value["granted"].items():
            if tenant in self.buckets:
                bucket = self.buckets[tenant]
                bucket.tokens, bucket.until = bucket.tokens + tokens, sent + constants.LOAN_TERM
                bucket.min_tokens = 0
                bucket.asked = max(0, bucket.asked - asked[tenant])
