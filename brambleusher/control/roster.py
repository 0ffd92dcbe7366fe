"""What discovery says of the nodes, and the newest list that may count.

The list held never goes back: a discovery that comes up with an older list is followed aside until
it has caught up, and what it says meanwhile changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.net.machine_list import Machine, MachineListUpdate
from quillpass.api import HostState


class Roster:
    """The list held, by node."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.machines: dict[str, Machine] = {}
        self._told: dict[str, Machine] = {}
        self._told_version: int | None = None

    @property
    def told_version(self) -> int | None:
        """The version of discovery's own list; below `version` where that has gone back."""
        return self._told_version

    @property
    def behind(self) -> bool:
        """Whether discovery has gone back behind the list held."""
        return (
            self.version is not None and self._told_version is not None and self._told_version < self.version
        )

    def take(self, update: MachineListUpdate) -> Mapping[str, Machine | None] | None:
        """The nodes that have changed (None: gone); None where the list held stays as it is."""
        if update.full:
            self._told = {}
        for machine in update.machines:
            if machine.entry.state is HostState.GONE:
                self._told.pop(machine.entry.host, None)
            else:
                self._told[machine.entry.host] = machine
        self._told_version = update.version
        if self.behind:
            return None
        before, self.machines = self.machines, dict(self._told)
        self.version = update.version
        changed: dict[str, Machine | None] = {
            name: machine for name, machine in self.machines.items() if before.get(name) != machine
        }
        changed.update({name: None for name in before if name not in self.machines})
        return changed


def only_takes(changed: Mapping[str, Machine | None]) -> bool:
    """Whether a change does no more than take nodes out of use."""
    return bool(changed) and all(
        machine is None or machine.entry.state is not HostState.READY for machine in changed.values()
    )
