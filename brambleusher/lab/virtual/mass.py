"""Scenarios for a whole fleet: hundreds of nodes, and hundreds of sidecars with little, uneven traffic.

A day drawn from a seed is an ordinary scenario, which can be written to a file, replayed and checked. Work
sizes, latency goals and cold starts have the deployment's values, not the shortened ones of the usual ranges.
A sidecar's start and the time between its polls are those of a process with a share of a core.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec

from brambleusher.lab.faults import kinds as faults
from brambleusher.lab.fleets.figures import (
    ClassSpec,
    NetworkSpec,
    NodeSpec,
    ProcessorSpec,
    Ranges,
    RuleSpec,
    Sampler,
    SidecarSpec,
    TenantSpec,
    WorldSpec,
)
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.stand_ins.settings import (
    ClientSettings,
    DiscoverySettings,
    NodeSettings,
    PlannedRequest,
)

SIDECARS = NODES = 200
LENGTH_S, FAULTS_FROM_S, FAULTS_S = 30.0, 4.0, 18.0
PARETO_SHAPE = 1.5  # shape of the distribution of traffic over sidecars; some get several times the mean
MAX_MULTIPLE_OF_MEAN = 8.0
BURST_FACTOR = 1.5  # factor on the usual request rate during a burst
PROCESSOR = ProcessorSpec(start_s=0.6, round_s=0.0004)

Plan = Callable[[Sampler, WorldSpec], list[faults.Fault]]


def draw_mass(
    seed: int, day: str, sidecars: int = SIDECARS, nodes: int = NODES, length_s: float = LENGTH_S
) -> Scenario:
    """Draw the scenario of a day from a seed; raises `ValueError` for an unknown day."""
    if day not in DAYS:
        raise ValueError(f"unknown day {day!r}; the days are {', '.join(DAYS)}")
    world = _world(seed, sidecars, nodes, length_s)
    draw = Sampler(seed, f"faults {day}")
    plan = sorted(DAYS[day](draw, world), key=lambda fault: (fault.at_s, fault.kind, fault.target))
    return Scenario(
        seed=seed, profile=day, world=world, asks=_asks(Sampler(seed, "asks"), world),
        faults=tuple(plan),  # type: ignore[arg-type]
    )  # fmt: skip


def _world(seed: int, sidecars: int, count: int, length_s: float) -> WorldSpec:
    draw, zones = Sampler(seed, "mass"), Ranges().zones
    classes = (
        ClassSpec(name="listing-lookup", share=0.44, work_s=draw.uniform((0.048, 0.087)), spread=0.8,
                     aim_s=1.0, deadline_s=2.0, worth=1.0, late_worth=0.2),
        ClassSpec(name="price-check", share=0.28, work_s=draw.uniform((0.086, 0.16)), spread=0.8,
                     aim_s=1.5, deadline_s=4.0, worth=5.0, late_worth=0.5),
        ClassSpec(name="transfer-record", share=0.28, work_s=draw.uniform((0.14, 0.24)), spread=0.8,
                     aim_s=1.5, deadline_s=6.0, worth=2.0, late_worth=0.3, unsafe=True),
    )  # fmt: skip
    usual = NodeSettings(
        cold_from=draw.uniform((0.17, 0.34)), cold_s=draw.uniform((10.0, 21.0)), warm_by="work",
        warm_work=0.3,
        connections=draw.integer((40, 160)), full_tax=draw.uniform((0.16, 0.38)), handshake_s=0.0012,
        handshake_work_s=draw.uniform((0.00088, 0.0015)), idle_s=30.0, queue_per_core=300, thrash=0.08,
        thrash_at=10.0, report_period_s=draw.uniform((0.55, 1.5)), report_delay_s=draw.uniform((0.13, 0.37)),
        report_noise=0.03, work_noise=0.2, error_rate=0.001, cancel="queued",
    )  # fmt: skip
    nodes = []
    for number in range(count):
        cores, speed = (
            (2, draw.uniform((0.85, 1.1))) if draw.chance(0.67) else (1, draw.uniform((0.64, 0.86)))
        )
        nodes.append(
            NodeSpec(
                id=f"s-{draw.rng.getrandbits(32):08x}", zone=zones[number % len(zones)],
                kind="std-2core" if cores == 2 else "small-1core", cell=number // 4, weight=cores * speed,
                settings=msgspec.structs.replace(usual, cores=cores, speed=speed),
            )
        )  # fmt: skip
    capacity = sum(node.settings.cores * node.settings.speed for node in nodes)
    work = sum(each.share * each.work_s for each in classes)
    tries = draw.integer((1, 3))
    return WorldSpec(
        length_s=length_s,
        faults_s=min(FAULTS_S, length_s * 0.6),
        zones=zones,
        sidecars=tuple(
            SidecarSpec(
                name=f"n{number}", zone=zones[number % len(zones)], sockets=576, memory_mb=96,
                known="fresh", capture=False,
            )
            for number in range(sidecars)
        ),
        nodes=tuple(nodes),
        classes=classes,
        tenants=(TenantSpec(name="peach-seats", share=0.8, usage=draw.uniform((0.54, 1.4))),
                 TenantSpec(name="red-clay-tix", share=0.2, usage=draw.uniform((0.7, 1.2)))),
        requests_per_s=draw.uniform((0.5, 0.65)) * capacity / work,
        # Discovery can answer as many calls as in the deployment, although this fleet is much larger.
        discovery=DiscoverySettings(call_s=draw.uniform((0.006, 0.012)), line_s=0.0001, spread_s=0.05),
        notice_s=draw.uniform((1.3, 2.3)),
        silent_notice_s=draw.uniform((4.5, 8.0)),
        network=NetworkSpec(same_zone_s=0.0002, cross_zone_s=draw.uniform((0.00042, 0.00078))),
        clients=ClientSettings(
            tries=tries, try_part=draw.uniform((0.5, 1.0)), backoff_s=draw.uniform((0.05, 0.4)), hints="rough"
        ),
        rules=RuleSpec(fall_s=3.0, fall_multiple=4.0, must_ask_s=10.0),
        processor=PROCESSOR,
    )  # fmt: skip


def _asks(draw: Sampler, world: WorldSpec) -> tuple[PlannedRequest, ...]:
    """Draw random arrivals with a burst, over sidecars whose unequal shares shift between zones."""
    rng = draw.rng
    weights = [min(rng.paretovariate(PARETO_SHAPE) / 3.0, MAX_MULTIPLE_OF_MEAN) for _ in world.sidecars]
    burst = draw.uniform((0.2, 0.5)) * world.length_s
    favoured = rng.choice(world.zones)
    shifted = [
        weight * (1.4 if own.zone == favoured else 0.87)
        for weight, own in zip(weights, world.sidecars, strict=True)
    ]
    asks, at = [], 0.0
    numbers = range(len(weights))
    while (at := at + rng.expovariate(world.requests_per_s * BURST_FACTOR)) < world.length_s - 0.05:
        if not burst <= at < burst + 4.0 and rng.random() > 1 / BURST_FACTOR:
            continue
        cls = rng.choices(world.classes, [each.share for each in world.classes])[0]
        work = cls.draw_work(rng)
        asks.append(
            PlannedRequest(
                id=f"{rng.getrandbits(64):016x}", at_s=round(at, 5),
                request_class=cls.name, unsafe=cls.unsafe,
                tenant=rng.choices(world.tenants, [each.share for each in world.tenants])[0].name,
                wait_s=cls.deadline_s, work_s=round(work, 5),
                hint_s=round(work * math.exp(rng.gauss(0, 0.4)), 5),
                body_bytes=200 if cls.unsafe else 0,
                sidecar=rng.choices(numbers, shifted if at > burst else weights)[0],
            )
        )  # fmt: skip
    return tuple(asks)


# --- the days -------------------------------------------------------------------------------------


def _sample_nodes(draw: Sampler, world: WorldSpec, fraction: float) -> list[str]:
    """Draw a fraction of the nodes, at least one."""
    names = [node.id for node in world.nodes]
    return draw.rng.sample(names, max(1, round(fraction * len(names))))


def _fault_period(world: WorldSpec, fraction: float) -> tuple[float, float]:
    """Return the start and the length of a period of faults, in seconds.

    The length is a fraction of the time that the world has for faults.
    """
    begin = min(FAULTS_FROM_S, world.faults_s / 3)
    return begin, round((world.faults_s - begin) * fraction, 3)


def _replace_nodes(draw: Sampler, world: WorldSpec, fraction: float, steps: int, within: float) -> list[Any]:
    """Plan the replacement of a fraction of the nodes in a number of steps."""
    begin, length = _fault_period(world, within)
    names, plan = _sample_nodes(draw, world, fraction), []
    for at, name in enumerate(names):
        step = at * steps // len(names)
        plan.append(
            faults.NodeReplaced(
                at_s=round(begin + length * step / steps, 3), for_s=length / steps, target=name, drain_s=2.0
            )
        )
    return plan


def _slow_nodes(draw: Sampler, world: WorldSpec, fraction: float) -> list[Any]:
    begin, length = _fault_period(world, 1.0)
    return [
        faults.NodeSlow(at_s=begin, for_s=length, target=name, factor=draw.uniform((3.0, 9.0)))
        for name in _sample_nodes(draw, world, fraction)
    ]


def _calm(draw: Sampler, world: WorldSpec) -> list[faults.Fault]:
    return []


def _roll(draw: Sampler, world: WorldSpec) -> list[faults.Fault]:
    """Replace half of the nodes in steps, restart a tenth of the sidecars at a time, and move discovery."""
    begin, length = _fault_period(world, 1.0)
    plan = _replace_nodes(draw, world, 0.5, 5, 0.8)
    step = length / 10
    for number, own in enumerate(world.sidecars):
        at = round(begin + step * (number * 10 // len(world.sidecars)), 3)
        plan.append(faults.SidecarTerminated(at_s=at, for_s=0.5, target=own.name))
    plan.append(faults.DiscoveryMoved(at_s=round(begin + length * 0.5, 3), for_s=0.0, version=40))
    return plan


def _herd(draw: Sampler, world: WorldSpec) -> list[faults.Fault]:
    """Kill 70% of the sidecars at once, slow discovery down, and slow down one in eight nodes."""
    begin, length = _fault_period(world, 1.0)
    plan = _slow_nodes(draw, world, 1 / 8) + _replace_nodes(draw, world, 0.3, 3, 0.8)
    at = round(begin + 0.2 * length, 3)
    for own in draw.rng.sample(list(world.sidecars), max(1, round(0.7 * len(world.sidecars)))):
        plan.append(faults.SidecarKilled(at_s=at, for_s=0.2, target=own.name))
    plan.append(faults.DiscoverySlow(at_s=at, for_s=length / 2, factor=4.0))
    return plan


def _zone(draw: Sampler, world: WorldSpec) -> list[faults.Fault]:
    """Lose one zone, which returns cold, cut off another, and slow down one in eight nodes."""
    begin, length = _fault_period(world, 1.0)
    lost_zone, cut_zone = draw.rng.sample(world.zones, 2)
    for_s = min(5.0, length * 0.4)
    return [
        *_slow_nodes(draw, world, 1 / 8),
        faults.ZonePowerLoss(at_s=begin, for_s=for_s, target=lost_zone),
        faults.ZonePartition(
            at_s=round(begin + length * 0.6, 3), for_s=round(length * 0.3, 3), target=cut_zone
        ),
    ]


def _split(draw: Sampler, world: WorldSpec) -> list[faults.Fault]:
    """Cut off a zone, and reset connections while requests are pending."""
    begin, length = _fault_period(world, 1.0)
    for_s = min(6.0, length * 0.5)
    return [
        faults.ZonePartition(at_s=begin, for_s=for_s, target=draw.rng.choice(world.zones)),
        faults.RequestResets(at_s=begin, for_s=length, where="after", part=0.02),
    ]


def _join(draw: Sampler, world: WorldSpec) -> list[faults.Fault]:
    """Replace 60% of the nodes within 7 seconds, and corrupt some answers."""
    begin, length = _fault_period(world, 1.0)
    plan = _replace_nodes(draw, world, 0.6, 2, min(7.0 / length, 0.9))
    plan.append(faults.MalformedAnswers(at_s=begin, for_s=length, how="noise", part=0.002))
    return plan


DAYS: dict[str, Plan] = {
    "mass-calm": _calm, "mass-roll": _roll, "mass-herd": _herd, "mass-zone": _zone, "mass-split": _split,
    "mass-join": _join,
}  # fmt: skip
