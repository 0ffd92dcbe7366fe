"""How the processes of one sidecar divide its limits among themselves, by weights of their stages."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from brambleusher.handover.process_registry import ProcessRegistry, ProcessStage

CONNECTION_WEIGHTS = {ProcessStage.STARTING: 1, ProcessStage.SERVING: 2, ProcessStage.DRAINING: 1}
# A starting process sends nothing; a draining one sends what it still owes.
SENDING_WEIGHTS = {ProcessStage.STARTING: 0, ProcessStage.SERVING: 4, ProcessStage.DRAINING: 1}


def limit_share(
    weights: Mapping[ProcessStage, int], own: ProcessStage, others: Iterable[ProcessStage]
) -> float:
    """Return the share, from 0 to 1, of a process beside others; all of them never exceed 1 together."""
    weight_of_others = sum(weights[stage] for stage in others)
    return weights[own] / (weights[own] + weight_of_others) if weight_of_others else 1.0


class LimitShares:
    """This process's shares, by the registry's last scan."""

    def __init__(self, registry: ProcessRegistry) -> None:
        self._registry = registry

    @property
    def connections(self) -> float:
        """The share of the connections and the memory that the sidecar may hold."""
        return limit_share(CONNECTION_WEIGHTS, self._registry.stage, self._registry.others.values())

    @property
    def sending(self) -> float:
        """The share of what the sidecar may send to endpoints that are warming up."""
        return limit_share(SENDING_WEIGHTS, self._registry.stage, self._registry.others.values())
