"""Samples the memory and the open descriptors of each sidecar process over time."""

from __future__ import annotations

from functools import partial

from brambleusher.lab.checker.sums import SECOND, Curve
from brambleusher.lab.processes.fleet import ProcessSidecarInstance, RealFleet, SidecarProcess

SAMPLE_INTERVAL_NS = SECOND  # the time in nanoseconds between two samples of one process


class UsageSampler:
    """Samples each process once a second, at staggered times, as many samples at once delay the test rig."""

    def __init__(self, fleet: RealFleet) -> None:
        self._stage, self._start = fleet.stage, fleet.stage.now_ns
        instances = fleet.process_instances
        least_mb = float(min(instance.spec.memory_mb for instance in instances))
        self.memory = Curve("MB", "resident memory of the largest sidecar", least_mb)
        self.descriptors = Curve("descriptors", "of those that a sidecar may open, at the fullest", 1.0)
        for number, instance in enumerate(instances):
            self._stage.after(number * SAMPLE_INTERVAL_NS // len(instances), partial(self._sample, instance))

    @property
    def curves(self) -> tuple[Curve, ...]:
        """The curves of memory and of descriptors."""
        return self.memory, self.descriptors

    def _sample(self, instance: ProcessSidecarInstance) -> None:
        process = instance.process
        if isinstance(process, SidecarProcess) and not process.dead:
            step = (self._stage.now_ns - self._start) // SECOND
            self.memory.raise_to(step, process.resident_mb)
            self.descriptors.raise_to(step, process.descriptors / instance.spec.sockets)
        self._stage.after(SAMPLE_INTERVAL_NS, partial(self._sample, instance))
