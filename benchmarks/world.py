"""Measure the cost of the virtual world: exchanges on virtual sockets, and random fleets with sidecars.

The first part measures the world alone: one process sends 100 bytes, and another sends them back.  The second
part plays random scenarios to their end, and profiles some of them to show how the processor time is split
between the world, the program and the stand-ins.

    python -m benchmarks.world [--exchanges 20000] [--seeds 0:100] [--profiled 10]
"""

from __future__ import annotations

import argparse
import cProfile
import logging
import pstats
import time
from collections import defaultdict

from brambleusher.lab.fleets.fleet import Fleet
from brambleusher.lab.fleets.scenario import draw_scenario
from brambleusher.lab.virtual.world import START_NS, VirtualSystem, World
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream

PARTS = {
    "lab/virtual/world.py": "world", "lab/virtual/network.py": "world",
    "brambleusher/lab/": "stand-ins and plan",
    "brambleusher/loadbalancing/": "decisions",
    "brambleusher/": "program",
}  # fmt: skip


def echo(system: VirtualSystem) -> None:
    """Send received bytes back, on every connection."""
    scheduler = Scheduler(system)
    listener = system.listen(("0.0.0.0", 7), 64)

    def serve(stream: Stream) -> None:
        while data := stream.receive(None):
            stream.send(data, None)
        stream.close()

    def accept() -> None:
        while True:
            try:
                sock, _ = system.accept(listener)
            except BlockingIOError:
                scheduler.park(sock=listener)
            else:
                scheduler.spawn(serve, Stream(scheduler, sock))

    scheduler.spawn(accept)
    scheduler.run()


def exchanges(count: int) -> tuple[float, int, float]:
    """Return processor seconds, events and virtual seconds for exchanges on ten connections."""
    left = [count]

    def asks(system: VirtualSystem) -> None:
        scheduler = Scheduler(system)

        def ask() -> None:
            stream = Stream.connect(scheduler, ("10.0.0.1", 7), scheduler.now() + 1)
            while left[0] > 0:
                left[0] -= 1
                stream.send(b"x" * 100, None)
                got = 0
                while got < 100:
                    got += len(stream.receive(None) or b"")
            stream.close()

        for _ in range(10):
            scheduler.spawn(ask)
        scheduler.run(lambda: left[0] <= 0)

    with World(1) as world:
        world.machine("server", "10.0.0.1").start(echo)
        world.run(START_NS + 10_000_000)
        client = world.machine("client", "10.0.0.2").start(asks)
        began, before = time.process_time(), world.now_ns
        world.run(until=lambda: client.ended is not None)
        return time.process_time() - began, world.events_done, (world.now_ns - before) / 1e9


def play(seed: int) -> tuple[int, float]:
    """Play a random scenario; returns its events and virtual seconds."""
    fleet = Fleet(draw_scenario(seed))
    try:
        fleet.play()
        return fleet.world.events_done, fleet.world.elapsed_ns / 1e9
    finally:
        fleet.world.close()


def shares(seeds: range) -> dict[str, float]:
    """Return the fractions of time by owner of the code; built-in functions count with their callers."""
    profile = cProfile.Profile()
    profile.enable()
    for seed in seeds:
        play(seed)
    profile.disable()
    spent: defaultdict[str, float] = defaultdict(float)

    def owner(file: str) -> str:
        return next((name for path, name in PARTS.items() if path in file), "libraries")

    for (file, _, _), (_, _, own, _, callers) in pstats.Stats(profile).stats.items():  # type: ignore[attr-defined]
        if file.startswith(("~", "<")) and callers:
            for (caller, _, _), (_, _, by, _) in callers.items():
                spent[owner(caller)] += by
        else:
            spent[owner(file)] += own
    total = sum(spent.values())
    return {name: seconds / total for name, seconds in sorted(spent.items(), key=lambda each: -each[1])}


def main() -> None:
    """Print both parts."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--exchanges", type=int, default=20_000)
    parser.add_argument("--seeds", default="0:100")
    parser.add_argument("--profiled", type=int, default=10)
    given = parser.parse_args()
    logging.disable(logging.CRITICAL)
    exchanges(1000)  # warm-up
    seconds, events, virtual = exchanges(given.exchanges)
    print(f"{given.exchanges} exchanges: {seconds / given.exchanges * 1e6:.1f} us each, "
          f"{events / given.exchanges:.1f} events each, {events / seconds:,.0f} events/s, "
          f"{virtual / seconds:.1f} virtual s/s")  # fmt: skip
    first, last = map(int, given.seeds.split(":"))
    began = time.process_time()
    runs = [play(seed) for seed in range(first, last)]
    seconds = time.process_time() - began
    events, virtual = sum(run[0] for run in runs), sum(run[1] for run in runs)
    print(f"{len(runs)} fleets: {seconds / len(runs) * 1e3:.0f} ms each, "
          f"{events / len(runs):,.0f} events each, {virtual / len(runs):.1f} virtual s each, "
          f"{virtual / seconds:.0f} virtual s/s")  # fmt: skip
    parts = shares(range(first, min(last, first + given.profiled)))
    print("shares: " + ", ".join(f"{name} {fraction:.0%}" for name, fraction in parts.items()))


if __name__ == "__main__":
    main()
