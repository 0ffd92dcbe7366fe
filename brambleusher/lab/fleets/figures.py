"""World definitions: the initial conditions of a run as plain data, drawn from ranges and a seed.

The default ranges describe a small version of the deployment `atlanta-resale`.  Work and latency targets are
shortened so that a few virtual seconds contain whole faults and the recovery from them.  Times that the
protocol and the program fix (500 ms of drain grace, 2 s between heartbeats, idle limits) are not shortened.
"""

from __future__ import annotations

import math
import random
from typing import Annotated, Any, Literal

import msgspec

from brambleusher.lab.stand_ins.settings import (
    ClientSettings,
    Count,
    DiscoverySettings,
    NodeSettings,
    PlannedRequest,
    Positive,
    Seconds,
    Settings,
    UnitFraction,
)

Range = tuple[float, float]  # both bounds are inclusive

NODE_PORT, SIDECAR_PORT, DISCOVERY_PORT, ADMIN_PORT = 9000, 9000, 8500, 9100


# --- a world --------------------------------------------------------------------------------------


class ClassSpec(Settings, frozen=True):
    """A request class: its share of the requests, its work, latency target, deadline and value."""

    name: str
    share: UnitFraction
    work_s: Positive  # mean work, in seconds on a standard core
    spread: Seconds  # standard deviation of the logarithm of the work
    aim_s: Positive
    deadline_s: Positive
    worth: Positive = 1.0
    late_worth: UnitFraction = 0.3
    unsafe: bool = False

    def draw_work(self, rng: random.Random) -> float:
        """Draw the work of a request in seconds on a standard core.

        The distribution is lognormal, bounded by 80 % of the latency target.
        """
        work = self.work_s * math.exp(self.spread * rng.gauss(0, 1) - self.spread**2 / 2)
        return min(max(work, 0.002), self.aim_s * 0.8)


class TenantSpec(Settings, frozen=True):
    """A tenant, its share of the requests and its use of its quota."""

    name: str
    share: UnitFraction
    usage: Positive  # fraction of the tenant's quota that its requests use


class NodeSpec(Settings, frozen=True):
    """A node: its zone, kind and cell, and the settings of its stand-in."""

    id: str
    zone: str
    kind: str
    cell: Count = 0
    weight: Seconds = 1.0
    settings: NodeSettings = NodeSettings()
    spare: bool = False  # whether the node is stopped at the start; a fault may start it


class SidecarSpec(Settings, frozen=True):
    """A sidecar's machine, and the configuration that the sidecar starts with."""

    name: str
    zone: str
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 128
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 64
    known: Literal["fresh", "old", "none"] = "fresh"
    capture: bool = True


class NetworkSpec(Settings, frozen=True):
    """One-way network latencies, and the imperfections of sockets."""

    same_zone_s: Seconds = 0.0002
    cross_zone_s: Seconds = 0.0006
    client_s: Seconds = 0.00005
    jitter: UnitFraction = 0.2  # largest added latency, as a fraction of the latency
    split: UnitFraction = 0.0  # fraction of sends that arrive in two pieces, split at a random byte
    short_send: UnitFraction = 0.0  # fraction of sends that accept only some of the bytes
    short_receive: UnitFraction = 0.0  # fraction of receives that return only some of the available bytes
    aborted_accepts: UnitFraction = 0.0  # fraction of connections reset before accept, as ECONNABORTED
    buffer_bytes: Annotated[int, msgspec.Meta(ge=2048)] = 65536


class RuleSpec(Settings, frozen=True):
    """The rules of the deployment that sidecars receive in their settings."""

    drain_grace_s: Seconds = 0.5
    must_ask_s: Positive = 10.0
    fall_multiple: Positive = 4.0
    fall_s: Positive = 3.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1)] = 6
    second_copies: bool = True
    cancel: bool = True
    retry_after: bool = True
    max_retry_after_s: Positive = 2.0
    connect_timeout_s: Positive = 0.25
    tick_s: Positive = 0.005
    over_share_worth: UnitFraction = 0.05
    # With both fees at 0, a sidecar uses more nodes.
    connection_fee: Seconds = 0.075  # cost of each open connection
    handshake_fee: Seconds = 0.075  # cost of each newly opened connection


class ProcessorSpec(Settings, frozen=True):
    """Mean delays due to a sidecar's limited share of a CPU core; 0 for a share that causes no delay."""

    start_s: Seconds = 0.0  # seconds from the start of the process to the program's first step
    round_s: Seconds = 0.0  # seconds from one poll of the scheduler to the next


class WorldSpec(Settings, frozen=True):
    """A whole world, with all values drawn."""

    length_s: Positive  # latest time of a request, in seconds
    faults_s: Positive  # time by which all faults have ended, in seconds
    zones: tuple[str, ...]
    sidecars: tuple[SidecarSpec, ...]
    nodes: tuple[NodeSpec, ...]
    classes: tuple[ClassSpec, ...]
    tenants: tuple[TenantSpec, ...] = ()
    requests_per_s: Positive = 14.0
    opens_s: Seconds = 0.0  # time at which a resale opens, in seconds
    crowd: UnitFraction = 0.0  # fraction of all requests that arrive within 0.25 seconds after a resale opens
    discovery: DiscoverySettings = DiscoverySettings()
    notice_s: Seconds = 0.5  # seconds until discovery learns of a process that starts or drains
    silent_notice_s: Seconds = 1.5  # seconds until discovery learns of a process that crashed
    network: NetworkSpec = NetworkSpec()
    clients: ClientSettings = ClientSettings()
    rules: RuleSpec = RuleSpec()
    processor: ProcessorSpec = ProcessorSpec()
    operator: dict[str, Any] = {}  # sections of the sidecars' operator file except `capture`  # noqa: RUF012

    @property
    def capacity(self) -> float:
        """Capacity of all nodes running at the start, in seconds of work on a standard core per second."""
        return sum(node.settings.cores * node.settings.speed for node in self.nodes if not node.spare)

    @property
    def mean_work_s(self) -> float:
        """Mean work of a request, in seconds on a standard core."""
        return sum(each.share * each.work_s for each in self.classes) / sum(
            each.share for each in self.classes
        )

    def sidecar_settings(self, number: int) -> dict[str, Any]:
        """Return the object `settings` of a sidecar's configuration."""
        rules, own = self.rules, self.sidecars[number]
        rate = self.requests_per_s
        coldest = min(node.settings.cold_from for node in self.nodes)
        return {
            "me": number, "fleet_size": len(self.sidecars), "zone": own.zone, "azs": list(self.zones),
            "family": "mesh", "tick_ns": _ns(rules.tick_s), "membership_mode": "subscribe",
            "worth_by": "work", "weights": "rough", "over_share_worth": rules.over_share_worth,
            "host_types": sorted({node.kind for node in self.nodes}),
            "classes": [
                {
                    "name": each.name, "promise_ns": _ns(each.aim_s), "give_up_ns": _ns(each.deadline_s),
                    "effect": "non_idempotent" if each.unsafe else "read_like", "group": "all",
                    "worth": each.worth, "late_worth": each.late_worth, "window_ns": 5 * 10**9,
                    "stream": False,
                }
                for each in self.classes
            ],
            "projects": [
                {"name": each.name, "portion": each.share, "quota_rps": rate * each.share / each.usage}
                for each in self.tenants
            ],
            "clients": {"marks_retry": self.clients.marks_retry},
            "limits": {
                "cancel": rules.cancel, "conn_idle_ns": _ns(min(n.settings.idle_s for n in self.nodes)),
                "connect_timeout_ns": _ns(rules.connect_timeout_s), "max_attempts": rules.max_attempts,
                "max_retry_after_ns": _ns(rules.max_retry_after_s), "retry_after": rules.retry_after,
                "second_copies": rules.second_copies, "multiplex": 1, "probing": False,
                "peer_messages": False,
            },
            "safety": {
                "answer_slack_ns": 20 * 10**6,
                "cold_ns": _ns(max(node.settings.cold_s for node in self.nodes)),
                "drain_grace_ns": _ns(rules.drain_grace_s), "fall_multiple": rules.fall_multiple,
                "fall_ns": _ns(rules.fall_s), "must_ask_in_ns": _ns(rules.must_ask_s),
                "start_capacity": coldest,
            },
            "score_parts": {"whole": 0.35, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.35},
            "fees": {
                "connection": rules.connection_fee, "cross_zone": 0.1, "handshake": rules.handshake_fee,
                "late_fail": 0.075, "waste": 0.06,
            },
            "telemetry": {"how": "piggyback", "names": list(self.nodes[0].settings.report_fields)},
        }  # fmt: skip


def _ns(seconds: float) -> int:
    return round(seconds * 1e9)


# --- ranges ---------------------------------------------------------------------------------------


class ClassRanges(Settings, frozen=True):
    """Ranges from which a request class is drawn."""

    name: str
    share: Range
    work_s: Range
    spread: Range
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float
    unsafe: bool = False


class KindRanges(Settings, frozen=True):
    """Ranges from which the nodes of one kind are drawn."""

    name: str
    share: Range
    cores: int
    speed: Range
    speed_spread: Range
    queue_per_core: Range
    thrash: Range
    thrash_at: Range
    cold_from: Range
    cold_s: Range


class Ranges(Settings, frozen=True):
    """Ranges from which worlds are drawn."""

    faults_s: Range = (2.6, 3.4)
    after_s: Range = (4.8, 5.4)  # seconds without faults, for recovery and the check of the recovery
    zones: tuple[str, ...] = ("atl-north", "atl-south", "macon", "augusta")
    sidecars: tuple[int, int] = (1, 3)
    nodes: tuple[int, int] = (3, 5)
    spares: tuple[int, int] = (1, 2)
    load: Range = (0.12, 0.55)  # work of all requests, as a fraction of the capacity
    requests_per_s: Range = (11.0, 15.0)
    opens: Range = (0.3, 0.6)  # time at which a resale opens, as a fraction of `faults_s`
    crowd: Range = (0.12, 0.6)
    usage: Range = (0.54, 1.4)
    kinds: tuple[KindRanges, ...] = (
        KindRanges(
            name="std-2core", share=(0.3, 0.5), cores=2, speed=(0.85, 1.1), speed_spread=(0.09, 0.21),
            queue_per_core=(20.0, 120.0), thrash=(0.044, 0.12), thrash_at=(8.3, 14.0),
            cold_from=(0.17, 0.34), cold_s=(3.0, 6.0),
        ),
        KindRanges(
            name="small-1core", share=(0.5, 0.7), cores=1, speed=(0.64, 0.86), speed_spread=(0.035, 0.2),
            queue_per_core=(20.0, 120.0), thrash=(0.035, 0.13), thrash_at=(8.3, 14.0),
            cold_from=(0.18, 0.32), cold_s=(3.0, 6.0),
        ),
    )  # fmt: skip
    classes: tuple[ClassRanges, ...] = (
        ClassRanges(
            name="listing-lookup", share=(0.35, 0.53), work_s=(0.029, 0.052), spread=(0.5, 0.9),
            aim_s=0.5, deadline_s=1.0, worth=1.0, late_worth=0.2,
        ),
        ClassRanges(
            name="price-check", share=(0.22, 0.34), work_s=(0.052, 0.096), spread=(0.5, 0.9),
            aim_s=0.75, deadline_s=1.6, worth=5.0, late_worth=0.5,
        ),
        ClassRanges(
            name="transfer-record", share=(0.22, 0.34), work_s=(0.084, 0.144), spread=(0.5, 0.9),
            aim_s=0.75, deadline_s=2.0, worth=2.0, late_worth=0.3, unsafe=True,
        ),
    )  # fmt: skip
    tenants: tuple[tuple[str, float], ...] = (("peach-seats", 0.8), ("red-clay-tix", 0.2))
    same_zone_s: Range = (0.0001, 0.00032)
    cross_zone_s: Range = (0.00042, 0.00078)
    client_s: Range = (0.00002, 0.0001)
    jitter: Range = (0.11, 0.28)
    split: Range = (0.0, 0.1)
    short_send: Range = (0.0, 0.04)
    short_receive: Range = (0.0, 0.06)
    buffer_bytes: Range = (4096.0, 65536.0)
    notice_s: Range = (0.2, 1.0)
    silent_notice_s: Range = (0.6, 1.5)
    call_s: Range = (0.002, 0.05)
    line_s: Range = (0.0002, 0.002)
    spread_s: Range = (0.01, 0.09)
    report_period_s: Range = (0.3, 0.8)
    report_delay_s: Range = (0.06, 0.18)
    report_noise: Range = (0.001, 0.07)
    fall_s: Range = (1.0, 2.0)  # in seconds, shortened like latency targets and warm-up times
    connections: Range = (24.0, 900.0)
    full_tax: Range = (0.16, 0.38)
    handshake_s: Range = (0.0004, 0.0024)
    handshake_work_s: Range = (0.0009, 0.0015)
    idle_s: Range = (2.0, 30.0)
    work_noise: Range = (0.06, 0.5)
    error_rate: Range = (0.0, 0.002)
    must_ask_s: Range = (6.0, 10.0)
    sockets: Range = (80.0, 256.0)
    tries: tuple[int, int] = (1, 4)
    try_part: Range = (0.5, 1.0)
    honour: Range = (0.3, 0.9)
    backoff_s: Range = (0.02, 0.2)
    impatient: Range = (0.0, 0.1)


class Sampler:
    """Draws values from ranges; each purpose has a separate generator, so that draws stay independent."""

    def __init__(self, seed: int, purpose: str) -> None:
        self.rng = random.Random(f"{seed}/{purpose}")

    def uniform(self, range_: Range) -> float:
        """Draw a value uniformly from a range, rounded to four significant digits."""
        return _round4(self.rng.uniform(*range_))

    def log_uniform(self, range_: Range) -> float:
        """Draw a value whose logarithm is uniform over a range, rounded to four significant digits."""
        low, high = range_
        return _round4(math.exp(self.rng.uniform(math.log(low), math.log(high))))

    def integer(self, range_: tuple[int, int] | Range) -> int:
        """Draw an integer from a range with inclusive bounds."""
        return self.rng.randint(int(range_[0]), int(range_[1]))

    def chance(self, probability: float) -> bool:
        """Return True with the given probability."""
        return self.rng.random() < probability


def _round4(value: float) -> float:
    """Round to four significant digits, which a scenario file reproduces exactly."""
    return float(f"{value:.4g}")


def draw_world(seed: int, ranges: Ranges | None = None) -> WorldSpec:
    """Draw a world, which depends only on the seed and the ranges."""
    ranges = ranges or Ranges()
    draw = Sampler(seed, "world")
    classes = tuple(
        ClassSpec(
            name=each.name, share=draw.uniform(each.share), work_s=draw.uniform(each.work_s),
            spread=draw.uniform(each.spread), aim_s=each.aim_s, deadline_s=each.deadline_s, worth=each.worth,
            late_worth=each.late_worth, unsafe=each.unsafe,
        )
        for each in ranges.classes
    )  # fmt: skip
    network = NetworkSpec(
        same_zone_s=draw.uniform(ranges.same_zone_s), cross_zone_s=draw.uniform(ranges.cross_zone_s),
        client_s=draw.uniform(ranges.client_s), jitter=draw.uniform(ranges.jitter),
        split=draw.uniform(ranges.split),
        short_send=draw.uniform(ranges.short_send), short_receive=draw.uniform(ranges.short_receive),
        buffer_bytes=int(draw.log_uniform(ranges.buffer_bytes)),
        aborted_accepts=0.02 if draw.chance(0.3) else 0.0,
    )  # fmt: skip
    fall = Sampler(seed, "fall").uniform(ranges.fall_s)
    nodes = _draw_nodes(Sampler(seed, "nodes"), ranges, fall)
    capacity = sum(node.settings.cores * node.settings.speed for node in nodes if not node.spare)
    mean_work = sum(each.share * each.work_s for each in classes) / sum(each.share for each in classes)
    rate = draw.uniform(ranges.requests_per_s)
    # The request rate is limited by the cost of a run, so the work per request is scaled to reach the load.
    stretch = draw.uniform(ranges.load) * capacity / (rate * mean_work)
    stretch = min(1.6, max(0.5, stretch))
    classes = tuple(msgspec.structs.replace(each, work_s=_round4(each.work_s * stretch)) for each in classes)
    draw = Sampler(seed, "front")
    count = draw.integer(ranges.sidecars)
    sidecars = tuple(
        SidecarSpec(
            name=f"n{number}", zone=draw.rng.choice(ranges.zones), sockets=draw.integer(ranges.sockets),
            known=draw.rng.choice(("fresh", "fresh", "old", "none")),
        )
        for number in range(count)
    )  # fmt: skip
    clients = ClientSettings(
        tries=draw.integer(ranges.tries), try_part=draw.uniform(ranges.try_part),
        backoff=draw.rng.choice(("none", "fixed", "exponential")), backoff_s=draw.uniform(ranges.backoff_s),
        honour=draw.uniform(ranges.honour), marks_retry=draw.chance(0.5),
        impatient=draw.uniform(ranges.impatient) if draw.chance(0.3) else 0.0,
    )  # fmt: skip
    discovery = DiscoverySettings(
        call_s=draw.log_uniform(ranges.call_s), line_s=draw.log_uniform(ranges.line_s),
        spread_s=draw.uniform(ranges.spread_s),
        fails_by=draw.rng.choice(("503", "reset")),
    )  # fmt: skip
    faults_s = draw.uniform(ranges.faults_s)
    opening = Sampler(seed, "opening")
    opens, crowd = opening.uniform(ranges.opens), opening.uniform(ranges.crowd)
    opens, crowd = (_round4(opens * faults_s), crowd) if opening.chance(0.4) else (0.0, 0.0)
    return WorldSpec(
        length_s=_round4(faults_s + draw.uniform(ranges.after_s)), faults_s=faults_s, zones=ranges.zones,
        sidecars=sidecars, nodes=nodes, classes=classes,
        tenants=tuple(
            TenantSpec(name=name, share=share, usage=draw.uniform(ranges.usage))
            for name, share in ranges.tenants
        ),
        requests_per_s=rate, opens_s=opens, crowd=crowd, discovery=discovery,
        notice_s=draw.uniform(ranges.notice_s), silent_notice_s=draw.uniform(ranges.silent_notice_s),
        network=network, clients=clients,
        rules=RuleSpec(
            must_ask_s=draw.uniform(ranges.must_ask_s), second_copies=draw.chance(0.8), fall_s=fall,
            max_attempts=draw.rng.choice((2, 3, 4, 6)),
        ),
    )  # fmt: skip


def _draw_nodes(draw: Sampler, ranges: Ranges, fall_s: float) -> tuple[NodeSpec, ...]:
    """Draw the initial nodes, then the spares, with each kind and as many of the zones as possible."""
    count, spares = draw.integer(ranges.nodes), draw.integer(ranges.spares)
    shares = [draw.uniform(kind.share) for kind in ranges.kinds]
    # These settings are common to all nodes of a fleet.
    period, delay = draw.uniform(ranges.report_period_s), draw.uniform(ranges.report_delay_s)
    noise, idle = draw.log_uniform(ranges.report_noise), draw.log_uniform(ranges.idle_s)
    handshake, handshake_work = draw.uniform(ranges.handshake_s), draw.uniform(ranges.handshake_work_s)
    cancels: tuple[Literal["none", "queued", "all"], ...] = ("none", "queued", "all")
    warmths: tuple[Literal["time", "work"], ...] = ("time", "work", "work")
    cancel, drops = draw.rng.choice(cancels), draw.chance(0.3)
    refuses, warm_by = draw.chance(0.5), draw.rng.choice(warmths)
    tax, work_noise = draw.uniform(ranges.full_tax), draw.uniform(ranges.work_noise)
    speeds = [draw.uniform(kind.speed) for kind in ranges.kinds]
    spreads = [draw.uniform(kind.speed_spread) for kind in ranges.kinds]
    nodes: list[NodeSpec] = []
    for number in range(count + spares):
        at = number if number < len(ranges.kinds) else _draw_index(draw, shares)
        kind = ranges.kinds[at]
        settings = NodeSettings(
            cores=kind.cores,
            speed=_round4(max(0.2, speeds[at] * (1 + spreads[at] * draw.rng.uniform(-1, 1)))),
            queue_per_core=draw.integer(kind.queue_per_core), thrash=draw.uniform(kind.thrash),
            thrash_at=draw.uniform(kind.thrash_at), cold_from=draw.uniform(kind.cold_from),
            cold_s=draw.uniform(kind.cold_s),
            warm_by=warm_by, connections=int(draw.log_uniform(ranges.connections)), full_tax=tax,
            fall_s=fall_s, handshake_s=handshake, handshake_work_s=handshake_work, idle_s=idle,
            report_period_s=period, report_delay_s=delay, report_noise=noise,
            error_rate=draw.uniform(ranges.error_rate), cancel=cancel, drops_overdue=drops,
            drain_refuses=refuses, work_noise=work_noise,
        )  # fmt: skip
        nodes.append(
            NodeSpec(
                id=f"s-{draw.rng.getrandbits(32):08x}",
                zone=ranges.zones[number % len(ranges.zones)],
                kind=kind.name,
                cell=number // 3,
                weight=_round4(kind.cores * settings.speed * draw.rng.uniform(0.8, 1.25)),
                settings=settings,
                spare=number >= count,
            )
        )
    return tuple(nodes)


def _draw_index(draw: Sampler, shares: list[float]) -> int:
    return draw.rng.choices(range(len(shares)), shares)[0]


# --- demand ---------------------------------------------------------------------------------------

MIN_REQUESTS = 60  # minimum number of requests after the faults
CROWD_S = 0.25  # time within which all requests of a crowd arrive, in seconds
# After the faults, requests arrive at even intervals and use at most this fraction of the capacity, so that
# a request that is not served then is due to the program and not to chance.
CALM_LOAD = 0.18
CALM_AFTER_S = 0.5


def draw_asks(seed: int, world: WorldSpec) -> tuple[PlannedRequest, ...]:
    """Draw the requests of a run, with random arrival times and in some worlds a crowd."""
    draw = Sampler(seed, "asks")
    rng = draw.rng
    times: list[float] = []
    count = max(MIN_REQUESTS, round(world.length_s * world.requests_per_s))
    times = [world.opens_s + rng.uniform(0, CROWD_S) for _ in range(int(count * world.crowd))]
    times += [rng.uniform(0, world.length_s - 0.05) for _ in range(count - len(times))]
    calm_from = world.faults_s + CALM_AFTER_S
    # Enough requests must arrive while all sidecars are up: a stopped sidecar serves none.
    late = max(MIN_REQUESTS, sum(at > calm_from for at in times))
    gap = (world.length_s - 0.05 - calm_from) / late
    times = [at for at in times if at <= calm_from]
    times += [calm_from + gap * (number + rng.random()) for number in range(late)]
    calm = min(1.0, CALM_LOAD * world.capacity * gap / world.mean_work_s)
    weights = [rng.uniform(0.3, 1.7) for _ in world.sidecars]  # uneven load of the sidecars
    asks = []

    def is_in_crowd(at: float) -> bool:
        return bool(world.crowd) and world.opens_s <= at < world.opens_s + CROWD_S

    for at in sorted(_round4(max(0.0001, time)) for time in times):
        # A crowd comes to buy, so more of its requests belong to the expensive classes.
        shares = [each.share * (each.work_s if is_in_crowd(at) else 1.0) for each in world.classes]
        chosen = rng.choices(world.classes, shares)[0]
        work = chosen.draw_work(rng)
        if at > calm_from:
            work *= calm
        tenant = ""
        if world.tenants:
            tenant = rng.choices(world.tenants, [each.share for each in world.tenants])[0].name
        asks.append(
            PlannedRequest(
                id=f"{rng.getrandbits(64):016x}", at_s=at, request_class=chosen.name, unsafe=chosen.unsafe,
                tenant=tenant, wait_s=chosen.deadline_s, work_s=_round4(work),
                hint_s=_round4(work * math.exp(rng.gauss(0, 0.4))) if world.clients.hints == "rough" else 0.0,
                body_bytes=rng.choice((64, 200, 200, 4000)) if chosen.unsafe else 0,
                sidecar=rng.choices(range(len(weights)), weights)[0],
            )
        )  # fmt: skip
    return tuple(asks)
