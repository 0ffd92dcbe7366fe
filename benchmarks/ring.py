"""Measure which nodes each sidecar uses, as a fraction of ticks, and the share of the zone's load on them.

.venv/bin/python -m benchmarks.ring [--seeds 1 2 3]
"""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from unittest import mock

from brambleusher.lab.experiments.plan import Cell, DemandSpec
from brambleusher.lab.experiments.run import run
from brambleusher.lab.fleets.worlds import WorldFile
from brambleusher.loadbalancing import Balancer, api

RECIPE = {"seconds": 60, "rate": 40, "burst": {"start_s": 20, "seconds": 12, "times": 8}}


def cell_of(seed: int) -> Cell:
    """Play a minute with a burst on the standard scenario in virtual time."""
    return Cell(
        world="usual", demand="on-sale", settings="usual", seed=seed, where="virtual", through="sidecars",
        speed=1.0, timeout_ms=2000, check=False, figures=WorldFile(), spec=DemandSpec(recipe=RECIPE),
    )  # fmt: skip


def main() -> None:
    """Print the table."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    timer = Balancer._on_timer
    used: dict[str, Counter[str]] = defaultdict(Counter)  # counts by zone of the sidecar
    ticks: Counter[str] = Counter()

    def counted(self: Balancer, event: api.TimerFired, now: int) -> None:
        timer(self, event, now)
        ticks[self.settings.zone] += 1
        used[self.settings.zone].update(host.name for host in self.round_robin.ring)

    print("seed  zone        node        in use by its zone's sidecar  of the zone's load")
    for seed in words.parse_args().seeds:
        used.clear()
        ticks.clear()
        with mock.patch.object(Balancer, "_on_timer", counted):
            metrics = run(cell_of(seed)).figures
        nodes = WorldFile().world_spec(60).nodes
        for zone in ticks:
            loads = {node.id: metrics[f"load.node.{node.id}"] for node in nodes if node.zone == zone}
            for name, load in loads.items():
                fraction = used[zone][name] / ticks[zone]
                print(f"{seed:<6}{zone:<12}{name:<12}{fraction:>28.0%}{load / sum(loads.values()):>20.1%}")


if __name__ == "__main__":
    main()
