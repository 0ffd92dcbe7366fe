"""Tests of the stand-in discovery over a virtual network: lists, watches, the log, and each fault."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable
from typing import Any, get_args

import pytest

from brambleusher.lab.stand_ins import discovery as at_discovery
from brambleusher.lab.stand_ins.discovery import Discovery, Entry, GarbageHow
from brambleusher.lab.stand_ins.settings import DiscoverySettings
from brambleusher.net.endpoint_list import EndpointListError, decode_update
from brambleusher.net.http import HttpError, MessageReader
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from tests.lab.lab_builders import SERVER, Lab

ENTRIES = [Entry(id=f"s-{name}", addr=f"10.1.0.{at}:9000", zone="a") for at, name in enumerate("abc")]
DRAINS = Entry(id="s-b", addr="10.1.0.1:9000", zone="a", state="Terminating")
GONE = Entry(id="s-c", addr="10.1.0.2:9000", zone="a", state="Gone")
WATCH = "/v1/endpoints?follow=1"


def discovery_in(lab: Lab, *faults: object, version: int = 7, **settings: Any) -> Discovery:
    def build(scheduler: Scheduler) -> Discovery:
        made = Discovery(scheduler, DiscoverySettings(**settings), entries=ENTRIES, version=version)
        made.listen(SERVER)
        for fault in faults:
            made.begin(fault)
        return made

    made: Discovery = lab.start_on("server", build)
    return made


def watch(
    lab: Lab, target: str = WATCH, seconds: float = 5.0, meanwhile: Callable[[], object] = lambda: None
) -> tuple[list[tuple[float, bytes]], str]:
    """Open a watch; return its lines with their arrival times in seconds, and the way in which it ended."""
    lines: list[tuple[float, bytes]] = []

    def task(scheduler: Scheduler) -> str:
        begin = scheduler.now()
        try:
            stream = Stream.connect(scheduler, SERVER, begin + 1)
            stream.send(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode(), begin + 1)
            reader, pending = MessageReader.responses(), b""
            while data := stream.receive(begin + seconds):
                reader.feed(data)
                head = reader.head()
                if head is None or head.status != 200:
                    return "none" if head is None else str(head.status)
                part, done = reader.drain()
                *whole, pending = (pending + part).split(b"\n")
                lines.extend((round(scheduler.now() - begin, 1), line) for line in whole)
                if done:
                    return "done"
            return "cut in a line" if pending else "end"
        except TaskTimeoutError:
            return "silence"
        except (OSError, HttpError) as error:
            return type(error).__name__

    meanwhile()
    return lines, lab.run_on_client(task)


def update(line: bytes) -> tuple[int, bool, list[tuple[str, str]]]:
    raw = json.loads(line)
    decode_update(raw)
    return raw["version"], raw["full"], [(each["id"][2:], each["state"]) for each in raw["servers"]]


ALL = [("a", "Ready"), ("b", "Ready"), ("c", "Ready")]
CHANGED = [("b", "Terminating"), ("c", "Gone")]


@pytest.mark.parametrize(
    ("target", "first"),
    [
        (WATCH, (9, True, [("a", "Ready"), ("b", "Terminating")])),
        (f"{WATCH}&since=7", (9, False, CHANGED)),
        (f"{WATCH}&since=8", (9, False, CHANGED[1:])),
        (f"{WATCH}&since=9", (9, False, [])),
        # Version 6 is older than the available history.
        (f"{WATCH}&since=6", (9, True, [("a", "Ready"), ("b", "Terminating")])),
        # Version 10 must come from another discovery service.
        (f"{WATCH}&since=10", (9, True, [("a", "Ready"), ("b", "Terminating")])),
        (f"{WATCH}&since=x", (9, True, [("a", "Ready"), ("b", "Terminating")])),
        ("/v1/endpoints", (9, True, [("a", "Ready"), ("b", "Terminating")])),
    ],
)
def test_the_first_answer(target: str, first: Any) -> None:
    lab = Lab()
    discovery = discovery_in(lab)
    lab.call_on(discovery.scheduler, lambda: discovery.put(DRAINS))
    lab.call_on(discovery.scheduler, lambda: discovery.put(GONE))
    if target == "/v1/endpoints":
        got, _ = lab.send_raw(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode(), wait=1.0)
        lines = [(0.0, got.split(b"\r\n\r\n")[1])]
    else:
        lines, _ = watch(lab, target, 1.0)
    assert update(lines[0][1]) == first


def test_a_watch_brings_changes_and_empty_lines() -> None:
    lab = Lab()
    discovery = discovery_in(lab, spread_s=0.05)

    def change() -> None:
        discovery.put(DRAINS)
        discovery.put(GONE)

    lab.world.after(3_000_000_000, lambda: discovery.scheduler.call_soon(change))
    lines, how = watch(lab, seconds=6.5)
    assert how == "silence"
    texts = [line for _, line in lines]
    assert update(texts[0]) == (7, True, ALL) and texts[1] == texts[-1] == b""
    told = [each for line in texts[1:] if line for each in update(line)[2]]
    assert told == CHANGED
    gaps = [after - before for (before, _), (after, _) in itertools.pairwise(lines)]
    assert max(gaps) <= 2.05
    book = discovery.sent_updates
    assert book[0].version == 7 and book[-1].version == 9
    assert all(each.peer == "10.0.0.2" and each.sound for each in book)
    assert 0 <= book[-1].at_ns - (book[0].at_ns + 2_900_000_000) < 300_000_000


def test_calls_wait_their_turn_and_fail() -> None:
    for fails_by, how in (("503", "503"), ("reset", "ConnectionResetError")):
        lab = Lab()
        discovery_in(lab, at_discovery.SlowRequests(50.0), call_s=0.1, timeout_s=3.0, fails_by=fails_by)
        assert watch(lab) == ([], how)
    lab = Lab()
    discovery_in(lab, call_s=0.5, line_s=0.0)
    ends: list[float] = []

    def task(scheduler: Scheduler) -> None:
        begin, streams = scheduler.now(), []
        for _ in range(4):
            streams.append(Stream.connect(scheduler, SERVER, begin + 1))
            streams[-1].send(b"GET /v1/endpoints HTTP/1.1\r\nHost: d\r\n\r\n", begin + 1)
        for stream in streams:
            stream.receive(begin + 9)
            ends.append(round(scheduler.now() - begin, 1))

    lab.run_on_client(task)
    assert ends == [0.5, 1.0, 1.5, 2.0]


@pytest.mark.parametrize(
    ("down", "how"),
    [("refuse", "ConnectionRefusedError"), ("reset", "ConnectionResetError"), ("503", "503")],
)
def test_down(down: Any, how: str) -> None:
    lab = Lab()
    fault = at_discovery.Down(down)
    discovery = discovery_in(lab, fault)
    assert watch(lab) == ([], how)
    lab.call_on(discovery.scheduler, lambda: discovery.end(fault))
    lab.sleep(0.01)
    lab.world.after(500_000_000, lambda: discovery.scheduler.call_soon(lambda: discovery.begin(fault)))
    lines, ended = watch(lab, seconds=1.0)
    assert update(lines[0][1]) == (7, True, ALL)
    assert ended == ("silence" if down == "503" else "ConnectionResetError")


def test_silent() -> None:
    lab = Lab()
    fault = at_discovery.Unresponsive()
    discovery = discovery_in(lab)
    call = discovery.scheduler.call_soon
    lab.world.after(500_000_000, lambda: call(lambda: discovery.begin(fault)))
    lab.world.after(600_000_000, lambda: call(lambda: discovery.put(DRAINS)))
    lab.world.after(4_000_000_000, lambda: call(lambda: discovery.end(fault)))
    lines, _ = watch(lab, seconds=5.0)
    assert [at for at, _ in lines] == [0.0, 4.0] and update(lines[1][1])[2] == CHANGED[:1]


@pytest.mark.parametrize("how", get_args(GarbageHow))
def test_garbage(how: GarbageHow) -> None:
    lab = Lab()
    discovery = discovery_in(lab)
    call = discovery.scheduler.call_soon
    lab.world.after(200_000_000, lambda: call(lambda: discovery.put(DRAINS)))
    lab.world.after(500_000_000, lambda: call(lambda: discovery.begin(at_discovery.Garbage(how))))
    lines, ended = watch(lab, seconds=3.0)
    bad = [line for at, line in lines if at >= 0.5 and line]
    if how == "older":
        # The watch receives the outdated list, then the change since its version.
        assert [update(line)[:2] for line in bad] == [(7, True), (8, False)]
        assert [each.sound for each in discovery.sent_updates] == [True, True, False, True]
    elif how in ("half-line", "bad-chunk"):
        assert not bad and ended == ("cut in a line" if how == "half-line" else "HttpError")
    else:
        with pytest.raises((ValueError, EndpointListError)):
            decode_update(json.loads(bad[0]))
        assert len(bad) == 1 and ended == "silence"  # the invalid data is sent only once


def test_one_that_was_replaced_retires() -> None:
    lab = Lab()
    discovery = discovery_in(lab)
    call = discovery.scheduler.call_soon
    lab.world.after(500_000_000, lambda: call(lambda: discovery.retire(1.5)))
    lines, ended = watch(lab)
    assert len(lines) == 1 and ended == "end" and lab.world.elapsed_ns >= 2_000_000_000
    assert watch(lab) == ([], "ConnectionRefusedError")
