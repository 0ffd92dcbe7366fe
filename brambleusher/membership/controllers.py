"""Which controllers a process calls, and how it leaves one that fails; pure."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from brambleusher.wire.errors import InvalidMessageError

KNOWN_MAX = 32
BACKOFF_MIN_S = 1.0  # for a controller that failed, before it is called again; doubled each time
BACKOFF_MAX_S = 4.0
BACKOFF_JITTER_MIN, BACKOFF_JITTER_MAX = 0.7, 1.0  # factors of a backoff

SAME_ZONE, SAME_REGION, OTHER_REGION = 0, 1, 2  # distances: the price of bytes goes by them


@dataclass(frozen=True, slots=True)
class Locality:
    """Where a process is; empty where that is not known."""

    zone: str = ""
    region: str = ""

    def distance(self, other: Locality) -> int:
        """Return how far apart two processes are."""
        if self.zone == other.zone:
            return SAME_ZONE
        return SAME_REGION if self.region == other.region else OTHER_REGION


UNKNOWN_LOCALITY = Locality()


class KnownController(NamedTuple):
    """A controller's address, and where it is."""

    address: str
    locality: Locality


def controllers_from_json(data: object) -> list[KnownController]:
    """Return controllers from their form on the wire: address, zone and region of each.

    Raises:
        InvalidMessageError: It is no list of such triples.
    """
    if not isinstance(data, list):
        raise InvalidMessageError(f"controllers are no list: {data!r:.80}")
    try:
        return [
            KnownController(str(address), Locality(str(zone), str(region))) for address, zone, region in data
        ]
    except (TypeError, ValueError) as error:
        raise InvalidMessageError(f"a controller has no address, zone and region: {error}") from error


class Backoff(NamedTuple):
    """A controller that failed is not called before a moment, unless there is no other."""

    until_s: float
    duration_s: float


NO_BACKOFF = Backoff(0.0, 0.0)


class Controllers:
    """Known controllers.

    Each of the caller's connection slots acquires one, all different while there are enough, near ones first.
    """

    def __init__(self, seeds: tuple[str, ...], rng: random.Random, here: Locality) -> None:
        self._rng, self._here = rng, here
        self._seeds = seeds
        self._known: dict[str, Locality] = dict.fromkeys(seeds, UNKNOWN_LOCALITY)
        self._announced: dict[str, Locality] = {}
        self._observers: set[str] = set()
        self._backoffs: dict[str, Backoff] = {}
        self._acquired: dict[int, str] = {}  # address by slot

    # --- which controllers there are -------------------------------------------------------------

    def set_announced(self, controllers: Iterable[tuple[str, Locality]]) -> None:
        """Replace what was known, except the seeds: a controller announced all controllers."""
        self._announced = dict(list(controllers)[:KNOWN_MAX])
        self._update_known()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds: the settings have changed."""
        self._seeds = seeds
        self._update_known()

    def mark_observer(self, address: str, controllers: Iterable[tuple[str, Locality]]) -> None:
        """Record that a process is no controller, and add the controllers that it knows."""
        self._observers.add(address)
        self._announced = {**dict(list(controllers)[:KNOWN_MAX]), **self._announced}
        self._update_known()

    def _update_known(self) -> None:
        """Keep seeds that are observers only while nobody else is known."""
        known = {**dict.fromkeys(self._seeds, UNKNOWN_LOCALITY), **self._announced}
        controllers = {
            address: locality for address, locality in known.items() if address not in self._observers
        }
        self._known = controllers or known
        self._observers &= known.keys()

    def announced_addresses(self) -> list[str]:
        """Return the addresses of the announced controllers."""
        return list(self._announced)

    def announced_as_json(self) -> list[tuple[str, str, str]]:
        """Return address, zone and region of the announced controllers, the form on the wire."""
        return [(address, locality.zone, locality.region) for address, locality in self._announced.items()]

    # --- which one to call -----------------------------------------------------------------------

    def acquire(self, slot: int, now: float) -> str:
        """Return a controller for a slot: one of the nearest of those that are not backing off."""
        others = self._acquired_by_others(slot)
        free = [address for address in self._known if address not in others]
        available = [address for address in free if self._backoff(address).until_s <= now]
        if available:
            chosen = self._rng.choice(self._nearest_of(available))
        else:
            candidates = free or list(self._known)
            chosen = min(candidates, key=lambda address: self._backoff(address).until_s)
        self._acquired[slot] = chosen
        return chosen

    def _acquired_by_others(self, slot: int) -> set[str]:
        return {address for other, address in self._acquired.items() if other != slot}

    def _nearest_of(self, addresses: list[str]) -> list[str]:
        least = min(self._distance(address) for address in addresses)
        return [address for address in addresses if self._distance(address) == least]

    def _distance(self, address: str) -> int:
        return self._here.distance(self._known.get(address, UNKNOWN_LOCALITY))

    def _backoff(self, address: str) -> Backoff:
        return self._backoffs.get(address, NO_BACKOFF)

    def holds_nearest(self, slot: int) -> bool:
        """Whether a slot has the nearest of the acquired controllers; among equals the first slot has."""
        ranks = [(self._distance(address), other) for other, address in self._acquired.items()]
        return min(ranks, default=(SAME_ZONE, slot))[1] == slot

    def is_nearer_available(self, slot: int, address: str, now: float) -> bool:
        """Whether a slot could acquire a nearer controller than the one at `address`.

        At the start no locality is known, and all slots have seeds.
        """
        if address not in self._known:
            return False
        others = self._acquired_by_others(slot)
        own_distance = self._distance(address)
        return any(
            self._here.distance(locality) < own_distance and self._backoff(other).until_s <= now
            for other, locality in self._known.items()
            if other not in others and locality.zone
        )

    def record_failure(self, address: str, now: float) -> None:
        """Back off from a controller that timed out, or is out of contact with a majority."""
        duration_s = min(BACKOFF_MAX_S, max(BACKOFF_MIN_S, self._backoff(address).duration_s * 2))
        until_s = now + duration_s * self._rng.uniform(BACKOFF_JITTER_MIN, BACKOFF_JITTER_MAX)
        self._backoffs[address] = Backoff(until_s, duration_s)
        if len(self._backoffs) > KNOWN_MAX * 2:
            del self._backoffs[next(iter(self._backoffs))]

    def record_success(self, address: str) -> None:
        """End the backoff from a controller that answered and is in contact with a majority."""
        self._backoffs.pop(address, None)
