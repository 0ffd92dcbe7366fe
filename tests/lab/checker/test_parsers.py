"""Tests of the checker's parsers."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.lab.checker import Rules, judge
from brambleusher.lab.checker.messages import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    ChunkDecoder,
    LineReader,
    MessageReader,
)
from brambleusher.lab.checker.roster import parse_update
from tests.lab.checker.synthetic_traffic import SETTINGS, A, entry, http, list_line


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_readers_cut_where_messages_end(step: int) -> None:
    one = http("GET /a HTTP/1.1", A="b")
    two = (
        b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n"
    )
    data, reader = one + b"\r\n" + two + one, MessageReader(answers=False)
    found = [
        message for at in range(0, len(data), step) for message in reader.feed(data[at : at + step])
    ]  # fmt: skip
    assert [message.body for message in found] == [b"", b"abcde", b""]
    assert found[1].begin == len(one) + 2 and found[1].end == found[2].begin == len(one) + 2 + len(two)
    assert found[2].end == len(data) and not reader.has_partial


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 1\r\nTransfer-Encoding: chunked", "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: -1", "Content-Length: 99999999999", "Transfer-Encoding: gzip", "no colon", ": x",
    ],
)  # fmt: skip
def test_framing_that_can_be_read_in_two_ways(head: str) -> None:
    reader = MessageReader(answers=False)
    assert reader.feed(f"POST /a HTTP/1.1\r\n{head}\r\n\r\nabc".encode()) == []
    assert reader.fault is not None and reader.has_partial


def test_an_answer_without_framing_never_ends() -> None:
    reader = MessageReader(answers=True)
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc") == [] and reader.has_partial


def test_bad_chunks() -> None:
    for data in (b"zz\r\n", b"3\r\nabcd\r\n", b"-1\r\n"):
        chunks = ChunkDecoder()
        chunks.feed(data)
        assert chunks.fault is not None


@pytest.mark.parametrize("step", [1, 5, 1000])
def test_lines_of_a_watch(step: int) -> None:
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n5\r\nc\n\nde\r\n"
    lines = LineReader()
    found = [line for at in range(0, len(data), step) for line in lines.feed(data[at : at + step])]
    assert found == [b"abc", b""] and not lines.done
    assert lines.feed(b"1\r\n\n\r\n0\r\n\r\n") == [b"de"] and lines.done


LOOK = "GET /look HTTP/1.1"
GOOD = {"Request_Id": "r1", "Request_Class": "look", "Tenant": "acme", "Request_Timeout_Ms": "500"}


@pytest.mark.parametrize(
    ("first", "headers", "fault"),
    [
        (LOOK, {}, None), ("GET /look/a?b=c HTTP/1.0", {}, None),
        ("GET /look HTTP/2", {}, "line"),
        ("GET look HTTP/1.1", {}, "line"), ("GET /look", {}, "line"), ("GET", {}, "line"),
        ("GET /ready HTTP/1.1", {}, judge.READY), ("POST /ready HTTP/1.1", {}, "class does not"),
        ("POST /look HTTP/1.1", {}, "method"), ("GET /move HTTP/1.1", {"Request_Class": "move"}, "method"),
        ("GET /other HTTP/1.1", {}, "class does not"),
        (LOOK, {"Request_Class": "move"}, "path"),
        (LOOK, {"Request_Id": ""}, "id"), (LOOK, {"Request_Id": "a b"}, "id"),
        (LOOK, {"Request_Id": "!" + "~" * 127}, None),
        (LOOK, {"Request_Id": "x" * 129}, "id"),
        (LOOK, {"Request_Timeout_Ms": "0"}, "deadline"),
        (LOOK, {"Request_Timeout_Ms": "-5"}, "deadline"),
        (LOOK, {"Request_Timeout_Ms": "1" * 9}, None),
        (LOOK, {"Request_Timeout_Ms": "1" * 10}, "deadline"),
        (LOOK, {"Tenant": "other"}, "tenant"),
        (LOOK, {"Work_Hint": "12.5"}, None), (LOOK, {"Work_Hint": "x"}, "hint"),
    ],
)  # fmt: skip
def test_requests_that_can_be_served(first: str, headers: dict[str, str], fault: str | None) -> None:
    (message,) = MessageReader(answers=False).feed(http(first, b"", **{**GOOD, **headers}))
    found = judge.find_request_fault(message, Rules.from_settings(SETTINGS))
    assert found is None if fault is None else found is not None and fault in found


@pytest.mark.parametrize(("size", "sound"), [(64 * 1024, True), (64 * 1024 + 1, False)])
def test_a_body_that_is_too_large(size: int, sound: bool) -> None:
    (message,) = MessageReader(answers=False).feed(
        http("POST /move HTTP/1.1", b"x" * size, **{**GOOD, "Request_Class": "move"})
    )
    assert (judge.find_request_fault(message, Rules.from_settings(SETTINGS)) is None) is sound


@pytest.mark.parametrize(
    ("changed", "sound"),
    [
        ({}, True), ({"id": ""}, False), ({"id": 5}, False), ({"state": "Odd"}, False),
        ({"addr": "a"}, False),
        ({"addr": ":80"}, False), ({"addr": "a:65535"}, True), ({"addr": "a:65536"}, False),
        ({"addr": 5, "state": "Gone"}, True), ({"weight": -1}, False), ({"weight": True}, False),
        ({"weight": 0}, True), ({"weight": "1"}, False), ({"weight": 1e999}, False), ({"cell": -1}, False),
        ({"cell": 1.5}, False), ({"started_ms": -1}, False), ({"started_ms": 7}, True),
    ],
)  # fmt: skip
def test_entries_that_make_sense(changed: dict[str, Any], sound: bool) -> None:
    line = list_line({**entry(A), **changed})
    assert (parse_update(line) is not None) is sound


def test_lists_that_make_no_sense() -> None:
    for line in (b"[]", b"{}", b'{"servers":{}}', b'{"version":-1,"servers":[]}', b"{", b"\xff", b"[" * 9999):
        assert parse_update(line) is None
    assert parse_update(b'{"version":3,"servers":[]}') is not None


def test_what_has_no_end_is_not_waited_for() -> None:
    for data in (
        b"x" * (MAX_HEAD_BYTES + 1),
        b"GET / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
    ):
        reader = MessageReader(answers=False)
        reader.feed(data)
        assert reader.fault is not None
    reader, part = MessageReader(answers=True), b"%x\r\n%s\r\n" % (1 << 20, b"x" * (1 << 20))
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(5):
        reader.feed(part)
    assert reader.fault is not None
