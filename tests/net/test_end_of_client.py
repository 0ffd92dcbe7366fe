"""Tests on real sockets that a client disconnect is detected behind any data the client sent ahead."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct
import time
from collections.abc import Callable, Iterator

import pytest

from brambleusher.net.http import Message
from tests.rig import WAIT, Node, Rig, Script

KB = 1024
AHEAD = {"nothing": 0, "15 KB": 15 * KB, "17 KB": 17 * KB, "300 KB": 300 * KB}
DEADLINE_MS = 5000
NOTICE_MAX_S = 2.0  # in seconds; far below the deadline, but enough on a busy machine
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"


def request(name: str, body_bytes: int = 0) -> bytes:
    """Encode a request with an optional body."""
    lines = (
        "GET /look?q=1 HTTP/1.1",
        "Host: api.internal",
        f"Request-Id: {name}",
        "Request-Class: look",
        f"Request-Timeout-Ms: {DEADLINE_MS}",
        f"Content-Length: {body_bytes}",
        "",
        "",
    )
    return "\r\n".join(lines).encode() + b"x" * body_bytes


def bytes_ahead(what: str) -> bytes:
    """Return a complete pipelined request, or the start of one with a long body."""
    if what == "pipelined request":
        return request("ahead")
    size = AHEAD[what]
    return request("ahead", 2 * size)[:size] if size else b""


def close(sock: socket.socket) -> None:
    """Close the socket like a client that disconnects."""
    sock.close()


def reset(sock: socket.socket) -> None:
    """Close the socket with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def half_close(sock: socket.socket) -> None:
    """Shut down only the sending side."""
    sock.shutdown(socket.SHUT_WR)


ENDS: dict[str, Callable[[socket.socket], None]] = {
    "closed": close,
    "reset": reset,
    "half-closed": half_close,
}


def begin_stream(sock: socket.socket, _request: Message) -> None:
    """Send only the start of a response."""
    sock.sendall(STREAM_HEAD)


def stand_still(_sock: socket.socket, _request: Message) -> None:
    """Send no response."""


SCRIPTS: dict[str, Script] = {"waiting for a head": stand_still, "streaming": begin_stream}


@pytest.fixture
def holder() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.mark.parametrize("what", [*AHEAD, "pipelined request"])
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("state", SCRIPTS)
def test_an_attempt_ends_with_its_client_behind_bytes_sent_ahead(
    holder: contextlib.ExitStack, state: str, how: str, what: str
) -> None:
    node = Node(SCRIPTS[state])
    holder.callback(node.close)
    rig = Rig([node.entry("h0")])
    holder.callback(rig.end)
    client = holder.enter_context(socket.create_connection(rig.address, timeout=WAIT))
    client.sendall(request("gone"))
    node.seen.get(timeout=WAIT)
    client.settimeout(0.3)
    with contextlib.suppress(TimeoutError):
        client.sendall(bytes_ahead(what))
    left_at = time.monotonic()
    ENDS[how](client)
    node.left.get(timeout=WAIT)
    assert time.monotonic() - left_at < NOTICE_MAX_S
    with contextlib.suppress(queue.Empty):
        message, _ = node.seen.get_nowait()
        raise AssertionError(f"request forwarded although its client had left: {message.start}")
