"""Formation of the first group at the first start of the system; no I/O.

All processes get the same seeds at the first start, up to three of the processes that serve the admin API.
Each seed is either a controller or an observer, which has no disk and never has a vote. A process knows only
of itself which of the two it is, so it asks the others.

Where a seed is a controller, the controllers among the seeds are the first group. Each of them starts with
all seeds as voters, and removes every seed that says that it is an observer. Two of them that know different
observers cannot elect two leaders: a voter that never votes can only raise the number of votes needed, so
that a majority with such voters includes a majority without them.

Where all seeds are observers, exactly one of the other controllers forms a group of its own, and the others
join it. It needs the grant of every seed, and an observer grants to one identity only. All controllers
request the grants in the same order, so that two of them cannot block each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from brambleusher.wire.bootstrap_messages import BootstrapAnswer, BootstrapQuery
from brambleusher.wire.consensus_messages import Member


class Bootstrap:
    """What a controller without a group knows about the seeds.

    Args:
        identity: This controller as a member.
        members: The initial members as this controller knows them; empty if it is not among the seeds.
        seeds: The addresses of the seeds, if this controller was created at the first start of the system
            and is not among them; else empty.
    """

    def __init__(self, identity: Member, members: tuple[Member, ...], seeds: Iterable[str]) -> None:
        self._identity = identity
        self._members = members
        addresses = {member.address for member in members} or set(seeds)
        self._seeds = sorted(addresses - {identity.address})
        self._observers: set[str] = set()
        self._grants: set[str] = set()

    @property
    def other_seeds(self) -> list[str]:
        """The addresses of the other seeds, in the order in which grants are requested."""
        return list(self._seeds)

    def unanswered_seeds(self) -> list[str]:
        """Return the addresses of the seeds that have not said that they are observers."""
        return [seed for seed in self._seeds if seed not in self._observers]

    def next_query(self, seed: str) -> BootstrapQuery:
        """Return the next query to a seed."""
        return BootstrapQuery(self._identity.id, self._should_request_grant(seed))

    def _should_request_grant(self, seed: str) -> bool:
        """Return whether all seeds are observers, and those before this one have granted."""
        if self._members or self.unanswered_seeds():
            return False
        return self._grants.issuperset(self._seeds[: self._seeds.index(seed)])

    def record_answer(self, seed: str, answer: BootstrapAnswer) -> None:
        """Record a seed's answer."""
        if answer.is_observer:
            self._observers.add(seed)
        if answer.is_granted:
            self._grants.add(seed)

    def initial_members(self) -> tuple[Member, ...]:
        """Return the initial members of the group as far as they are known; empty if they are not."""
        if self._members:
            return tuple(member for member in self._members if member.address not in self._observers)
        if self._seeds and self._grants.issuperset(self._seeds):
            return (replace(self._identity, is_voter=True),)
        return ()


class ObserverGrant:
    """The grant of one observer, which it gives to at most one controller.

    Args:
        is_first_start: Whether the settings say that the system starts for the first time. An observer that
            is started again has forgotten its grant, and must not give another one.
    """

    def __init__(self, is_first_start: bool) -> None:
        self._is_first_start = is_first_start
        self._granted_to = ""  # the identity of a controller

    def answer(self, query: BootstrapQuery) -> BootstrapAnswer:
        """Return the answer to a query."""
        if query.requests_grant and self._is_first_start and not self._granted_to:
            self._granted_to = query.identity
        is_granted = query.requests_grant and self._granted_to == query.identity
        return BootstrapAnswer(is_observer=True, is_granted=is_granted)
