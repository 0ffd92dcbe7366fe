"""Interface of the decision module: settings, events and actions.

Everything here is plain data in the terms of the field.  Times are whole nanoseconds on the
caller's clock; the module never reads a clock of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Of an attempt's time, a connect may take this part and `connect_timeout_ns`, whichever is less.
CONNECT_TIMEOUT_FRACTION = 0.2


class Idempotency(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which hosts discard a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class HostState(Enum):
    """What discovery says of a host."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListKind(Enum):
    """How a list from discovery relates to the one held."""

    SAVED = "saved"
    FULL = "full"
    DELTA = "delta"
    FAILED = "failed"


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests and what its answers are worth."""

    name: str
    latency_target_ns: int
    deadline_ns: int
    value: float
    late_value: float = 0.0
    idempotency: Idempotency = Idempotency.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    is_streaming: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share of the service; past `quota_per_s` its traffic is worth little."""

    name: str
    quota_share: float
    quota_per_s: float


Tier = tuple[tuple[str, float], ...]  # zones that are as near, with weights


@dataclass(frozen=True)
class ZoneRules:
    """What the operator says of zones.

    `neighbours` has, for a zone, the tiers after it, nearest first; without any they are learned.
    `spill_rate` is the part of a zone's spare capacity that all proxies together may be granted anew in a
    second, `max_utilisation` the use of a zone up to which there is spare capacity.
    """

    neighbours: tuple[tuple[str, tuple[Tier, ...]], ...] = ()
    spill_rate: float = 1.0
    max_utilisation: float = 0.95
    panic_threshold: float = 0.5  # of all nodes seem well: with fewer the evidence is doubted; 0: never
    flap_penalty_half_life_ns: int = 20_000_000_000  # of the penalty for a loss
    max_flap_hold_ns: int = (
        60_000_000_000  # the longest that a zone which answers is not trusted; 0: flaps cost nothing
    )
    flap_exempt: tuple[str, ...] = ()  # held for flapping no more
    evacuated: tuple[str, ...] = ()  # to be sent less and less, and then nothing


@dataclass(frozen=True, slots=True)
class Settings:
    """All the module is told at start-up."""

    zone: str
    classes: tuple[RequestClass, ...]
    fleet_size: int
    tenants: tuple[Tenant, ...] = ()
    subscribes_to_endpoints: bool = False
    endpoint_poll_deadline_ns: int = 10_000_000_000
    tick_ns: int = 1_000_000
    max_attempts: int = 1
    hedging_enabled: bool = False
    can_cancel_attempts: bool = False
    can_check_health: bool = False
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 250_000_000
    cross_zone_price: float = 0.0
    connection_price: float = 0.0
    late_price: float = 0.0
    waste_price: float = 0.0
    over_quota_value: float = 1.0
    is_value_by_work: bool = False
    worst_class_weight: float = 0.0
    drain_grace_ns: int = 0
    drain_release_ns: int = 0
    connection_idle_timeout_ns: int = 0
    warm_up_ns: int = 0
    initial_capacity: float = 1.0
    overload_multiple: float = 1.0
    overload_window_ns: int = 1_000_000_000
    report_fields: tuple[str, ...] = ()
    # What `HostEntry.weight` is: `nominal` or `rough` sizes, `live` spare, or (`silent`) nothing.
    weight_source: str = "silent"
    zone_rules: ZoneRules | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A host's own figures; None where it does not tell."""

    utilisation: float | None = None
    throughput: float | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host as discovery describes it; `started_ns` of 0 means long ago."""

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
    """News from discovery."""

    kind: ListKind
    entries: list[HostEntry]


@dataclass(slots=True)
class RequestArrived:
    """A client's request; it is owed one final answer within `left_ns`."""

    request: str
    request_class: str
    tenant: str | None
    left_ns: int
    work_hint_ns: int | None = None
    is_retry: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """How one attempt ended; `request_ended` tells that the request itself has ended."""

    request: str
    attempt: int
    host: str
    status: AttemptStatus
    latency_ns: int
    request_ended: bool
    report: LoadReport | None = None


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun on this attempt."""

    request: str
    attempt: int
    host: str
    latency_ns: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client has left; nothing is owed any more."""

    request: str


@dataclass(slots=True)
class HealthCheckEnded:
    """The result of one probe."""

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
    """The operator says something else of zones; None: nothing any more."""

    rules: ZoneRules | None


@dataclass(slots=True)
class RequestBodyProgressed:
    """A request's body goes out on an attempt as it comes, or (`is_complete`) has gone out, with `left_ns`
    left.

    Between the two the attempt is neither late nor a place taken; from the first on it can't be repeated.
    """

    request: str
    attempt: int
    is_complete: bool
    left_ns: int


@dataclass(slots=True)
class ProcessShareChanged:
    """This process does so much of what its proxy does; the rest is other processes' of the same proxy."""

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
    """Final answer: not served, and trying again does no harm."""

    request: str
    retry_after_ns: int = 0


@dataclass(slots=True)
class FailRequest:
    """Final answer: not served, and no promise about its effect."""

    request: str


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections held to a host."""

    host: str


@dataclass(slots=True)
class CheckHealth:
    """Ask a host whether it is well."""

    host: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` at `at_ns`."""

    at_ns: int
    token: int


@dataclass(slots=True)
class SubscribeToEndpoints:
    """Ask discovery for changes from now on."""


@dataclass(slots=True)
class WriteLog:
    """A rare line for the people on call."""

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
