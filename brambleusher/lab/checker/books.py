"""Records that the checker keeps: sidecar processes, connections, requests, attempts and breaches."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from brambleusher.lab.checker.messages import Lines, Message, Reader
from brambleusher.lab.checker.roster import Known, Roster, Told

Address = tuple[str, int]
Line = tuple[int, str]  # entry of a timeline: the time in nanoseconds and a description of the event


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
    trail: tuple[Line, ...] = ()

    def __str__(self) -> str:
        """Format the breach and its timeline as readable text, one line per event."""
        lines = [f"{self.at_ns / 1e9:.9f} {self.rule}: {self.who}: {self.what}"]
        return "\n".join([*lines, *(f"    {at / 1e9:.9f} {text}" for at, text in self.trail)])


@dataclass(eq=False, slots=True)
class Life:
    """One process of a sidecar, from its start to its exit."""

    machine: str
    name: str
    listen: Address
    started_ns: int
    roster: Roster = field(default_factory=Roster)
    # List versions that each discovery server has sent, by the server's address.
    versions: dict[Address, set[int]] = field(default_factory=dict)
    trail: deque[Line] = field(default_factory=lambda: deque(maxlen=64))
    term_ns: int = -1
    reload_ns: int = -1
    starved_ns: int = -1  # start of the current shortage of descriptors for accept(); -1 without a shortage
    fed_ns: int = -1  # end of the last shortage of descriptors
    paused_ns: int = -1  # time at which the process was stopped; -1 while the process runs
    woken_ns: int = -1  # time at which the process last resumed after a stop
    over: bool = False
    watches: int = 0  # number of open watches on discovery
    asked_ns: int = 0  # time of the last request to discovery or of the end of the last watch
    ask_failed: bool = False
    open: dict[Taking, None] = field(default_factory=dict)  # requests that still need an answer
    # Nodes that operators asked to take offline, with the time of the call.
    asked_out: dict[str, int] = field(default_factory=dict)
    # Nodes whose offline call the sidecar has acknowledged, with the time of the acknowledgement.
    banned: dict[str, int] = field(default_factory=dict)
    called_out: bool = False  # whether operators have called the sidecar out of service
    out_ns: int = -1  # time at which the sidecar acknowledged that it is out of service; -1 in service
    back_ns: int = -1  # time of the last call back into service

    def was_starved(self, since: int) -> bool:
        """Tell whether descriptors were short at any time from `since` on."""
        return self.starved_ns >= 0 or self.fed_ns >= since

    def say(self, now: int, text: str) -> None:
        """Append an event to the timeline."""
        self.trail.append((now, text))


@dataclass(eq=False, slots=True)
class Process:
    """One process of a node, at one of the node's addresses."""

    node: str
    address: Address
    started_ms: int


@dataclass(eq=False, slots=True)
class Taking:
    """A request on a client's connection to a sidecar."""

    life: Life
    wire: Submission
    message: Message
    name: str  # the request's id
    effect: str
    fault: str | None  # reason why the request is invalid; None for a valid request
    wait_ns: int = 0
    sent_ns: int = 0  # time at which the client wrote the last byte
    taken_ns: int = -1  # time at which the last byte reached the sidecar; -1 until then
    due_ns: int = -1
    settled: str = ""  # reason why the request needs no answer any more; empty while it needs one
    left_ns: int = -1  # time from which the sidecar could see that the client had closed; -1 until then
    status: int = 0  # status of the answer; 0 until the sidecar has sent the whole answer
    answered_ns: int = -1  # time at which the whole answer reached the client; -1 until then
    behind: bool = False  # whether the client pipelined the request behind an unanswered one
    attempts: list[Attempt] = field(default_factory=list)
    trail: list[Line] = field(default_factory=list)

    @property
    def owed(self) -> bool:
        """Whether the request has arrived, has no answer and has no excuse for the missing answer."""
        return self.taken_ns >= 0 and not self.settled and not self.status


@dataclass(eq=False, slots=True)
class Attempt:
    """A request that a sidecar sends on a connection to a node."""

    wire: Passage
    first_ns: int
    taking: Taking | None = None
    written_ns: int = -1  # time at which the sidecar wrote the last byte; -1 until then
    status: int = 0  # status of the node's answer; 0 until the sidecar has read the whole answer
    proven: bool = False  # whether the node's answer proves that the request never ran
    report: tuple[float | None, float | None] | None = None  # load report in the node's answer

    @property
    def may_run(self) -> bool:
        """Whether the node may have run the request, or may still run it."""
        if self.proven:
            return False
        return self.written_ns >= 0 or not self.wire.ended


class Submission:
    """A client's connection to a sidecar."""

    __slots__ = (
        "accepted_ns", "answers", "arrived_back", "arrived_in", "bad_ns", "closed", "entries", "errors",
        "flagged", "gone", "last_ns", "life", "number", "opened_ns", "peer", "read_in", "reader",
        "reset_seen", "sent_whole", "served", "taken_out",
    )  # fmt: skip

    def __init__(self, number: int, life: Life, opened_ns: int, peer: Address) -> None:
        self.number, self.life, self.opened_ns, self.peer = number, life, opened_ns, peer
        self.reader, self.answers = Reader(answers=False), Reader(answers=True)
        self.entries: list[Taking] = []  # complete requests without a complete answer, oldest first
        # Complete answers on their way to the client, with the stream offset at which each ends.
        self.sent_whole: deque[tuple[int, Taking | None]] = deque()
        self.read_in = self.arrived_in = 0  # request bytes read by the sidecar, and those that reached it
        self.arrived_back = self.taken_out = 0  # answer bytes that reached the client, and those it read
        # Time within which a bad client must get an error or a close, in nanoseconds; None for a good client.
        self.bad_ns: int | None = None
        self.errors = self.served = 0  # answers sent with a status of at least 400, and below 400
        self.flagged = -1  # stream offset of an answer already reported as unsolicited; -1 for none
        self.accepted_ns = -1
        self.last_ns = opened_ns  # time of the last bytes in either direction
        self.closed = False  # whether the sidecar has closed the connection
        self.gone = False  # whether the client has closed the connection
        self.reset_seen = False


class Passage:
    """A sidecar's connection to a node."""

    __slots__ = (
        "answers", "arrived", "arrived_ns", "asked", "attempt", "closes", "ended", "ended_seen_ns", "life",
        "number", "process", "read", "reader", "target",
    )  # fmt: skip

    def __init__(self, number: int, life: Life, target: Address) -> None:
        self.number, self.life, self.target = number, life, target
        self.process: Process | None = None
        self.reader, self.answers = Reader(answers=False), Reader(answers=True)
        self.attempt: Attempt | None = None  # most recent attempt on the connection
        self.asked = 0
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


class Calling:
    """An operator's connection to a sidecar's admin endpoint."""

    __slots__ = ("answers", "arrived", "asked", "calls", "life", "reader")

    def __init__(self, life: Life) -> None:
        self.life = life
        self.reader, self.answers = Reader(answers=False), Reader(answers=True)
        self.arrived = 0  # bytes that have reached the sidecar
        self.calls: list[Message] = []  # calls sent that have not reached the sidecar
        self.asked: list[Message] = []  # calls that have reached the sidecar and are not answered


class Watching:
    """A sidecar's connection to discovery."""

    __slots__ = ("arrived", "asks", "life", "lines", "number", "on", "pending", "target")

    def __init__(self, number: int, life: Life, target: Address) -> None:
        self.number, self.life, self.target = number, life, target
        self.asks, self.lines = Reader(answers=False), Lines()
        self.on = False  # whether a watch is open
        self.arrived = 0  # bytes from discovery that have reached the sidecar
        # Lists on their way to the sidecar: time of writing, stream offset of the end, content.
        self.pending: deque[tuple[int, int, Told]] = deque()


class Truth:
    """The endpoint list as discovery holds it, with the time of each node's last changes."""

    __slots__ = ("able", "roster")

    def __init__(self) -> None:
        self.roster = Roster()
        # Time since which discovery can deliver updates, by sidecar ("" for all); -1 while it can't.
        self.able: dict[str, int] = {"": 0}

    def able_since(self, machine: str) -> int | None:
        """Return the time since which discovery can deliver updates to a sidecar; None while it can't."""
        both = (self.able[""], self.able.get(machine, 0))
        return None if min(both) < 0 else max(both)

    def node(self, name: str) -> Known | None:
        """Return the state of a node; None for an unknown node."""
        return self.roster.nodes.get(name)


def merged(*trails: Sequence[Line]) -> tuple[Line, ...]:
    """Merge timelines into one, sorted by time."""
    return tuple(sorted((line for trail in trails for line in trail), key=lambda line: line[0]))
