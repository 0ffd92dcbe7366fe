"""What a soak observes, for its checks: requests of clients, runs at instances, processes, changes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum


class RequestKind(StrEnum):
    """Kinds of requests; the values name their routes."""

    STREAM = "stream"  # a stream that may be resumed elsewhere
    STREAM_ONCE = "stream-once"  # a stream that may run once
    READ = "read"  # a response that is no stream, of a request that may run again
    NOTICE = "notice"  # the same, of one that may run once
    PIECES = "pieces"  # a response without a length, in pieces with pauses, of one that may run again

    @property
    def runs_once(self) -> bool:
        """Whether no more than one instance may run it."""
        return self in (RequestKind.STREAM_ONCE, RequestKind.NOTICE)

    @property
    def is_stream(self) -> bool:
        """Whether its response is an event stream."""
        return self in (RequestKind.STREAM, RequestKind.STREAM_ONCE)


class ClientAct(StrEnum):
    """How a client leaves before its response is complete."""

    CLOSE = "close"
    HALF_CLOSE = "half-close"  # it ends its sending side, and waits
    CLOSE_AHEAD = "close-ahead"  # it closes behind the beginning of a next request, longer than 16 KB


class RequestOutcome(Enum):
    """How a request ended for its client."""

    COMPLETE = "complete"  # a response to its end, whatever its status
    CLOSED = "closed"  # the connection ended before that
    LEFT = "left"  # the client left
    TIMED_OUT = "timed out"
    NOT_SENT = "not sent"  # no connection, or it ended before the request was out


@dataclass(slots=True)
class RequestRecord:
    """One request, as its client saw it.  Times are seconds of the soak."""

    attempt: str
    kind: RequestKind
    gateway: str
    begun_s: float
    is_reused: bool = False  # its connection had served another before
    sent_s: float | None = None  # when its last byte was handed over
    ended_s: float = 0.0
    outcome: RequestOutcome = RequestOutcome.NOT_SENT
    status: int = 0
    body: bytes = b""
    answered_attempt: str = ""  # the id that the response names
    act: ClientAct | None = None  # how its client is going to leave


class RunOutcome(Enum):
    """How a run ended at its instance."""

    RUNNING = "running"
    COMPLETE = "complete"
    CANCELLED = "cancelled"  # its caller closed the connection
    BROKEN = "broken"  # a fault of the instance
    REJECTED = "rejected"  # it never ran


@dataclass(slots=True)
class RunRecord:
    """One request, as an instance saw it."""

    attempt: str
    instance: str
    begun_s: float
    ended_s: float = 0.0
    outcome: RunOutcome = RunOutcome.RUNNING
    head_s: float | None = None  # when the head of its response was sent
    is_resumed: bool = False  # it goes on with a stream that another run began


class ProcessEventKind(Enum):
    """What happened to a process."""

    STARTED = "started"
    TERMINATED = "terminated"  # SIGTERM was sent
    RELOADED = "reloaded"  # SIGHUP was sent
    KILLED = "killed"  # SIGKILL was sent
    OVERDUE = "overdue"  # it had not ended by the end of its grace period, and SIGKILL was sent
    EXITED = "exited"


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """One event of one process."""

    process: str
    at_s: float
    kind: ProcessEventKind
    status: int = 0  # of an exit: negative for the signal that ended it


@dataclass(frozen=True, slots=True)
class InstanceFaultSpell:
    """A time in which an instance failed in some way."""

    instance: str
    kind: str  # of the action that brought it about
    since_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class ChangeEvent:
    """A change of a process or of the configuration that was begun."""

    kind: str  # of the action that brought it about
    at_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A revision that a controller answered when it was asked for the configuration."""

    controller: str
    asked_s: float
    revision: int


@dataclass(frozen=True, slots=True)
class AcknowledgedChange:
    """A change of the configuration that was acknowledged."""

    revision: int
    at_s: float


@dataclass(slots=True)
class ProcessUse:
    """What a process holds at some moment."""

    process: str
    resident_mb: float
    descriptors: int


@dataclass(slots=True)
class SoakRecord:
    """All observations of one soak."""

    requests: list[RequestRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    processes: list[ProcessEvent] = field(default_factory=list)
    changes: list[AcknowledgedChange] = field(default_factory=list)
    conflicts: list[tuple[int, int]] = field(default_factory=list)  # pairs on one base, both acknowledged
    reads: list[ConfigurationRead] = field(default_factory=list)
    last_uses: list[ProcessUse] = field(default_factory=list)
    last_metrics: dict[str, dict[str, float]] = field(default_factory=dict)  # by gateway
    last_statuses: dict[str, list[int]] = field(default_factory=dict)  # by gateway, of requests at the end
    late_spells: list[tuple[float, float]] = field(
        default_factory=list
    )  # in which the soak itself stood still
    faulty_log_lines: list[str] = field(default_factory=list)
    fault_spells: list[InstanceFaultSpell] = field(default_factory=list)
    change_events: list[ChangeEvent] = field(default_factory=list)
