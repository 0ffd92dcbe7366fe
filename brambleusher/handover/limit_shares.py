"""Divides a sidecar's limits among its processes, by a weight for the stage of each process."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from brambleusher.handover.process_registry import ProcessRegistry, ProcessStage

CONNECTION_WEIGHTS = {ProcessStage.STARTING: 1, ProcessStage.SERVING: 2, ProcessStage.DRAINING: 1}
# A starting process sends no requests; a draining process finishes the requests that it has accepted.
SENDING_WEIGHTS = {ProcessStage.STARTING: 0, ProcessStage.SERVING: 4, ProcessStage.DRAINING: 1}


def limit_fraction(
    weights: Mapping[ProcessStage, int], own: ProcessStage, others: Iterable[ProcessStage]
) -> float:
    """Return the fraction of a limit for one process, from 0 to 1; all fractions add up to at most 1."""
    weight_of_others = sum(weights[stage] for stage in others)
    return weights[own] / (weights[own] + weight_of_others) if weight_of_others else 1.0


class LimitShares:
    """This process's fractions of the sidecar's limits, as of the last scan of the registry."""

    def __init__(self, registry: ProcessRegistry) -> None:
        self._registry = registry

    @property
    def connections(self) -> float:
        """The fraction of the sidecar's connection and memory limits."""
        return limit_fraction(CONNECTION_WEIGHTS, self._registry.stage, self._registry.others.values())

    @property
    def sending(self) -> float:
        """The fraction of the requests that the sidecar may send to endpoints that are warming up."""
        return limit_fraction(SENDING_WEIGHTS, self._registry.stage, self._registry.others.values())
