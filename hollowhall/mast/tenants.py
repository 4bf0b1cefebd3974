"""The gateway's requests that concern tenants: submission of a job with the caller's key, and the
operators' list of tenants. Keys come as `Authorization: Bearer KEY`; see docs/tenants.md."""

from functools import partial

from ..base.problems import BadInput, Raised
from ..record.charter import check_job, check_name
from .keys import bearer_key


class TenantsMixin:
    """Authentication of calls and the submission of jobs."""

    def caller(self, call, *, lane=""):
        """The tenant that makes the call; raises Raised(Unauthorized)."""
        result = self.authorize(key=bearer_key(call.headers), lane=lane)
        if not result.ok:
            self.gauges.unauthorized()
            raise Raised(result)
        return result.value

    def named_job(self, *, call, name):
        """A request that names only a job, with the tenant that makes the call. For a call without a key
        the primary decides whether the job needs one."""
        key = bearer_key(call.headers)
        if not self.tenants_configured():
            return {"name": name}
        return {"name": name, "tenant": self.caller(call) if key else ""}

    def submit_job(self, call, slot, name):
        """Submits a job: authenticates the caller, sheds load, validates the job and charges its cost."""
        check_name(name)
        body = self.body(call)
        if "tenant" in body:
            raise Raised(BadInput(errors=[["tenant", "is told by the caller's key"]]))
        lane = body["lane"] if isinstance(body.get("lane"), str) else ""
        tenant = self.caller(call, lane=lane)
        if self.shed_if_overloaded(lane=lane, slot=slot):  # before validation, which is most of the work
            return
        self.spend_check()
        spec, digest = check_job(body | ({"tenant": tenant} if tenant else {}))
        admitted = self.admit(tenant=tenant, spec=spec)
        if not admitted.ok:
            self.finish(slot=slot, result=admitted)
            return
        on_result = partial(partial, self.submitted, tenant=tenant, charge=admitted.value)
        self.pending_requests.wrap(
            index=slot[0], generation=slot[1], around=lambda callback: on_result(callback=callback)
        )
        request = {"name": name, "spec": spec, "digest": digest}
        self.forward(op="job", request=request, slot=slot, convert=lambda result: result)

    def tenants_get(self, call, slot):
        self.forward(op="tenants", request={}, slot=slot, convert=lambda result: result)
