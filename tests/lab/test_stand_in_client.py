"""Tests of the stand-in clients: retries, closes that cross a request, and misbehaving clients."""

from __future__ import annotations

import json
import logging
import random
from typing import Any

import pytest

from brambleusher.lab.stand_ins.bad_client import BAD_KINDS, BadClients, BadKind
from brambleusher.lab.stand_ins.client import Client, RequestAttempt, retry_delay_s, serialize_request
from brambleusher.lab.stand_ins.discovery import Discovery, Entry
from brambleusher.lab.stand_ins.node import MalformedResponses, Node, RejectsRequests, Resets
from brambleusher.lab.stand_ins.settings import (
    ClientSettings,
    DiscoverySettings,
    NodeSettings,
    PlannedRequest,
)
from brambleusher.lab.virtual.network import Connection
from brambleusher.lab.virtual.world import Tap
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import System
from tests.lab.lab_builders import SERVER, Lab, ask
from tests.lab.test_stand_in_node import USUAL, node_in

FIXED = ClientSettings(tries=3, backoff="fixed", backoff_s=0.1, honour=1.0)


def tried(
    end: str, status: int = 0, unsafe: bool = False, number: int = 0, after: float | None = None
) -> RequestAttempt:
    return RequestAttempt(
        ask(unsafe=unsafe), "a1", number, 1.0, 0, end=end, status=status, retry_after_s=after
    )


@pytest.mark.parametrize(
    ("last", "settings", "left", "low", "high"),
    [
        (tried("answered", 200), FIXED, 9.0, None, None),
        (tried("answered", 502), FIXED, 9.0, 0.05, 0.15),
        (tried("answered", 503), FIXED, 9.0, 0.05, 0.15),
        (tried("answered", 503, after=0.7), FIXED, 9.0, 0.7, 0.7),
        (tried("answered", 503, after=60.0), FIXED, 9.0, 2.0, 2.0),  # the obeyed delay is bounded
        (tried("answered", 503, after=0.7), FIXED, 0.5, None, None),  # the deadline is before the retry
        (tried("late"), FIXED, 9.0, 0.05, 0.15),
        (tried("left"), FIXED, 9.0, None, None),
        (tried("broken"), ClientSettings(backoff="none"), 9.0, 0.0, 0.0),
        (tried("broken", number=1), ClientSettings(backoff="exponential", backoff_s=0.1), 9.0, 0.1, 0.3),
        (tried("broken", number=2), FIXED, 9.0, None, None),
        # Only a rejection or a failed connect proves that a non-idempotent request has not run.
        (tried("answered", 502, unsafe=True), FIXED, 9.0, None, None),
        (tried("broken", unsafe=True), FIXED, 9.0, None, None),
        (tried("late", unsafe=True), FIXED, 9.0, None, None),
        (tried("answered", 503, unsafe=True), FIXED, 9.0, 0.05, 0.15),
        (tried("unreachable", unsafe=True), FIXED, 9.0, 0.05, 0.15),
    ],
)
def test_when_another_try_is_made(
    last: RequestAttempt, settings: ClientSettings, left: float, low: float | None, high: float | None
) -> None:
    pause = retry_delay_s(last, settings, random.Random(1), 100.0, 100.0 + left)
    if low is None or high is None:
        assert pause is None
    else:
        assert pause is not None and low <= pause <= high


class Wire(Tap):
    """Records all bytes that clients send."""

    def __init__(self) -> None:
        self.data = b""

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        self.data += data if side == "client" else b""


def play(lab: Lab, asks: list[PlannedRequest], **settings: Any) -> Client:
    def build(scheduler: Scheduler) -> Client:
        client = Client(scheduler, ClientSettings(**settings), SERVER, asks, 3)
        client.start(scheduler.now())
        return client

    client: Client = lab.start_on("client", build)
    lab.world.run(lab.world.now_ns + 60 * 10**9, lambda: client.finished)
    assert client.finished and client.open == 0
    return client


def test_connections_are_kept_and_opened_as_needed() -> None:
    lab = Lab()
    node_in(lab, cores=2)
    client = play(lab, [ask(f"a{n}", at_s=0.2 * (n // 2), work_s=0.05) for n in range(8)])
    assert client.connects == 2 and all(each.served for each in client.records)
    assert all(0 <= each.tries[0].begun_ns - each.due_ns < 2_000_000 for each in client.records)


def test_a_close_that_crosses_is_asked_once_more() -> None:
    lab = Lab()
    node = node_in(lab)
    asks = [ask("a1"), ask("a2", at_s=0.5)]

    def reset_idle() -> None:  # the node resets the connection just as the second request is written
        for connection in list(node.connections.values()):
            node.reset(connection)

    lab.world.at(lab.world.now_ns + 500_200_000, lambda: node.scheduler.call_soon(reset_idle))
    client = play(lab, asks, tries=1)
    assert [each.served for each in client.records] == [True, True]
    assert [each.tries[0].resent for each in client.records] in ([False, True], [False, False])


def test_a_break_that_comes_later_is_not_a_crossing() -> None:
    lab = Lab()
    node = node_in(lab)

    def reset_busy() -> None:
        for connection in list(node.connections.values()):
            node.reset(connection)

    lab.world.at(lab.world.now_ns + 700_000_000, lambda: node.scheduler.call_soon(reset_busy))
    client = play(lab, [ask("a1"), ask("a2", at_s=0.5, work_s=0.5, unsafe=True)])
    assert [(each.end, each.resent) for each in client.records[1].tries] == [("broken", False)]
    assert [each.request for each in node.executions] == ["a1", "a2"]


def test_refusals_are_heeded_and_late_answers_given_up() -> None:
    lab = Lab()
    node_in(lab, RejectsRequests())
    refused = play(lab, [ask("a1")], tries=3, backoff="fixed", backoff_s=0.05).records[0]
    assert [(each.id, each.status) for each in refused.tries] == [("a1", 503), ("a1-1", 503), ("a1-2", 503)]
    lab = Lab()
    node = node_in(lab, cancel="all")
    late = play(lab, [ask("a1", work_s=5.0, wait_s=0.5)], tries=1).records[0].tries[0]
    assert late.end == "late" and 0.5 <= (late.ended_ns - late.begun_ns) / 1e9 < 0.62
    lab.sleep(0.1)
    assert node.executions[0].end == "stopped"
    lab = Lab()
    node_in(lab)
    left = play(lab, [ask("a1", work_s=9.0, wait_s=3.0)], impatient=1.0).records[0].tries
    assert [each.end for each in left] == ["left"]
    lab = Lab()
    assert [each.end for each in play(lab, [ask("a1")], tries=2).records[0].tries] == ["unreachable"] * 2
    lab = Lab()
    node_in(lab, MalformedResponses("strange-status"))
    assert [each.end for each in play(lab, [ask("a1")], tries=1).records[0].tries] == ["unreadable"]


def test_retries_are_marked_where_so_set() -> None:
    assert b"Client-Retry" not in serialize_request(
        ask(), "a1-1", 1.0
    ) and b"Client-Retry: 1\r\n" in serialize_request(ask(), "a1-1", 1.0, retry=True)
    for marks in (False, True):
        lab = Lab()
        node = node_in(lab, Resets("after"))
        wire = Wire()
        lab.world.taps.append(wire)
        play(lab, [ask("a1")], tries=2, marks_retry=marks)
        assert [each.request for each in node.executions] == ["a1", "a1-1"]
        assert wire.data.count(b"Client-Retry: 1") == marks


# --- the same on loopback -------------------------------------------------------------------------


def exchange(system: System, listen: tuple[str, int]) -> list[Any]:
    """Run a node, a discovery service and clients in one process; return the outcomes without times."""
    scheduler = Scheduler(system)
    node = Node(scheduler, NodeSettings(**{**USUAL, "report_fields": ()}), "s-1", 7)
    address = node.listen(listen)
    entry = Entry(id="s-1", addr=f"{address[0]}:{address[1]}")
    discovery = Discovery(scheduler, DiscoverySettings(call_s=0.001), entries=[entry])
    discovery.listen((listen[0], 0))
    client = Client(
        scheduler,
        FIXED,
        address,
        [ask(f"a{n}", at_s=0.02 * n, work_s=0.002, unsafe=n % 2 == 1, body_bytes=300) for n in range(6)],
        3,
    )
    client.start(scheduler.now())
    scheduler.run(lambda: client.finished)
    found = [(each.tries[-1].status, json.loads(each.tries[-1].body)) for each in client.records]
    for each in (client, node, discovery):
        each.close()
    scheduler.call_at(scheduler.now() + 0.01, scheduler.stop)
    scheduler.run()
    scheduler.close()
    return [found, sorted((each.request, each.end, each.ran) for each in node.executions), client.connects]


def test_loopback_and_virtual_time_give_the_same() -> None:
    lab, ended = Lab(), []
    lab.server.start(lambda system: ended.append(exchange(system, SERVER)))
    lab.world.run(until=lambda: bool(ended))
    # The number of connections needed on loopback depends on the load of the machine.
    assert ended[0][:2] == exchange(RealSystem(), ("127.0.0.1", 0))[:2]
    assert ended[0][2] == 1
    assert [status for status, _ in ended[0][0]] == [200] * 6


# --- bad clients -------------------------------------------------------------------------------


@pytest.mark.parametrize("kind", BAD_KINDS)
def test_bad_clients_do_what_they_are_named_for(kind: BadKind) -> None:
    """Each kind of client sends its data to a node, which runs no request hidden in a body."""
    lab = Lab()
    node = node_in(lab, cores=2)
    sample = ask("b", work_s=0.01)

    def build(scheduler: Scheduler) -> BadClients:
        bad = BadClients(scheduler, SERVER, sample, 5, in_use=lambda: ["a1"])
        bad.begin(kind, 2, patience=4.0)
        return bad

    logging.getLogger("brambleusher.lab").setLevel(logging.WARNING)
    bad: BadClients = lab.start_on("client", build)
    lab.world.run(lab.world.now_ns + 10 * 10**9, lambda: not bad.open)
    assert bad.open == 0 and [each.kind for each in bad.records] == [kind] * 2
    for deed in bad.records:
        assert deed.opened_ns and deed.ended_ns > deed.opened_ns and deed.port
        assert deed.end in ("closed", "reset", "left", "stayed")
        assert (deed.sent_ns > 0) == (kind != "silent") or (kind, deed.end) == ("huge-body", "reset")
    ran = {each.request for each in node.executions}
    assert not any(deed.hidden in ran for deed in bad.records)
    good = {name for deed in bad.records for name in deed.ids}
    if kind in ("pipelining", "ask-and-stay", "slow-writing", "slow-reading", "again-at-once", "leaving"):
        assert good and good == ran
    if kind == "both-framings":
        assert all(deed.hidden for deed in bad.records)
