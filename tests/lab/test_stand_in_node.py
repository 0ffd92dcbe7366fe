"""Tests of the stand-in node over a virtual network: responses, executions, and each fault."""

from __future__ import annotations

import json
from collections import deque
from functools import partial
from typing import Any, get_args

import pytest

from brambleusher.lab.stand_ins import node as at_node
from brambleusher.lab.stand_ins.client import serialize_request
from brambleusher.lab.stand_ins.node import Execution, MalformedKind, Node, ReportHow
from brambleusher.lab.stand_ins.settings import NodeSettings
from brambleusher.net.http import HttpError, Message, MessageReader
from brambleusher.net.upstream_responses import parse_load_report
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from tests.lab.lab_builders import SERVER, Lab, ask

USUAL: dict[str, Any] = {
    "cores": 1, "work_noise": 0.0, "handshake_s": 0.0, "handshake_work_s": 0.0, "full_tax": 0.0,
    "error_rate": 0.0, "idle_s": 2.0,
}  # fmt: skip


def node_in(lab: Lab, *faults: object, **settings: Any) -> Node:
    def build(scheduler: Scheduler) -> Node:
        node = Node(scheduler, NodeSettings(**{**USUAL, **settings}), "s-1", 7)
        for fault in faults:
            node.begin(fault)
        node.listen(SERVER)
        return node

    made: Node = lab.start_on("server", build)
    return made


def request(name: str = "r1", wait: float = 5.0, **given: Any) -> bytes:
    return serialize_request(ask(name, **given), name, wait)


def answers(data: bytes) -> list[Message]:
    reader = MessageReader.responses()
    reader.feed(data)
    found = []
    while (message := reader.take()) is not None:
        found.append(message)
    return found


def made_by(node: Node) -> list[tuple[str, str, bool]]:
    return [(each.request, each.end, each.ran) for each in node.executions]


def test_an_answer_proves_who_made_it_for_what() -> None:
    lab = Lab()
    node = node_in(lab)
    got, _ = lab.send_raw(request("r1", unsafe=True, body_bytes=100), request("r2"))
    one, two = answers(got)
    proof = json.loads(one.body)
    assert (proof["node"], proof["process"], proof["request"], proof["number"]) == ("s-1", 0, "r1", 1)
    assert json.loads(two.body)["number"] == 2 and one.keep_alive
    first, second = node.executions
    assert first.answer == one.body and first.body_crc == proof["body_crc"] != 0
    assert 0.05 <= (first.ended_ns - first.began_ns) / 1e9 < 0.052
    assert second.began_ns >= first.ended_ns and second.body_crc == 0


@pytest.mark.parametrize(
    ("settings", "sent", "statuses", "ends"),
    [
        ({"queue_per_core": 0}, 2, {200, 503}, {"made", "turned away"}),
        ({"connections": 1}, 2, {200, 503}, {"made", "turned away"}),
        ({"error_rate": 1.0}, 1, {500}, {"error"}),
        ({}, 2, {200}, {"made"}),
    ],
)
def test_what_it_takes(settings: dict[str, Any], sent: int, statuses: set[int], ends: set[str]) -> None:
    lab = Lab()
    node = node_in(lab, **settings)
    seen = set()

    def task(scheduler: Scheduler) -> None:
        streams = [Stream.connect(scheduler, SERVER, scheduler.now() + 1) for _ in range(sent)]
        for number, stream in enumerate(streams):
            stream.send(request(f"r{number}"), scheduler.now() + 1)
        for stream in streams:
            answer = answers(stream.receive(scheduler.now() + 5) or b"")[0]
            assert (answer.headers.get("not-started") == "1") == (answer.status == 503)
            seen.add(answer.status)
            stream.close()

    lab.run_on_client(task)
    assert seen == statuses and {each.end for each in node.executions} == ends
    assert all(each.ran == (each.end in ("made", "error")) for each in node.executions)


def test_bad_requests_run_nothing() -> None:
    lab = Lab()
    node = node_in(lab)
    got, _ = lab.send_raw(b"GET /look HTTP/1.1\r\nHost: x\r\n\r\n")
    assert answers(got)[0].status == 404 and not node.executions
    got, how = lab.send_raw(b"what?\r\n\r\n")
    assert (got, how) == (b"", "end")


def test_a_handshake_costs_time_and_work() -> None:
    lab = Lab()
    node = node_in(lab, handshake_s=0.03, handshake_work_s=0.01)
    lab.send_raw(request("r1"), request("r2"))
    first, second = node.executions
    assert 0.03 <= (first.began_ns - first.came_ns) / 1e9 < 0.032
    assert second.began_ns - second.came_ns < 2_000_000
    assert node.machine._worked == pytest.approx(0.1)


@pytest.mark.parametrize(
    ("cancel", "ends"),
    [
        ("none", [("r1", "made"), ("r2", "made")]),
        ("queued", [("r1", "made"), ("r2", "dropped")]),
        ("all", [("r1", "stopped"), ("r2", "dropped")]),
    ],
)
def test_a_closed_connection_stops_what_may_be_stopped(cancel: str, ends: list[tuple[str, str]]) -> None:
    lab = Lab()
    node = node_in(lab, cancel=cancel)

    def task(scheduler: Scheduler) -> None:
        for name in ("r1", "r2"):
            stream = Stream.connect(scheduler, SERVER, scheduler.now() + 1)
            stream.send(request(name, work_s=1.0), scheduler.now() + 1)
            scheduler.call_at(scheduler.now() + 0.2, stream.close)
        scheduler.sleep(0.3)

    lab.run_on_client(task)
    lab.sleep(5)
    assert [(each.request, each.end) for each in node.executions] == ends


def test_overdue_work_is_dropped_where_so_set() -> None:
    for drops, end in ((True, "turned away"), (False, "made")):
        lab = Lab()
        node = node_in(lab, drops_overdue=drops, cancel="none")
        lab.send_raw(request("r1", work_s=0.5), wait=0.1)
        lab.send_raw(request("r2", wait=0.1), wait=0.05)
        lab.sleep(5)
        assert [each.end for each in node.executions] == ["made", end]


def test_an_idle_connection_is_closed_in_time() -> None:
    lab = Lab()
    node_in(lab, idle_s=0.5)
    begun = lab.world.now_ns
    got, how = lab.send_raw(request())
    assert len(answers(got)) == 1 and how == "end"
    assert 0.55e9 <= lab.world.now_ns - begun < 0.57e9


def test_draining_turns_away_where_so_set() -> None:
    for refuses, status in ((True, 503), (False, 200)):
        lab = Lab()
        node = node_in(lab, drain_refuses=refuses)
        node.draining = True
        assert answers(lab.send_raw(request())[0])[0].status == status


# --- faults ---------------------------------------------------------------------------------------

READABLE = {"second-copy", "noise-behind", "interim", "bad-report"}


@pytest.mark.parametrize("how", get_args(MalformedKind))
def test_spoilt_answers(how: MalformedKind) -> None:
    lab = Lab()
    node = node_in(lab, at_node.MalformedResponses(how), report_fields=())
    got, ended = lab.send_raw(request(), wait=1.0)
    reader = MessageReader.responses()
    reader.feed(got)
    try:
        found = [message for message in iter(reader.take, None) if message.status >= 200]
    except HttpError:
        found = []
    if how in READABLE:
        assert json.loads(found[0].body)["request"] == "r1"
        assert (how == "bad-report") == ("server-load" in found[0].headers)
    else:
        assert not found and ended == "silence" and got
    assert made_by(node) == [("r1", "made", True)]  # the request runs despite the malformed response


@pytest.mark.parametrize(
    ("where", "runs", "came", "some"),
    [
        ("accept", True, [], False),
        ("before", True, [], False),
        ("in", True, [], False),
        ("after", True, [("r1", "made", True)], False),
        ("after", False, [("r1", "lost", False)], False),
        ("answer", True, [("r1", "made", True)], True),
    ],
)
def test_resets(where: at_node.ResetWhere, runs: bool, came: list[Any], some: bool) -> None:
    lab = Lab()
    node = node_in(lab, at_node.Resets(where, runs=runs))
    got, ended = lab.send_raw(request())
    assert ended in ("ConnectionResetError", "BrokenPipeError") and not answers(got)
    assert made_by(node) == came
    # A reset may overtake the bytes sent before it; otherwise part of the response has arrived.
    assert not got or some


def test_closes_that_cross() -> None:
    lab = Lab()
    node = node_in(lab, at_node.EarlyClose(0.1))
    got, ended = lab.send_raw(request(), wait=1.0)
    assert len(answers(got)) == 1 and ended == "end"
    lab = Lab()
    node = node_in(lab, at_node.EarlyClose(0.1, unread=True))
    got, ended = lab.send_raw(request("r2"), request("r3"), pause=0.5)
    assert [json.loads(each.body)["request"] for each in answers(got)] == ["r2"]
    assert ended == "ConnectionResetError" and [each.request for each in node.executions] == ["r2"]


def timed(node: Node) -> list[float]:
    return [round((each.ended_ns - each.came_ns) / 1e9, 1) for each in node.executions]


def test_slow_hung_and_neighbour() -> None:
    lab = Lab()
    slow, hung = at_node.Slow(4.0), at_node.Hung()
    neighbour = at_node.Neighbour(0.5, on_s=0.2, off_s=0.1)
    node = node_in(lab, slow)
    for name, work, after in (("r1", 0.1, hung), ("r2", 0.1, neighbour), ("r3", 0.4, None)):
        lab.send_raw(request(name, work_s=work), wait=1.0)
        for each in (slow, hung, neighbour):
            lab.call_on(node.scheduler, partial(node.end, each))
        lab.sleep(0.2)
        if after is not None:
            lab.call_on(node.scheduler, partial(node.begin, after))
    lab.send_raw(request("r4", work_s=0.4), wait=0.6)
    took = timed(node)
    # The work done for r3 is 0.1 s by 0.2 s, 0.2 s by 0.3 s, 0.3 s by 0.5 s and 0.4 s by 0.6 s.  The neighbor
    # program started slightly before r3.
    assert took[0] == 0.4 and took[1] >= 1.0 and took[2] in (0.5, 0.6) and took[3] == 0.4


def test_turning_away() -> None:
    lab = Lab()
    node = node_in(lab, at_node.RejectsRequests(status=504))
    answer = answers(lab.send_raw(request())[0])[0]
    assert (answer.status, answer.headers["not-started"]) == (504, "1")
    assert made_by(node) == [("r1", "turned away", False)]


def loads(lab: Lab, count: int = 4) -> list[str | None]:
    got, _ = lab.send_raw(*(request(f"r{number}") for number in range(count)), pause=0.4, wait=1.0)
    return [each.headers.get("server-load") for each in answers(got)]


def test_reports_come_late_wrong_or_not() -> None:
    usual: dict[str, Any] = {"report_period_s": 0.3, "report_delay_s": 0.05}
    lab = Lab()
    node = node_in(lab, **usual)
    told = loads(lab)
    report = parse_load_report(told[-1])
    assert report is not None and report.utilisation is not None and 0.05 < report.utilisation < 0.4
    lab.call_on(node.scheduler, lambda: node.begin(at_node.DelayedReports(60.0)))
    assert loads(lab) == [None] * 4
    readable = {"negative", "huge", "idle"}
    for how in get_args(ReportHow):
        lab = Lab()
        node_in(lab, at_node.InvalidReports(how), **usual)
        last = loads(lab)[-1]
        assert (last is None) == (how == "absent")
        if how in readable:
            assert isinstance(json.loads(last or ""), dict)
        elif last is not None:
            with pytest.raises(ValueError):
                json.loads(last)


def test_a_node_that_falls_is_gone() -> None:
    lab = Lab()
    fell: list[int] = []

    def build(scheduler: Scheduler) -> Node:
        made = Node(scheduler, NodeSettings(**USUAL, cold_from=0.2, cold_s=10, fall_s=1), "s-1", cold=True)
        made.on_fall = lambda: fell.append(1)
        made.listen(SERVER)
        return made

    node = lab.start_on("server", build)
    got, ended = lab.send_raw(request(work_s=5.0))
    assert (got, fell, node.listening) == (b"", [1], False) and ended == "ConnectionResetError"
    assert lab.send_raw(request()) == (b"", "ConnectionRefusedError")


def test_books_can_be_bounded() -> None:
    book: deque[Execution] = deque(maxlen=2)
    lab = Lab()
    lab.start_on("server", lambda s: Node(s, NodeSettings(**USUAL), "s-1", executions=book).listen(SERVER))
    lab.send_raw(*(request(f"r{number}") for number in range(5)), wait=1.0)
    assert [each.request for each in book] == ["r3", "r4"]
