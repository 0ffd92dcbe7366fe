"""Whether an instance of a control service may hand out the view it holds.

A view's place is (epoch, version): the operator's epoch, and discovery's version within it.  An
instance hands out only a view that is not behind anything it has reason to believe was acted on,
and only while somebody who should know has lately confirmed that it is not behind.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Place(NamedTuple):
    """Where a view stands among all views; a later one compares as greater."""

    epoch: int
    version: int


class Why(Enum):
    """Why a view is withheld."""

    NOTHING = "nothing was heard from discovery since the start"
    BEHIND = "the view held is older than one that was handed out"
    ALONE = "neither discovery nor another instance has been heard of lately"
    UNSURE = "the store was new at the start: claims of subscribers are awaited"
    UNWRITTEN = "the place of the view is not on durable storage yet"


@dataclass(frozen=True, slots=True)
class Word:
    """What another instance says of itself: its view's place, what was acted on, whether it is in touch."""

    place: Place | None
    floor: Place | None
    in_touch: bool


class Handout:
    """One instance's knowledge of what was acted on, here and elsewhere."""

    def __init__(self, floor: Place | None, now: int, silence_ns: int, unsure_ns: int) -> None:
        """`floor` is what durable storage says; None where it can't say, and then claims are awaited."""
        self.floor, self.written = floor, floor
        self.place: Place | None = None
        self._silence_ns = silence_ns
        self._sure_at = now if floor is not None else now + unsure_ns
        self._heard: int | None = None
        self._words: dict[str, tuple[Word, int]] = {}

    # --- events ---------------------------------------------------------------------------------

    def heard(self, place: Place | None, now: int) -> None:
        """Discovery has spoken; the view that follows from all it said is at `place`."""
        self.place, self._heard = place, now

    def lost(self) -> None:
        """The watch has ended: what it said last says nothing of the present."""
        self._heard = None

    def said(self, peer: str, word: Word, now: int) -> None:
        """Another instance has spoken."""
        self._words[peer] = (word, now)
        for place in (word.place if word.in_touch else None, word.floor):
            self._raise(place)

    def claimed(self, place: Place) -> None:
        """A subscriber has shown that it was given the view at `place`."""
        self._raise(place)

    def recorded(self, place: Place) -> None:
        """`place` is on durable storage."""
        self.written = max(place, self.written) if self.written is not None else place
        self._raise(place)

    def acted(self, place: Place) -> None:
        """The view at `place` goes out."""
        self._raise(place)

    def _raise(self, place: Place | None) -> None:
        if place is not None and (self.floor is None or place > self.floor):
            self.floor = place

    # --- what follows ---------------------------------------------------------------------------

    def in_touch(self, now: int) -> bool:
        """Whether discovery itself was heard of lately."""
        return self._heard is not None and now - self._heard <= self._silence_ns

    def vouched(self, now: int) -> bool:
        """Whether another instance, itself in touch with discovery, lately said that it is no further."""
        if self.place is None:
            return False
        return any(
            word.in_touch and word.place is not None and word.place <= self.place
            for word, at in self._words.values()
            if now - at <= self._silence_ns
        )

    def others_in_touch(self, now: int) -> bool:
        """Whether another instance lately said that it is in touch with discovery."""
        return any(word.in_touch and now - at <= self._silence_ns for word, at in self._words.values())

    def to_write(self) -> Place | None:
        """The place that durable storage must hold before the view goes out; None where it does."""
        place = self.place
        if place is None or (self.floor is not None and place < self.floor):
            return None
        return place if self.written is None or place > self.written else None

    def why_not(self, now: int, harmless: bool = False) -> Why | None:
        """Why the view is withheld; None where it may go out.

        `harmless` says that it only takes nodes away from one that is on durable storage: it does not
        wait for a disk that fails, since a drain that is told too late is harm done for certain.
        """
        if self.place is None:
            return Why.NOTHING
        if self.floor is not None and self.place < self.floor:
            return Why.BEHIND
        if not self.in_touch(now) and not self.vouched(now):
            return Why.ALONE
        if now < self._sure_at:
            return Why.UNSURE
        if self.to_write() is not None and not harmless:
            return Why.UNWRITTEN
        return None

    def word(self, now: int) -> Word:
        """What this instance tells the others."""
        return Word(self.place, self.floor, self.in_touch(now))
