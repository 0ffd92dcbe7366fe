"""View consistency: whether an instance of a control service may publish the view that it has.

A view's position is (epoch, version): the operator's epoch, and discovery's version within it.  An instance
publishes only a view that is not behind anything it has reason to believe was acted on, and only while
somebody who should know has lately confirmed that it is not behind.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class ViewPosition(NamedTuple):
    """Where a view stands among all views; a later one compares as greater."""

    epoch: int
    version: int


class WithheldReason(Enum):
    """Why a view is withheld; the values are texts of log lines and of the admin endpoint."""

    NO_DISCOVERY = "nothing was heard from discovery since the start"
    BEHIND = "the view held is older than one that was handed out"
    ISOLATED = "neither discovery nor another instance has been heard of lately"
    AWAITING_SUBSCRIBERS = "the store was new at the start: claims of subscribers are awaited"
    NOT_DURABLE = "the place of the view is not on durable storage yet"


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What an instance tells the others of itself."""

    position: ViewPosition | None  # of its view
    floor: ViewPosition | None  # the latest that was acted on, as far as it knows
    is_connected: bool  # to discovery


class ViewConsistency:
    """One instance's knowledge of what was acted on, here and elsewhere."""

    def __init__(
        self, floor: ViewPosition | None, now: int, timeout_ns: int, subscribers_wait_ns: int
    ) -> None:
        """Start.

        Args:
            floor: What durable storage says; None where it can't say: then subscribers are awaited.
            now: In ns.
            timeout_ns: After which a contact with discovery, or with another instance, is no longer recent.
            subscribers_wait_ns: How long subscribers are awaited, which show the views that they have.
        """
        self.floor = floor
        self.written = floor
        self.position: ViewPosition | None = None
        self._timeout_ns = timeout_ns
        self._subscribers_awaited_until = now if floor is not None else now + subscribers_wait_ns
        self._last_discovery_contact: int | None = None
        self._peers: dict[str, tuple[PeerStatus, int]] = {}  # with the time of the last status

    # --- events ---------------------------------------------------------------------------------

    def record_discovery(self, position: ViewPosition | None, now: int) -> None:
        """Take in an update of discovery; the view that follows from all of them is at `position`."""
        self.position = position
        self._last_discovery_contact = now

    def record_discovery_lost(self) -> None:
        """Take in that the watch has ended: its last update says nothing of the present."""
        self._last_discovery_contact = None

    def record_peer_status(self, peer: str, status: PeerStatus, now: int) -> None:
        """Take in the status of another instance."""
        self._peers[peer] = (status, now)
        self._raise_floor(status.position if status.is_connected else None)
        self._raise_floor(status.floor)

    def record_subscriber_position(self, position: ViewPosition) -> None:
        """Take in that a subscriber has shown that it was given the view at `position`."""
        self._raise_floor(position)

    def record_written(self, position: ViewPosition) -> None:
        """Take in that `position` is on durable storage."""
        self.written = max(position, self.written) if self.written is not None else position
        self._raise_floor(position)

    def record_published(self, position: ViewPosition) -> None:
        """Take in that the view at `position` goes out."""
        self._raise_floor(position)

    def _raise_floor(self, position: ViewPosition | None) -> None:
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position

    # --- answers --------------------------------------------------------------------------------

    def is_discovery_connected(self, now: int) -> bool:
        """Return whether there was a recent contact with discovery itself."""
        contact = self._last_discovery_contact
        return contact is not None and now - contact <= self._timeout_ns

    def is_confirmed_by_peer(self, now: int) -> bool:
        """Return whether a peer that is connected to discovery lately said that it is no further."""
        if self.position is None:
            return False
        return any(
            status.is_connected and status.position is not None and status.position <= self.position
            for status, at in self._peers.values()
            if now - at <= self._timeout_ns
        )

    def is_any_peer_connected(self, now: int) -> bool:
        """Return whether another instance lately said that it is connected to discovery."""
        return any(
            status.is_connected and now - at <= self._timeout_ns for status, at in self._peers.values()
        )

    def position_to_write(self) -> ViewPosition | None:
        """Return the position that durable storage must hold before the view goes out; None where it does."""
        position = self.position
        if position is None or (self.floor is not None and position < self.floor):
            return None
        return position if self.written is None or position > self.written else None

    def withheld_reason(self, now: int, harmless: bool = False) -> WithheldReason | None:
        """Return why the view is withheld; None where it may go out.

        Args:
            now: In ns.
            harmless: The view only takes nodes away from one that is on durable storage.  It does not wait
                for a disk that fails, since a drain that is published too late is harm done for certain.
        """
        if self.position is None:
            return WithheldReason.NO_DISCOVERY
        if self.floor is not None and self.position < self.floor:
            return WithheldReason.BEHIND
        if not self.is_discovery_connected(now) and not self.is_confirmed_by_peer(now):
            return WithheldReason.ISOLATED
        if now < self._subscribers_awaited_until:
            return WithheldReason.AWAITING_SUBSCRIBERS
        if self.position_to_write() is not None and not harmless:
            return WithheldReason.NOT_DURABLE
        return None

    def peer_status(self, now: int) -> PeerStatus:
        """Return what this instance tells the others."""
        return PeerStatus(self.position, self.floor, self.is_discovery_connected(now))
