"""Answers of the control plane in rare cases: changes sent again after many others, reads that fail,
workers that depart without draining, peers at another's address, and late answers."""

import asyncio
from types import SimpleNamespace

import pytest
from control import Control
from test_desk_edges import Desk
from test_level_two import record_with_job, step

from hollowhall.almanac.serve import ServeMixin
from hollowhall.base.circuit import RpcConnection, hello_failure, pack, unpack
from hollowhall.base.doors import Call
from hollowhall.base.problems import Late, Mismatch, NotLeader, StaleBase, Success, Unsure
from hollowhall.base.slab import PendingRequests
from hollowhall.desk.worker_session import WorkerSession
from hollowhall.record import Record
from hollowhall.record.kinds import LEAVES

# --- changes sent again


def edit(number, base, key):
    return {"chosen": number, "on": base, "mark": key, "rows": {}, "kinds": {}, "notes": {}}


class Store(ServeMixin):
    """A store leader whose entries are applied as soon as they are proposed."""

    def __init__(self, changes):
        self.record = Record()
        for level in (1, 2):
            self.record.apply_entry(op="level", d=level)
        for number in range(changes):
            assert self.record.edit(edit(3 * number + 3, 3 * number, f"m{number}")).ok

    def propose(self, *, request, callback):
        callback(self.record.edit(unpack(request)[1]))

    def send_request(self, body):
        answers = []
        self.on_edit(request=body, callback=answers.append, caller="operator")
        return answers[0]


@pytest.mark.parametrize("changes", [5, 150, 199])
def test_a_change_that_is_remembered_is_confirmed_again(changes):
    store = Store(changes)
    for number in range(changes):
        assert store.send_request(edit(3 * number + 3, 3 * number, f"m{number}")).ok


def test_versions_that_rise_unevenly_are_forgotten_in_the_order_they_were_taken():
    """Each version is above the one before, so the lowest number is the oldest."""
    store = Store(0)
    taken, newest = [], 0
    for number in range(300):
        version = newest + 1 + (number * number) % 97
        assert store.send_request(edit(version, newest, f"m{number}")).ok
        taken.append(version)
        newest = version
    assert sorted(store.record.taken) == taken[-200:]


def test_a_change_beyond_what_is_remembered_is_left_unclear_and_never_refused():
    store = Store(300)
    for number in (0, 50, 99):
        assert isinstance(store.send_request(edit(3 * number + 3, 3 * number, f"m{number}")), Unsure)
    assert isinstance(
        store.send_request(edit(3 * 250 + 4, 3 * 250, "other")), StaleBase
    )  # certainly not taken
    assert store.send_request(edit(3 * 250 + 3, 3 * 250, "m250")).ok


def test_the_bare_mark_of_a_patch_is_left_unclear_alike():
    store = Store(300)
    assert isinstance(store.send_request(edit(3, -1, "m0")), Unsure)
    assert store.send_request(edit(900, -1, "m299")).ok
    assert isinstance(store.send_request(edit(899, -1, "none")), StaleBase)
    assert isinstance(store.send_request(edit(0, -1, "none")), StaleBase)


# --- reads that fail


def call_of(method, body=b"", **headers):
    return Call(method=method, path="/config", query={}, body=body, headers=headers, ctype="application/json")


def control(outcome):
    asked = []

    async def store(*, op, **more):
        asked.append(op)
        return outcome

    hall = SimpleNamespace(desk=SimpleNamespace(store=store))
    return Control(hall=hall, addr="10.0.0.1:8144"), asked


@pytest.mark.parametrize("outcome", [Late(op="charter_now"), Unsure(why="circuit"), NotLeader(hint="")])
@pytest.mark.parametrize("method, body", [("GET", b""), ("PATCH", b'{"revision": 9, "upsert": {}}')])
def test_a_read_that_failed_surely_did_nothing(outcome, method, body):
    adapter, asked = control(outcome)
    replies = []
    asyncio.run(adapter.config(call_of(method, body, **{"if-match": "3"}), replies.append))
    assert replies[0].status == 503 and replies[0].headers["Retry-After"] and asked == ["charter_now"]


def test_an_order_without_a_clear_answer_is_left_unclear():
    adapter, _ = control(Late(op="edit"))
    replies = []
    body = b'{"revision": 4, "routeTable": [], "serviceTable": []}'
    asyncio.run(adapter.config(call_of("PUT", body, **{"if-match": "3"}), replies.append))
    assert replies[0].status == 504


# --- orders that are read late


class DeskAfterHandover:
    """A scheduler that becomes primary while a call waits for one; `served` has the operations it served."""

    def __init__(self):
        self.primary_found, self.served = asyncio.Event(), []

    def live(self):
        return self.primary_found.is_set()

    def known_primary(self):
        return ""

    async def find_primary(self):
        await self.primary_found.wait()

    def serve(self, *, op, request, callback, caller):
        self.served.append((op, request["on"]))


@pytest.mark.parametrize("disconnects, served", [(False, [("evacuate", False)]), (True, [])])
def test_an_order_whose_caller_has_gone_elsewhere_is_dropped_during_a_handover(disconnects, served):
    # A machine that woke and became primary took an evacuation back, after another one had confirmed a later one.
    async def go():
        desk, tasks = DeskAfterHandover(), []
        store = SimpleNamespace(
            run_task=lambda *, coroutine, name: tasks.append(asyncio.ensure_future(coroutine))
        )
        adapter = Control(hall=SimpleNamespace(desk=desk, store=store), addr="10.0.0.1:8144")
        call = Call(method="DELETE", path="/evacuations/z1")
        release = adapter.take(call=call, callback=lambda reply: None)
        await asyncio.sleep(0)
        if disconnects:
            release()
        desk.primary_found.set()
        await asyncio.gather(*tasks)
        return desk.served

    assert asyncio.run(go()) == served


# --- workers that depart without draining


def beating_desk():
    """A primary with one worker that runs one attempt."""
    desk = Desk(record_with_job(steps=[step()]))
    desk.open_batches()
    desk.record.do(["grant", "j/0.0/0", "w0"])
    desk.sessions = {"w0": WorkerSession(boot="1", names_attempts=True, seq=5, running={1})}
    desk.beat_slab = PendingRequests(capacity=8)
    return desk


DEPARTURE = {"id": "w0", "boot": "1", "seq": 1 << 60, "bye": True, "named": [], "ends": [], "keepsHold": True}


def test_a_worker_that_takes_leave_first_keeps_what_it_runs():
    desk, answers = beating_desk(), []
    desk.on_beat(request=DEPARTURE, callback=answers.append, caller="w0")
    (event, back, _, _), *more = desk.pending_events
    assert event == ["leave", "w0", "1"] and more == [] and answers == []
    desk.record.do(event)
    back(["ok", LEAVES], 7)
    assert answers[0].ok
    worker = desk.record.workers["w0"]
    assert worker.state == LEAVES and len(worker.runs) == 1
    assert desk.sessions["w0"].seq == 5  # what it reports from now on is still taken


def test_its_leave_that_was_not_recorded_is_not_acknowledged():
    desk, answers = beating_desk(), []
    desk.on_beat(request=DEPARTURE, callback=answers.append, caller="w0")
    desk.pending_events[0][1](["none", ""], None)
    assert not answers[0].ok


def test_a_worker_that_had_said_that_it_leaves_ends_with_its_leave():
    desk, departures = beating_desk(), []
    desk.record.do(["leave", "w0", "1"])
    desk.sessions["w0"].leave_requested = True  # its last beat said so
    desk.take_report = lambda *, request, session, worker: departures.append(request["bye"])
    desk.read_report = lambda *, request, session, worker: []
    desk.answer_beat = lambda *, worker_id, session: None
    try:
        desk.on_beat(request=DEPARTURE, callback=lambda o: None, caller="w0")
    except RuntimeError:
        pass  # no event loop runs for the delayed answer
    assert departures == [True]


@pytest.mark.parametrize("primary_changed", [False, True])
def test_a_leave_that_is_sent_again_leaves_the_worker_what_it_runs(primary_changed):
    # guards against a breach of rule TWICE: the answer to the first DELETE was lost, and the second DELETE
    # ended all that ran
    desk, answers = beating_desk(), []
    for number in range(3):
        desk.on_beat(request=DEPARTURE, callback=answers.append, caller="w0")
        event, back, _, _ = desk.pending_events.popleft()
        desk.record.do(event)
        back(["ok", LEAVES], 7)
        assert event == ["leave", "w0", "1"] and not desk.pending_events and len(answers) == number + 1
        assert answers[number].ok and len(desk.record.workers["w0"].runs) == 1
        desk.sessions["w0"] = WorkerSession(boot="1") if primary_changed else desk.sessions["w0"]
        assert desk.sessions["w0"].seq < DEPARTURE["seq"]  # what it reports from now on is still taken


# --- which peer and which answer


def host():
    return SimpleNamespace(settings=SimpleNamespace(cluster="hollowhall"))


def test_a_peer_at_another_address_is_not_taken_for_the_one_that_was_dialled():
    greeting = {"v": 1, "cluster": "hollowhall", "id": "x", "addr": "10.0.0.9:7000"}
    problem = hello_failure(host=host(), m=pack(greeting), addr="10.0.0.1:7000")
    assert isinstance(problem, Mismatch) and problem.field == "addr"
    assert hello_failure(host=host(), m=pack(greeting), addr="10.0.0.9:7000") is None
    del greeting["addr"]  # an older version
    assert hello_failure(host=host(), m=pack(greeting), addr="10.0.0.1:7000") is None


class Wire:
    """Keeps the messages that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(unpack(message))
        return True

    def close(self):
        pass


def late_answer(circuit_class):
    """A request times out, another one takes its slot, and the answer to the first arrives. Returns the
    answers that each got."""

    async def go():
        circuit = circuit_class(
            wire=Wire(), host=SimpleNamespace(runtime=SimpleNamespace(now=lambda: 0.0)), peer="p"
        )
        first, second = [], []
        slot = circuit.send_request(op="a", request={}, callback=first.append, wait=9)
        circuit.lapse(slot, "a")
        circuit.send_request(op="b", request={}, callback=second.append, wait=9)
        _, index, generation, _, _ = circuit.wire.sent[0]
        answer = circuit.pending_requests.take(index=index, generation=generation)
        if answer is not None:
            answer(Success(value="of a"))
        return first, second

    return asyncio.run(go())


def test_a_late_answer_finds_nobody():
    first, second = late_answer(RpcConnection)
    assert isinstance(first[0], Late) and len(first) == 1 and second == []


class ByPosition(PendingRequests):
    """A faulty version without generations: an answer is matched by its slot's position alone."""

    def take(self, *, index, generation):
        return super().take(index=index, generation=self.generations[index])


class CircuitByPosition(RpcConnection):
    """An RPC connection with the faulty slots."""

    def __init__(self, **more):
        super().__init__(**more)
        self.pending_requests = ByPosition(capacity=8)


def test_an_answer_matched_by_position_reaches_the_wrong_caller():
    _, second = late_answer(CircuitByPosition)
    assert second == [Success(value="of a")]
