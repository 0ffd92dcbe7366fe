"""Retry budget: bounds the work that hosts do more than once for a request.

Everything that makes hosts work again for one request draws on one budget: a retry of the client, a retry
after an attempt that may have run, and a hedged request beside one that is still in flight.  The work that
reaches hosts is at most `1 + DEPOSIT_PER_REQUEST` times what is first requested, and `MAX_TOKENS` attempts.

Kept as two counts, so that the bound holds by construction:

- each first request deposits `DEPOSIT_PER_REQUEST` of a token; repeated work takes a whole one;
- a first request that ended without any work at a host leaves a credit for its retry: that retry is the first
  work done for it.

Source: the retry budgets of Finagle, and "Addressing cascading failures" in Site Reliability Engineering
(2016); carried on to the retries that clients make themselves.
"""

from __future__ import annotations

from typing import NamedTuple

DEPOSIT_PER_REQUEST = 0.2  # of a token
MAX_TOKENS = 5.0
# How far each request moves the mean of the time that first requests have left.
RISE_FRACTION, FALL_FRACTION = 0.25, 0.002
RETRY_FRACTION = 0.1  # of that time: a request with so much less left is a client's retry
MAX_UNSERVED_CREDIT = 4096.0  # bounds what a wave of rejections can bring back


class ClientWait(NamedTuple):
    """What a request's remaining time tells of its client."""

    waited_ns: float  # before this request
    is_retry: bool


class RetryBudget:
    """The budget of one balancer."""

    def __init__(self, classes: int = 1) -> None:
        self.tokens = MAX_TOKENS
        self.unserved_credit = 0.0
        self.first_attempt_left_ns = [0.0] * classes  # usual, by class

    def detect_client_retry(self, cls: int, left_ns: int) -> ClientWait:
        """Return how long a client has waited before this request, and whether it is a retry, marked or not.

        A client that retries has less time left than first requests of its class have, by as much as has
        passed since.  Ids are always new, and nothing else tells.  Where clients give each try a time of its
        own, a retry can't be told from a first request.
        """
        waited_ns = self.first_attempt_left_ns[cls] - left_ns
        self.first_attempt_left_ns[cls] -= waited_ns * (FALL_FRACTION if waited_ns > 0 else RISE_FRACTION)
        return ClientWait(waited_ns, waited_ns > RETRY_FRACTION * self.first_attempt_left_ns[cls])

    def deposit(self) -> None:
        """Add the deposit of a first request."""
        self.tokens = min(self.tokens + DEPOSIT_PER_REQUEST, MAX_TOKENS)

    def credit_unserved(self) -> None:
        """Add the credit of a request that ended without work at any host: its client may retry."""
        self.unserved_credit = min(self.unserved_credit + 1.0, MAX_UNSERVED_CREDIT)

    def withdraw_for_client_retry(self) -> bool:
        """Take an attempt for a client's retry, if there is one; returns whether there was."""
        if self.unserved_credit >= 1.0:
            self.unserved_credit -= 1.0
            return True
        return self.withdraw()

    @property
    def has_tokens(self) -> bool:
        """Whether one more attempt can be afforded."""
        return self.tokens >= 1.0

    def withdraw(self) -> bool:
        """Take one token, if there is one; returns whether there was."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def decay(self, retained: float) -> None:
        """Keep a fraction of the credit: clients that have not come back by now won't."""
        self.unserved_credit *= retained
