"""Whether an instance of a control service may hand out the view it holds.

A view's place is (epoch, version): the operator's epoch, and discovery's version within it.  An
instance hands out only a view that is not behind anything it has reason to believe was acted on,
and only while somebody who should know has lately confirmed that it is not behind.
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
    """WithheldReason a view is withheld."""

    NO_DISCOVERY = "nothing was heard from discovery since the start"
    BEHIND = "the view held is older than one that was handed out"
    ISOLATED = "neither discovery nor another instance has been heard of lately"
    AWAITING_CLAIMS = "the store was new at the start: claims of subscribers are awaited"
    NOT_DURABLE = "the place of the view is not on durable storage yet"


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What another instance says of itself: its view's place, what was acted on, whether it is in touch."""

    position: ViewPosition | None
    floor: ViewPosition | None
    is_connected: bool


class ViewConsistency:
    """One instance's knowledge of what was acted on, here and elsewhere."""

    def __init__(self, floor: ViewPosition | None, now: int, silence_ns: int, unsure_ns: int) -> None:
        """`floor` is what durable storage says; None where it can't say, and then claims are awaited."""
        self.floor, self.written = floor, floor
        self.position: ViewPosition | None = None
        self._silence_ns = silence_ns
        self._sure_at = now if floor is not None else now + unsure_ns
        self._heard: int | None = None
        self._words: dict[str, tuple[PeerStatus, int]] = {}

    # --- events ---------------------------------------------------------------------------------

    def record_discovery(self, place: ViewPosition | None, now: int) -> None:
        """Discovery has spoken; the view that follows from all it said is at `place`."""
        self.position, self._heard = place, now

    def record_discovery_lost(self) -> None:
        """The watch has ended: what it said last says nothing of the present."""
        self._heard = None

    def record_peer_status(self, peer: str, word: PeerStatus, now: int) -> None:
        """Another instance has spoken."""
        self._words[peer] = (word, now)
        for place in (word.position if word.is_connected else None, word.floor):
            self._raise_floor(place)

    def record_claim(self, place: ViewPosition) -> None:
        """A subscriber has shown that it was given the view at `place`."""
        self._raise_floor(place)

    def record_written(self, place: ViewPosition) -> None:
        """`place` is on durable storage."""
        self.written = max(place, self.written) if self.written is not None else place
        self._raise_floor(place)

    def record_published(self, place: ViewPosition) -> None:
        """The view at `place` goes out."""
        self._raise_floor(place)

    def _raise_floor(self, place: ViewPosition | None) -> None:
        if place is not None and (self.floor is None or place > self.floor):
            self.floor = place

    # --- what follows ---------------------------------------------------------------------------

    def is_discovery_connected(self, now: int) -> bool:
        """Whether discovery itself was heard of lately."""
        return self._heard is not None and now - self._heard <= self._silence_ns

    def is_confirmed_by_peer(self, now: int) -> bool:
        """Whether another instance, itself in touch with discovery, lately said that it is no further."""
        if self.position is None:
            return False
        return any(
            word.is_connected and word.position is not None and word.position <= self.position
            for word, at in self._words.values()
            if now - at <= self._silence_ns
        )

    def is_any_peer_connected(self, now: int) -> bool:
        """Whether another instance lately said that it is in touch with discovery."""
        return any(word.is_connected and now - at <= self._silence_ns for word, at in self._words.values())

    def position_to_write(self) -> ViewPosition | None:
        """The place that durable storage must hold before the view goes out; None where it does."""
        place = self.position
        if place is None or (self.floor is not None and place < self.floor):
            return None
        return place if self.written is None or place > self.written else None

    def withheld_reason(self, now: int, harmless: bool = False) -> WithheldReason | None:
        """WithheldReason the view is withheld; None where it may go out.

        `harmless` says that it only takes nodes away from one that is on durable storage: it does not
        wait for a disk that fails, since a drain that is told too late is harm done for certain.
        """
        if self.position is None:
            return WithheldReason.NO_DISCOVERY
        if self.floor is not None and self.position < self.floor:
            return WithheldReason.BEHIND
        if not self.is_discovery_connected(now) and not self.is_confirmed_by_peer(now):
            return WithheldReason.ISOLATED
        if now < self._sure_at:
            return WithheldReason.AWAITING_CLAIMS
        if self.position_to_write() is not None and not harmless:
            return WithheldReason.NOT_DURABLE
        return None

    def peer_status(self, now: int) -> PeerStatus:
        """What this instance tells the others."""
        return PeerStatus(self.position, self.floor, self.is_discovery_connected(now))
