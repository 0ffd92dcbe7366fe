"""What the checker writes down: sidecars, connections, requests, attempts, breaches."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from brambleusher.lab.checker.messages import Lines, Message, Reader
from brambleusher.lab.checker.roster import Known, Roster, Told

Address = tuple[str, int]
Line = tuple[int, str]  # of a time line: nanoseconds, and what happened


class Named(Protocol):
    """What has a name."""

    @property
    def name(self) -> str:
        """It."""


class End(Protocol):
    """One end of a connection."""

    @property
    def machine(self) -> str:
        """The machine's name."""

    @property
    def ip(self) -> str:
        """Its address."""

    @property
    def port(self) -> int:
        """Its port."""


class Wire(Protocol):
    """A connection as the taps name it."""

    @property
    def id(self) -> int:
        """Its number."""

    @property
    def client(self) -> End:
        """Who opened it."""

    @property
    def server(self) -> End:
        """Who listens."""


class Execution(Protocol):
    """A request that came whole to a stand-in node: one line of the nodes' common book.

    Written when it comes; `began_ns` and `answer` are filled in when it is begun (0: never) and made.
    """

    @property
    def node(self) -> str:
        """The node's id."""

    @property
    def request(self) -> str:
        """The request's id."""

    @property
    def process(self) -> int:
        """Which process under that id, counted from 0."""

    @property
    def work_s(self) -> float:
        """What it costs, in seconds of a standard core."""

    @property
    def came_ns(self) -> int:
        """When it came."""

    @property
    def began_ns(self) -> int:
        """When work on it began; 0 before, and if it never does."""

    @property
    def cold(self) -> bool:
        """Whether the node was still warming up."""

    @property
    def capacity(self) -> float:
        """What the node could do when it came, in seconds of a standard core a second."""

    @property
    def answer(self) -> bytes:
        """The body made for it; empty before."""


@dataclass(frozen=True, slots=True)
class Breach:
    """One rule broken once."""

    rule: str
    at_ns: int
    who: str
    what: str
    trail: tuple[Line, ...] = ()

    def __str__(self) -> str:
        """All of it, for people."""
        lines = [f"{self.at_ns / 1e9:.9f} {self.rule}: {self.who}: {self.what}"]
        return "\n".join([*lines, *(f"    {at / 1e9:.9f} {text}" for at, text in self.trail)])


@dataclass(eq=False, slots=True)
class Life:
    """One process of a sidecar, from its start to its end."""

    machine: str
    name: str
    listen: Address
    started_ns: int
    roster: Roster = field(default_factory=Roster)
    versions: dict[Address, set[int]] = field(default_factory=dict)  # by discovery: those that it told
    trail: deque[Line] = field(default_factory=lambda: deque(maxlen=64))
    term_ns: int = -1
    reload_ns: int = -1
    starved_ns: int = -1  # since when too few descriptors are left to accept with
    fed_ns: int = -1  # when that ended last
    paused_ns: int = -1  # since when its process is stopped
    woken_ns: int = -1  # when it went on last
    over: bool = False
    watches: int = 0  # open
    asked_ns: int = 0  # the last call, or the end of the last watch
    ask_failed: bool = False
    open: dict[Taking, None] = field(default_factory=dict)  # requests that are owed an answer
    asked_out: dict[str, int] = field(default_factory=dict)  # nodes that operators called out, since when
    banned: dict[str, int] = field(default_factory=dict)  # those of them that it said yes to, since when
    called_out: bool = False  # operators want it out of service
    out_ns: int = -1  # since when it has said that it is
    back_ns: int = -1  # when it was called back last

    def was_starved(self, since: int) -> bool:
        """Whether descriptors were lacking at some time after a moment."""
        return self.starved_ns >= 0 or self.fed_ns >= since

    def say(self, now: int, text: str) -> None:
        """One more line."""
        self.trail.append((now, text))


@dataclass(eq=False, slots=True)
class Process:
    """One process of an endpoint, at one of its addresses."""

    node: str
    address: Address
    started_ms: int


@dataclass(eq=False, slots=True)
class Taking:
    """A request on a client's connection."""

    life: Life
    wire: Submission
    message: Message
    name: str  # the request's id
    effect: str
    fault: str | None  # why it can't be used
    wait_ns: int = 0
    sent_ns: int = 0  # its last byte was written
    taken_ns: int = -1  # and had arrived
    due_ns: int = -1
    settled: str = ""  # why no answer is owed any more
    left_ns: int = -1  # its client's end could be seen, read or not
    status: int = 0  # of its answer, once that is sent whole
    answered_ns: int = -1  # once it has arrived whole
    behind: bool = False  # it was written before the one ahead of it was answered
    attempts: list[Attempt] = field(default_factory=list)
    trail: list[Line] = field(default_factory=list)

    @property
    def owed(self) -> bool:
        """Whether it still has no answer, and nothing excuses that."""
        return self.taken_ns >= 0 and not self.settled and not self.status


@dataclass(eq=False, slots=True)
class Attempt:
    """A request on its way on a connection to a node."""

    wire: Passage
    first_ns: int
    taking: Taking | None = None
    written_ns: int = -1  # its last byte was handed over
    status: int = 0  # of its answer, once read whole
    proven: bool = False  # by the answer: it never ran
    report: tuple[float | None, float | None] | None = None  # the load report in it

    @property
    def may_run(self) -> bool:
        """Whether it may have run, or may yet."""
        if self.proven:
            return False
        return self.written_ns >= 0 or not self.wire.ended


class Submission:
    """A client's connection."""

    __slots__ = (
        "accepted_ns", "answers", "arrived_back", "arrived_in", "bad_ns", "closed", "entries", "errors",
        "flagged", "gone", "last_ns", "life", "number", "opened_ns", "peer", "read_in", "reader",
        "reset_seen", "sent_whole", "served", "taken_out",
    )  # fmt: skip

    def __init__(self, number: int, life: Life, opened_ns: int, peer: Address) -> None:
        self.number, self.life, self.opened_ns, self.peer = number, life, opened_ns, peer
        self.reader, self.answers = Reader(answers=False), Reader(answers=True)
        self.entries: list[Taking] = []  # whole requests without a whole answer, in order
        self.sent_whole: deque[tuple[int, Taking | None]] = deque()  # answers on their way: where each ends
        self.read_in = self.arrived_in = 0  # bytes that the sidecar has read, and could
        self.arrived_back = self.taken_out = 0  # bytes that the client could read, and has
        self.bad_ns: int | None = None  # a bad client: how long it may wait for an error or a close
        self.errors = self.served = 0  # answers sent, by kind
        self.flagged = -1  # where an answer begins that was found to be owed to nobody
        self.accepted_ns = -1
        self.last_ns = opened_ns  # that something was sent on it, either way
        self.closed = False  # by the sidecar
        self.gone = False  # the client has left
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
        self.attempt: Attempt | None = None  # the one whose request was begun last
        self.asked = 0
        self.arrived = self.read = 0  # bytes of answers: readable, and read
        self.arrived_ns = -1  # when the last of them became readable
        self.closes = False  # the last answer said that the connection ends with it
        self.ended = False  # the sidecar closed it, or it broke
        self.ended_seen_ns = -1  # when its end became readable

    @property
    def where(self) -> str:
        """Its node, in words."""
        name = self.process.node if self.process is not None else "nobody"
        return f"{name} at {self.target[0]}:{self.target[1]}"


class Calling:
    """An operators' connection to a sidecar's admin endpoint."""

    __slots__ = ("answers", "arrived", "asked", "calls", "life", "reader")

    def __init__(self, life: Life) -> None:
        self.life = life
        self.reader, self.answers = Reader(answers=False), Reader(answers=True)
        self.arrived = 0  # bytes that the sidecar could read
        self.calls: list[Message] = []  # on their way
        self.asked: list[Message] = []  # arrived, and not answered


class Watching:
    """A sidecar's connection to discovery."""

    __slots__ = ("arrived", "asks", "life", "lines", "number", "on", "pending", "target")

    def __init__(self, number: int, life: Life, target: Address) -> None:
        self.number, self.life, self.target = number, life, target
        self.asks, self.lines = Reader(answers=False), Lines()
        self.on = False  # a watch is open
        self.arrived = 0  # bytes of lines that the sidecar could read
        self.pending: deque[tuple[int, int, Told]] = deque()  # on their way: written, where, what


class Truth:
    """The list as discovery truly has it, with when each node came to be as it is."""

    __slots__ = ("able", "roster")

    def __init__(self) -> None:
        self.roster = Roster()
        # Since when discovery can tell what it has to, by sidecar ("" for all); -1: it can't.
        self.able: dict[str, int] = {"": 0}

    def able_since(self, machine: str) -> int | None:
        """Since when this sidecar could be told; None while it can't."""
        both = (self.able[""], self.able.get(machine, 0))
        return None if min(both) < 0 else max(both)

    def node(self, name: str) -> Known | None:
        """One node."""
        return self.roster.nodes.get(name)


def merged(*trails: Sequence[Line]) -> tuple[Line, ...]:
    """Time lines as one."""
    return tuple(sorted((line for trail in trails for line in trail), key=lambda line: line[0]))
