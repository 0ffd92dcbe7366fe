"""Tests of three overload states observed in production, on whole sidecars in virtual time.

In each state, sidecars rejected most requests while the fleet was nearly idle; see docs/design/limits.md.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Iterator

import msgspec
import pytest

from brambleusher.lab.faults.kinds import AnyFault, ConnectionsStalled, MisbehavingClients, RequestRejections
from brambleusher.lab.fleets.figures import ClassSpec, NodeSpec, SidecarSpec, WorldSpec
from brambleusher.lab.fleets.fleet import Fleet
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.stand_ins.settings import ClientSettings, NodeSettings, PlannedRequest

LENGTH, RATE = 7.0, 90.0
FROM, UNTIL = 2.0, 5.0  # start and end of the faults, in seconds
NODES = 6
CLASSES = (
    ClassSpec(name="look", share=0.7, work_s=0.02, spread=0.7, aim_s=0.3, deadline_s=0.6),
    ClassSpec(name="move", share=0.3, work_s=0.03, spread=0.7, aim_s=0.4, deadline_s=1.2, unsafe=True),
)


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Suppress the log lines of sidecars under faults, which these tests don't check."""
    logger = logging.getLogger("brambleusher")
    before = logger.level
    logger.setLevel(logging.CRITICAL)
    yield
    logger.setLevel(before)


def world(clients: ClientSettings, sockets: int = 256) -> WorldSpec:
    settings = NodeSettings(report_period_s=0.3, report_delay_s=0.08, work_noise=0.2)
    return WorldSpec(
        length_s=LENGTH, faults_s=UNTIL, zones=("a", "b"),
        sidecars=tuple(SidecarSpec(name=f"n{n}", zone="ab"[n], sockets=sockets) for n in range(2)),
        nodes=tuple(
            NodeSpec(id=f"s-{n}", zone="ab"[n % 2], kind="std", settings=settings) for n in range(NODES)
        ),
        classes=CLASSES, requests_per_s=RATE, clients=clients,
    )  # fmt: skip


def asks(seed: int, rate: float = RATE) -> tuple[PlannedRequest, ...]:
    rng, at, made = random.Random(seed), 0.0, []
    while (at := at + rng.expovariate(rate)) < LENGTH:
        of = rng.choices(CLASSES, [each.share for each in CLASSES])[0]
        made.append(
            PlannedRequest(
                id=f"{rng.getrandbits(64):016x}", at_s=round(at, 5), request_class=of.name, unsafe=of.unsafe,
                wait_s=of.deadline_s, work_s=round(of.work_s * rng.lognormvariate(-0.2, 0.6), 5),
                sidecar=rng.randrange(2),
            )
        )  # fmt: skip
    return tuple(made)


def play(spec: WorldSpec, faults: tuple[AnyFault, ...], seed: int) -> tuple[float, float, Fleet]:
    """Return the fractions of requests served during the faults, without the first 0.5 s, and after them."""
    scenario = Scenario(seed=seed, world=spec, asks=asks(seed), faults=faults)
    with (fleet := Fleet(scenario)).world as at:

        def look() -> None:
            for sidecar in fleet.sidecars:
                assert sidecar.process is not None
                assert sidecar.process.descriptors <= sidecar.spec.sockets
            at.after(20_000_000, look)

        at.after(2_000_000_000, look)
        ends = fleet.play()
        assert not [left for end in ends for left in end.leaks()]
        during = [asked.served for asked in fleet.asked if FROM + 0.5 <= asked.ask.at_s < UNTIL]
        after = [asked.served for asked in fleet.asked if asked.ask.at_s >= UNTIL + 0.5]
        return sum(during) / len(during), sum(after) / len(after), fleet


def test_connections_that_ask_once_and_stay_and_silent_ones_leave_room() -> None:
    """Clients hold a third of 128 descriptors, and 40 further connections are open without sending data."""
    clients = ClientSettings(tries=2, backoff_s=0.05, asks_once=1.0, most_open=42)
    silent = tuple(
        MisbehavingClients(at_s=FROM, for_s=UNTIL - FROM, target=f"n{n}", what="silent", count=40)
        for n in range(2)
    )
    during, after, _ = play(world(clients, sockets=128), silent, 1)
    assert during > 0.95 and after > 0.95, (during, after)


def test_connections_that_fall_silent_hold_no_limit_down() -> None:
    """For three seconds, 20 % of the connections to each node stop carrying data every 0.1 seconds."""
    silent = tuple(
        ConnectionsStalled(
            at_s=FROM + step / 10, for_s=UNTIL - FROM - step / 10, target=f"s-{node}", part=0.2
        )
        for step in range(int((UNTIL - FROM) * 10))
        for node in range(NODES)
    )
    during, after, _ = play(world(ClientSettings(tries=1)), silent, 2)
    assert during > 0.85 and after > 0.97, (during, after)


def test_nodes_that_turn_away_and_look_idle_draw_few_turns() -> None:
    """Half of the nodes reject nine requests in ten; the other half has capacity for all requests."""
    away = tuple(
        RequestRejections(at_s=FROM, for_s=UNTIL - FROM, target=f"s-{node}", part=0.9)
        for node in range(0, NODES, 2)
    )
    during, after, fleet = play(world(ClientSettings(tries=1)), away, 3)
    assert during > 0.9 and after > 0.97, (during, after)
    turned = sum(each.end == "turned away" for each in fleet.executions)
    assert turned < 0.25 * RATE * (UNTIL - FROM), turned


def test_the_scenarios_are_plain_data() -> None:
    """The scenarios survive conversion to built-in types, so the lab's command can read and run them."""
    spec = world(ClientSettings(asks_once=0.5, most_open=9))
    assert msgspec.convert(msgspec.to_builtins(spec), WorldSpec) == spec
