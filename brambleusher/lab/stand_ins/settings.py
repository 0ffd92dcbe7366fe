"""What a stand-in is told about itself.  Units are in the names; a cost is in seconds of a standard core."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # an infinite one can't be told to a sidecar
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The form of all settings: plain data that msgspec turns into builtins and back."""


class NodeSettings(Settings, frozen=True):
    """One endpoint: its machine, what it takes, and how it answers."""

    cores: Annotated[int, msgspec.Meta(ge=1)] = 2
    speed: Positive = 1.0  # of a standard core
    slots_per_core: Annotated[int, msgspec.Meta(ge=1)] = 1  # requests in work
    queue_per_core: Count = 200  # requests that wait; beyond, they are turned away
    thrash: Seconds = 0.08  # each request a core held beyond `thrash_at` adds so much to all work
    thrash_at: Seconds = 10.0
    cold_from: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25  # of the capacity, at the start
    cold_s: Seconds = 12.0  # until it is warm, at the latest
    warm_by: Literal["time", "work"] = "work"
    warm_work: Positive = 0.3  # of the work `cold_s` at full capacity could do: so much warms it up
    falls: bool = True  # whether too much work while cold brings it down for good
    fall_multiple: Positive = 4.0
    fall_s: Positive = 3.0
    connections: Annotated[int, msgspec.Meta(ge=1)] = 1200
    full_tax: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.25  # of the capacity, while the table is full
    handshake_s: Seconds = 0.002  # on the first request of a connection
    handshake_work_s: Seconds = 0.001
    idle_s: Positive = 30.0  # then an idle connection is closed
    report_fields: tuple[str, ...] = ("throughput", "utilization")  # empty: no report
    report_period_s: Positive = 1.0
    report_delay_s: Seconds = 0.25
    report_noise: Seconds = 0.03
    error_rate: Part = 0.0  # answered 500 after the work
    cancel: Literal["none", "queued", "all"] = "queued"  # the work that a closed connection stops
    drops_overdue: bool = False  # one whose time is up is not begun
    drain_refuses: bool = False  # while it drains, new requests are turned away
    work_noise: Seconds = 0.2  # the spread of a request's work from attempt to attempt
    answer_bytes: Count = 200  # what an answer has beside its proof


class DiscoverySettings(Settings, frozen=True):
    """The one discovery service: what calls cost, and when changes are told."""

    call_s: Seconds = 0.02
    line_s: Seconds = 0.0005
    timeout_s: Positive = 3.0  # a call that waited for so long fails
    fails_by: Literal["503", "reset"] = "503"
    beat_s: Positive = 2.0  # an empty line, while nothing changes
    spread_s: Seconds = 0.05  # a change reaches the watches within this time
    history: Annotated[int, msgspec.Meta(ge=1)] = 64  # versions back from which changes can be told


class ClientSettings(Settings, frozen=True):
    """How clients behave."""

    tries: Annotated[int, msgspec.Meta(ge=1)] = 3
    try_part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0  # of the time left, for one try
    backoff: Literal["none", "fixed", "exponential"] = "fixed"
    backoff_s: Seconds = 0.1
    honour: Part = 0.7  # of those told when to return
    honour_most_s: Seconds = 2.0
    marks_retry: bool = False
    impatient: Part = 0.0  # of the tries: left some time into the wait
    idle_most: Count = 64  # connections kept
    asks_once: Part = 0.0  # of the connections: asked on once, and held as long as they stand
    most_open: Count = 0  # connections held at once; a request that finds none left fails; 0: no bound
    hints: Literal["none", "rough"] = "rough"


class Ask(Settings, frozen=True):
    """One request that somebody is to send, whatever becomes of those before it."""

    id: str
    at_s: Seconds  # after the start
    request_class: str
    unsafe: bool = False  # must not run twice
    tenant: str = ""
    wait_s: Positive = 1.0  # for an answer, over all tries
    work_s: Positive = 0.05
    hint_s: Seconds = 0.0  # 0: none is given
    body_bytes: Count = 0
    sidecar: Count = 0  # the one beside its client
