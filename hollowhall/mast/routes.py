"""Routes the gateway's HTTP requests by method and path. Bad input is refused here, before anything is
forwarded; a request refused with taken=no certainly never runs. See docs/http.md."""

import json

from marshmallow import Schema, fields, validate

from ..base import constants
from ..base.doors import Reply
from ..base.params import NAME
from ..base.problem_codec import to_json
from ..base.problems import BadInput, BadJson, BadMethod, BadType, Broken, Raised, Success, TooLarge, Unknown
from ..record.charter import RoomSchema, check_name
from .operators import OperatorsMixin, load
from .reservations import ReservationsMixin

RUN_ID = validate.Regexp(r"^[1-9][0-9]{0,18}$")


class EndSchema(Schema):
    """An ended run in a worker's heartbeat."""

    runId = fields.Str(required=True, validate=RUN_ID)
    how = fields.Str(required=True, validate=validate.OneOf(["ok", "bad", "stopped"]))
    why = fields.Str(load_default="", validate=validate.Length(max=200))


class BeatSchema(Schema):
    """The body of a worker's heartbeat."""

    boot = fields.Str(required=True, validate=NAME)
    seq = fields.Int(strict=True, required=True, validate=validate.Range(min=0))
    kind = fields.Str(required=True, validate=NAME)
    zone = fields.Str(load_default="", validate=validate.Length(max=64))
    rack = fields.Str(load_default="", validate=validate.Length(max=64))
    room = fields.Nested(RoomSchema, required=True)
    running = fields.List(fields.Str(validate=RUN_ID), load_default=list)
    ended = fields.List(fields.Nested(EndSchema), load_default=list)
    clockMs = fields.Int(load_default=0)
    bye = fields.Bool(load_default=False)
    keepsHold = fields.Bool(load_default=False)


class LeaveSchema(Schema):
    """The body of a worker's departure."""

    boot = fields.Str(load_default="", validate=validate.Length(max=64))


WORKER_ACTIONS = ("beat", "leave", "gone")
BEAT, LEAVE = BeatSchema(), LeaveSchema()


def number(query, key, *, top):
    """A query parameter from 1 to top, and top if it is absent; raises Raised(BadInput)."""
    value = query.get(key, str(top))
    if not value.isdigit() or not 0 < int(value) <= top:
        raise Raised(BadInput(errors=[[key, f"a number from 1 to {top} is wanted"]]))
    return int(value)


class RoutesMixin(OperatorsMixin, ReservationsMixin):
    """Routing, parsing of bodies and HTTP answers; the handlers of jobs and workers."""

    def route(self, *, call, slot):
        try:
            self.route_to(call=call, parts=[x for x in call.path.split("/") if x], slot=slot)
        except Raised as e:
            self.finish(slot=slot, result=e.failure)
        except Exception as e:  # a fault must not leave the client without an answer
            self.log_exception(e)
            self.finish(slot=slot, result=Broken(where="mast", why=type(e).__name__))

    def route_to(self, *, call, parts, slot):
        if parts == ["healthz"]:
            self.finish(slot=slot, result=Success(value={"ok": True}))
        elif parts == ["readyz"]:
            self.finish(slot=slot, result=self.readiness())
        elif parts == ["metrics"]:
            self.finish(slot=slot, result=Success(value=self.gauges.text(version=self.charter["version"])))
        elif parts[:1] != ["v1"] or len(parts) < 2:
            raise Raised(Unknown(what="path", id=call.path))
        elif parts[1] == "jobs" and len(parts) == 3:
            self.handler_for(call, slot, GET=self.job_get, PUT=self.submit_job, DELETE=self.job_drop)(
                call, slot, parts[2]
            )
        elif parts[1] == "jobs" and len(parts) == 2:
            self.handler_for(call, slot, GET=self.job_list)(call, slot)
        elif parts[1] == "reservations" and len(parts) == 3:
            self.handler_for(
                call,
                slot,
                GET=self.reservation_get,
                PUT=self.reservation_put,
                PATCH=self.reservation_patch,
                DELETE=self.reservation_drop,
            )(call, slot, parts[2])
        elif parts[1] == "reservations" and len(parts) == 2:
            self.handler_for(call, slot, GET=self.reservation_list)(call, slot)
        elif parts[1] == "workers" and len(parts) == 4 and parts[3] in WORKER_ACTIONS:
            handler = {"beat": self.beat, "leave": self.worker_leave, "gone": self.worker_gone}[parts[3]]
            self.handler_for(call, slot, POST=handler)(call, slot, parts[2])
        elif parts[1:] == ["charter"]:
            self.handler_for(
                call, slot, GET=self.charter_get, PUT=self.charter_edit, PATCH=self.charter_edit
            )(call, slot)
        elif parts[1:] == ["members"]:
            self.handler_for(call, slot, GET=self.members_get, POST=self.members_change)(call, slot)
        elif parts[1:] == ["tenants"]:
            self.handler_for(call, slot, GET=self.tenants_get)(call, slot)
        elif parts[1:] == ["fleet"]:
            self.handler_for(call, slot, GET=self.fleet_get)(call, slot)
        elif parts[1:] == ["picture"]:
            self.handler_for(call, slot, GET=self.snapshot)(call, slot)
        else:
            raise Raised(Unknown(what="path", id=call.path))

    def handler_for(self, call, slot, **handlers):
        handler = handlers.get(call.method)
        if handler is None:
            raise Raised(BadMethod(method=call.method))
        return handler

    def body(self, call):
        """The JSON object in a request's body; raises Raised with the failure to answer."""
        if len(call.body) > constants.BODY_MAX:
            raise Raised(TooLarge(limit=constants.BODY_MAX))
        if call.ctype != "application/json":
            raise Raised(BadType(got=call.ctype))
        try:
            parsed = json.loads(call.body)
        except (ValueError, RecursionError) as e:
            raise Raised(BadJson(why=str(e)[:200])) from None
        if not isinstance(parsed, dict):
            raise Raised(BadJson(why="an object is wanted"))
        return parsed

    def reply(self, result):
        """A result as an HTTP reply; statuses are chosen only here."""
        if result.ok:
            value = result.value
            status = 201 if isinstance(value, dict) and value.get("new") else 200
            return Reply(status=status, body=value)
        headers, body = {}, to_json(result)
        if result.status in (429, 503, 504):
            after = getattr(result, "after", constants.RETRY_AFTER)  # spread, so that a crowd does not
            after += self.runtime.rng.randrange(after + 1)  # come back in step
            headers["Retry-After"], body["after"] = str(after), after
        return Reply(status=result.status, body=body, headers=headers)

    def readiness(self):
        up = bool(self.primary) and self.link(addr=self.primary).up
        if up and self.charter["version"] and not self.leaving:
            return Success(value={"ready": True, "charter": self.charter["version"]})
        return Broken(where="mast", why="no primary") if not up else Unknown(what="charter")

    # --- jobs

    def spend_check(self):
        """Charges the CPU time of validating a job, in the simulation."""
        self.runtime.spend(s=constants.CHECK_JOB_CPU_TIME)

    def job_get(self, call, slot, name):
        if self.shed_if_overloaded(lane="", slot=slot, read=True):
            return
        self.forward(
            op="read",
            request=self.named_job(call=call, name=name) | {"tasks": call.query.get("tasks") != "0"},
            slot=slot,
            convert=lambda result: result,
        )

    def job_drop(self, call, slot, name):
        self.forward(
            op="cancel",
            request=self.named_job(call=call, name=name),
            slot=slot,
            convert=lambda result: result,
        )

    def job_list(self, call, slot):
        query = call.query
        self.forward(
            op="list",
            slot=slot,
            convert=lambda result: result,
            request={
                "after": query.get("after", ""),
                "prefix": query.get("prefix", ""),
                "lane": query.get("lane", ""),
                "state": query.get("state", ""),
                "most": number(query, "most", top=constants.LISTING_PAGE_MAX),
            },
        )

    # --- workers

    def beat(self, call, slot, worker_id):
        check_name(worker_id)
        report = load(BEAT, self.body(call))
        room = report.pop("room")
        report |= {
            "id": worker_id,
            "room": [room["cores"], room["memMb"], room["gpus"]],
            "running": [int(x) for x in report["running"]],
            "ended": [[int(x["runId"]), x["how"], x["why"]] for x in report["ended"]],
        }

        def then(result):
            answer = result.value
            return Success(
                value=answer
                | {"stops": [str(x) for x in answer["stops"]], "live": [str(x) for x in answer["live"]]}
            )

        self.forward(op="beat", request=report, slot=slot, wait=constants.REQUEST_TIMEOUT, convert=then)

    def worker_leave(self, call, slot, worker_id):
        check_name(worker_id)
        data = load(LEAVE, self.body(call))

        def then(result):
            return result if result.value["result"] == "ok" else Unknown(what="worker", id=worker_id)

        self.forward(op="leave", request={"id": worker_id, "boot": data["boot"]}, slot=slot, convert=then)

    def worker_gone(self, call, slot, worker_id):
        check_name(worker_id)
        load(LEAVE, self.body(call))
        self.forward(op="gone", request={"id": worker_id}, slot=slot, convert=lambda result: result)
