"""State of one connected MySQL client."""

from __future__ import annotations

from brambleusher.fronts.mysql.channel import Channel
from brambleusher.fronts.mysql.messages import Err
from brambleusher.fronts.mysql.nodes import NodeConnection, PendingCommand, ReservedConnection
from brambleusher.fronts.mysql.packets import PacketReader
from brambleusher.fronts.mysql.session import Session
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.runtime.scheduler import Event, Task


class NodeConnectionError(Exception):
    """The node connection of a session broke or was abandoned; the client gets `error` once."""

    def __init__(self, error: Err, status: AttemptStatus, stop: bool = False) -> None:
        super().__init__(error.text)
        self.error, self.status, self.stop = error, status, stop


class ClientLeftError(Exception):
    """The client has closed its connection."""


class Client:
    """One client: its connection, its session, and the node connection reserved for the session."""

    __slots__ = (
        "accepted_at", "event", "challenge", "drain_jitter", "channel", "charged_command_bytes", "deadline",
        "reserved", "last_id_conn", "charged_prepared_bytes", "last_conn", "drain_deadline", "pending_error",
        "peer", "reader", "request_class", "session", "task", "thread", "pending_command",
    )  # fmt: skip

    def __init__(self, channel: Channel, peer: str, thread: int, max_packet_bytes: int) -> None:
        self.channel, self.peer, self.thread = channel, peer, thread
        self.reader = PacketReader(max_packet_bytes)
        self.challenge = b""  # authentication challenge of the first login on this connection
        self.session = Session("", "", 0, 0)
        self.event = Event()  # set when the node drains or the front end shuts down
        self.reserved: ReservedConnection | None = None
        self.last_conn: NodeConnection | None = None
        self.last_id_conn: NodeConnection | None = None
        self.pending_command: PendingCommand | None = None  # the command in progress
        self.task: Task | None = None
        self.accepted_at = channel.stream.used_at
        self.charged_command_bytes = 0  # bytes of the shared memory budget used by the command in progress
        self.charged_prepared_bytes = 0  # bytes of the shared memory budget used by prepared statements
        self.deadline: float | None = None  # deadline of the open transaction
        # When the session must leave its draining node; -1 if the node drains and the time is not set yet.
        self.drain_deadline: float | None = None
        self.drain_jitter = 0.0  # random fraction of `drain_spread_ms` that delays the end of this session
        self.pending_error: Err | None = None  # error that answers the next command and ends the session
        self.request_class = ""  # class of the request that pinned the session

    def node_draining(self, _reserved: ReservedConnection) -> None:
        """Record that the node of the session drains; `MysqlFrontEnd` sets the final deadline later."""
        if self.drain_deadline is None:  # the grace period must not restart with each endpoint list
            self.drain_deadline = -1.0
            self.event.set()
