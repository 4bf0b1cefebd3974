"""The operators' command for reservations: its requests to a gateway, its output and exit codes."""

from cleo.testers.command_tester import CommandTester

from hollowhall.record.reservation_bodies import check_reduction, check_reservation
from hollowhall.tools.operate import reservations

VIEW = {
    "name": "night",
    "kind": "gpu",
    "zone": "z1",
    "label": "",
    "lanes": ["team"],
    "room": {"cores": 1, "memMb": 0, "gpus": 1},
    "count": 4,
    "fromMs": 5000,
    "untilMs": 9000,
    "state": "waiting",
    "stamp": "1",
    "planned": 4,
    "workers": {"w1": 4},
}


def run(args, status=200, answer=VIEW):
    """Runs the command against a gateway that gives this answer: (exit code, requests, output)."""
    asked, tester = [], CommandTester(reservations.ReservationsCommand())

    def ask(method, path, body=None):
        asked.append((method, path, body))
        return status, answer

    tester.command.ask = ask
    return tester.execute(args), asked, tester.io.fetch_output() + tester.io.fetch_error()


def test_what_it_asks_is_what_a_mast_takes(monkeypatch):
    monkeypatch.setattr(reservations.time, "time", lambda: 1000.0)
    code, asked, out = run(
        "add night --kind gpu --count 4 --gpus 1 --zone z1 --lane team --from 5000 --until +3.5", status=201
    )
    ((method, path, body),) = asked
    spec, _ = check_reservation(body)
    assert (code, method, path) == (0, "PUT", "/v1/reservations/night")
    assert (spec["fromMs"], spec["untilMs"], spec["room"]) == (5000, 1_003_500, [1, 0, 1])
    assert "night  waiting  4 x cores:1 gpus:1  gpu  zone z1  lanes team" in out
    _, ((method, _, body),), _ = run("shorten night --until 7000 --count 2")
    assert method == "PATCH" and check_reduction(body) == {"untilMs": 7000, "count": 2}
    assert run("cancel night")[1] == [("DELETE", "/v1/reservations/night", None)]
    assert run("show night")[1] == [("GET", "/v1/reservations/night", None)]
    code, asked, out = run("list --lane team", answer={"reservations": [VIEW, VIEW]})
    assert asked[0][:2] == ("GET", "/v1/reservations?lane=team") and out.count("night") == 2


def test_refusals_and_bad_options_have_their_exit_codes():
    code, _, out = run(
        "add x --count 4",
        status=409,
        answer={"problem": "NotReserved", "why": "capacity", "free": 2, "taken": "no"},
    )
    assert code == 1 and "capacity" in out and "free=2" in out
    for args in ("add", "list x", "bend x", "add x --count many", "shorten x --until soon"):
        code, asked, _ = run(args)
        assert (code, asked) == (2, [])
