"""Tokens spent in round robin over the hosts that have some left.

Source: z/OS Workload Manager Sysplex Routing Services, WebSphere variant: the weights are a number of tokens
that requests spend in turn until all are spent; then the latest weights are loaded.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from brambleusher.loadbalancing.hosts import Host

WEIGHT_TOTAL = 64.0  # the source's scale of weights


class TokenRoundRobin:
    """The hosts in use in a seeded order, and whose turn it is."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.ring: list[Host] = []
        self._next = 0
        self._tokens_per_weight = 1.0

    def set_hosts(self, hosts: list[Host]) -> None:
        """Take hosts in a seeded order, from a seeded start.

        Proxies that see the same reports must not march in step.  Ours: a load holds one token a host on
        average, so newer weights are in use sooner and the heaviest host gets no run of turns at the end of a
        long load.
        """
        self.ring = hosts
        self._rng.shuffle(self.ring)
        self._next = self._rng.randrange(len(hosts)) if hosts else 0
        self._tokens_per_weight = len(hosts) / WEIGHT_TOTAL

    def remove(self, host: Host) -> None:
        """Leave a host out from now on."""
        self.ring = [other for other in self.ring if other is not host]

    def cut_tokens(self) -> None:
        """Cut what tokens are left to the new weights.

        A fast host needs no more in flight than a slow one while it only serves, and more in step with its
        weight once it queues: its share of what is in flight goes by the root of the weight, between the two.
        """
        roots = sum(math.sqrt(host.weight) for host in self.ring) or 1.0
        for host in self.ring:
            host.in_flight_fraction = math.sqrt(host.weight) / roots
            host.tokens = min(host.tokens, math.ceil(host.weight * self._tokens_per_weight))

    def load(self) -> None:
        """Give every host its latest weight; fractions are carried over."""
        for host in self.ring:
            host.token_credit += host.weight * self._tokens_per_weight
            new_tokens = int(host.token_credit)
            host.token_credit -= new_tokens
            host.tokens = max(host.tokens, new_tokens)

    def spend(self, is_eligible: Callable[[Host], bool], in_flight: int) -> Host | None:
        """Spend the token of the next eligible host in turn that has one; only if none has, load anew.

        Ours: a host that holds more of this proxy's `in_flight` attempts than its weight explains is passed
        over and keeps its token.  Reports are late and the same for all; own attempts in flight show at once
        that a host has slowed down, hangs, warms up, or was found by everyone at the same time.
        Harm: a host that is rightly slow (heavy requests only) gets its tokens later than due.
        """
        with_this_one = in_flight + 1
        for _ in range(2):
            for step in range(len(self.ring)):
                index = (self._next + step) % len(self.ring)
                host = self.ring[index]
                if (
                    host.tokens > 0
                    and len(host.in_flight) < host.in_flight_fraction * with_this_one
                    and is_eligible(host)
                ):
                    host.tokens -= 1
                    self._next = index + 1
                    return host
            self.load()
        return self._borrow(is_eligible)

    def _borrow(self, is_eligible: Callable[[Host], bool]) -> Host | None:
        """Return the least occupied host that is eligible: those with tokens and capacity are not."""
        candidates = [host for host in self.ring if host.weight > 0 and is_eligible(host)]
        if not candidates:
            return None
        return min(candidates, key=lambda host: ((len(host.in_flight) + 1) / host.weight, host.name))
