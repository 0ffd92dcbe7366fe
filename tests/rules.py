"""Independent checker of the balancer's five rules, and a generator of valid event sequences.

The checker derives its state from events and actions only and shares no code with the balancer.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from brambleusher.loadbalancing import Balancer, api

MS = 1_000_000
SECOND = 1_000 * MS
UNRUN = {api.AttemptStatus.OVERLOADED, api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.NOT_STARTED}


class Breach(AssertionError):
    """A rule was violated."""


@dataclass
class Attempt:
    """One attempt, as observed by the checker."""

    host: str
    sent: int
    ends: int
    status: api.AttemptStatus | None = None


@dataclass
class OwedRequest:
    """One request, as observed by the checker."""

    cls: api.RequestClass
    deadline: int
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)


class Checker:
    """Checks the actions of one instance against the rules."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.requests: dict[str, OwedRequest] = {}
        self.listed_hosts: dict[str, api.HostEntry] = {}
        # Time at which each host was listed as draining or removed.
        self.unavailable_since: dict[str, int] = {}
        self.sends_while_warming_up: dict[str, list[int]] = {}
        self.used: dict[str, int] = {}  # time of the last attempt or outcome by host
        self.draining: dict[str, int] = {}  # time at which each host was listed as draining
        self.closed: dict[str, int] = {}
        self.full_rate = 0.0  # capacity of a warm host in requests per second; 0 disables the check of rule 4

    def listed(self, kind: api.ListKind, entries: list[api.HostEntry], now: int) -> None:
        if kind is api.ListKind.FAILED:
            return
        if kind is not api.ListKind.DELTA:
            for name in set(self.listed_hosts) - {entry.host for entry in entries}:
                self.unavailable_since.setdefault(name, now)
        for entry in entries:
            self.listed_hosts[entry.host] = entry
            if entry.state is api.HostState.DRAINING:
                self.draining.setdefault(entry.host, now)
            else:
                self.draining.pop(entry.host, None)
            if entry.state is api.HostState.READY:
                self.unavailable_since.pop(entry.host, None)
            else:
                self.unavailable_since.setdefault(entry.host, now)

    def action(self, action: api.Action, now: int) -> None:
        if isinstance(action, api.StartAttempt):
            self._send(action, now)
        elif isinstance(action, (api.RejectRequest, api.FailRequest)):
            owed = self.requests[action.request]
            if owed.answered:
                raise Breach("rule 1: two answers")
            if now > owed.deadline:
                raise Breach("rule 1: late answer")
            risky = [a for a in owed.attempts if a.status not in UNRUN]
            if isinstance(action, api.RejectRequest) and risky:
                effect, group = owed.cls.idempotency, owed.cls.deduplication_scope
                if effect is api.Idempotency.UNSAFE or (
                    effect is api.Idempotency.KEYED and group is not api.DeduplicationScope.ALL
                ):
                    raise Breach("rule 2: rejected what may have run")
            owed.answered = True
        elif isinstance(action, api.CloseIdleConnections):
            self.closed[action.host] = now

    def closes(self, now: int) -> None:
        """Check rule 5: idle connections to a draining host are closed within the allowed time."""
        release = self.settings.drain_release_ns
        for host, told in self.draining.items():
            since = max(told, self.used.get(host, told))
            if release and host in self.used and now > since + release and self.closed.get(host, -1) < since:
                raise Breach("rule 5: an idle connection to a draining host stayed open")

    def _send(self, action: api.StartAttempt, now: int) -> None:
        owed = self.requests[action.request]
        if owed.answered:
            raise Breach("rule 1: sent after the end")
        told = self.unavailable_since.get(action.host)
        if told is not None and now > told + self.settings.drain_grace_ns:
            raise Breach("rule 3: sent to a host that left")
        if len(owed.attempts) >= self.settings.max_attempts:
            raise Breach("rule 1: too many attempts")
        if not self.settings.hedging_enabled and any(a.status is None for a in owed.attempts):
            raise Breach("rule 2: two attempts in flight")
        risky = [a for a in owed.attempts if a.status not in UNRUN]
        if risky and owed.cls.idempotency is api.Idempotency.UNSAFE:
            raise Breach("rule 2: unsafe request repeated")
        if risky and owed.cls.idempotency is api.Idempotency.KEYED:
            first = min(risky, key=lambda a: a.sent)
            if now >= first.sent + owed.cls.deduplication_window_ns:
                raise Breach("rule 2: repeated after the window")
            here, there = self.listed_hosts[action.host], self.listed_hosts[first.host]
            group = owed.cls.deduplication_scope
            if (group is api.DeduplicationScope.ZONE and here.zone != there.zone) or (
                group is api.DeduplicationScope.CELL and here.cell != there.cell
            ):
                raise Breach("rule 2: repeated outside the group")
        self._slow_start(action.host, now)
        self.used[action.host] = now
        ends = min(owed.deadline, now + action.timeout_ns) if action.timeout_ns else owed.deadline
        owed.attempts.append(Attempt(action.host, now, ends))

    def _slow_start(self, host: str, now: int) -> None:
        """Check rule 4: attempts at a warming host stay within an even share of its budget per window."""
        entry, settings = self.listed_hosts[host], self.settings
        age = now - entry.started_ns
        if not self.full_rate or entry.started_ns <= 0 or age >= settings.warm_up_ns:
            return
        sends = self.sends_while_warming_up.setdefault(host, [])
        sends.append(now)
        grown = settings.initial_capacity + (1 - settings.initial_capacity) * age / settings.warm_up_ns
        budget = settings.overload_multiple * grown * self.full_rate * settings.overload_window_ns / SECOND
        recent = [at for at in sends if at > now - settings.overload_window_ns]
        if len(recent) > max(2.0, budget / settings.fleet_size + 1):
            raise Breach("rule 4: a host that warms up was flooded")

    def close(self) -> None:
        """Check that every request has been answered."""
        for name, owed in self.requests.items():
            if not owed.answered:
                raise Breach(f"rule 1: {name} was never answered")


class World:
    """Drives one balancer with a seeded sequence of valid events."""

    def __init__(self, settings: api.Settings, seed: int, balancer: Balancer | None = None) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.balancer = balancer or Balancer(settings, seed)
        self.checker = Checker(settings)
        self.now = SECOND
        self.timers: list[tuple[int, int]] = []
        self.actions: list[tuple[int, api.Action]] = []
        self.entries: dict[str, api.HostEntry] = {}
        self.out: list[tuple[str, int]] = []
        self.count = self.sends = self.asked = 0

    def act(self, actions: list[api.Action]) -> None:
        for action in list(actions):
            self.actions.append((self.now, action))
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at_ns, action.token))
            elif isinstance(action, api.SubscribeToEndpoints):
                self.asked += 1
            self.checker.action(action, self.now)
            if isinstance(action, api.StartAttempt):
                self.sends += 1
                owed = self.checker.requests[action.request]
                self.out.append((action.request, len(owed.attempts) - 1))

    def give(self, event: api.Event) -> None:
        self.act(self.balancer.handle(event, self.now))

    def list_hosts(self, kind: api.ListKind, entries: list[api.HostEntry]) -> None:
        self.checker.listed(kind, entries, self.now)
        self.give(api.HostListUpdated(kind, entries))

    def request(self, cls: api.RequestClass, left_ns: int, tenant: str | None = None) -> str:
        self.count += 1
        name = f"r{self.count}"
        self.checker.requests[name] = OwedRequest(cls, self.now + left_ns)
        self.give(api.RequestArrived(name, cls.name, tenant, left_ns))
        return name

    def end(
        self, name: str, attempt: int, status: api.AttemptStatus, report: api.LoadReport | None = None
    ) -> None:
        self.out.remove((name, attempt))
        owed = self.checker.requests[name]
        sent = owed.attempts[attempt]
        sent.status = status
        self.checker.used[sent.host] = self.now
        if status is api.AttemptStatus.OK:
            owed.answered = True
        self.give(
            api.AttemptEnded(name, attempt, sent.host, status, self.now - sent.sent, owed.answered, report)
        )

    def pass_time(self, gap: int) -> None:
        """Advance the clock; timers and attempt timeouts fire in order."""
        until = self.now + gap
        while True:
            due = [(at, 0, token) for at, token in self.timers]
            ends = [(self.checker.requests[n].attempts[a].ends, n, a) for n, a in self.out]
            next_timer = min(due, default=None)
            next_end = min(ends, default=None)
            if next_end is not None and next_end[0] <= min(until, next_timer[0] if next_timer else until):
                self.now = max(self.now, next_end[0])
                self.end(next_end[1], next_end[2], api.AttemptStatus.TIMEOUT)
            elif next_timer is not None and next_timer[0] <= until:
                self.now = max(self.now, next_timer[0])
                self.timers.remove((next_timer[0], next_timer[2]))
                self.give(api.TimerFired(next_timer[2]))
            else:
                break
            self.checker.closes(self.now)
        self.now = until
        self.checker.closes(until)

    def start(self, count: int) -> None:
        self.act(self.balancer.start(self.now))
        for _ in range(count):
            self.add_host()
        self.list_hosts(api.ListKind.SAVED, list(self.entries.values()))

    def add_host(self, started_ns: int = 0) -> api.HostEntry:
        number = len(self.checker.listed_hosts) + len(self.entries)
        entry = api.HostEntry(
            f"h{number}", f"z{number % 3}", f"k{number % 2}", number % 4, api.HostState.READY, 1.0, started_ns
        )
        self.entries[entry.host] = entry
        return entry

    def membership(self) -> None:
        """Send one valid update from discovery."""
        roll = self.rng.random()
        if roll < 0.2 and self.settings.subscribes_to_endpoints:
            self.list_hosts(api.ListKind.FAILED, [])
        elif roll < 0.45:
            entry = self.add_host(started_ns=self.now - self.rng.randrange(SECOND))
            self.list_hosts(api.ListKind.DELTA, [entry])
        elif self.entries:
            old = self.entries[self.rng.choice(sorted(self.entries))]
            state = self.rng.choice([api.HostState.DRAINING, api.HostState.REMOVED, api.HostState.READY])
            started = self.now if state is api.HostState.READY else old.started_ns
            new = api.HostEntry(old.host, old.zone, old.kind, old.cell, state, 1.0, started)
            self.entries[new.host] = new
            if state is api.HostState.REMOVED:
                del self.entries[new.host]
            if self.rng.random() < 0.3:
                self.list_hosts(api.ListKind.FULL, list(self.entries.values()))
            else:
                self.list_hosts(api.ListKind.DELTA, [new])

    def step(self) -> None:
        roll = self.rng.random()
        if roll < 0.35:
            cls = self.rng.choice(self.settings.classes)
            tenant = self.rng.choice(self.settings.tenants).name if self.settings.tenants else None
            self.request(cls, self.rng.randrange(cls.latency_target_ns // 2, cls.deadline_ns), tenant)
        elif roll < 0.8 and self.out:
            name, attempt = self.rng.choice(self.out)
            choices = [
                s
                for s in api.AttemptStatus
                if s not in (api.AttemptStatus.NOT_STARTED, api.AttemptStatus.CANCELLED)
            ]
            status = self.rng.choice([*[api.AttemptStatus.OK] * 6, *choices])
            if self.checker.requests[name].answered and self.rng.random() < 0.2:
                status = api.AttemptStatus.NOT_STARTED
            report = api.LoadReport(
                self.rng.choice([None, -1.0, 0.0, 0.5, 1.0, 7.0, float("nan")]),
                self.rng.choice([None, -1.0, 0.0, 10.0, float("inf")]),
            )
            self.end(name, attempt, status, report)
        elif roll < 0.84 and self.out:
            name, _ = self.rng.choice(self.out)
            self.checker.requests[name].answered = True
            self.give(api.ClientDisconnected(name))
        elif roll < 0.87:
            self.membership()
        else:
            self.pass_time(self.rng.randrange(300 * MS))

    def finish(self) -> None:
        """Let all requests end, then run the final checks."""
        self.pass_time(20 * SECOND)
        assert not self.out
        self.checker.close()
