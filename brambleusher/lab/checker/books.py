"""Records that the checker keeps: sidecar processes, connections, requests, attempts and breaches."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from brambleusher.lab.checker.messages import LineReader, Message, MessageReader
from brambleusher.lab.checker.roster import KnownNode, ListUpdate, Roster

Address = tuple[str, int]
TimelineEntry = tuple[int, str]  # entry of a timeline: the time in nanoseconds and a description of the event


class Named(Protocol):
    """An object that has a name."""

    @property
    def name(self) -> str:
        """The object's name."""


class End(Protocol):
    """One end of a connection."""

    @property
    def machine(self) -> str:
        """The machine's name."""

    @property
    def ip(self) -> str:
        """The IP address of this end."""

    @property
    def port(self) -> int:
        """The TCP port of this end."""


class Wire(Protocol):
    """A connection as the world's taps report it."""

    @property
    def id(self) -> int:
        """The connection's number."""

    @property
    def client(self) -> End:
        """The end that opened the connection."""

    @property
    def server(self) -> End:
        """The end that listens for connections."""


class Execution(Protocol):
    """A complete request received by a simulated node: one entry of the log that all nodes share.

    The node adds the entry when the request arrives, sets `began_ns` when work on it begins (0 until then)
    and sets `answer` when the response body has been made.
    """

    @property
    def node(self) -> str:
        """The node's id."""

    @property
    def request(self) -> str:
        """The request's id."""

    @property
    def process(self) -> int:
        """The index of the process among those that ran under the node's id, from 0."""

    @property
    def work_s(self) -> float:
        """The request's cost, in seconds of a standard core."""

    @property
    def came_ns(self) -> int:
        """The time of the request's arrival, in nanoseconds."""

    @property
    def began_ns(self) -> int:
        """The time at which work on the request began, in nanoseconds; 0 if work has not begun."""

    @property
    def cold(self) -> bool:
        """Whether the node was still warming up."""

    @property
    def capacity(self) -> float:
        """The node's capacity when the request arrived, in seconds of a standard core per second."""

    @property
    def answer(self) -> bytes:
        """The response body made for the request; empty until the body has been made."""


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation of one rule."""

    rule: str
    at_ns: int
    who: str
    what: str
    trail: tuple[TimelineEntry, ...] = ()

    def __str__(self) -> str:
        """Format the breach and its timeline as readable text, one line per event."""
        lines = [f"{self.at_ns / 1e9:.9f} {self.rule}: {self.who}: {self.what}"]
        return "\n".join([*lines, *(f"    {at / 1e9:.9f} {text}" for at, text in self.trail)])


@dataclass(eq=False, slots=True)
class SidecarIncarnation:
    """One process of a sidecar, from its start to its exit."""

    machine: str
    name: str
    listen: Address
    started_ns: int
    roster: Roster = field(default_factory=Roster)
    # List versions that each discovery server has sent, by the server's address.
    versions: dict[Address, set[int]] = field(default_factory=dict)
    trail: deque[TimelineEntry] = field(default_factory=lambda: deque(maxlen=64))
    term_ns: int = -1
    reload_ns: int = -1
    out_of_descriptors_ns: int = -1  # start of the current shortage of descriptors for accept(); -1 for none
    descriptors_freed_ns: int = -1  # end of the last shortage of descriptors
    paused_ns: int = -1  # time at which the process was stopped; -1 while the process runs
    resumed_ns: int = -1  # time at which the process last resumed after a stop
    has_exited: bool = False
    watches: int = 0  # number of open watches on discovery
    discovery_request_ns: int = 0  # time of the last request to discovery or of the end of the last watch
    discovery_request_failed: bool = False
    open_requests: dict[ClientRequest, None] = field(default_factory=dict)  # requests that need an answer
    # Nodes that operators asked to take offline, with the time of the call.
    offline_called: dict[str, int] = field(default_factory=dict)
    # Nodes whose offline call the sidecar has acknowledged, with the time of the acknowledgement.
    offline_since: dict[str, int] = field(default_factory=dict)
    out_of_service_called: bool = False  # whether operators have called the sidecar out of service
    out_of_service_ns: int = -1  # time at which the sidecar acknowledged to be out of service; -1 in service
    in_service_ns: int = -1  # time of the last call back into service

    def was_out_of_descriptors(self, since: int) -> bool:
        """Tell whether descriptors were short at any time from `since` on."""
        return self.out_of_descriptors_ns >= 0 or self.descriptors_freed_ns >= since

    def log_event(self, now: int, text: str) -> None:
        """Append an event to the timeline."""
        self.trail.append((now, text))


@dataclass(eq=False, slots=True)
class Process:
    """One process of a node, at one of the node's addresses."""

    node: str
    address: Address
    started_ms: int


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A request on a client's connection to a sidecar."""

    incarnation: SidecarIncarnation
    connection: ClientConnection
    message: Message
    name: str  # the request's id
    effect: str
    fault: str | None  # reason why the request is invalid; None for a valid request
    timeout_ns: int = 0
    sent_ns: int = 0  # time at which the client wrote the last byte
    received_ns: int = -1  # time from which the request counts as received; -1 before its last byte arrived
    due_ns: int = -1
    excuse: str = ""  # reason why the request needs no answer any more; empty while it needs one
    client_close_ns: int = -1  # time from which the sidecar could see the client's close; -1 until then
    status: int = 0  # status of the answer; 0 until the sidecar has sent the whole answer
    answered_ns: int = -1  # time at which the whole answer reached the client; -1 until then
    pipelined: bool = False  # whether the client pipelined the request behind an unanswered one
    attempts: list[Attempt] = field(default_factory=list)
    trail: list[TimelineEntry] = field(default_factory=list)

    @property
    def needs_answer(self) -> bool:
        """Whether the request has arrived, has no answer and has no excuse for the missing answer."""
        return self.received_ns >= 0 and not self.excuse and not self.status


@dataclass(eq=False, slots=True)
class Attempt:
    """A request that a sidecar sends on a connection to a node."""

    connection: NodeConnection
    first_byte_ns: int
    client_request: ClientRequest | None = None
    written_ns: int = -1  # time at which the sidecar wrote the last byte; -1 until then
    status: int = 0  # status of the node's answer; 0 until the sidecar has read the whole answer
    proven_not_run: bool = False  # whether the node's answer proves that the request never ran
    report: tuple[float | None, float | None] | None = None  # load report in the node's answer

    @property
    def may_run(self) -> bool:
        """Whether the node may have run the request, or may still run it."""
        if self.proven_not_run:
            return False
        return self.written_ns >= 0 or not self.connection.ended


class ClientConnection:
    """A client's connection to a sidecar."""

    __slots__ = (
        "accepted_ns", "answer_bytes_arrived", "answer_bytes_read", "answers", "bad_client_ns",
        "client_closed", "closed", "complete_answers", "errors", "incarnation", "last_bytes_ns", "number",
        "opened_ns", "peer", "pending_requests", "reader", "reported_offset", "request_bytes_arrived",
        "request_bytes_read", "reset_seen", "served",
    )  # fmt: skip

    def __init__(self, number: int, incarnation: SidecarIncarnation, opened_ns: int, peer: Address) -> None:
        self.number, self.incarnation, self.opened_ns, self.peer = number, incarnation, opened_ns, peer
        self.reader, self.answers = MessageReader(answers=False), MessageReader(answers=True)
        # Complete requests without a complete answer, oldest first.
        self.pending_requests: list[ClientRequest] = []
        # Complete answers on their way to the client, with the stream offset at which each ends.
        self.complete_answers: deque[tuple[int, ClientRequest | None]] = deque()
        # Request bytes read by the sidecar, and request bytes that have reached the sidecar.
        self.request_bytes_read = self.request_bytes_arrived = 0
        # Answer bytes that have reached the client, and answer bytes read by the client.
        self.answer_bytes_arrived = self.answer_bytes_read = 0
        # Time within which a bad client must get an error or a close, in nanoseconds; None for a good client.
        self.bad_client_ns: int | None = None
        self.errors = self.served = 0  # answers sent with a status of at least 400, and below 400
        self.reported_offset = -1  # stream offset of an answer already reported as unsolicited; -1 for none
        self.accepted_ns = -1
        self.last_bytes_ns = opened_ns  # time of the last bytes in either direction
        self.closed = False  # whether the sidecar has closed the connection
        self.client_closed = False  # whether the client has closed the connection
        self.reset_seen = False


class NodeConnection:
    """A sidecar's connection to a node."""

    __slots__ = (
        "answers", "arrived", "arrived_ns", "attempt", "closes", "ended", "ended_seen_ns", "incarnation",
        "number", "process", "read", "reader", "requests_begun", "target",
    )  # fmt: skip

    def __init__(self, number: int, incarnation: SidecarIncarnation, target: Address) -> None:
        self.number, self.incarnation, self.target = number, incarnation, target
        self.process: Process | None = None
        self.reader, self.answers = MessageReader(answers=False), MessageReader(answers=True)
        self.attempt: Attempt | None = None  # most recent attempt on the connection
        self.requests_begun = 0
        self.arrived = self.read = 0  # answer bytes that have reached the sidecar, and that it has read
        self.arrived_ns = -1  # time at which the last answer bytes became readable
        self.closes = False  # whether the last answer announced that the node closes the connection
        self.ended = False  # whether the sidecar closed the connection or the connection was reset
        self.ended_seen_ns = -1  # time at which the sidecar could see the node's close; -1 until then

    @property
    def where(self) -> str:
        """The node's name and address, for messages."""
        name = self.process.node if self.process is not None else "nobody"
        return f"{name} at {self.target[0]}:{self.target[1]}"


class AdminConnection:
    """An operator's connection to a sidecar's admin endpoint."""

    __slots__ = ("answers", "arrived", "calls_in_transit", "incarnation", "reader", "unanswered_calls")

    def __init__(self, incarnation: SidecarIncarnation) -> None:
        self.incarnation = incarnation
        self.reader, self.answers = MessageReader(answers=False), MessageReader(answers=True)
        self.arrived = 0  # bytes that have reached the sidecar
        self.calls_in_transit: list[Message] = []  # calls that have not reached the sidecar
        self.unanswered_calls: list[Message] = []  # calls that have reached the sidecar and are not answered


class DiscoveryConnection:
    """A sidecar's connection to discovery."""

    __slots__ = ("arrived", "incarnation", "lines", "number", "pending", "requests", "target", "watch_open")

    def __init__(self, number: int, incarnation: SidecarIncarnation, target: Address) -> None:
        self.number, self.incarnation, self.target = number, incarnation, target
        self.requests, self.lines = MessageReader(answers=False), LineReader()
        self.watch_open = False  # whether a watch is open
        self.arrived = 0  # bytes from discovery that have reached the sidecar
        # Lists on their way to the sidecar: time of writing, stream offset of the end, content.
        self.pending: deque[tuple[int, int, ListUpdate]] = deque()


class ActualNodes:
    """The endpoint list as discovery holds it, with the time of each node's last changes."""

    __slots__ = ("deliverable_since", "roster")

    def __init__(self) -> None:
        self.roster = Roster()
        # Time since which discovery can deliver updates, by sidecar ("" for all); -1 while it can't.
        self.deliverable_since: dict[str, int] = {"": 0}

    def deliverable_to_since(self, machine: str) -> int | None:
        """Return the time since which discovery can deliver updates to a sidecar; None while it can't."""
        both = (self.deliverable_since[""], self.deliverable_since.get(machine, 0))
        return None if min(both) < 0 else max(both)

    def node(self, name: str) -> KnownNode | None:
        """Return the state of a node; None for an unknown node."""
        return self.roster.nodes.get(name)


def merge_timelines(*trails: Sequence[TimelineEntry]) -> tuple[TimelineEntry, ...]:
    """Merge timelines into one, sorted by time."""
    return tuple(sorted((line for trail in trails for line in trail), key=lambda line: line[0]))
