"""Books over the whole fleet: what sidecars do together, as curves over time, each against a stated limit.

A rule is broken by one sidecar; a sum is passed by all of them, each doing what is harmless alone.  Hang it
on a world's taps beside the checker.  Like the checker it goes by the wire and by the nodes' common book, and
shares no code with the program.  Steps are whole seconds from the moment it was made.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from brambleusher.lab.checker.books import Execution, Named, Wire
from brambleusher.lab.checker.rules import Rules

SECOND = 10**9
OPEN_PART = 0.2  # of a core of a node, that handshakes may take
FAILED_SECONDS = 5  # within which sidecars that learn the same of a node learn it anew


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """One node: its machine, the connections it holds, what a handshake costs it in core seconds."""

    machine: str
    connections: int
    handshake_s: float


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """What the sums are held against."""

    nodes: tuple[NodeLimits, ...]
    calls: float  # a second, that discovery can answer with the whole list
    rules: Rules
    discovery: str = "discovery"  # its machine; those that it moves to have names that begin so


@dataclass(slots=True)
class Curve:
    """One sum, second by second; what is told is the worst node where nodes differ."""

    name: str
    what: str
    limit: float | None  # None: told, and held against nothing
    values: list[float] = field(default_factory=list)

    def raise_to(self, step: int, value: float) -> None:
        """The most of a second."""
        while len(self.values) <= step:
            self.values.append(0.0)
        self.values[step] = max(self.values[step], value)

    @property
    def most(self) -> float:
        """Of all seconds."""
        return max(self.values, default=0.0)

    @property
    def passed(self) -> bool:
        """Whether the limit was passed at some time."""
        return self.limit is not None and self.most > self.limit


class Sums:
    """One run's sums.  Times are nanoseconds on the world's monotonic clock.

    Ends are told apart by their machines: between real processes each pair has addresses of its own.
    """

    def __init__(self, now: int, limits: FleetLimits) -> None:
        self._start, self._limits = now, limits
        self._nodes = {node.machine: node for node in limits.nodes}
        self._open: dict[int, str] = {}  # connections that are up, by number
        self._waiting: dict[int, str] = {}  # those with a request out: whose
        self._held: Counter[str] = Counter()
        self._opens: Counter[tuple[int, str]] = Counter()
        self._calls: Counter[int] = Counter()
        self._failed: dict[str, deque[tuple[int, str]]] = {}
        self.opened_in_all = self.called_in_all = 0
        self.held = Curve("held", "connections at a node, of those it can hold", 1.0)
        self.all_held = Curve("held in all", "connections at all nodes", None)
        self.opens = Curve("opens", "handshakes' part of a core of a node", OPEN_PART)
        self.calls = Curve("calls", "calls for the list a second", limits.calls)
        self.cold = Curve("cold", "work sent to a cold node, of its budget", 1.0)
        self.copies = Curve("copies", "sidecars that met a failure at the same node", None)

    @property
    def curves(self) -> tuple[Curve, ...]:
        """All of them."""
        return self.held, self.all_held, self.opens, self.calls, self.cold, self.copies

    def _step(self, now: int) -> int:
        return (now - self._start) // SECOND

    # --- taps -----------------------------------------------------------------------------------

    def opened(self, now: int, conn: Wire) -> None:
        """A connection is asked for: at a node it costs a handshake, at discovery it is a call."""
        step, target = self._step(now), conn.server.machine
        if target.startswith(self._limits.discovery):
            self.called_in_all += 1
            self._calls[step] += 1
            self.calls.raise_to(step, self._calls[step])
        elif (node := self._nodes.get(target)) is not None:
            self.opened_in_all += 1
            self._opens[step, target] += 1
            self.opens.raise_to(step, self._opens[step, target] * node.handshake_s)

    def established(self, now: int, conn: Wire) -> None:
        """It is up, and holds a place."""
        target = conn.server.machine
        if (node := self._nodes.get(target)) is None or conn.id in self._open:
            return
        self._open[conn.id] = target
        self._held[target] += 1
        step = self._step(now)
        self.held.raise_to(step, self._held[target] / node.connections)
        self.all_held.raise_to(step, len(self._open))

    def sent(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """A request goes out, or an answer comes."""
        if conn.id in self._open:
            if side == "client":
                self._waiting[conn.id] = conn.client.machine
            else:
                self._waiting.pop(conn.id, None)

    def ended(self, now: int, conn: Wire, side: str, how: str) -> None:
        """The end came to a side; under a request that is a failure."""
        if how == "reset" or side == "client":
            self._over(now, conn)

    def closed(self, now: int, conn: Wire, side: str) -> None:
        """A side closed it; so a sidecar gives up a request as well."""
        self._over(now, conn)

    def accepted(self, now: int, conn: Wire) -> None:
        """Nothing: a place is held from the moment it is up."""

    def refused(self, now: int, conn: Wire) -> None:
        """Nothing was held."""

    def arrived(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """Nothing: what was sent counts."""

    def read(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """Nothing."""

    def process(self, now: int, machine: Named | str, what: str) -> None:
        """Nothing: connections that end with a process are told as closed."""

    def _over(self, now: int, conn: Wire) -> None:
        target = self._open.pop(conn.id, None)
        if target is None:
            return
        self._held[target] -= 1
        if (who := self._waiting.pop(conn.id, None)) is not None:
            lately = self._failed.setdefault(target, deque())
            lately.append((now, who))
            while lately[0][0] <= now - FAILED_SECONDS * SECOND:
                lately.popleft()
            self.copies.raise_to(self._step(now), len({name for _, name in lately}))

    # --- the end --------------------------------------------------------------------------------

    def finish(self, executions: Sequence[Execution]) -> None:
        """The run is over: take what cold nodes were sent from their book, in order of arrival."""
        pushed: dict[tuple[str, int], deque[tuple[int, float]]] = {}
        rules = self._limits.rules
        for each in executions:
            if not each.cold:
                continue
            lately = pushed.setdefault((each.node, each.process), deque())
            lately.append((each.came_ns, each.work_s))
            while lately[0][0] <= each.came_ns - rules.fall_ns:
                lately.popleft()
            budget = rules.cold_budget(each.capacity)
            self.cold.raise_to(self._step(each.came_ns), sum(work for _, work in lately) / budget)

    def passed(self) -> list[str]:
        """The limits that were passed, in words, with the second in which most was."""
        return passed(self.curves)

    def table(self) -> list[str]:
        """A line a second, and one of limits."""
        told = f"{self.opened_in_all} connections opened, {self.called_in_all} calls for the list"
        return [*table(self.curves), told]


def passed(curves: Sequence[Curve]) -> list[str]:
    """The limits that curves pass, in words, with the second in which most was."""
    return [
        f"{curve.name}: {curve.most:.3g} of at most {curve.limit:.3g} at {_at(curve)} s: {curve.what}"
        for curve in curves
        if curve.passed
    ]


def table(curves: Sequence[Curve]) -> list[str]:
    """A line a second, then the most and the limits."""
    lines = ["  s " + "".join(f"{curve.name:>13}" for curve in curves)]
    for step in range(max((len(curve.values) for curve in curves), default=0)):
        cells = (curve.values[step] if step < len(curve.values) else 0.0 for curve in curves)
        lines.append(f"{step:3d} " + "".join(f"{value:13.3g}" for value in cells))
    told = ("-" if curve.limit is None else f"{curve.limit:.3g}" for curve in curves)
    lines.append("most" + "".join(f"{curve.most:13.3g}" for curve in curves))
    lines.append("lim." + "".join(f"{limit:>13}" for limit in told))
    return lines


def _at(curve: Curve) -> int:
    return max(range(len(curve.values)), key=lambda step: curve.values[step])
