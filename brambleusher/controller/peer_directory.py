"""The other controllers known to a controller, as members of the consensus group or by gossip."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from brambleusher.membership.views import CONTACT_TTL_S, PartialView, Peer
from brambleusher.runtime.scheduler import Scheduler

CONTROLLER_ROLE = "controller"
GATEWAY_ROLE = "gateway"


class PeerDirectory:
    """Combines the members of the consensus group with the controllers in the partial view."""

    def __init__(
        self,
        scheduler: Scheduler,
        view: PartialView,
        own_address: str,
        member_addresses: Callable[[], Iterable[str]],
    ) -> None:
        self._scheduler, self._view, self._own_address = scheduler, view, own_address
        self._member_addresses = member_addresses

    def addresses(self) -> list[str]:
        """Return the addresses of the other controllers: group members and recent contacts."""
        known = set(self._member_addresses())
        known |= {peer.address for peer in self._view.alive(CONTROLLER_ROLE, self._scheduler.now())}
        return sorted(known - {self._own_address, ""})

    def zones(self) -> dict[str, str]:
        """Return the zone of each other controller by its address."""
        return {address: peer.zone for address, peer in self._peers().items()}

    def as_json(self) -> list[tuple[str, str, str]]:
        """Return the address, zone and region of all controllers, including this one.

        Zone and region are empty for controllers without recent contact.
        """
        peers = self._peers()
        return [
            (address, peers[address].zone, peers[address].region) if address in peers else (address, "", "")
            for address in [*self.addresses(), self._own_address]
        ]

    def _peers(self) -> dict[str, Peer]:
        """Return the controllers of the partial view by address."""
        peers = self._view.alive(CONTROLLER_ROLE, self._scheduler.now(), CONTACT_TTL_S)
        return {peer.address: peer for peer in peers}
