"""Interface of the balancer: settings, events and actions.

Everything here is plain data.  Times are whole nanoseconds on the caller's clock; the balancer never reads a
clock of its own.  Values of enums are stored in captures and counted under; they never change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# A connect may take this fraction of its attempt's time, and `connect_timeout_ns` at the most.
CONNECT_TIMEOUT_FRACTION = 0.2


class Idempotency(Enum):
    """Whether a request may be executed twice."""

    SAFE = "safe"  # it may
    KEYED = "keyed"  # it has an idempotency key, by which hosts discard a repeat
    UNSAFE = "unsafe"  # it may not


class DeduplicationScope(Enum):
    """Which hosts discard a repeat of a keyed request: all, those of one zone, or of one cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class HostState(Enum):
    """The state of a host as discovery lists it."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListKind(Enum):
    """How an endpoint list relates to the current one."""

    SAVED = "saved"  # from the configuration, may be old
    FULL = "full"
    DELTA = "delta"  # changed hosts only
    FAILED = "failed"  # discovery could not be reached: no list


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the host rejected it without executing it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # the request had ended before the attempt was sent


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests and the value of its responses."""

    name: str
    latency_target_ns: int
    deadline_ns: int
    value: float  # of a response within the target
    late_value: float = 0.0  # of one after it, as a fraction of `value`
    idempotency: Idempotency = Idempotency.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    is_streaming: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share of the service, and its quota."""

    name: str
    quota_share: float
    quota_per_s: float


Tier = tuple[tuple[str, float], ...]  # zones that are equally near, with weights


@dataclass(frozen=True)
class ZoneRules:
    """The operator's rules on zones.

    `neighbours` has, for a zone, the tiers after it, nearest first; without any they are learned.
    `spill_rate` is the fraction of a zone's spare capacity that all proxies together may be granted anew in a
    second, `max_utilisation` the use of a zone up to which there is spare capacity.
    """

    neighbours: tuple[tuple[str, tuple[Tier, ...]], ...] = ()
    spill_rate: float = 1.0
    max_utilisation: float = 0.95
    panic_threshold: float = 0.5  # of all nodes: with fewer healthy ones the evidence is doubted; 0: never
    flap_penalty_half_life_ns: int = 20_000_000_000
    # The longest that a zone which responds is kept out for flapping; 0: flaps cost nothing.
    max_flap_suppression_ns: int = 60_000_000_000
    flap_exempt: tuple[str, ...] = ()  # zones that are not kept out for flapping
    evacuated: tuple[str, ...] = ()  # zones to be sent less and less, and then nothing


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer, given at its start; prices are in values of a request."""

    zone: str  # of this proxy
    classes: tuple[RequestClass, ...]
    fleet_size: int  # proxies
    tenants: tuple[Tenant, ...] = ()
    subscribes_to_endpoints: bool = False  # else the caller keeps the list up
    endpoint_poll_deadline_ns: int = 10_000_000_000  # discovery must be asked within
    tick_ns: int = 1_000_000  # the shortest time between two timers
    max_attempts: int = 1  # a request
    hedging_enabled: bool = False
    can_cancel_attempts: bool = False
    can_check_health: bool = False  # part of the stored form; nothing goes by it
    max_retry_after_ns: int = 0  # 0: a rejection has no such hint
    connect_timeout_ns: int = 250_000_000
    cross_zone_price: float = 0.0  # of an attempt in another zone
    connection_price: float = 0.0  # of opening one
    late_price: float = 0.0  # this and the next two: part of the stored form, nothing goes by them
    waste_price: float = 0.0
    over_quota_value: float = 1.0
    is_value_by_work: bool = False  # a value is for a second of work, not for a request
    worst_class_weight: float = 0.0  # part of the stored form; nothing goes by it
    drain_grace_ns: int = 0  # attempts may go to a draining host for so long
    drain_release_ns: int = 0  # idle connections to a draining host are closed within; 0: they need not be
    connection_idle_timeout_ns: int = 0  # hosts close what is idle for so long; 0: never
    warm_up_ns: int = 0  # after its start a host is warming up for so long
    initial_capacity: float = 1.0  # of a host that has just started, as a fraction
    overload_multiple: float = 1.0  # of its capacity within the window: a warming host fails under more
    overload_window_ns: int = 1_000_000_000
    report_fields: tuple[str, ...] = ()  # of load reports, in their order
    # What `HostEntry.weight` is: `nominal` or `rough` sizes, `live` spare, or (`silent`) nothing.
    weight_source: str = "silent"
    zone_rules: ZoneRules | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A host's own metrics; None where it does not report them.  The throughput is in requests a second."""

    utilisation: float | None = None
    throughput: float | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host as discovery lists it; `started_ns` of 0 means long ago."""

    host: str
    zone: str
    kind: str
    cell: int
    state: HostState
    weight: float = 1.0
    started_ns: int = 0


# --- events ---------------------------------------------------------------------------------


@dataclass(slots=True)
class HostListUpdated:
    """Discovery has sent a list, or changes of it."""

    kind: ListKind
    entries: list[HostEntry]


@dataclass(slots=True)
class RequestArrived:
    """A client's request; it must get one final answer within `left_ns`."""

    request: str
    request_class: str
    tenant: str | None
    left_ns: int
    work_hint_ns: int | None = None
    is_retry: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """One attempt has ended; `request_ended` says that the request itself has ended."""

    request: str
    attempt: int
    host: str
    status: AttemptStatus
    latency_ns: int
    request_ended: bool
    report: LoadReport | None = None


@dataclass(slots=True)
class StreamStarted:
    """A streamed response has begun on this attempt."""

    request: str
    attempt: int
    host: str
    latency_ns: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected; its request needs no answer."""

    request: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check has ended."""

    host: str
    ok: bool
    latency_ns: int
    report: LoadReport | None = None


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: int


@dataclass(slots=True)
class ZoneRulesChanged:
    """The operator has changed the rules on zones; None: there are none any more."""

    rules: ZoneRules | None


@dataclass(slots=True)
class RequestBodyProgressed:
    """A request's body is being sent on an attempt as it comes, or has been sent (`is_complete`).

    Between the two the attempt is neither late nor in flight for admission; from the first on it can't be
    repeated.  `left_ns` is the time that the request then has left.
    """

    request: str
    attempt: int
    is_complete: bool
    left_ns: int


@dataclass(slots=True)
class ProcessShareChanged:
    """This process has so much of its proxy's traffic; other processes of the same proxy have the rest."""

    share: float


Event = (
    HostListUpdated
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | HealthCheckEnded
    | TimerFired
    | ZoneRulesChanged
    | ProcessShareChanged
    | RequestBodyProgressed
)


# --- actions --------------------------------------------------------------------------------


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt; `timeout_ns` of 0 leaves it the client's remaining time."""

    request: str
    host: str
    timeout_ns: int = 0


@dataclass(slots=True)
class RejectRequest:
    """Final answer: not executed, so that a retry does no harm."""

    request: str
    retry_after_ns: int = 0


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed, it may have been executed."""

    request: str


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a host."""

    host: str


@dataclass(slots=True)
class CheckHealth:
    """Check the health of a host."""

    host: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` at `at_ns`."""

    at_ns: int
    token: int


@dataclass(slots=True)
class SubscribeToEndpoints:
    """Ask discovery for the list, and for changes from now on."""


@dataclass(slots=True)
class WriteLog:
    """Write a rare line for the people on call."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | CloseIdleConnections
    | CheckHealth
    | SetTimer
    | SubscribeToEndpoints
    | WriteLog
)
