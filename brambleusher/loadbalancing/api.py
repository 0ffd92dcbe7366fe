"""Interface of the balancer: settings, events and actions.

All types here are plain data. Times are integer nanoseconds on the caller's clock; the balancer never reads a
clock itself. Enum values are stored in captures and used as counter names, so they never change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Fraction of an attempt's timeout that connecting may take, bounded by `connect_timeout_ns`.
CONNECT_TIMEOUT_FRACTION = 0.2


class Idempotency(Enum):
    """Whether a request may be executed twice."""

    SAFE = "safe"  # a request may be executed twice
    KEYED = "keyed"  # a request has an idempotency key by which hosts discard repeated requests
    UNSAFE = "unsafe"  # a request must not be executed twice


class DeduplicationScope(Enum):
    """Which hosts discard a repeated keyed request: all hosts, those of one zone, or those of one cell."""

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

    SAVED = "saved"  # list from the configuration, possibly outdated
    FULL = "full"
    DELTA = "delta"  # changed hosts only
    FAILED = "failed"  # no list, because discovery could not be reached


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the host rejected the attempt without executing it
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
    value: float  # value of a response within the latency target
    late_value: float = 0.0  # value of a response after the latency target, as a fraction of `value`
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


Tier = tuple[tuple[str, float], ...]  # names of zones that are equally near, with their weights


@dataclass(frozen=True)
class ZoneRules:
    """Zone rules set by the operator.

    `neighbours` maps a zone to the tiers after it, nearest first; if it is empty, tiers are learned from
    latencies. `spill_rate` is the fraction of a zone's spare capacity by which the grants of all proxies
    together may grow per second. `max_utilisation` is the utilisation up to which a zone has spare capacity.
    """

    neighbours: tuple[tuple[str, tuple[Tier, ...]], ...] = ()
    spill_rate: float = 1.0
    max_utilisation: float = 0.95
    # Fraction of all nodes; if fewer are healthy, the evidence is doubted and all zones are used despite
    # their states; 0 disables this.
    panic_threshold: float = 0.5
    flap_penalty_half_life_ns: int = 20_000_000_000
    # Longest time that a responding zone is kept out because of flapping; 0 disables flap damping.
    max_flap_suppression_ns: int = 60_000_000_000
    flap_exempt: tuple[str, ...] = ()  # zones that are never kept out because of flapping
    evacuated: tuple[str, ...] = ()  # zones whose traffic is reduced gradually to nothing


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer; prices use the same unit as the values of requests."""

    zone: str  # zone of this proxy
    classes: tuple[RequestClass, ...]
    fleet_size: int  # number of proxies
    tenants: tuple[Tenant, ...] = ()
    subscribes_to_endpoints: bool = False  # if false, the caller keeps the endpoint list up to date
    endpoint_poll_deadline_ns: int = 10_000_000_000  # longest time within which discovery must be asked
    tick_ns: int = 1_000_000  # minimum time between two timers
    max_attempts: int = 1  # maximum number of attempts of one request
    hedging_enabled: bool = False
    can_cancel_attempts: bool = False
    can_check_health: bool = False  # part of the stored form; not used
    max_retry_after_ns: int = 0  # upper bound of the retry-after hint in rejections; 0 omits the hint
    connect_timeout_ns: int = 250_000_000
    cross_zone_price: float = 0.0  # price of an attempt in another zone
    connection_price: float = 0.0  # price of opening a connection
    late_price: float = 0.0  # part of the stored form, like the next two fields; not used
    waste_price: float = 0.0
    over_quota_value: float = 1.0
    is_value_by_work: bool = False  # whether values are per second of work instead of per request
    worst_class_weight: float = 0.0  # part of the stored form; not used
    drain_grace_ns: int = 0  # time for which a draining host may still get attempts
    # Time within which idle connections to a draining host are closed; 0 keeps them.
    drain_release_ns: int = 0
    connection_idle_timeout_ns: int = 0  # idle time after which hosts close a connection; 0 means never
    warm_up_ns: int = 0  # time for which a host is warming up after its start
    # Capacity of a host that has just started, as a fraction of its full capacity.
    initial_capacity: float = 1.0
    # Multiple of its capacity, within the overload window, above which a warming host fails.
    overload_multiple: float = 1.0
    overload_window_ns: int = 1_000_000_000
    report_fields: tuple[str, ...] = ()  # names of the fields of load reports, in their order
    # Meaning of `HostEntry.weight`: `nominal` or `rough` sizes, `live` spare capacity, or (`silent`) none.
    weight_source: str = "silent"
    zone_rules: ZoneRules | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A host's own metrics, None for metrics it does not report; throughput is in requests per second."""

    utilisation: float | None = None
    throughput: float | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host as discovery lists it; a `started_ns` of 0 means that it started long ago."""

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
    """Discovery has sent an endpoint list or changes to it, or could not be reached."""

    kind: ListKind
    entries: list[HostEntry]


@dataclass(slots=True)
class RequestArrived:
    """A client's request has arrived; it must get exactly one final answer within `left_ns`."""

    request: str
    request_class: str
    tenant: str | None
    left_ns: int
    work_hint_ns: int | None = None
    is_retry: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; `request_ended` tells whether its request has ended as well."""

    request: str
    attempt: int
    host: str
    status: AttemptStatus
    latency_ns: int
    request_ended: bool
    report: LoadReport | None = None


@dataclass(slots=True)
class StreamStarted:
    """The streamed response to an attempt has begun."""

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
    """The operator has changed the zone rules; None if they were removed."""

    rules: ZoneRules | None


@dataclass(slots=True)
class RequestBodyProgressed:
    """The body of a request is being streamed on an attempt, or has been sent completely (`is_complete`).

    Until the body is complete, the attempt counts neither as late nor as in flight for admission control.
    From the start of streaming on, the request can't be retried. `left_ns` is the time that the request then
    has left.
    """

    request: str
    attempt: int
    is_complete: bool
    left_ns: int


@dataclass(slots=True)
class ProcessShareChanged:
    """This process's fraction of its proxy's traffic has changed; other processes handle the rest."""

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
    """Start an attempt; with a `timeout_ns` of 0 it may use all of the client's remaining time."""

    request: str
    host: str
    timeout_ns: int = 0


@dataclass(slots=True)
class RejectRequest:
    """Answer the client that the request was not executed, so that a retry is harmless."""

    request: str
    retry_after_ns: int = 0


@dataclass(slots=True)
class FailRequest:
    """Answer the client that the request failed and may have been executed."""

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
    """Request a `TimerFired` event at `at_ns`."""

    at_ns: int
    token: int


@dataclass(slots=True)
class SubscribeToEndpoints:
    """Subscribe at discovery to the endpoint list and its changes."""


@dataclass(slots=True)
class WriteLog:
    """Write an infrequent log line for the operators."""

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
