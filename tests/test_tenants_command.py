"""The operators' command for tenants: its requests to a gateway, its output and exit codes."""

import json

from cleo.testers.command_tester import CommandTester
from test_keys import SECRET

from hollowhall.record.tenant_bodies import check_tenants, key_digest
from hollowhall.tools.operate.tenants import TenantsCommand

VIEW = {
    "weight": 3.0,
    "configured": True,
    "keys": 2,
    "limit": {"cores": 12000, "memMb": 0, "gpus": 8},
    "running": {"cores": 3000, "memMb": 100, "gpus": 0},
    "waiting": 7,
    "tokens": 4100,
    "admitted": 20,
    "refused": 3,
    "daemons": [{"daemon": "edge-1", "tokens": 200, "termMs": 4000, "admitted": 20, "refused": 3}],
}
ROW = {"weight": 2.0, "cores": 1000, "memMb": 0, "gpus": 4, "keys": [key_digest(SECRET)]}


def run(args, *answers):
    """Runs the command against a gateway that gives these answers: (exit code, requests, output)."""
    asked, tester, remaining = [], CommandTester(TenantsCommand()), list(answers)

    def ask(method, path, body=None):
        asked.append((method, path, body))
        return remaining.pop(0)

    tester.command.ask = ask
    return tester.execute(args), asked, tester.io.fetch_output() + tester.io.fetch_error()


def test_a_list_tells_limits_what_runs_waits_and_was_refused():
    code, asked, out = run("", (200, {"tenants": {"t": VIEW}}))
    assert (code, asked) == (0, [("GET", "/v1/tenants", None)])
    assert "t  weight 3  limit cores:12000 gpus:8  running cores:3000 memMb:100  waiting 7" in out
    assert "admitted 20  refused 3" in out and "edge-1" not in out


def test_one_is_shown_with_the_daemons_that_hold_its_tokens():
    code, _, out = run("show t", (200, {"tenants": {"t": VIEW}}))
    assert code == 0 and "edge-1  holds 200 tokens for 4000 ms  admitted 20  refused 3" in out
    assert run("show u", (200, {"tenants": {"t": VIEW}}))[0] == 1


def test_a_change_keeps_what_it_does_not_name():
    charter = {"version": 5, "rows": {}, "tenants": {"t": ROW}}
    code, asked, out = run("set t --cores 500", (200, charter), (200, {"version": 6}))
    (_, (method, path, body)) = asked
    assert (code, method, path, body["base"]) == (0, "PATCH", "/v1/charter", 5)
    assert check_tenants(body["tenants"]) == {"t": ROW | {"cores": 500}} and "version 6" in out
    _, asked, _ = run("drop t --base 4", (200, charter), (200, {"version": 6}))
    assert asked[1][2] == {"base": 4, "tenants": {"t": None}}


def test_keys_come_from_a_file_and_are_not_printed(tmp_path):
    file = tmp_path / "keys"
    file.write_text(f"{SECRET}\n\n")
    charter = {"version": 5, "rows": {}}
    code, asked, out = run(f"set t --keys {file}", (200, charter), (200, {"version": 6}))
    assert code == 0 and asked[1][2]["tenants"]["t"]["keys"] == [SECRET] and SECRET not in out
    assert json.dumps(charter) == json.dumps({"version": 5, "rows": {}})


def test_bad_words_and_answers():
    assert run("set")[0] == 2 and run("list t")[0] == 2 and run("grow t")[0] == 2
    charter = (200, {"version": 5, "rows": {}})
    assert run("set t --cores many", charter)[0] == 2 and run("set t --keys /none/here", charter)[0] == 2
    assert run("", (503, {"problem": "NotPrimary"}))[0] == 1
