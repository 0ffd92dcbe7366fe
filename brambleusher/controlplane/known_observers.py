"""The observers that a controller has heard of, which it stores on disk; no I/O.

An observer has no disk, and its settings may name only other observers as seeds. Where such observers are
restarted at once, none of them knows a controller, so the controllers have to contact them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

OBSERVERS_MAX = 64
FORGOTTEN_AFTER_S = 12.0  # an observer is replaced by another one only after this time without contact
NEVER_S = float("-inf")


class KnownObservers:
    """Addresses of observers, with the time of the last contact with each."""

    def __init__(self, stored: Iterable[str], rng: random.Random) -> None:
        """Start with the addresses that an earlier run of the controller stored."""
        self._rng = rng
        self._contact_at_s = dict.fromkeys(list(stored)[:OBSERVERS_MAX], NEVER_S)

    def record_contact(self, address: str, at_s: float) -> bool:
        """Record a contact with an observer; return whether the addresses have changed."""
        is_new = address not in self._contact_at_s
        if is_new and len(self._contact_at_s) >= OBSERVERS_MAX and not self._drop_longest_silent(at_s):
            return False
        self._contact_at_s[address] = max(at_s, self._contact_at_s.get(address, NEVER_S))
        return is_new

    def _drop_longest_silent(self, now: float) -> bool:
        address = min(self._contact_at_s, key=self._contact_at_s.__getitem__)
        if now - self._contact_at_s[address] < FORGOTTEN_AFTER_S:
            return False
        del self._contact_at_s[address]
        return True

    def addresses(self) -> tuple[str, ...]:
        """Return all addresses, sorted."""
        return tuple(sorted(self._contact_at_s))

    def sample_silent(self, now: float, silent_s: float, most: int) -> list[str]:
        """Return up to `most` random observers without contact for `silent_s` seconds."""
        silent = [address for address, at_s in self._contact_at_s.items() if now - at_s >= silent_s]
        return self._rng.sample(silent, min(most, len(silent)))
