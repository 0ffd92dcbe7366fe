"""Which controllers a process asks, and how it leaves one that is silent or out of contact; pure."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from brambleusher.wire.errors import InvalidMessageError

KNOWN_MAX = 32
REST_S = 1.0  # for a controller that failed, before it is tried again, doubled each time
REST_MOST_S = 4.0


@dataclass(frozen=True, slots=True)
class Locality:
    """Where a process is; empty where that is not known."""

    zone: str = ""
    region: str = ""

    def distance(self, other: Locality) -> int:
        """0 within a zone, 1 within a region, 2 beyond: what bytes between the two cost goes by it."""
        if self.zone == other.zone:
            return 0
        return 1 if self.region == other.region else 2


def controllers_from_json(data: Any) -> list[tuple[str, Locality]]:
    """Addresses and places from their form on the wire; raises `InvalidMessageError`."""
    try:
        return [(str(address), Locality(str(zone), str(region))) for address, zone, region in data]
    except (TypeError, ValueError) as error:
        raise InvalidMessageError(f"no list of controllers: {error}") from error


class Controllers:
    """Known controllers; each watcher holds one, all different while there are enough, near ones first."""

    def __init__(self, seeds: tuple[str, ...], rng: random.Random, here: Locality) -> None:
        self._rng, self._here = rng, here
        self._seeds = seeds
        self._known: dict[str, Locality] = dict.fromkeys(seeds, Locality())
        self._learned: dict[str, Locality] = {}
        self._observers: set[str] = set()
        self._rests: dict[str, tuple[float, float]] = {}  # address: until, for how long
        self._held: dict[int, str] = {}

    def set_announced(self, named: Iterable[tuple[str, Locality]]) -> None:
        """A controller named others: they replace what was known, but for the seeds."""
        self._learned = dict(list(named)[:KNOWN_MAX])
        self._follow()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """The settings name other seeds."""
        self._seeds = seeds
        self._follow()

    def mark_observer(self, address: str, named: Iterable[tuple[str, Locality]]) -> None:
        """A process said that it is no controller, and which controllers it knows."""
        self._observers.add(address)
        self._learned = {**dict(list(named)[:KNOWN_MAX]), **self._learned}
        self._follow()

    def _follow(self) -> None:
        """Seeds that are observers are asked only while nobody else is known."""
        known = {**dict.fromkeys(self._seeds, Locality()), **self._learned}
        controllers = {address: place for address, place in known.items() if address not in self._observers}
        self._known = controllers or known
        self._observers &= known.keys()

    def announced_addresses(self) -> list[str]:
        """Addresses that a controller named."""
        return list(self._learned)

    def announced_as_json(self) -> list[tuple[str, str, str]]:
        """Address, zone and region of the controllers that were named."""
        return [(address, place.zone, place.region) for address, place in self._learned.items()]

    def acquire(self, watcher: int, now: float) -> str:
        """A controller for a watcher: one that rested enough, and that no other watcher holds."""
        others = {address for holder, address in self._held.items() if holder != watcher}
        free = [address for address in self._known if address not in others]
        rested = [address for address in free if self._rests.get(address, (0.0, 0.0))[0] <= now]
        if rested:
            near = min(self._here.distance(self._known[address]) for address in rested)
            chosen = self._rng.choice(
                [address for address in rested if self._here.distance(self._known[address]) == near]
            )
        else:
            chosen = min(
                free or list(self._known), key=lambda address: self._rests.get(address, (0.0, 0.0))[0]
            )
        self._held[watcher] = chosen
        return chosen

    def holds_nearest(self, watcher: int) -> bool:
        """Whether a watcher holds the nearest of the controllers held; of two as near the first one does."""
        unknown = Locality()
        order = {
            holder: (self._here.distance(self._known.get(held, unknown)), holder)
            for holder, held in self._held.items()
        }
        return min(order, key=lambda holder: order[holder], default=watcher) == watcher

    def is_nearer_available(self, watcher: int, address: str, now: float) -> bool:
        """Whether a controller nearer than the one that a watcher holds could be had: it moves there.

        At the start nobody's place is known, and all gateways hold the seeds.
        """
        if address not in self._known:
            return False
        others = {held for holder, held in self._held.items() if holder != watcher}
        own = self._here.distance(self._known[address])
        return any(
            self._here.distance(place) < own and self._rests.get(other, (0.0, 0.0))[0] <= now
            for other, place in self._known.items()
            if other not in others and place.zone
        )

    def record_failure(self, address: str, now: float) -> None:
        """A controller was silent, or out of contact with a majority."""
        rest = min(REST_MOST_S, max(REST_S, self._rests.get(address, (0.0, 0.0))[1] * 2))
        self._rests[address] = (now + rest * self._rng.uniform(0.7, 1.0), rest)
        if len(self._rests) > KNOWN_MAX * 2:
            del self._rests[next(iter(self._rests))]

    def record_success(self, address: str) -> None:
        """A controller answered with news of a majority."""
        self._rests.pop(address, None)
