"""Nodes that note each request as it came."""

from __future__ import annotations

from collections.abc import Callable, MutableSequence
from typing import Any

from brambleusher.lab.stand_ins.node import Node, _Work
from brambleusher.lab.stand_ins.server import Connection
from brambleusher.load.fidelity import ReceivedRequest
from brambleusher.net.http import Message


class NotingNode(Node):
    """A node that notes each request as it came; `notes` and `start_ns` are shared by all of them."""

    notes: MutableSequence[ReceivedRequest]
    start_ns: Callable[[], int]

    def _work(self, connection: Connection, request: Message) -> _Work:
        headers = request.headers
        self.notes.append(
            ReceivedRequest(
                self.scheduler.system.monotonic_ns() - self.start_ns(), headers.get("request-id", ""),
                headers.get("request-class", ""), headers.get("tenant"), headers.get("work-hint"),
                headers.get("client-retry") == "1", request.start[1], len(request.body),
            )
        )  # fmt: skip
        return super()._work(connection, request)


def noting(
    notes: MutableSequence[ReceivedRequest], start_ns: Callable[[], int], *args: Any, **named: Any
) -> Node:
    """A new node that notes; the rest is what any node is given."""
    node = NotingNode(*args, **named)
    node.notes, node.start_ns = notes, start_ns
    return node
