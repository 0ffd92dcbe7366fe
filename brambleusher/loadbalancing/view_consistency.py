"""View consistency: whether an instance of a control service may publish its current view.

The position of a view is (epoch, version): the operator's epoch, and discovery's version within it. An
instance publishes a view only if the view is not older than any that may have been acted on, and only while
discovery or another instance has recently confirmed that the view is up to date.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class ViewPosition(NamedTuple):
    """Position of a view in the order of all views; later views compare as greater."""

    epoch: int
    version: int


class WithheldReason(Enum):
    """Reason for withholding a view; the values appear in log lines and at the admin endpoint."""

    NO_DISCOVERY = "nothing was heard from discovery since the start"
    BEHIND = "the view held is older than one that was handed out"
    ISOLATED = "neither discovery nor another instance has been heard of lately"
    AWAITING_SUBSCRIBERS = "the store was new at the start: claims of subscribers are awaited"
    NOT_DURABLE = "the place of the view is not on durable storage yet"


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Status that an instance sends to the other instances."""

    position: ViewPosition | None  # position of its view
    floor: ViewPosition | None  # latest position that is known to the instance to have been acted on
    is_connected: bool  # whether the instance is connected to discovery


class ViewConsistency:
    """Tracks which views were acted on, by this instance and others, as known to one instance."""

    def __init__(
        self, floor: ViewPosition | None, now: int, timeout_ns: int, subscribers_wait_ns: int
    ) -> None:
        """Initialize the tracker.

        Args:
            floor: Position read from durable storage; None if unknown, then subscribers are awaited.
            now: The current time in nanoseconds.
            timeout_ns: Age at which a contact with discovery or with another instance is no longer recent.
            subscribers_wait_ns: How long to wait for subscribers, which report the views they have.
        """
        self.floor = floor
        self.written = floor
        self.position: ViewPosition | None = None
        self._timeout_ns = timeout_ns
        self._subscribers_awaited_until = now if floor is not None else now + subscribers_wait_ns
        self._last_discovery_contact: int | None = None
        self._peers: dict[str, tuple[PeerStatus, int]] = {}  # status and time of its arrival by peer

    # --- events ---------------------------------------------------------------------------------

    def record_discovery(self, position: ViewPosition | None, now: int) -> None:
        """Record an update from discovery, which brings the view to `position`."""
        self.position = position
        self._last_discovery_contact = now

    def record_discovery_disconnect(self) -> None:
        """Record that the watch has ended, so that its last update no longer confirms the view."""
        self._last_discovery_contact = None

    def record_peer_status(self, peer: str, status: PeerStatus, now: int) -> None:
        """Record the status of another instance."""
        self._peers[peer] = (status, now)
        self._raise_floor(status.position if status.is_connected else None)
        self._raise_floor(status.floor)

    def record_subscriber_position(self, position: ViewPosition) -> None:
        """Record that a subscriber reported having received the view at `position`."""
        self._raise_floor(position)

    def record_written(self, position: ViewPosition) -> None:
        """Record that `position` was written to durable storage."""
        self.written = max(position, self.written) if self.written is not None else position
        self._raise_floor(position)

    def record_published(self, position: ViewPosition) -> None:
        """Record that the view at `position` is published."""
        self._raise_floor(position)

    def _raise_floor(self, position: ViewPosition | None) -> None:
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position

    # --- queries --------------------------------------------------------------------------------

    def is_discovery_connected(self, now: int) -> bool:
        """Return whether there was a recent contact with discovery."""
        contact = self._last_discovery_contact
        return contact is not None and now - contact <= self._timeout_ns

    def is_confirmed_by_peer(self, now: int) -> bool:
        """Return whether a peer connected to discovery recently reported a position that is not later."""
        if self.position is None:
            return False
        return any(
            status.is_connected and status.position is not None and status.position <= self.position
            for status, at in self._peers.values()
            if now - at <= self._timeout_ns
        )

    def is_any_peer_connected(self, now: int) -> bool:
        """Return whether another instance recently reported that it is connected to discovery."""
        return any(
            status.is_connected and now - at <= self._timeout_ns for status, at in self._peers.values()
        )

    def position_to_write(self) -> ViewPosition | None:
        """Return the position to write to durable storage before the view may be published, or None."""
        position = self.position
        if position is None or (self.floor is not None and position < self.floor):
            return None
        return position if self.written is None or position > self.written else None

    def withheld_reason(self, now: int, has_only_removals: bool = False) -> WithheldReason | None:
        """Return why the view is withheld, or None if it may be published.

        Args:
            now: The current time in nanoseconds.
            has_only_removals: Whether the view only removes nodes from a durable one. Such a view does not
                wait for a failing disk, since publishing a drain too late is certain to do harm.
        """
        if self.position is None:
            return WithheldReason.NO_DISCOVERY
        if self.floor is not None and self.position < self.floor:
            return WithheldReason.BEHIND
        if not self.is_discovery_connected(now) and not self.is_confirmed_by_peer(now):
            return WithheldReason.ISOLATED
        if now < self._subscribers_awaited_until:
            return WithheldReason.AWAITING_SUBSCRIBERS
        if self.position_to_write() is not None and not has_only_removals:
            return WithheldReason.NOT_DURABLE
        return None

    def peer_status(self, now: int) -> PeerStatus:
        """Return the status that this instance sends to the others."""
        return PeerStatus(self.position, self.floor, self.is_discovery_connected(now))
