"""The gateway's requests for operators: the configuration, the store's members, the fleet and a
snapshot of the scheduler's state. A very large table is validated in slices, between other requests."""

import asyncio

from marshmallow import Schema, ValidationError, fields, validate, validates_schema

from ..base import constants
from ..base.params import address, flat
from ..base.problems import BadInput, Broken, Raised, Success
from ..record.charter import check_rows_in_slices
from ..record.copying import jobs_of
from ..record.tenant_bodies import check_tenants


class EditSchema(Schema):
    """The body of a configuration change; at least one of rows and tenants is required."""

    base = fields.Int(strict=True, required=True, validate=validate.Range(min=0))
    rows = fields.Dict()
    tenants = fields.Dict()

    @validates_schema
    def whole(self, data, **kw):
        if "rows" not in data and "tenants" not in data:
            raise ValidationError("Missing data for required field.", "rows")


class MembersSchema(Schema):
    """The body of a membership change of the store."""

    base = fields.Int(strict=True, required=True, validate=validate.Range(min=0))
    do = fields.Str(required=True, validate=validate.OneOf(["add", "remove", "replace"]))
    addr = fields.Str(required=True, validate=address)
    by = fields.Str(load_default="", validate=validate.Length(max=64))

    @validates_schema
    def whole(self, data, **kw):
        if data.get("do") == "replace":
            try:
                address(data.get("by", ""))
            except ValidationError as e:
                raise ValidationError(e.messages, "by") from None


MEMBERS, EDIT = MembersSchema(), EditSchema()


def load(schema, data):
    """The validated data; raises Raised(BadInput) with every error."""
    try:
        return schema.load(data)
    except ValidationError as e:
        raise Raised(BadInput(errors=flat(messages=e.messages))) from None


class OperatorsMixin:
    """Handlers of the operators' HTTP requests."""

    def charter_get(self, call, slot):
        self.ask_store(
            op="charter_now", request={"public": True}, slot=slot, safe=True, convert=lambda result: result
        )

    def charter_edit(self, call, slot):
        data = load(EDIT, self.body(call))
        self.run_task(coroutine=self.edit_rows(data=data, whole=call.method == "PUT", slot=slot), name="edit")

    async def edit_rows(self, *, data, whole, slot):
        """Validates a configuration change and sends it to the store. A large table is validated in
        slices with pauses as long as each slice, so that other requests are handled between them.
        whole: the rows replace the whole table, instead of single rows."""
        check, rows = check_rows_in_slices(data.get("rows", {})), None
        while rows is None:
            started_at = self.runtime.now()
            try:
                self.runtime.spend(s=next(check) * constants.CHECK_ROW_CPU_TIME)
            except StopIteration as error:
                rows = error.value
            except Raised as error:
                self.finish(slot=slot, result=error.failure)
                return
            except Exception as error:  # a fault in one request must not end the gateway
                self.log_exception(error)
                self.finish(slot=slot, result=Broken(where="mast", why=type(error).__name__))
                return
            else:
                await asyncio.sleep(0)
                await asyncio.sleep(self.runtime.now() - started_at)
        try:
            tenants = check_tenants(data["tenants"]) if "tenants" in data else None
        except Raised as error:
            self.finish(slot=slot, result=error.failure)
            return
        if whole and ("rows" not in data or None in [*rows.values(), *(tenants or {}).values()]):
            self.finish(slot=slot, result=BadInput(errors=[["rows", "a whole table has no null rows"]]))
            return
        edit = {"base": data["base"], "rows": rows, "whole": whole}
        if tenants is None:
            self.ask_store(op="edit", slot=slot, safe=False, convert=lambda result: result, request=edit)
        else:
            self.ask_store(
                op="configure",
                slot=slot,
                safe=False,
                convert=lambda result: result,
                request=edit | {"tenants": tenants},
            )

    def members_get(self, call, slot):
        self.ask_store(op="members_now", request={}, slot=slot, safe=True, convert=lambda result: result)

    def members_change(self, call, slot):
        self.ask_store(
            op="members",
            slot=slot,
            safe=False,
            convert=lambda result: result,
            request=load(MEMBERS, self.body(call)),
        )

    def fleet_get(self, call, slot):
        def then(result):
            return Success(
                value=result.value
                | {
                    "daemons": self.fleet,
                    "view": self.fleet_revision,
                    "primary": self.primary,
                    "charter": self.charter["version"],
                }
            )

        self.forward(op="workers", request={}, slot=slot, convert=then)

    def snapshot(self, call, slot):
        def then(result):
            record = result.value["record"]
            record["jobs"] = jobs_of(record)
            record.pop("blobs", None)
            return result

        self.forward(op="picture", request={}, slot=slot, convert=then)
