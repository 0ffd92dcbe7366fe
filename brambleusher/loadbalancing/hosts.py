"""A host and a request, and what a balancer knows of them; each refers to the other.

A list may have thousands of hosts of which a proxy uses a few.  What only those in use need is made when
they are first used; the others are a record of plain fields.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import Any

from brambleusher.loadbalancing import api

HEALTH_PRIOR = 2.0  # attempts assumed served, so that one failure does not condemn a quiet host
RESERVE = 0.25  # below this free share of the fleet, weights lean towards capacity
OVERTAKEN = 2  # attempts sent later and answered sooner by the same host: in a queue there are none
FIRST: Any = (-1,) * OVERTAKEN  # where no answer has come yet
NOTHING: Any = MappingProxyType({})  # what a host has out that was never in use: of thousands, most are
UNUSED: Any = ()  # and what it was seen to do


class Host:
    """A host, what is known of it, and its tokens."""

    __slots__ = (
        "rank", "name", "zone", "kind", "cell", "local", "ready", "out", "lost", "weight", "room", "credit",
        "tokens", "started_ns", "sum_qps", "sum_util", "throughput", "util", "util_ns", "late_n", "late_sum",
        "served", "failed", "turned", "pi", "passed", "shut_ns", "used_ns", "closing_ns", "draining",
        "linked", "cold_level", "cold_seen_ns", "size",
    )  # fmt: skip

    def __init__(self, entry: api.HostEntry, local: bool, classes: int, rank: float = 0.0) -> None:
        self.rank = rank  # a seeded place in this proxy's order of preference, and the phase of cold credit
        self.name, self.zone, self.kind, self.cell = entry.host, entry.zone, entry.kind, entry.cell
        self.local, self.ready, self.size = local, True, 1.0
        self.out: dict[tuple[str, int], tuple[Request, int]] = NOTHING  # oldest first
        self.lost: dict[tuple[str, int], tuple[Request, int]] = NOTHING  # out, and no answer is expected
        self.late_n: list[float] = UNUSED
        self.late_sum: list[float] = UNUSED
        self.passed: list[int] = FIRST
        self.weight = self.room = self.credit = 0.0
        self.tokens = 0
        self.forget(entry.started_ns, 0)
        if classes:
            self.begin(classes)

    def begin(self, classes: int) -> None:
        """It is in use from now on; only `forget` may be called before."""
        if self.out is NOTHING:
            self.out, self.lost = {}, {}
            self.late_n, self.late_sum = [0.0] * classes, [0.0] * classes
            self.passed = list(FIRST)

    def forget(self, started_ns: int, classes: int) -> None:
        """A (re)started process shares nothing with what ran under this name before."""
        self.started_ns = started_ns
        self.sum_qps = self.sum_util = self.throughput = self.util = 0.0
        self.util_ns = -1
        self.late_n = [0.0] * classes if classes else UNUSED
        self.late_sum = [0.0] * classes if classes else UNUSED
        self.served = self.failed = self.turned = self.pi = 0.0
        # When the attempts answered here that were sent last were sent.
        self.passed = list(FIRST) if classes else FIRST
        self.shut_ns = self.used_ns = self.closing_ns = 0
        self.draining = self.linked = False  # told to drain; a connection is thought to be open
        self.cold_level, self.cold_seen_ns = self.rank, started_ns

    @property
    def health(self) -> float:
        """Served share of recent attempts, from 0 to 1."""
        good = self.served + HEALTH_PRIOR
        return good / (good + self.failed)

    @property
    def welcome(self) -> float:
        """What it takes of what it is sent: one that turns away at once looks idle and draws most turns."""
        good = self.served + HEALTH_PRIOR
        return good / (good + self.turned) if self.util < 1 - RESERVE else 1.0

    @property
    def capacity(self) -> float | None:
        """Requests a second at full use; summed before dividing, so quiet moments weigh little."""
        return self.sum_qps / self.sum_util if self.sum_util > 0.01 and self.sum_qps > 0 else None


class Request:
    """A request that is owed an answer, or whose attempts are still out."""

    def __init__(self, rid: str, cls: int, now: int, left_ns: int) -> None:
        self.id, self.cls, self.deadline_ns = rid, cls, now + left_ns
        self.half_ns = now + left_ns // 2  # by then a request that reached no host is to be given up
        self.reached = False  # an attempt was written whole
        self.attempts: list[tuple[Host, int, int]] = []  # host, time and idle time of its connection
        self.out = self.lost = 0  # attempts out, and those of them that are written off
        self.closed = self.ran = self.passing = False  # passing: its body leaves as it comes, once
        self.origin: Host | None = None  # of the first attempt that ran, or may yet: its group binds
        self.first_ran_ns = 0
