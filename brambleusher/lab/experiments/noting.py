"""Simulated nodes that record each received request."""

from __future__ import annotations

from collections.abc import Callable, MutableSequence
from typing import Any

from brambleusher.lab.stand_ins.node import Node, _Work
from brambleusher.lab.stand_ins.server import Connection
from brambleusher.load.fidelity import ReceivedRequest
from brambleusher.net.http import Message


class RecordingNode(Node):
    """A simulated node that records each received request.

    `received_requests` collects the requests of all nodes; `start_ns` returns the time in nanoseconds that
    counts as 0.
    """

    received_requests: MutableSequence[ReceivedRequest]
    start_ns: Callable[[], int]

    def _work(self, connection: Connection, request: Message) -> _Work:
        headers = request.headers
        self.received_requests.append(
            ReceivedRequest(
                self.scheduler.system.monotonic_ns() - self.start_ns(), headers.get("request-id", ""),
                headers.get("request-class", ""), headers.get("tenant"), headers.get("work-hint"),
                headers.get("client-retry") == "1", request.start[1], len(request.body),
            )
        )  # fmt: skip
        return super()._work(connection, request)


def recording_node(
    received_requests: MutableSequence[ReceivedRequest],
    start_ns: Callable[[], int],
    *args: Any,
    **keywords: Any,
) -> Node:
    """Create a recording node; the further arguments are those of `Node`."""
    node = RecordingNode(*args, **keywords)
    node.received_requests, node.start_ns = received_requests, start_ns
    return node
