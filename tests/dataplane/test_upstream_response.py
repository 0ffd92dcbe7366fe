"""Tests that a response ends at its deadline, and that its instance is blamed for it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import h11
import pytest

from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.response_failures import ResponseFailureLog
from brambleusher.dataplane.upstream_connection import UpstreamConnection
from brambleusher.dataplane.upstream_response import ResponseHead, UpstreamResponse
from brambleusher.runtime.h11_messages import encode_message
from brambleusher.runtime.scheduler import TaskTimeoutError

DEADLINE_S = 2.0


class Clock:
    """The parts of a scheduler that a response uses while all its bytes are there."""

    now_s = 0.0

    def now(self) -> float:
        return self.now_s

    def checkpoint(self, deadline: float | None = None) -> None:
        """Let nothing else run."""


class Listener:
    """Records how an attempt ended."""

    def __init__(self) -> None:
        self.ends: list[str] = []

    def response_started(self) -> None:
        """Do nothing."""

    def attempt_finished(self, has_succeeded: bool) -> None:
        self.ends.append("succeeded" if has_succeeded else "failed")

    def attempt_abandoned(self) -> None:
        self.ends.append("abandoned")


def response_with_parsed_chunks(clock: Clock, listener: Listener) -> UpstreamResponse:
    """Return a response whose connection has received many chunks that are not read yet."""
    scheduler: Any = clock
    protocol = h11.Connection(h11.CLIENT)
    encode_message(protocol, h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"h")]))
    protocol.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 100)
    head = protocol.next_event()
    assert isinstance(head, h11.Response)
    stream: Any = SimpleNamespace(scheduler=clock)
    pool: Any = SimpleNamespace(close=lambda instance, connection: None)
    instance = Instance("i1", "llm", ("10.0.0.1", 80), "n1", "north", 8.0)
    failures = ResponseFailureLog(scheduler)
    return UpstreamResponse(
        scheduler,
        pool,
        instance,
        UpstreamConnection(stream, protocol),
        ResponseHead(200, []),
        listener,
        failures,
    )


# Guards against a deadline that is not seen as long as parsed bytes are left: all waits were for the client.
def test_a_response_ends_at_its_deadline_though_bytes_are_left() -> None:
    clock, listener = Clock(), Listener()
    response = response_with_parsed_chunks(clock, listener)
    assert response.read(DEADLINE_S) == b"x"
    clock.now_s = DEADLINE_S
    with pytest.raises(TaskTimeoutError):
        response.read(DEADLINE_S)
    assert listener.ends == ["failed"]


@pytest.mark.parametrize(("left_at_s", "end"), [(DEADLINE_S - 0.01, "failed"), (DEADLINE_S / 2, "abandoned")])
def test_an_instance_is_blamed_for_a_client_that_leaves_as_the_deadline_comes(
    left_at_s: float, end: str
) -> None:
    clock, listener = Clock(), Listener()
    response = response_with_parsed_chunks(clock, listener)
    response.read(DEADLINE_S)
    clock.now_s = left_at_s
    response.abandon()
    assert listener.ends == [end]
