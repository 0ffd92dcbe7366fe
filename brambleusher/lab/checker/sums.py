"""Totals over the whole fleet as curves over time, each compared with a limit.

A rule is broken by one sidecar; a total exceeds its limit through all sidecars together, although each one's
share is harmless. Add a `FleetTotals` object to a world's taps beside the checker. Like the checker, the
object uses only the wire and the nodes' shared execution log, and no code of the program. A curve's steps are
whole seconds from the creation of the object.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from brambleusher.lab.checker.books import Execution, Named, Wire
from brambleusher.lab.checker.rules import Rules

SECOND = 10**9
MAX_HANDSHAKE_FRACTION = 0.2  # largest share of one core of a node that handshakes may take
FAILURE_WINDOW_S = 5  # time, in seconds, for which a sidecar that met a failure at a node is counted there


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """Limits of one node: its machine, its connections, and the cost of a handshake in core seconds."""

    machine: str
    connections: int
    handshake_s: float


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits that the totals over a fleet are compared with."""

    nodes: tuple[NodeLimits, ...]
    calls: float  # requests for the whole list that discovery can answer per second
    rules: Rules
    discovery: str = "discovery"  # prefix of the names of all machines on which discovery runs in turn


@dataclass(slots=True)
class Curve:
    """One total, second by second; a total that is taken per node shows the highest node."""

    name: str
    what: str
    limit: float | None  # None for a curve without a limit
    values: list[float] = field(default_factory=list)

    def raise_to(self, step: int, value: float) -> None:
        """Raise the value of a second to at least `value`."""
        while len(self.values) <= step:
            self.values.append(0.0)
        self.values[step] = max(self.values[step], value)

    @property
    def highest(self) -> float:
        """The highest value over all seconds."""
        return max(self.values, default=0.0)

    @property
    def is_exceeded(self) -> bool:
        """Whether any second exceeded the limit."""
        return self.limit is not None and self.highest > self.limit


class FleetTotals:
    """The totals of one run; times are in nanoseconds on the world's monotonic clock.

    The ends of a connection are identified by their machines, because between real processes each pair of
    machines has addresses of its own.
    """

    def __init__(self, now: int, limits: FleetLimits) -> None:
        self._start, self._limits = now, limits
        self._nodes = {node.machine: node for node in limits.nodes}
        # Machine of the node at the end of each open connection, by the connection's number.
        self._open_connections: dict[int, str] = {}
        # Client machine of each connection that has a request pending, by the connection's number.
        self._request_pending: dict[int, str] = {}
        self._connections_per_node: Counter[str] = Counter()
        self._opens_per_step: Counter[tuple[int, str]] = Counter()
        self._calls_per_step: Counter[int] = Counter()
        self._recent_failures: dict[str, deque[tuple[int, str]]] = {}
        self.total_opened = self.total_calls = 0
        self.held = Curve("held", "connections at a node, of those it can hold", 1.0)
        self.all_held = Curve("held in all", "connections at all nodes", None)
        self.opens = Curve("opens", "handshakes' part of a core of a node", MAX_HANDSHAKE_FRACTION)
        self.calls = Curve("calls", "calls for the list a second", limits.calls)
        self.cold = Curve("cold", "work sent to a cold node, of its budget", 1.0)
        self.copies = Curve("copies", "sidecars that met a failure at the same node", None)

    @property
    def curves(self) -> tuple[Curve, ...]:
        """All curves."""
        return self.held, self.all_held, self.opens, self.calls, self.cold, self.copies

    def _step(self, now: int) -> int:
        return (now - self._start) // SECOND

    # --- taps -----------------------------------------------------------------------------------

    def opened(self, now: int, conn: Wire) -> None:
        """Count a connect: a handshake at a node, or a call for the list at discovery."""
        step, target = self._step(now), conn.server.machine
        if target.startswith(self._limits.discovery):
            self.total_calls += 1
            self._calls_per_step[step] += 1
            self.calls.raise_to(step, self._calls_per_step[step])
        elif (node := self._nodes.get(target)) is not None:
            self.total_opened += 1
            self._opens_per_step[step, target] += 1
            self.opens.raise_to(step, self._opens_per_step[step, target] * node.handshake_s)

    def established(self, now: int, conn: Wire) -> None:
        """Count an established connection among those that its node holds."""
        target = conn.server.machine
        if (node := self._nodes.get(target)) is None or conn.id in self._open_connections:
            return
        self._open_connections[conn.id] = target
        self._connections_per_node[target] += 1
        step = self._step(now)
        self.held.raise_to(step, self._connections_per_node[target] / node.connections)
        self.all_held.raise_to(step, len(self._open_connections))

    def sent(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """Record whether a request is pending on a connection."""
        if conn.id in self._open_connections:
            if side == "client":
                self._request_pending[conn.id] = conn.client.machine
            else:
                self._request_pending.pop(conn.id, None)

    def ended(self, now: int, conn: Wire, side: str, how: str) -> None:
        """Record the end of a connection; an end while a request is pending counts as a failure."""
        if how == "reset" or side == "client":
            self._connection_ended(now, conn)

    def closed(self, now: int, conn: Wire, side: str) -> None:
        """Record a close by either side; a sidecar also closes a connection to give up a request."""
        self._connection_ended(now, conn)

    def accepted(self, now: int, conn: Wire) -> None:
        """Do nothing: a connection counts from its establishment on."""

    def refused(self, now: int, conn: Wire) -> None:
        """Do nothing: a refused connection was never counted."""

    def arrived(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """Do nothing: bytes count when they are sent."""

    def read(self, now: int, conn: Wire, side: str, data: bytes) -> None:
        """Do nothing: bytes count when they are sent."""

    def process(self, now: int, machine: Named | str, what: str) -> None:
        """Do nothing: connections that end with a process are reported as closed."""

    def _connection_ended(self, now: int, conn: Wire) -> None:
        target = self._open_connections.pop(conn.id, None)
        if target is None:
            return
        self._connections_per_node[target] -= 1
        if (who := self._request_pending.pop(conn.id, None)) is not None:
            recent = self._recent_failures.setdefault(target, deque())
            recent.append((now, who))
            while recent[0][0] <= now - FAILURE_WINDOW_S * SECOND:
                recent.popleft()
            self.copies.raise_to(self._step(now), len({name for _, name in recent}))

    # --- the end --------------------------------------------------------------------------------

    def finish(self, executions: Sequence[Execution]) -> None:
        """Add the work that cold nodes received, from the nodes' execution log in order of arrival."""
        pushed: dict[tuple[str, int], deque[tuple[int, float]]] = {}
        rules = self._limits.rules
        for each in executions:
            if not each.cold:
                continue
            recent = pushed.setdefault((each.node, each.process), deque())
            recent.append((each.came_ns, each.work_s))
            while recent[0][0] <= each.came_ns - rules.fall_ns:
                recent.popleft()
            budget = rules.warm_up_budget(each.capacity)
            self.cold.raise_to(self._step(each.came_ns), sum(work for _, work in recent) / budget)

    def exceeded_limits(self) -> list[str]:
        """Describe the limits that were exceeded, each with the second of the highest value."""
        return describe_exceeded(self.curves)

    def table(self) -> list[str]:
        """Format the curves as a table with a line per second, the highest values, the limits and totals."""
        totals = f"{self.total_opened} connections opened, {self.total_calls} calls for the list"
        return [*format_table(self.curves), totals]


def describe_exceeded(curves: Sequence[Curve]) -> list[str]:
    """Describe the limits that curves exceed, each with the second of the highest value."""
    return [
        f"{curve.name}: {curve.highest:.3g} of at most {curve.limit:.3g} at {_at(curve)} s: {curve.what}"
        for curve in curves
        if curve.is_exceeded
    ]


def format_table(curves: Sequence[Curve]) -> list[str]:
    """Format curves as a table with a line per second, then the highest values and the limits."""
    lines = ["  s " + "".join(f"{curve.name:>13}" for curve in curves)]
    for step in range(max((len(curve.values) for curve in curves), default=0)):
        cells = (curve.values[step] if step < len(curve.values) else 0.0 for curve in curves)
        lines.append(f"{step:3d} " + "".join(f"{value:13.3g}" for value in cells))
    limits = ("-" if curve.limit is None else f"{curve.limit:.3g}" for curve in curves)
    lines.append("most" + "".join(f"{curve.highest:13.3g}" for curve in curves))
    lines.append("lim." + "".join(f"{limit:>13}" for limit in limits))
    return lines


def _at(curve: Curve) -> int:
    return max(range(len(curve.values)), key=lambda step: curve.values[step])
