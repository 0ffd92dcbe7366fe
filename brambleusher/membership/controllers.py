"""Selection of the controllers that a process connects to, with backoff from failed ones; no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from brambleusher.wire.errors import InvalidMessageError

KNOWN_MAX = 32
BACKOFF_MIN_S = 1.0  # first backoff from a controller that failed; doubled with each further failure
BACKOFF_MAX_S = 4.0
BACKOFF_JITTER_MIN, BACKOFF_JITTER_MAX = 0.7, 1.0  # bounds of the random factor of a backoff

# Distances between processes, in the order of the price of network traffic between them.
SAME_ZONE, SAME_REGION, OTHER_REGION = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Locality:
    """The zone and region of a process; "" if unknown."""

    zone: str = ""
    region: str = ""

    def distance(self, other: Locality) -> int:
        """Return the distance class of two processes."""
        if self.zone == other.zone:
            return SAME_ZONE
        return SAME_REGION if self.region == other.region else OTHER_REGION


UNKNOWN_LOCALITY = Locality()


class KnownController(NamedTuple):
    """The address and the locality of a controller."""

    address: str
    locality: Locality


def controllers_from_json(data: object) -> list[KnownController]:
    """Parse controllers from their wire format, a list with the address, zone and region of each.

    Raises:
        InvalidMessageError: The value is not a list of such triples.
    """
    if not isinstance(data, list):
        raise InvalidMessageError(f"controllers are not a list: {data!r:.80}")
    try:
        return [
            KnownController(str(address), Locality(str(zone), str(region))) for address, zone, region in data
        ]
    except (TypeError, ValueError) as error:
        raise InvalidMessageError(f"a controller has no address, zone and region: {error}") from error


class Backoff(NamedTuple):
    """A backoff from a controller, which is not used before `until_s` unless no other is available."""

    until_s: float
    duration_s: float


NO_BACKOFF = Backoff(0.0, 0.0)


class Controllers:
    """The known controllers, and which of them each connection slot uses.

    Each slot acquires one controller: one that no other slot uses, if there are enough, and preferably a near
    one.
    """

    def __init__(self, seeds: tuple[str, ...], rng: random.Random, here: Locality) -> None:
        self._rng, self._here = rng, here
        self._seeds = seeds
        self._known: dict[str, Locality] = dict.fromkeys(seeds, UNKNOWN_LOCALITY)
        self._announced: dict[str, Locality] = {}
        self._observers: set[str] = set()
        self._backoffs: dict[str, Backoff] = {}
        self._acquired: dict[int, str] = {}  # address of the acquired controller, by slot

    # --- known controllers -----------------------------------------------------------------------

    def set_announced(self, controllers: Iterable[tuple[str, Locality]]) -> None:
        """Replace the known controllers except the seeds by the list that a controller announced."""
        self._announced = dict(list(controllers)[:KNOWN_MAX])
        self._update_known()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = seeds
        self._update_known()

    def record_observer(self, address: str, controllers: Iterable[tuple[str, Locality]]) -> None:
        """Record that a process is an observer, not a controller, and add the controllers that it knows."""
        self._observers.add(address)
        self._announced = {**dict(list(controllers)[:KNOWN_MAX]), **self._announced}
        self._update_known()

    def _update_known(self) -> None:
        """Recompute the known controllers; observers are used only if no controller is known."""
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
        """Return the address, zone and region of each announced controller, in wire format."""
        return [(address, locality.zone, locality.region) for address, locality in self._announced.items()]

    # --- selection of a controller ---------------------------------------------------------------

    def acquire(self, slot: int, now: float) -> str:
        """Acquire a controller for a slot: a random one of the nearest without a backoff.

        If all available controllers are in backoff, the one whose backoff ends first is acquired.
        """
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

    def has_nearest_controller(self, slot: int) -> bool:
        """Return whether a slot has the nearest of the acquired controllers; ties go to the lowest slot."""
        ranks = [(self._distance(address), other) for other, address in self._acquired.items()]
        return min(ranks, default=(SAME_ZONE, slot))[1] == slot

    def is_nearer_available(self, slot: int, address: str, now: float) -> bool:
        """Return whether a slot could acquire a nearer controller than the one at `address`.

        After startup the slots have seeds, whose localities are unknown until controllers are announced.
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
        """Back off from a controller that timed out, or that has no contact with a majority."""
        duration_s = min(BACKOFF_MAX_S, max(BACKOFF_MIN_S, self._backoff(address).duration_s * 2))
        until_s = now + duration_s * self._rng.uniform(BACKOFF_JITTER_MIN, BACKOFF_JITTER_MAX)
        self._backoffs[address] = Backoff(until_s, duration_s)
        if len(self._backoffs) > KNOWN_MAX * 2:
            del self._backoffs[next(iter(self._backoffs))]

    def record_success(self, address: str) -> None:
        """Reset the backoff from a controller that answered and is in contact with a majority."""
        self._backoffs.pop(address, None)
