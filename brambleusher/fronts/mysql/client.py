"""State of one connected MySQL client."""

from __future__ import annotations

from brambleusher.fronts.mysql.channel import Channel
from brambleusher.fronts.mysql.messages import Err
from brambleusher.fronts.mysql.nodes import Conn, Held, Work
from brambleusher.fronts.mysql.packets import PacketReader
from brambleusher.fronts.mysql.session import Session
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.runtime.scheduler import Event, Task


class ConnectionLostError(Exception):
    """The node connection of a session broke or was abandoned; the client gets `error` once."""

    def __init__(self, error: Err, status: AttemptStatus, stop: bool = False) -> None:
        super().__init__(error.text)
        self.error, self.status, self.stop = error, status, stop


class ClientLeftError(Exception):
    """The client has closed its connection."""


class Client:
    """One client: its connection, its session, and the node connection reserved for the session."""

    __slots__ = (
        "accepted_at", "event", "challenge", "chance", "channel", "charged", "deadline", "held", "id_conn",
        "kept", "last", "leave_at", "lost", "peer", "reader", "request_class", "session", "task", "thread",
        "work",
    )  # fmt: skip

    def __init__(self, channel: Channel, peer: str, thread: int, max_packet_bytes: int) -> None:
        self.channel, self.peer, self.thread = channel, peer, thread
        self.reader = PacketReader(max_packet_bytes)
        self.challenge = b""  # authentication challenge of the first login on this connection
        self.session = Session("", "", 0, 0)
        self.event = Event()  # set when the node drains or the front end shuts down
        self.held: Held | None = None
        self.last: Conn | None = None
        self.id_conn: Conn | None = None
        self.work: Work | None = None  # the command in progress
        self.task: Task | None = None
        self.accepted_at = channel.stream.used_at
        self.charged = 0  # bytes of the shared memory budget used by the command in progress
        self.kept = 0  # bytes of the shared memory budget used by prepared statements
        self.deadline: float | None = None  # deadline of the open transaction
        self.leave_at: float | None = None  # when the session must leave its draining node; -1 if not set yet
        self.chance = 0.0  # random fraction of `drain_spread_ms` that delays the end of this session
        self.lost: Err | None = None  # error that answers the next command and ends the session
        self.request_class = ""  # class of the request that pinned the session

    def leave(self, _held: Held) -> None:
        """Record that the node of the session drains; `Front` computes how long the session may stay."""
        if self.leave_at is None:  # the grace period must not restart with each endpoint list
            self.leave_at = -1.0
            self.event.set()
