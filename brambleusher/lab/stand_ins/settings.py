"""Settings of stand-ins.  Names end in their units; work is measured in seconds on a standard core."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # finite because sidecars' settings allow no infinity
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
UnitFraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all settings, which msgspec converts to built-in types and back."""


class NodeSettings(Settings, frozen=True):
    """Settings of a stand-in node: its machine, its limits and its responses."""

    cores: Annotated[int, msgspec.Meta(ge=1)] = 2
    speed: Positive = 1.0  # speed of each core, relative to a standard core
    slots_per_core: Annotated[int, msgspec.Meta(ge=1)] = 1  # requests processed concurrently per core
    queue_per_core: Count = 200  # waiting requests per core; a full queue rejects further requests
    thrash: Seconds = 0.08  # relative slowdown of all work per request per core above `thrash_at`
    thrash_at: Seconds = 10.0
    cold_from: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25  # fraction of the capacity at a cold start
    cold_s: Seconds = 12.0  # maximum warm-up time, in seconds
    warm_by: Literal["time", "work"] = "work"
    warm_work: Positive = 0.3  # work that completes the warm-up, relative to `cold_s` at full capacity
    falls: bool = True  # whether overload during warm-up permanently stops the node
    fall_multiple: Positive = 4.0
    fall_s: Positive = 3.0
    connections: Annotated[int, msgspec.Meta(ge=1)] = 1200
    full_tax: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.25  # fraction of capacity lost at `connections`
    handshake_s: Seconds = 0.002  # added latency of a connection's first request, in seconds
    handshake_work_s: Seconds = 0.001
    idle_s: Positive = 30.0  # seconds after which the node closes an idle connection
    report_fields: tuple[str, ...] = (
        "throughput",
        "utilization",
    )  # fields of a load report; empty for no reports
    report_period_s: Positive = 1.0
    report_delay_s: Seconds = 0.25
    report_noise: Seconds = 0.03
    error_rate: UnitFraction = 0.0  # fraction of requests answered with 500 after their work is done
    cancel: Literal["none", "queued", "all"] = "queued"  # which work is canceled when its connection closes
    drops_overdue: bool = False  # whether requests past their deadline are rejected before they start
    drain_refuses: bool = False  # whether a draining node rejects new requests
    work_noise: Seconds = 0.2  # logarithmic standard deviation of a request's work between attempts
    answer_bytes: Count = 200  # padding of a response body, which also identifies the request and the node


class DiscoverySettings(Settings, frozen=True):
    """Settings of the discovery service: the cost of requests and the delivery of changes."""

    call_s: Seconds = 0.02
    line_s: Seconds = 0.0005
    timeout_s: Positive = 3.0  # seconds of waiting after which a request fails
    fails_by: Literal["503", "reset"] = "503"
    beat_s: Positive = 2.0  # seconds between heartbeats (empty lines) while nothing changes
    spread_s: Seconds = 0.05  # maximum delay until a change reaches the watches, in seconds
    history: Annotated[int, msgspec.Meta(ge=1)] = 64  # number of past versions with available changes


class ClientSettings(Settings, frozen=True):
    """Settings of the clients beside a sidecar."""

    tries: Annotated[int, msgspec.Meta(ge=1)] = 3
    try_part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0  # fraction of the time left for one attempt
    backoff: Literal["none", "fixed", "exponential"] = "fixed"
    backoff_s: Seconds = 0.1
    honour: UnitFraction = 0.7  # probability that a client obeys a Retry-After header
    honour_most_s: Seconds = 2.0
    marks_retry: bool = False
    impatient: UnitFraction = 0.0  # fraction of attempts that the client abandons before the deadline
    idle_most: Count = 64  # maximum number of idle connections
    asks_once: UnitFraction = 0.0  # fraction of connections used for one request and then held open
    most_open: Count = 0  # maximum number of open connections, beyond which requests fail; 0 for no limit
    hints: Literal["none", "rough"] = "rough"


class PlannedRequest(Settings, frozen=True):
    """A request that a client sends at a set time, regardless of the outcome of earlier requests."""

    id: str
    at_s: Seconds  # time of sending, in seconds after the start
    request_class: str
    unsafe: bool = False  # whether the request is non-idempotent
    tenant: str = ""
    wait_s: Positive = 1.0  # time limit for a response over all attempts, in seconds
    work_s: Positive = 0.05
    hint_s: Seconds = 0.0  # work announced in the Work-Hint header, in seconds; 0 for no header
    body_bytes: Count = 0
    sidecar: Count = 0  # index of the sidecar beside the client
