"""The budget for work that is asked for again.

Everything that makes hosts work a second time for one request draws on one budget: a client that asks
again, an attempt made anew after one that may have run, and a second copy beside one that is still out.
The work that reaches hosts is at most `1 + DEPOSIT_PER_REQUEST` times what is first asked for, and
`MAX_TOKENS` attempts.

Kept as two counts, so that the bound holds by construction (the form of the retry budgets in Finagle and
in "Addressing cascading failures" of Google's SRE book, carried on to the client's own repeats):

- each first request lays `DEPOSIT_PER_REQUEST` of an attempt aside; what is done again takes a whole one;
- a first request that ended without any work at a host leaves one attempt that its repeat may have: that
  repeat is the first work done for it.
"""

from __future__ import annotations

DEPOSIT_PER_REQUEST = 0.2  # of an attempt, laid aside by each first request
MAX_TOKENS = 5.0  # attempts that may be laid aside at once
RISES, FALLS = 0.25, 0.002  # each request's pull on the time that first tries have
AGAIN = 0.1  # of that time: with so much less left, it is a client's later try
UNSERVED = 4096.0  # repeats waited for at once: bounds what a wave of refusals can bring back


class RetryBudget:
    """What may still be done again; one for each balancer."""

    def __init__(self, classes: int = 1) -> None:
        self.tokens = MAX_TOKENS
        self.unserved_credit = 0.0
        self.first_attempt_left_ns = [0.0] * classes  # ns that clients have for a first try

    def detect_client_retry(self, cls: int, left_ns: int) -> tuple[float, bool]:
        """How long a client has waited before this try, in ns, and whether it asks again, marked or not.

        A client that asks again has less time left than first tries of its class have, by as much as has
        passed since.  Ids are always new, and nothing else tells.  Where clients give each try a time of
        its own, a later try can't be told from a first one.
        """
        spent = self.first_attempt_left_ns[cls] - left_ns
        self.first_attempt_left_ns[cls] -= spent * (FALLS if spent > 0 else RISES)
        return spent, spent > AGAIN * self.first_attempt_left_ns[cls]

    def deposit(self) -> None:
        """A first request has come."""
        self.tokens = min(self.tokens + DEPOSIT_PER_REQUEST, MAX_TOKENS)

    def credit_unserved(self) -> None:
        """A request ended without work at any host: its client may ask for it again."""
        self.unserved_credit = min(self.unserved_credit + 1.0, UNSERVED)

    def withdraw_for_client_retry(self) -> bool:
        """A client asks again: whether the budget has an attempt for it, which is taken."""
        if self.unserved_credit >= 1.0:
            self.unserved_credit -= 1.0
            return True
        return self.withdraw()

    @property
    def has_tokens(self) -> bool:
        """Whether one more attempt can be afforded."""
        return self.tokens >= 1.0

    def withdraw(self) -> bool:
        """Take one attempt, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def decay(self, kept: float) -> None:
        """Clients that have not come back by now won't: forget a part of them."""
        self.unserved_credit *= kept
