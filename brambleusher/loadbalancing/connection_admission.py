"""The budget of clients' connections: which of them keep their places.

A place is worth what its connection does with it: how soon it asks, and whether it asks at all.  That is
learnt from what connections of its sort did lately, sort by sort and age by age, as a table of hazards
(asks for each second waited; the discrete form of the Kaplan-Meier estimate, with old evidence fading).
The worth of a place is then the Gittins index of its wait: the most asks for each second of the place that
any stopping time gives.  Where places are plenty nothing of this acts.  Where they are not, those of the
least worth go: one that has just been answered with its answer, which no request can cross, and only then
one that waits.

Pure: times are seconds on the caller's clock, connections are whatever hashable thing the caller names.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from typing import Any

# Ages of a wait, in seconds: hazards are taken as even between two of them.
AGES = (0.0, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.4, 0.6, 0.9, 1.3, 1.8, 2.4)
ASKS = (1, 2, 4)  # those that asked so often are a sort apart; 0 is a sort of its own, the silent
PRIOR_SECONDS = 0.5  # the weight of what is assumed: once a second, or less if that holds of the age before
EVIDENCE = 256.0  # waits of one sort; beyond, the oldest fade
SORTS = 64  # tenants told apart; further ones share a sort and a share
FIRST_REQUEST_S = 0.25  # that a silent connection has, come what may, for its first request to arrive
LEARN_SECONDS = 0.25  # between two looks at the waits that are still going on
AHEAD_SECONDS = 0.1  # new connections of so long find a place at once: by then others have ended
PEAK_SECONDS = 5.0  # in which the most that came at once is forgotten
VALUED = 2.0  # asks a second: a place that does so much is given up only when there is no other left
SILENT = ""


@dataclass(slots=True)
class Sort:
    """What connections of one sort did: seconds waited and asks, age by age."""

    waited: list[float] = field(default_factory=lambda: [0.0] * len(AGES))
    asks: list[float] = field(default_factory=lambda: [0.0] * len(AGES))
    waits: float = 0.0

    def saw(self, age: float, asked: bool) -> None:
        """A wait has ended at this age, by an ask or otherwise."""
        for at, begin in enumerate(AGES):
            if age <= begin and at:
                break
            end = AGES[at + 1] if at + 1 < len(AGES) else math.inf
            self.waited[at] += min(age, end) - begin
        if asked:
            self.asks[bisect_right(AGES, age) - 1] += 1.0
        self.waits += 1.0
        if self.waits > EVIDENCE:
            self.waited = [value / 2 for value in self.waited]
            self.asks = [value / 2 for value in self.asks]
            self.waits /= 2

    def index(self, going_on: list[float]) -> list[float]:
        """The Gittins index by age, in asks a second of a place; `going_on` are waits not ended yet."""
        hazards, usual = [], 1.0
        for at in range(len(AGES)):
            length = AGES[at + 1] - AGES[at] if at + 1 < len(AGES) else 1.0
            assumed = PRIOR_SECONDS * length
            usual = (self.asks[at] + min(usual, 1.0) * assumed) / (self.waited[at] + going_on[at] + assumed)
            hazards.append(usual)
        best = []
        for start in range(len(AGES)):
            left, asked, held, most = 1.0, 0.0, 0.0, 0.0
            for at in range(start, len(AGES)):
                length = AGES[at + 1] - AGES[at] if at + 1 < len(AGES) else 1.0
                leaves = left * -math.expm1(-hazards[at] * length)
                asked, held, left = asked + leaves, held + leaves / hazards[at], left - leaves
                most = max(most, asked / held)
            best.append(most)
        return best


class Inflow:
    """How many come in `AHEAD_SECONDS`: the most of lately, and as many as chance may add."""

    __slots__ = ("_at", "_lately", "_peak", "most")

    def __init__(self) -> None:
        self._lately = self._peak = self._at = 0.0
        self.most = 0  # `due` is no more, whatever the time

    def came(self, now: float) -> None:
        """One more."""
        gap = max(now - self._at, 0.0)
        self._lately = self._lately * math.exp(-gap / AHEAD_SECONDS) + 1.0
        self._peak, self._at = max(self._lately, self._peak * math.exp(-gap / PEAK_SECONDS)), now
        self.most = math.ceil(self._peak + 2.0 * math.sqrt(self._peak))

    def due(self, now: float) -> int:
        """ConnectionAdmission to keep free for them."""
        peak = self._peak * math.exp(-max(now - self._at, 0.0) / PEAK_SECONDS)
        return math.ceil(peak + 2.0 * math.sqrt(peak)) if peak >= 0.5 else 0


@dataclass(slots=True)
class _Held:
    """One connection: whose it is, and since when it waits (None: a request of it is in work)."""

    peer: str
    tenant: str = SILENT
    asks: int = 0
    since: float | None = 0.0
    group: tuple[str, str, int] = (SILENT, SILENT, 0)  # while it waits

    @property
    def holder(self) -> tuple[str, str]:
        return self.peer, self.tenant


class ConnectionAdmission:
    """Decides on `most` places; of them `asking` are all that clients can ever hold to ask on."""

    def __init__(self, most: int, asking: int | None = None) -> None:
        self.max_connections, self.max_active = most, min(most, asking or most)
        self._held: dict[Hashable, _Held] = {}
        # Those that wait, by group, longest first.
        self._waiting: dict[tuple[str, str, int], dict[Hashable, float]] = {}
        self._sorts: dict[tuple[str, int], Sort] = {}
        self._index: dict[tuple[str, int], list[float]] = {}
        self._learnt = -math.inf
        self._firsts = Inflow()  # of connections that asked
        self.idle_count = self.silent_count = 0

    # --- what happens -----------------------------------------------------------------------------

    def record_open(self, conn: Hashable, peer: str, now: float) -> None:
        """A connection was accepted; it has said nothing yet."""
        held = self._held[conn] = _Held(peer)
        self._wait(conn, held, now)

    def record_request(self, conn: Hashable, now: float) -> None:
        """A request has begun to come: the wait is over."""
        held = self._held.get(conn)
        if held is None or held.since is None:
            return
        self._end_wait(conn, held, now, asked=True)
        if not held.asks:
            self._firsts.came(now)
        held.asks += 1

    def record_tenant(self, conn: Hashable, tenant: str) -> None:
        """Whose request it was."""
        held = self._held.get(conn)
        if held is None or held.tenant == tenant:
            return
        if (tenant, 1) not in self._sorts and len(self._sorts) >= SORTS * len(ASKS):
            tenant = "other"
        held.tenant = tenant

    def may_keep_alive(self, conn: Hashable, now: float) -> bool:
        """Whether a connection that is about to get its answer keeps its place; it is told if it does not."""
        held = self._held.get(conn)
        if held is None:
            return True
        if not self.is_scarce(now):
            return True
        sort = self._sort(held)
        self._sorts.setdefault(sort, Sort())
        counts = self._idle_of()
        if counts[held.holder] + 1 < self._share(counts, held.holder):
            return True
        own, worst = self._indices(now)[sort][0], self._worst(now, held.holder)
        # One that asks again soon takes no place from anyone: its client opens no further one for that.
        return own >= VALUED or (worst is not None and worst[0] < own)

    def record_idle(self, conn: Hashable, now: float) -> None:
        """A connection has its answer and waits."""
        held = self._held.get(conn)
        if held is not None and held.since is None:
            self._wait(conn, held, now)

    def idle_connections(self) -> list[Hashable]:
        """All that have no request in work."""
        return [conn for waiting in self._waiting.values() for conn in waiting]

    def record_close(self, conn: Hashable, now: float) -> None:
        """A connection has ended."""
        held = self._held.pop(conn, None)
        if held is None:
            return
        if held.since is not None:
            self._end_wait(conn, held, now, asked=False)

    # --- what follows -----------------------------------------------------------------------------

    @property
    def connection_count(self) -> int:
        """How many connections are open."""
        return len(self._held)

    def surplus_connections(self, now: float) -> Iterator[Hashable]:
        """Those that wait and are to be closed, least worth first, until there is room again.

        The caller closes each before it asks for the next, or says that it has `asked`.
        """
        passed: set[Hashable] = set()
        while self._short(now) > 0:
            worst = self._worst(now, None, passed)
            if worst is None or worst[0] >= VALUED:
                return
            passed.add(worst[1])
            yield worst[1]

    def evictions_for_new(self, now: float, most: int | None = None) -> Iterator[Hashable]:
        """The same for a connection that waits to be accepted while every place is taken, or `most` are."""
        most = self.max_connections if most is None else most
        passed: set[Hashable] = set()
        while len(self._held) >= most:
            worst = self._worst(now, None, passed, silent_too=True)
            if worst is None:
                return
            passed.add(worst[1])
            yield worst[1]

    def _crowd(self, now: float) -> int:
        return len(self._held) + self._firsts.due(now) - self.max_connections

    def is_scarce(self, now: float) -> bool:
        """Whether places are wanting for those that will come; quick where they are plenty."""
        return len(self._held) + self._firsts.most > self.max_active and self._short(now) > 0

    def _short(self, now: float) -> int:
        """How many places are wanting for those that will come."""
        taken = len(self._held) + self._firsts.due(now)
        return max(taken - self.silent_count - self.max_active, taken - self.max_connections)

    def _share(self, counts: Counter[tuple[str, str]], own: tuple[str, str] | None) -> float:
        """An even share of those that wait between requests, one more of `own` included."""
        holders = len(counts) + (own is not None and own not in counts)
        return (self.idle_count + (own is not None)) / max(holders, 1)

    def _worst(
        self,
        now: float,
        own: tuple[str, str] | None,
        passed: set[Hashable] | None = None,
        silent_too: bool = False,
    ) -> tuple[float, Hashable] | None:
        """The waiting connection of least worth among holders that have more than an even share.

        A silent one is not among them before its first request had time to come.
        """
        indices, found = self._indices(now), None
        counts = self._idle_of()
        share = self._share(counts, own)
        silent_too |= self._crowd(now) > 0
        for (peer, tenant, asks), waiting in self._waiting.items():
            holder = (peer, tenant)
            if asks and counts[holder] + (holder == own) < share:
                continue
            if not asks and not silent_too:
                continue
            for conn, since in waiting.items():
                if passed and conn in passed:
                    continue
                age = now - since
                if asks or age >= FIRST_REQUEST_S:
                    worth = indices[(tenant, asks)][bisect_right(AGES, max(age, 0.0)) - 1]
                    if found is None or worth < found[0] or (worth == found[0] and not asks):
                        found = worth, conn
                break
        return found

    # --- books ------------------------------------------------------------------------------------

    def _sort(self, held: _Held) -> tuple[str, int]:
        return held.tenant, bisect_right(ASKS, held.asks)

    def _wait(self, conn: Hashable, held: _Held, now: float) -> None:
        held.since = now
        sort = self._sort(held)
        held.group = held.peer, *sort
        if (waiting := self._waiting.get(held.group)) is None:
            waiting = self._waiting[held.group] = {}
            self._sorts.setdefault(sort, Sort())
        waiting[conn] = now
        if held.asks:
            self.idle_count += 1
        else:
            self.silent_count += 1

    def _end_wait(self, conn: Hashable, held: _Held, now: float, asked: bool) -> None:
        group = held.group
        waiting = self._waiting[group]
        del waiting[conn]
        if not waiting:
            del self._waiting[group]
        if held.asks:
            self.idle_count -= 1
        else:
            self.silent_count -= 1
        assert held.since is not None
        self._sorts[group[1:]].saw(max(now - held.since, 0.0), asked)
        held.since = None

    def _idle_of(self) -> Counter[tuple[str, str]]:
        """How many of those that have asked wait, by holder."""
        counts: Counter[tuple[str, str]] = Counter()
        for (peer, tenant, asks), waiting in self._waiting.items():
            if asks:
                counts[peer, tenant] += len(waiting)
        return counts

    def _indices(self, now: float) -> dict[tuple[str, int], list[float]]:
        """The index of every sort, looked at anew now and then."""
        if now - self._learnt < LEARN_SECONDS and all(sort in self._index for sort in self._sorts):
            return self._index
        self._learnt = now
        going_on = {sort: [0.0] * len(AGES) for sort in self._sorts}
        for (_, tenant, asks), waiting in self._waiting.items():
            seconds = going_on.setdefault((tenant, asks), [0.0] * len(AGES))
            for since in waiting.values():
                for at, begin in enumerate(AGES):
                    if now - since <= begin:
                        break
                    end = AGES[at + 1] if at + 1 < len(AGES) else math.inf
                    seconds[at] += min(now - since, end) - begin
        self._index = {sort: self._sorts[sort].index(seconds) for sort, seconds in going_on.items()}
        return self._index

    def status(self, now: float) -> dict[str, Any]:
        """What is believed, for people to look at."""
        return {
            "most": self.max_connections, "asking": self.max_active, "taken": len(self._held),
            "idle": self.idle_count, "silent": self.silent_count, "kept_free": self._firsts.due(now),
            "short_by": max(self._short(now), 0),
            "sorts": [
                {"tenant": tenant, "asked": ASKS[asks - 1] if asks else 0, "waits": round(sort.waits),
                 "ask_again": round(sum(sort.asks) / sort.waits, 3) if sort.waits else None}
                for (tenant, asks), sort in sorted(self._sorts.items())
            ],
        }  # fmt: skip
