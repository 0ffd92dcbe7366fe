"""Drawn plays of three orders of one operator, of which a link holds one up, on machines of every kind.

The operator of a play judges by each answer: a proper order that is not acknowledged at its first attempt
breaks a rule, as does a zone that is not in the state that was acknowledged last. A seed draws how slow disks
and processes are, what the operating system tells of connections, which controller leads, and the times
between the orders.
"""

from __future__ import annotations

import random
from contextlib import ExitStack
from dataclasses import dataclass
from unittest import mock

from brambleusher.lab.virtual.world import VirtualSystem
from tests.system.held_up_links import PATH, ZONE, Link, hold_up
from tests.system.slow_machines import slow_down_disks, slow_down_steps
from tests.system.virtual_deployment import VirtualDeployment

CORES = ("c1", "c2", "c3")
MACHINES = (*CORES, "o1")
CALLER_TIMEOUT_S = 1.0  # PROTOCOL.md, the operator's API: a second of silence
SYNC_S = 4.0
# Steps and syncs of the slowest machines; an order needs some ten steps and one sync.
SLOWEST = ((0.0, 0.0), (0.01, 0.4), (0.03, 0.2), (0.05, 0.0), (0.0, 0.55))
# Calls about a connection's age, and what a system that is wrong tells of every connection.
WRONG_AGES = (
    ("seconds_since_data", 3600.0),
    ("seconds_since_data", 0.0),
    ("seconds_to_open", 3600.0),
    ("seconds_to_open", 1.0),
)


class PlayFailedError(Exception):
    """A play that breaks a rule; the message is its story."""


@dataclass(frozen=True)
class Play:
    """What a seed draws; times are in seconds."""

    step_s: float
    sync_s: float
    wrong_ages: tuple[tuple[str, float], ...]
    leader_is_lost_before: bool
    machines: tuple[str, str, str]
    held_up: str
    link: Link
    held_up_s: float
    pause_s: float
    gap_s: float

    @classmethod
    def drawn(cls, seed: int) -> Play:
        """Draw the play of a seed."""
        rng = random.Random(f"held up play {seed}")
        slowest_step_s, slowest_sync_s = rng.choice(SLOWEST)
        opening_is_held_up = rng.random() < 0.3
        link = Link(
            opening_is_held_up=opening_is_held_up,
            carried_an_order=not opening_is_held_up and rng.random() < 0.3,
            end_after_s=rng.choice(
                (0.002, 0.042, 0.15) if opening_is_held_up else (0.002, 0.042, 0.15, None)
            ),
        )
        return cls(
            step_s=rng.uniform(0.0, slowest_step_s),
            sync_s=rng.uniform(0.0, slowest_sync_s),
            wrong_ages=tuple(age for age in WRONG_AGES if rng.random() < 0.2),
            leader_is_lost_before=rng.random() < 0.5,
            machines=(rng.choice(MACHINES), rng.choice(MACHINES), rng.choice(MACHINES)),
            held_up=rng.choice(("POST", "DELETE")),
            link=link,
            held_up_s=rng.uniform(1.5, 6.0),
            pause_s=rng.choice((0.0, 0.5, 2.0, 5.0)),
            gap_s=rng.choice((0.3, 0.5, 1.0, 5.0)),
        )


def play(seed: int) -> None:
    """Play a seed; raises `PlayFailedError`."""
    drawn = Play.drawn(seed)
    with ExitStack() as patches:
        for call, seconds in drawn.wrong_ages:
            patches.enter_context(
                mock.patch.object(VirtualSystem, call, lambda _self, _sock, told=seconds: told)
            )
        deployment = VirtualDeployment(seed, gateways=1, observers=1)
        try:
            _prepare(deployment, drawn)
            _play_orders(deployment, drawn)
        except PlayFailedError as error:
            raise PlayFailedError(f"seed {seed}: {error}; {drawn}") from None
        finally:
            deployment.close()


def _prepare(deployment: VirtualDeployment, drawn: Play) -> None:
    deployment.served()
    deployment.sleep(SYNC_S)
    leader = deployment.leader()
    if drawn.leader_is_lost_before and leader:
        deployment.power_off(leader)
        deployment.sleep(2.0)
        deployment.power_on(leader)
        deployment.sleep(SYNC_S)
    slow_down_disks(deployment, drawn.sync_s)
    if drawn.step_s:  # a step that takes no time would let a process run for ever at one moment
        slow_down_steps(deployment, drawn.step_s)


def _play_orders(deployment: VirtualDeployment, drawn: Play) -> None:
    """Acknowledge the opposite order, send one that is held up and send it again, then the opposite one."""
    first, second, third = drawn.machines
    opposite = "POST" if drawn.held_up == "DELETE" else "DELETE"
    _acknowledge(deployment, first, opposite)
    deployment.sleep(drawn.pause_s)
    hold_up(deployment, first, drawn.held_up, drawn.link, drawn.held_up_s)
    deployment.sleep(CALLER_TIMEOUT_S)
    _acknowledge(deployment, second, drawn.held_up)
    deployment.sleep(drawn.gap_s)
    _acknowledge(deployment, third, opposite)
    acknowledged_at = deployment.now
    deployment.sleep(drawn.held_up_s + 2 * CALLER_TIMEOUT_S)
    states = [ZONE in deployment.controllers[name].replica.state.evacuated_zones for name in CORES]
    if states != [opposite == "POST"] * len(CORES):
        raise PlayFailedError(f"{opposite} was acknowledged at {acknowledged_at:.3f}, evacuated: {states}")


def _acknowledge(deployment: VirtualDeployment, machine: str, method: str) -> None:
    reply = deployment.control(machine, method, PATH, timeout_s=CALLER_TIMEOUT_S)
    if reply.status != 200:
        raise PlayFailedError(f"{deployment.now:.3f} {method} at {machine}: {reply}")
