"""One client of the MySQL front: its connection, its session, and what it holds."""

from __future__ import annotations

from brambleusher.fronts.mysql.channel import Channel
from brambleusher.fronts.mysql.messages import Err
from brambleusher.fronts.mysql.nodes import Conn, Held, Work
from brambleusher.fronts.mysql.packets import PacketReader
from brambleusher.fronts.mysql.session import Session
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.runtime.scheduler import Event, Task


class ConnectionLostError(Exception):
    """A connection of a session broke, or was given up; the client is to be told once."""

    def __init__(self, error: Err, status: AttemptStatus, stop: bool = False) -> None:
        super().__init__(error.text)
        self.error, self.status, self.stop = error, status, stop


class ClientLeftError(Exception):
    """The client has closed its connection."""


class Client:
    """One client: its connection, its session, and the node's connection that the session holds."""

    __slots__ = (
        "accepted_at", "event", "challenge", "chance", "channel", "charged", "deadline", "held", "id_conn",
        "kept", "last", "leave_at", "lost", "peer", "reader", "request_class", "session", "task", "thread",
        "work",
    )  # fmt: skip

    def __init__(self, channel: Channel, peer: str, thread: int, max_packet_bytes: int) -> None:
        self.channel, self.peer, self.thread = channel, peer, thread
        self.reader = PacketReader(max_packet_bytes)
        self.challenge = b""  # of its first login
        self.session = Session("", "", 0, 0)
        self.event = Event()  # set when something about its connection has changed
        self.held: Held | None = None
        self.last: Conn | None = None
        self.id_conn: Conn | None = None
        self.work: Work | None = None  # the command that is on its way
        self.task: Task | None = None
        self.accepted_at = channel.stream.used_at
        self.charged = 0  # bytes of the memory of all, for the command under way
        self.kept = 0  # and for what it has prepared
        self.deadline: float | None = None  # of its transaction
        self.leave_at: float | None = None  # its node drains
        self.chance = 0.0  # which part of the time that drains are spread over it is given
        self.lost: Err | None = None  # sent with the next command, and the session is over
        self.request_class = ""  # of the request that it is tied by

    def leave(self, _held: Held) -> None:
        """Note that its node drains: `Front` says until when it may stay."""
        if self.leave_at is None:  # guards against a grace that begins anew with each list
            self.leave_at = -1.0
            self.event.set()
