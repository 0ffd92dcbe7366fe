"""Retry budget: bounds the work that hosts do repeatedly for the same request.

Everything that makes hosts work again for one request draws on one budget: a retry by the client, a retry
after an attempt that may have been executed, and a hedged request beside one in flight. The work that reaches
hosts is at most `1 + DEPOSIT_PER_REQUEST` times that of first requests, plus `MAX_TOKENS` attempts.

The bound is ensured by two counts:

- Each first request deposits `DEPOSIT_PER_REQUEST` of a token; repeated work withdraws a whole one.
- A first request that ended without any work at a host leaves a credit for its retry, since that retry is
  the first work done for it.

Source: the retry budgets of Finagle, and "Addressing cascading failures" in Site Reliability Engineering
(2016), extended here to retries by clients.
"""

from __future__ import annotations

from typing import NamedTuple

DEPOSIT_PER_REQUEST = 0.2  # tokens that each first request adds to the budget
MAX_TOKENS = 5.0
# Smoothing factors, for increases and decreases, of the mean remaining time of first requests.
RISE_FRACTION, FALL_FRACTION = 0.25, 0.002
# A request with less remaining time by more than this fraction of the mean is a client's retry.
RETRY_FRACTION = 0.1
MAX_UNSERVED_CREDIT = 4096.0  # bounds the retries that a wave of rejections can cause


class ClientWait(NamedTuple):
    """How long a client has waited, derived from the remaining time of its request."""

    waited_ns: float  # time before this request, in nanoseconds
    is_retry: bool


class RetryBudget:
    """Keeps the retry budget of one balancer."""

    def __init__(self, classes: int = 1) -> None:
        self.tokens = MAX_TOKENS
        self.unserved_credit = 0.0
        # Mean remaining time of first requests in nanoseconds, by class.
        self.first_attempt_left_ns = [0.0] * classes

    def detect_client_retry(self, class_index: int, left_ns: int) -> ClientWait:
        """Return how long a client has waited before this request, and whether the request is a retry.

        Retries are detected whether or not they are marked. A retried request has less remaining time than
        first requests of its class, by the time passed since the first one. There is no other evidence, since
        retries have new ids. If clients give each try a deadline of its own, a retry can't be told from a
        first request.
        """
        waited_ns = self.first_attempt_left_ns[class_index] - left_ns
        self.first_attempt_left_ns[class_index] -= waited_ns * (
            FALL_FRACTION if waited_ns > 0 else RISE_FRACTION
        )
        return ClientWait(waited_ns, waited_ns > RETRY_FRACTION * self.first_attempt_left_ns[class_index])

    def deposit(self) -> None:
        """Add the deposit of a first request."""
        self.tokens = min(self.tokens + DEPOSIT_PER_REQUEST, MAX_TOKENS)

    def credit_unserved(self) -> None:
        """Add a credit for the retry of a request that ended without work at any host."""
        self.unserved_credit = min(self.unserved_credit + 1.0, MAX_UNSERVED_CREDIT)

    def withdraw_for_client_retry(self) -> bool:
        """Withdraw a credit or a token for a client's retry; return whether there was one."""
        if self.unserved_credit >= 1.0:
            self.unserved_credit -= 1.0
            return True
        return self.withdraw()

    @property
    def has_tokens(self) -> bool:
        """Whether the budget has a token for one more attempt."""
        return self.tokens >= 1.0

    def withdraw(self) -> bool:
        """Withdraw one token if there is one; return whether there was."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def decay(self, retained: float) -> None:
        """Scale the credit by `retained`, since clients that have not retried by now will not do so."""
        self.unserved_credit *= retained
