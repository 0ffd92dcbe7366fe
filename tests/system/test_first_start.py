"""The first start of the system, with any choice of seeds among the processes that serve the admin API."""

from __future__ import annotations

import random
from itertools import chain, combinations

import pytest

from tests.system.virtual_deployment import VirtualDeployment, configuration

CORES = ["10.1.0.1", "10.1.0.2", "10.1.0.3"]
OBSERVERS = ["10.4.0.1", "10.4.0.2", "10.4.0.3"]
READY_S = 12.0  # traffic starts this time after the machines
SEED_CHOICES = list(chain.from_iterable(combinations(CORES + OBSERVERS, size) for size in (1, 2, 3)))


THREE_SEEDS = [seeds for seeds in SEED_CHOICES if len(seeds) == 3]


def groups(deployment: VirtualDeployment) -> set[frozenset[str]]:
    """Return the different sets of voters that the controllers know."""
    voters = (controller.replica.voters() for controller in deployment.controllers.values())
    return {frozenset(known) for known in voters if known}


@pytest.mark.parametrize("seeds", SEED_CHOICES, ids=" ".join)
def test_the_system_starts_with_any_choice_of_seeds(seeds: tuple[str, ...]) -> None:
    """Guards against a first start in which observers among the seeds are counted as voters."""
    deployment = VirtualDeployment(cores=3, gateways=2, observers=3, seeds=seeds)
    deployment.add_instance("a")
    deployment.wait(lambda: deployment.put("c1", 0, configuration(1)).status == 200, READY_S)
    deployment.wait(lambda: deployment.put("o1", 0, configuration(1)).status == 200, READY_S)
    deployment.wait(lambda: all(gateway.is_ready for gateway in deployment.gateways.values()), READY_S)
    deployment.sleep(6.0)
    assert groups(deployment) == {frozenset(f"{host}:7720" for host in CORES)}
    assert {controller.replica.state.revision for controller in deployment.controllers.values()} == {1}
    deployment.close()


def fail_at_start(deployment: VirtualDeployment, rng: random.Random) -> None:
    """Take the power of some machines within the first second, and give it back; their disks are kept.

    One of the observers stays up: three that lose what they know at once are not told apart from the first
    start as long as their settings say so.
    """
    names = [*deployment.controllers, *deployment.observers]
    names.remove("o3")
    for _ in range(rng.randrange(1, 6)):
        deployment.sleep(rng.uniform(0.0, 0.3))
        down = rng.sample(names, rng.randrange(1, len(names) + 1))
        for name in down:
            deployment.power_off(name, nothing_unsynced=rng.random() < 0.5)
        deployment.sleep(rng.uniform(0.0, 0.8))
        for name in down:
            deployment.power_on(name)


@pytest.mark.parametrize("seed", range(10))
def test_one_group_is_formed_whatever_loses_power_at_the_first_start(seed: int) -> None:
    """Guards against two groups, or none, where processes end while the first group is formed."""
    rng = random.Random(f"first start {seed}")
    seeds = rng.choice(THREE_SEEDS)
    deployment = VirtualDeployment(seed, cores=3, gateways=1, observers=3, seeds=seeds)
    fail_at_start(deployment, rng)
    core = f"c{rng.randrange(1, 4)}"
    deployment.wait(lambda: deployment.put(core, 0, configuration(1)).status == 200, READY_S)
    deployment.sleep(6.0)
    assert groups(deployment) == {frozenset(f"{host}:7720" for host in CORES)}
    assert {controller.replica.state.revision for controller in deployment.controllers.values()} == {1}
    deployment.close()


def start_drawn_deployment(seed: int) -> VirtualDeployment:
    """Start a deployment as the operators may draw it, its processes in any order within 0.3 s."""
    rng = random.Random(f"drawn deployment {seed}")
    tolerated = rng.choice([0, 1, 1, 2, 2, 3])
    cores = 2 * tolerated + 1 + rng.choice([0, 0, 1, 2])
    observers = rng.randrange(7)
    regions = rng.choice([{"n1": "north"}, {"n1": "north", "s1": "south"}, None])
    hosts = {f"c{at}": f"10.1.0.{at}" for at in range(1, cores + 1)}
    hosts |= {f"o{at}": f"10.4.0.{at}" for at in range(1, observers + 1)}
    seeds = rng.sample(sorted(hosts.values()), min(3, len(hosts)))
    deployment = VirtualDeployment(seed, 0, 0, tolerated, zones=regions, seeds=seeds)
    names = [*hosts, "g1", "g2"]
    rng.shuffle(names)
    for name in names:
        deployment.sleep(rng.uniform(0.0, 0.3 / len(names)))
        if name.startswith("c"):
            deployment.add_core(name, hosts[name], bootstrap=True)
        elif name.startswith("o"):
            deployment.add_observer(name, hosts[name])
        else:
            deployment.add_gateway(name, f"10.2.0.{name[1:]}", deployment.zones[0])
    deployment.sleep(0.0)
    return deployment


@pytest.mark.parametrize("seed", range(12))
def test_a_drawn_deployment_starts_with_one_group_of_the_size_that_it_needs(seed: int) -> None:
    deployment = start_drawn_deployment(seed)
    callers = random.Random(f"callers {seed}")
    named = [name for name in deployment.world.machines if name[0] in "co" and name != "caller"]

    def is_accepted() -> bool:
        return deployment.put(callers.choice(named), 0, configuration(1)).status == 200

    deployment.wait(is_accepted, READY_S)
    deployment.wait(lambda: all(gateway.routes is not None for gateway in deployment.gateways.values()), 3.0)
    deployment.sleep(8.0)
    (voters,) = groups(deployment)
    cores = len(deployment.controllers)
    assert len(voters) == min(cores, max(3, 2 * deployment.tolerated + 1))
    assert {controller.replica.state.revision for controller in deployment.controllers.values()} == {1}
    deployment.close()
