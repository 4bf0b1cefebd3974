"""The adapter's translation, without any fleet: settings, bodies to requests, results to statuses, and the
answers to bad input. Also that nothing outside the folder uses the platform's names, and that the folder
`platform` hides no module of the standard library."""

import json
import os
import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(1, str(ROOT / "platform"))

import boot  # noqa: E402
import front  # noqa: E402
import tables  # noqa: E402

from hollowhall.base import problems as P  # noqa: E402
from hollowhall.base.doors import Call  # noqa: E402
from hollowhall.mast.keys import KeysMixin  # noqa: E402

SETTINGS = {
    "nodeName": "n-1",
    "ip": "10.0.0.1",
    "zone": "z",
    "internalPorts": [7380, 7395],
    "seedPeers": ["10.0.0.1:8144", "10.0.0.2:8144"],
    "bootstrap": True,
    "dataDir": "/data",
    "newField": 5,
    "listenAddrs": {"control": "10.0.0.1:8144", "other": "x"},
    "limits": {"diskMb": 128, "unknown": 1},
    "bounds": {"holdMaxMs": 3000, "spreadFactor": 3},
}
ROUTE = {
    "name": "r-1",
    "hostName": "h.example",
    "pathPrefix": "/q/",
    "timeoutMs": 3000,
    "targetService": "svc",
    "priority": 1,
    "retryLimit": 2,
    "stretch": 1.5,
    "targetLatencyMs": 900,
    "routeClass": "non_idempotent",
}
CONFIG = {
    "revision": 3,
    "routeTable": [ROUTE],
    "serviceTable": [{"name": "svc", "guards": True}],
    "limits": {"maxBodyBytes": 500},
}


def write(tmp_path, settings):
    """Writes a settings file; returns its path."""
    lines = [
        f"{name} = {json.dumps(value)}" for name, value in settings.items() if not isinstance(value, dict)
    ]
    for name, value in settings.items():
        if isinstance(value, dict):
            lines += [f"[{name}]"] + [f"{x} = {json.dumps(y)}" for x, y in value.items()]
    path = tmp_path / "boot.toml"
    path.write_text("\n".join(lines))
    return str(path)


def test_settings_become_params(tmp_path):
    settings = boot.params_of(boot.read_settings(path=write(tmp_path, SETTINGS)), role="hall")
    assert (settings.addr, settings.seeds, settings.found) == (
        "10.0.0.1:7380",
        ["10.0.0.1:7380", "10.0.0.2:7380"],
        True,
    )
    assert (
        settings.hold_ms == 3000
        and settings.margin_ms >= 60
        and settings.far_times == 3
        and settings.auto_members
    )
    later = SETTINGS | {"bootstrap": False, "ip": "10.0.0.9"}
    settings = boot.params_of(boot.read_settings(path=write(tmp_path, later)), role="hall")
    assert not settings.found and not settings.join


@pytest.mark.parametrize(
    "change, where",
    [
        ({"ip": None}, "ip"),
        ({"seedPeers": []}, "seedPeers"),
        ({"seedPeers": ["x:y"]}, "seedPeers"),
        ({"internalPorts": [1]}, "internalPorts"),
        ({"limits": {"memoryMb": 1}}, "limits.memoryMb"),
        ({"bounds": {"holdMaxMs": 3}}, "bounds.holdMaxMs"),
    ],
)
def test_bad_settings_name_their_field(tmp_path, change, where):
    settings = {field: value for field, value in (SETTINGS | change).items() if value is not None}
    with pytest.raises(P.Raised) as raised:
        boot.read_settings(path=write(tmp_path, settings))
    assert isinstance(raised.value.failure, P.BadParams)
    assert any(field.startswith(where) for field, _ in raised.value.failure.errors)


@pytest.mark.parametrize("role", ["hall", "mast"])
@pytest.mark.parametrize("text, code", [("not toml at all [", 2), ("", 2)])
def test_a_program_started_from_the_root_refuses_bad_settings(tmp_path, role, text, code):
    settings_file = tmp_path / "boot.toml"
    settings_file.write_text(text)
    program = subprocess.run(
        [sys.executable, "platform/serve.py", role],
        cwd=ROOT,
        text=True,
        capture_output=True,
        env=os.environ | {boot.SETTINGS_ENV: str(settings_file)},
        timeout=60,
    )
    assert program.returncode == code and "BadParams" in program.stderr


@pytest.mark.parametrize("path", [["."], ["platform"], ["platform", "."]])
def test_the_folder_hides_no_module_of_the_language(path):
    assert not (ROOT / "platform/__init__.py").exists()
    code = f"import sys; sys.path[:0] = {path!r}; import aiohttp, platform; print(platform.python_version())"
    program = subprocess.run([sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True)
    assert program.stdout.strip() == sys.version.split()[0], program.stderr


NAMES = (
    "jobProfile",
    "taskCount",
    "dependsOn",
    "gangScheduled",
    "requiredLabels",
    "antiAffinity",
    "duplicateRun",
    "longRunning",
    "runCount",
    "firstRunMs",
    "retryLimit",
    "targetService",
    "routeTable",
    "serviceTable",
    "keepaliveTarget",
    "lastSeen",
    "fenceToken",
    "leaveAtMs",
    "HOLLOWHALL_SETTINGS",
    "nodeName",
    "seedPeers",
    "Time-Remaining",
)


def known_names(texts):
    """(file, name) of each of the platform's names in the texts."""
    return sorted(
        (path, name) for path, text in texts.items() for name in NAMES if re.search(rf"\b{name}\b", text)
    )


def test_nothing_outside_the_folder_knows_the_platforms_names():
    assert known_names({str(f): f.read_text() for f in ROOT.glob("hollowhall/**/*.py")}) == []
    assert known_names({"planted": 'x = d["fenceToken"]'}) == [("planted", "fenceToken")]


class Mast(KeysMixin):
    """A gateway that answers every request with one result and records the requests."""

    def __init__(self, result):
        self.charter = {"version": 2, "chosen": 3, **vars(tables.read_config(CONFIG))}
        self.result, self.sent = result, []

    def is_confirmed(self):
        return True

    def submit(self, *, request, tenant, callback, wait):
        return self.request(op="job", request=request, callback=callback, wait=wait)

    def request(self, *, op, request, callback, wait):
        self.sent.append((op, request, wait))
        callback(self.result)
        return lambda: None


def call(mast, method, path, body=None, **headers):
    """The adapter's reply to a client's request."""
    replies = []
    front.Front(mast=mast).take(
        callback=replies.append,
        call=Call(
            method=method,
            path=path,
            headers={"host": "h.example", **headers},
            body=body if isinstance(body, bytes) else json.dumps(body).encode(),
        ),
    )
    return replies[0]


JOB = {"jobProfile": "p", "stages": [{"taskCount": 1}]}
ID = "/q/0123456789abcdef"


@pytest.mark.parametrize(
    "result, status",
    [
        (P.Success(value={}), 200),
        (P.NotPrimary(), 503),
        (P.Full(where="desk", after=3), 429),
        (P.Unsure(why="x"), 504),
        (P.Late(op="job"), 504),
        (P.NotSynced(), 503),
    ],
)
def test_only_what_surely_was_not_taken_is_refused(result, status):
    reply = call(Mast(result), "POST", ID, JOB)
    assert reply.status == status and (status == 200 or "Retry-After" in reply.headers)


@pytest.mark.parametrize(
    "answer, state",
    [
        ({"state": "open", "began": False}, "queued"),
        ({"state": "open", "began": True}, "active"),
        ({"state": "done", "began": True}, "complete"),
        ({"state": "cancelled", "began": False}, "cancelled"),
    ],
)
def test_states(answer, state):
    assert call(Mast(P.Success(value=answer)), "GET", ID).body == {"state": state}


def test_what_is_not_there():
    assert call(Mast(P.Unknown(what="job", id="x")), "GET", ID).status == 410
    assert call(Mast(P.Unknown(what="job", id="x")), "DELETE", ID).status == 410
    assert call(Mast(P.NotPrimary()), "GET", ID).status == 503  # a missing primary is never answered with 410
    assert call(Mast(P.Success(value={"waiting": 4})), "GET", "/q/").body == {"pending": 4}
    assert call(Mast(P.Success(value={})), "GET", "/other/").status == 404
    mast = Mast(P.Success(value={}))
    mast.charter = {"version": 1, "rows": {}}
    reply = call(mast, "POST", ID, JOB)
    assert reply.status == 503 and reply.headers["Retry-After"] and not mast.sent


def test_the_clients_patience_is_kept():
    mast = Mast(P.Success(value={"state": "done", "began": True}))
    call(mast, "GET", ID, **{"time-remaining": "2000"})
    call(mast, "GET", ID, **{"time-remaining": "nonsense"})
    assert mast.sent[0][2] == pytest.approx(1.6) and mast.sent[1][2] == front.DEFAULT_WAIT_S
