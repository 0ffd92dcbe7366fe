"""Token round robin: hosts are used in turn as long as they have tokens.

Source: z/OS Workload Manager Sysplex Routing Services, WebSphere variant: weights are numbers of tokens,
which requests spend in turn until none is left; then the latest weights are loaded.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from brambleusher.loadbalancing.hosts import Host

WEIGHT_TOTAL = 64.0  # sum of all weights, as in the source


class TokenRoundRobin:
    """Keeps the hosts in use in a seeded order, their tokens, and the next position."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.ring: list[Host] = []
        self._next = 0
        self._tokens_per_weight = 1.0

    def set_hosts(self, hosts: list[Host]) -> None:
        """Set the hosts, in a seeded order with a seeded starting position.

        The seeds differ so that proxies with the same reports don't choose the same hosts simultaneously.
        Unlike in the source, a load gives one token per host on average: newer weights take effect sooner,
        and the heaviest host gets no long run of turns at the end of a load.
        """
        self.ring = hosts
        self._rng.shuffle(self.ring)
        self._next = self._rng.randrange(len(hosts)) if hosts else 0
        self._tokens_per_weight = len(hosts) / WEIGHT_TOTAL

    def remove(self, host: Host) -> None:
        """Remove a host."""
        self.ring = [other for other in self.ring if other is not host]

    def trim_tokens(self) -> None:
        """Reduce the remaining tokens to the new weights, and update the fractions in flight.

        A fast host needs no more attempts in flight than a slow one while it does not queue, but a number
        proportional to its weight once it queues. Its fraction of the attempts in flight is therefore
        proportional to the square root of its weight, which lies between the two.
        """
        roots = sum(math.sqrt(host.weight) for host in self.ring) or 1.0
        for host in self.ring:
            host.in_flight_fraction = math.sqrt(host.weight) / roots
            host.tokens = min(host.tokens, math.ceil(host.weight * self._tokens_per_weight))

    def load(self) -> None:
        """Load all hosts' tokens from their latest weights; fractions are carried over."""
        for host in self.ring:
            host.token_credit += host.weight * self._tokens_per_weight
            new_tokens = int(host.token_credit)
            host.token_credit -= new_tokens
            host.tokens = max(host.tokens, new_tokens)

    def spend(self, is_eligible: Callable[[Host], bool], in_flight: int) -> Host | None:
        """Spend a token of the next eligible host that has one; if none has any, load tokens once.

        Unlike in the source, a host with more of this proxy's `in_flight` attempts than its weight justifies
        is skipped and keeps its token. Load reports are late and the same for all proxies, whereas own
        attempts in flight show at once that a host has slowed down, hangs, is warming up, or was chosen by
        many proxies simultaneously. The cost is that a host that is slow for a good reason, such as heavy
        requests, gets its turns later than it should.
        """
        in_flight_after = in_flight + 1
        for _ in range(2):
            for step in range(len(self.ring)):
                index = (self._next + step) % len(self.ring)
                host = self.ring[index]
                if (
                    host.tokens > 0
                    and len(host.in_flight) < host.in_flight_fraction * in_flight_after
                    and is_eligible(host)
                ):
                    host.tokens -= 1
                    self._next = index + 1
                    return host
            self.load()
        return self._least_loaded(is_eligible)

    def _least_loaded(self, is_eligible: Callable[[Host], bool]) -> Host | None:
        """Return the eligible host with the fewest attempts in flight per weight, or None."""
        candidates = [host for host in self.ring if host.weight > 0 and is_eligible(host)]
        if not candidates:
            return None
        return min(candidates, key=lambda host: ((len(host.in_flight) + 1) / host.weight, host.name))
