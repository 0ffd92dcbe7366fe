"""Which controllers a gateway follows, and how it leaves one that is silent or out of contact; pure."""

from __future__ import annotations

import random

KNOWN_MAX = 32
REST_S = 1.0  # for a controller that failed, before it is tried again, doubled each time
REST_MOST_S = 4.0


class Controllers:
    """Known controllers; each watcher holds one, all different while there are enough."""

    def __init__(self, seeds: tuple[str, ...], rng: random.Random) -> None:
        self._rng = rng
        self._seeds = seeds
        self._known: dict[str, None] = dict.fromkeys(seeds)
        self._rests: dict[str, tuple[float, float]] = {}  # address: until, for how long
        self._held: dict[int, str] = {}

    def learn(self, addresses: list[str]) -> None:
        """A controller named others: they replace what was known, but for the seeds."""
        self._known = dict.fromkeys([*addresses[:KNOWN_MAX], *self._seeds])

    def reseed(self, seeds: tuple[str, ...]) -> None:
        """The settings name other seeds."""
        self._seeds = seeds
        self._known.update(dict.fromkeys(seeds))

    def take(self, watcher: int, now: float) -> str:
        """A controller for a watcher: one that rested enough, and that no other watcher holds."""
        others = {address for holder, address in self._held.items() if holder != watcher}
        free = [address for address in self._known if address not in others]
        rested = [address for address in free if self._rests.get(address, (0.0, 0.0))[0] <= now]
        if rested:
            chosen = self._rng.choice(rested)
        else:
            chosen = min(
                free or list(self._known), key=lambda address: self._rests.get(address, (0.0, 0.0))[0]
            )
        self._held[watcher] = chosen
        return chosen

    def failed(self, address: str, now: float) -> None:
        """A controller was silent, or out of contact with a majority."""
        rest = min(REST_MOST_S, max(REST_S, self._rests.get(address, (0.0, 0.0))[1] * 2))
        self._rests[address] = (now + rest * self._rng.uniform(0.7, 1.0), rest)
        if len(self._rests) > KNOWN_MAX * 2:
            del self._rests[next(iter(self._rests))]

    def worked(self, address: str) -> None:
        """A controller answered with news of a majority."""
        self._rests.pop(address, None)
