"""The command `lab up`: runs a fleet on loopback until it is ended, with a live table on a terminal."""

from __future__ import annotations

import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from brambleusher.lab.fleets.worlds import WorldFile
from brambleusher.lab.processes.real_fleet import (
    FleetError,
    RealFleet,
    curl_line,
    folder_for,
    format_address,
    json_line,
)
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler

if TYPE_CHECKING:
    from rich.console import RenderableType

REFRESH_SECONDS = 0.5


def up(world: WorldFile, seconds: float | None, as_json: bool, logs: Path | None) -> int:
    """Run a fleet until SIGINT, SIGTERM, SIGHUP or until `seconds` have passed.

    Returns:
        The exit status: 1 if the fleet did not start or a sidecar ended by itself, else 0.
    """
    try:
        folder = folder_for(logs)
    except OSError as error:
        print(f"brambleusher: {logs}: {error.strerror}", file=sys.stderr)
        return 1
    system = RealSystem()
    scheduler = Scheduler(system)
    where = Path(folder.name) if isinstance(folder, tempfile.TemporaryDirectory) else folder
    fleet = RealFleet(scheduler, world, where)
    ended = False

    def end() -> None:
        nonlocal ended
        ended = True
        scheduler.stop()

    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        system.on_signal(number, end)
    status = 0
    try:
        fleet.start()
        fleet.wait_ready(lambda: ended)
        if not ended:
            if as_json:
                print(json_line(fleet), flush=True)
            else:
                _print_addresses(fleet)
            until = None if seconds is None else scheduler.now() + seconds
            _run_until_end(fleet, scheduler, until, lambda: ended, not as_json and sys.stdout.isatty())
    except (FleetError, OSError) as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        status = 1
    finally:
        for name in fleet.close():
            print(f"brambleusher: sidecar {name} did not end in time and was killed", file=sys.stderr)
        scheduler.close()
        if isinstance(folder, tempfile.TemporaryDirectory):
            folder.cleanup()
    return status


def _print_addresses(fleet: RealFleet) -> None:
    targets = ",".join(map(format_address, fleet.targets))
    zones = ", ".join(fleet.world.zones)
    print(
        f"{len(fleet.nodes)} stand-in nodes in {zones}; {len(fleet.sidecars)} sidecars, ready for requests:"
    )
    for sidecar in fleet.sidecars:
        assert sidecar.address is not None
        print(f"    {sidecar.name}  http://{format_address(sidecar.address)}  admin endpoint {sidecar.admin}")
    print(f"\nsend one request:\n    {curl_line(fleet)}")
    print(
        f"\nreplay ten minutes of demand:\n    brambleusher load make -o demand\n"
        f"    brambleusher load play demand --target {targets}\n\nPress Ctrl-C to stop.",
        flush=True,
    )


def _run_until_end(
    fleet: RealFleet, scheduler: Scheduler, until: float | None, ended: Callable[[], bool], live: bool
) -> None:
    def over() -> bool:
        return ended() or (until is not None and scheduler.now() >= until)

    def step() -> None:
        due = scheduler.now() + REFRESH_SECONDS
        scheduler.call_at(due if until is None else min(due, until), scheduler.stop)
        scheduler.run()
        fleet.check()

    if not live:
        while not over():
            step()
        return
    from rich.console import Console
    from rich.live import Live

    with Live(table(fleet, {}), console=Console(), auto_refresh=False) as shown:
        before: dict[str, int] = {}
        while not over():
            step()
            shown.update(table(fleet, before), refresh=True)
            before = {spec.id: node.answers for spec, node in fleet.nodes}


def table(fleet: RealFleet, before: dict[str, int]) -> RenderableType:
    """Return a table of the sidecars and nodes.

    `before` has the number of answers that each node had sent at the last refresh.
    """
    from rich.console import Group
    from rich.table import Table

    sidecars = Table("sidecar", "zone", "address", "state", title_justify="left")
    for title in ("asked", "served", "refused", "failed", "in flight"):
        sidecars.add_column(title, justify="right")
    for each in fleet.sidecars:
        counts = each.counts
        sidecars.add_row(
            each.name, each.zone, format_address(each.address) if each.address else "", each.state,
            *(
                f"{counts.get(name, 0):,}"
                for name in ("requests", "answers_served", "answers_refused", "answers_failed", "inflight")
            ),
        )  # fmt: skip
    nodes = Table("node", "zone", "kind", "state")
    for title in ("held", "connections", "answers", "a second", "turned away"):
        nodes.add_column(title, justify="right")
    for spec, node in fleet.nodes:
        state = "fallen" if spec.id in fleet.fallen else "draining" if node.draining else "ready"
        rate = (node.answers - before.get(spec.id, node.answers)) / REFRESH_SECONDS
        nodes.add_row(
            spec.id, spec.zone, spec.kind, state, f"{node.busy}", f"{len(node.connections)}",
            f"{node.answers:,}", f"{rate:,.0f}", f"{node.rejected_count:,}",
        )  # fmt: skip
    return Group(sidecars, nodes)
