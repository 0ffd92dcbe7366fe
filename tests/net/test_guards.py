"""Disables the protections against race conditions one at a time and checks that a test then fails.

Each row names the patch that disables a protection and the test that must fail. A test that passes without
its protection does not check it, and fails here.
"""

from __future__ import annotations

import math
import unittest
from collections.abc import Generator
from typing import Any

import pytest

from brambleusher.net import endpoint_watch, upstream_connections
from brambleusher.net.client_connection import ClientConnection
from brambleusher.net.client_connection_server import ClientConnectionServer
from brambleusher.net.client_connections import ClientConnections
from brambleusher.net.client_listener import ClientListener
from brambleusher.net.http import MessageReader
from brambleusher.net.json_text_assembler import TextAssembler
from brambleusher.net.upstream_connections import UpstreamConnections
from brambleusher.net.upstream_pool import UpstreamPool
from brambleusher.net.upstream_response_reader import UpstreamResponseReader
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.streams import Stream
from brambleusher.sidecar.lifecycle import Lifecycle
from tests import crossing, rig
from tests.net import test_crossings_client, test_crossings_lists, test_crossings_upstream
from tests.sidecar import test_crossings_shutdown

WAIT_WITHOUT_GUARD_S = 3.0  # seconds to wait for an event that does not occur without the protection
Patch = tuple[Any, str, Any]


def no_half_close(stream: Stream, *bounds: Any) -> None:
    """Skip the half-close, so that the connection is closed immediately."""


def never_disconnected(presence: PeerPresence) -> bool:
    return False


def reads_and_sees_no_end(presence: PeerPresence) -> bool:
    presence._read()
    return False


def stops_reading_at_limit(presence: PeerPresence) -> bool:
    """Stop reading after 128 KiB of read-ahead, so that a later disconnect is not seen."""
    if presence._buffer.buffered >= 128 * 1024:
        return False
    presence._read()
    return presence.has_left


def no_last_connects(clients: ClientListener) -> None:
    """Close the listener without waiting for the last connections."""


def has_no_next_request(connection: ClientConnection, reader: Any) -> bool:
    return False


def always_marks_idle(connections: ClientConnections, connection: ClientConnection, reader: Any) -> None:
    """Mark a connection idle even if the client has sent more, and keep serving it after its release."""
    now = connections._scheduler.now()
    connections._admission.record_idle(connection, now)
    if connections._admission.is_scarce(now):
        connections.close_least_valuable()
    connection.is_released = False


def any_byte_restarts_timeout(
    feed: endpoint_watch.HttpWatch, stream: Stream, reader: Any
) -> Generator[bytes, None, None]:
    """Restart the watch timeout with each byte instead of each line."""
    pending = bytearray()
    while True:
        part, done = reader.drain()
        pending += part
        while (end := pending.find(b"\n")) >= 0:
            line = bytes(pending[:end])
            del pending[: end + 1]
            yield line
        if done:
            return
        data = stream.receive(feed._scheduler.now() + endpoint_watch.LINE_TIMEOUT_S)
        if not data:
            raise endpoint_watch.WatchError("the watch was cut")
        reader.feed(data)


def line_by_line(assembler: TextAssembler, line: bytes) -> list[bytes]:
    return [line.strip()]


def takes_any_idle_connection(connections: UpstreamConnections, node: Any, now: float) -> Stream | None:
    return node.idle.pop() if node.idle else None


def keeps_waiting_attempts(nodes: UpstreamPool, node: Any) -> None:
    """Keep the attempts that wait for a connection to a node that is removed."""
    node.is_draining = True
    nodes.connections.close_idle(node)


def ends_with_requests_open(lifecycle: Lifecycle) -> bool:
    return lifecycle.is_drained


def reset_is_an_end(response_reader: UpstreamResponseReader) -> Any:
    """Treat a response without length as complete when its connection is reset."""
    reader = MessageReader.responses(streaming=True)
    stream, deadline = response_reader._stream, response_reader._deadline
    while True:
        try:
            data = stream.receive(deadline, response_reader._cancel_event) or b""
        except ConnectionResetError:
            data = b""
        if not data and (answer := reader.end()) is not None:
            return answer, False
        reader.feed(data)
        if (answer := reader.take()) is not None:
            return answer, answer.keep_alive


def closes_when_the_wait_ends(stream: Stream) -> bool:
    """Ignore data that arrived at the moment when a wait ended."""
    return True


ROWS: list[tuple[str, list[Patch], type[unittest.TestCase], str]] = [
    (
        "half-close",
        [(Stream, "finish", no_half_close)],
        test_crossings_client.Closes,
        "test_an_answer_is_whole_where_its_client_sent_more_before_the_close",
    ),
    (
        "half-close of resting connections",
        [(ClientConnections, "close_gracefully", ClientConnections.close_now)],
        test_crossings_client.Closes,
        "test_a_request_that_crosses_the_end_of_a_resting_connection_is_not_sent_on",
    ),
    (
        "listener open a moment longer",
        [(ClientListener, "_await_last_connects", no_last_connects)],
        test_crossings_client.Closes,
        "test_a_request_that_crosses_the_end_of_a_resting_connection_is_not_sent_on",
    ),
    (
        "look when a wait ends",
        [(Stream, "is_idle", closes_when_the_wait_ends)],
        test_crossings_client.Closes,
        "test_a_request_that_comes_as_the_wait_for_it_ends_is_served",
    ),
    (
        "requests sent ahead at the end",
        [(ClientConnectionServer, "_has_next_request", staticmethod(has_no_next_request))],
        test_crossings_client.Closes,
        "test_what_was_sent_ahead_is_answered_while_the_sidecar_ends",
    ),
    (
        "requests sent ahead where room is made",
        [
            (ClientConnections, "record_response_sent", always_marks_idle),
            (PeerPresence, "check_left", reads_and_sees_no_end),
        ],
        test_crossings_client.Closes,
        "test_a_connection_that_is_given_up_carries_no_further_request",
    ),
    (
        "look before the first byte",
        [(PeerPresence, "check_left", never_disconnected)],
        test_crossings_client.Leaves,
        "test_nothing_is_sent_for_a_client_that_leaves_while_its_node_is_connected",
    ),
    (
        "floods are read",
        [(PeerPresence, "check_left", stops_reading_at_limit)],
        test_crossings_client.Leaves,
        "test_a_flood_that_leaves_is_seen_to_leave_and_gets_no_further_attempt",
    ),
    (
        "whole lines alone are signs of life",
        [(endpoint_watch.HttpWatch, "_lines", any_byte_restarts_timeout)],
        test_crossings_lists.Silence,
        "test_pieces_of_a_line_without_end",
    ),
    (
        "the clock of silence",
        [(endpoint_watch, "LINE_TIMEOUT_S", math.inf)],
        test_crossings_lists.Silence,
        "test_a_head_and_nothing_more",
    ),
    (
        "the wait for a head",
        [(endpoint_watch, "RESPONSE_TIMEOUT_S", math.inf)],
        test_crossings_lists.Silence,
        "test_no_head",
    ),
    (
        "indented texts",
        [(TextAssembler, "add", line_by_line)],
        test_crossings_lists.Texts,
        "test_an_indented_text_on_a_watch_is_one_text",
    ),
    (
        "rest before reuse",
        [(upstream_connections, "REUSE_DELAY_S", 0.0)],
        test_crossings_upstream.Answers,
        "test_a_second_answer_that_comes_late_reaches_no_other_request",
    ),
    (
        "look before reuse",
        [(UpstreamConnections, "_take_idle", takes_any_idle_connection)],
        test_crossings_upstream.Idle,
        "test_bytes_that_came_while_it_rested_spoil_it",
    ),
    (
        "a reset is no end",
        [(UpstreamResponseReader, "read", reset_is_an_end)],
        test_crossings_upstream.Answers,
        "test_a_reset_before_the_end_of_an_answer_without_length_is_no_end",
    ),
    (
        "requests in work keep the process",
        [(Lifecycle, "is_finished", ends_with_requests_open)],
        test_crossings_shutdown.Ends,
        "test_during_an_attempt_and_before_a_further_one",
    ),
]


@pytest.mark.parametrize(("patches", "case", "test"), [row[1:] for row in ROWS], ids=[row[0] for row in ROWS])
def test_without_its_guard(patches: list[Patch], case: type[unittest.TestCase], test: str) -> None:
    modules = [rig, crossing, test_crossings_client, test_crossings_lists]
    modules += [test_crossings_shutdown, test_crossings_upstream]
    result = unittest.TestResult()
    with pytest.MonkeyPatch.context() as patch:
        for module in modules:
            if hasattr(module, "WAIT"):
                patch.setattr(module, "WAIT", WAIT_WITHOUT_GUARD_S)
        for owner, name, value in patches:
            patch.setattr(owner, name, value)
        case(test).run(result)
    assert result.testsRun == 1
    assert result.failures or result.errors, "the test passes without the protection that it should check"
