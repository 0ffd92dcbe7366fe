"""What each sidecar's process takes over time, seen from outside: memory and descriptors."""

from __future__ import annotations

from functools import partial

from brambleusher.lab.checker.sums import SECOND, Curve
from brambleusher.lab.processes.fleet import RealFleet, RealSidecarPlace, SidecarProcess

LOOK_NS = SECOND  # between two looks at one process


class Watch:
    """Looks at each process once a second, one after the other: many looks at once would hold the rig up."""

    def __init__(self, fleet: RealFleet) -> None:
        self._stage, self._start = fleet.stage, fleet.stage.now_ns
        places = fleet.real_places
        least_mb = float(min(place.spec.memory_mb for place in places))
        self.memory = Curve("MB", "resident memory of the largest sidecar", least_mb)
        self.descriptors = Curve("descriptors", "of those that a sidecar may open, at the fullest", 1.0)
        for number, place in enumerate(places):
            self._stage.after(number * LOOK_NS // len(places), partial(self._look, place))

    @property
    def curves(self) -> tuple[Curve, ...]:
        """All of them."""
        return self.memory, self.descriptors

    def _look(self, place: RealSidecarPlace) -> None:
        process = place.process
        if isinstance(process, SidecarProcess) and not process.dead:
            step = (self._stage.now_ns - self._start) // SECOND
            self.memory.raise_to(step, process.resident_mb)
            self.descriptors.raise_to(step, process.descriptors / place.spec.sockets)
        self._stage.after(LOOK_NS, partial(self._look, place))
