"""Run of one scenario in virtual time: a fleet in a world, the checker, and a digest of all traffic.

Nothing in this module reads a real clock or draws an unseeded random number; the command line
(`cli/explore.py`) distributes seeds over processes and measures the time they take.
"""

from __future__ import annotations

import hashlib
import logging
import math
import traceback
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from dataclasses import dataclass, field, replace
from typing import Any, cast

import msgspec

from brambleusher.lab.checker import Breach, Checker, Rules
from brambleusher.lab.checker.sums import FleetLimits, FleetTotals, NodeLimits
from brambleusher.lab.fleets.fleet import Fleet, empty_world, node_machine
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.virtual.network import Connection
from brambleusher.lab.virtual.world import Machine, ProcessLog, Tap, World
from brambleusher.observability.log_format import KeyValueFormatter

SECOND = 10**9
FAULT = "fault"  # rule that an exception in the program breaks; the checker can't see exceptions
LAB = "lab"  # rule for an exception in the lab itself: the run is invalid, and must not count as passed
ENDLESS = "endless"  # rule for a run that took more processor time than its caller allows
DUMP_NS = SECOND  # time given to sidecars for writing their captures
OUTPUT_BYTES = 4 * 1024 * 1024  # bytes of standard error kept per process, so that a whole capture fits
MAX_SHOWN_CHARS = 100  # largest number of characters that a timeline shows of sent bytes


class RunTimeout(BaseException):
    """Raised by a caller of `play`, at any point of the run, to end a run that takes too long.

    The class is no `Exception`, so that exception handlers of the program let it through.
    """


class Digest(Tap):
    """Tap that hashes the time, connection and bytes of every step on the wire."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=16)
        self.events = self.bytes = 0

    def _add(self, *words: object, data: bytes = b"") -> None:
        self.events += 1
        self.bytes += len(data)
        self._hash.update(repr(words).encode())
        self._hash.update(data)

    def opened(self, now: int, conn: Connection) -> None:
        """Hash the start of a connect with both its ends."""
        self._add("o", now, conn.id, conn.client.machine, conn.client.port, conn.server.ip, conn.server.port)

    def established(self, now: int, conn: Connection) -> None:
        """Hash the establishment of a connection."""
        self._add("e", now, conn.id)

    def accepted(self, now: int, conn: Connection) -> None:
        """Hash the accept of a connection."""
        self._add("a", now, conn.id)

    def refused(self, now: int, conn: Connection) -> None:
        """Hash the refusal of a connect."""
        self._add("r", now, conn.id)

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Hash sent bytes."""
        self._add("s", now, conn.id, side, data=data)

    def arrived(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Hash the number of arrived bytes; their content was hashed when they were sent."""
        self._add("v", now, conn.id, side, len(data))

    def ended(self, now: int, conn: Connection, side: str, how: str) -> None:
        """Hash the end of a connection as it reaches a side."""
        self._add("n", now, conn.id, side, how)

    def closed(self, now: int, conn: Connection, side: str) -> None:
        """Hash the close of a side."""
        self._add("c", now, conn.id, side)

    def process(self, now: int, machine: Machine, what: str) -> None:
        """Hash a change of a process."""
        self._add("p", now, machine.name, what)

    def hex(self) -> str:
        """Return the digest of all steps so far in hexadecimal."""
        return self._hash.hexdigest()


class TimeLine(Tap):
    """Tap that writes a line of text for each connect, transmission, close and process change."""

    def __init__(
        self, say: Callable[[str], object], start_ns: int, faults: Iterable[tuple[int, str]] = ()
    ) -> None:
        self._say, self._start = say, start_ns
        # Faults are written with the first line at or after their time: scheduling an event for them would
        # change the run.
        self._faults = deque(sorted(faults))

    def line(self, now: int, text: str) -> None:
        """Write a line with its virtual time in seconds."""
        while self._faults and self._faults[0][0] <= now:
            self._write(*self._faults.popleft())
        self._write(now, text)

    def _write(self, now: int, text: str) -> None:
        self._say(f"{(now - self._start) / SECOND:14.9f}  {text}")

    @staticmethod
    def _ends(conn: Connection, side: str) -> str:
        here, there = (conn.client, conn.server) if side == "client" else (conn.server, conn.client)
        return f"{here.machine} -> {there.machine} #{conn.id}"

    def opened(self, now: int, conn: Connection) -> None:
        """Write a line for a connect."""
        self.line(now, f"{self._ends(conn, 'client')} connects to {conn.server.ip}:{conn.server.port}")

    def refused(self, now: int, conn: Connection) -> None:
        """Write a line for a refused connect."""
        self.line(now, f"{self._ends(conn, 'client')} is refused")

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Write a line for sent bytes: their number, their first line and the request's id, if any."""
        head = data[:2048].decode("latin-1")
        first = head.split("\r\n", 1)[0]
        named = next(
            (line for line in head.split("\r\n") if line.lower().startswith("request-id:")), ""
        ).partition(":")[2]
        text = first if len(first) <= MAX_SHOWN_CHARS else first[:MAX_SHOWN_CHARS] + "..."
        self.line(now, f"{self._ends(conn, side)} sends {len(data)} bytes {text!r}{named}")

    def ended(self, now: int, conn: Connection, side: str, how: str) -> None:
        """Write a line for the end of a connection as it reaches a side."""
        other = "server" if side == "client" else "client"
        self.line(now, f"{self._ends(conn, other)} {how}")

    def process(self, now: int, machine: Machine, what: str) -> None:
        """Write a line for a change of a process."""
        self.line(now, f"{machine.name} {what}")


class LoggedExceptions(logging.Handler):
    """Handler that reports each exception in the program's log as a breach."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world
        self.breaches: list[Breach] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Report a record that carries an exception."""
        if record.exc_info and record.exc_info[0] is not None:
            process = self._world.current
            who = "the lab" if process is None else process.name
            what = f"{record.getMessage()}: {record.exc_info[0].__name__}: {record.exc_info[1]}"
            trace = logging.Formatter().formatException(record.exc_info)
            now = self._world.now_ns
            self.breaches.append(
                Breach(FAULT, now, who, what, tuple((now, row) for row in trace.split("\n")))
            )


class ExitErrors(Tap):
    """Tap that reports each process whose main program raised an exception, in a sidecar or a stand-in."""

    def __init__(self) -> None:
        self.breaches: list[Breach] = []

    def process(self, now: int, machine: Machine, what: str) -> None:
        """Report an exited process; a process that has just exited is still its machine's last one."""
        process = machine.process
        if what != "exited" or process is None or process.error is None:
            return
        what = f"its main program raised {type(process.error).__name__}: {process.error}"
        rows = traceback.format_exception(process.error)
        trail = tuple((now, row) for row in "".join(rows).splitlines())
        rule = ENDLESS if isinstance(process.error, RunTimeout) else FAULT
        self.breaches.append(Breach(rule, now, process.name, what, trail))


@contextmanager
def redirect_log(handlers: list[logging.Handler]) -> Iterator[None]:
    """Send the program's log to the given handlers alone within the context."""
    log = logging.getLogger("brambleusher")
    before = log.handlers[:], log.level, log.propagate
    log.handlers[:], log.propagate = handlers, False
    log.setLevel(min((handler.level for handler in handlers), default=logging.CRITICAL) or logging.INFO)
    try:
        yield
    finally:
        log.handlers[:], log.propagate = before[0], before[2]
        log.setLevel(before[1])


@dataclass(slots=True)
class Result:
    """The outcome of one run; the object can be pickled and sent to another process."""

    seed: int
    profile: str
    digest: str
    breaches: list[Breach]
    asked: int  # number of requests that clients tried to send, each counted once
    requests_received: int  # number of tries that reached sidecars completely
    served: int
    attempts: int
    events: int  # number of steps on the wire
    virtual_s: float
    faults: Counter[str] = field(default_factory=Counter)  # number of planned faults by kind
    breach_count: int = 0  # number of all breaches, kept or not
    sums: FleetTotals | None = None  # totals over the fleet, if they were requested

    @property
    def rules(self) -> list[str]:
        """The rules that were broken."""
        return sorted({breach.rule for breach in self.breaches})


def play(
    scenario: Scenario,
    mutation: AbstractContextManager[object] | None = None,
    say: Callable[[str], object] | None = None,
    stop_at_breach: bool = False,
    sums: bool = False,
) -> Result:
    """Play a scenario to its end and check it.

    Args:
        scenario: The scenario to play.
        mutation: A context that breaks the program on purpose during the run.
        say: A function that gets the lines of the timeline.
        stop_at_breach: Whether to end the run at the first breach.
        sums: Whether to compute the totals over the fleet.
    """
    with empty_world(scenario) as world, mutation or nullcontext():
        world.settings = replace(world.settings, output_bytes=OUTPUT_BYTES)
        rules = Rules.from_settings(scenario.world.sidecar_settings(0))
        fleet = Fleet(scenario, world)
        checker = Checker(rules, fleet.executions)
        fleet.monitor = checker
        digest, logged_errors, exit_errors = Digest(), LoggedExceptions(world), ExitErrors()
        world.taps += [cast(Tap, checker), digest, exit_errors]
        totals: FleetTotals | None = None
        if sums:
            totals = FleetTotals(world.now_ns, fleet_limits(scenario, rules))
            world.taps.append(cast(Tap, totals))
        handlers: list[logging.Handler] = [logged_errors]
        line: TimeLine | None = None
        if say is not None:
            line = TimeLine(
                say,
                world.now_ns,
                (
                    (fleet.begins_ns + int(fault.at_s * SECOND), f"fault: {_to_plain_data(fault)}")
                    for fault in scenario.faults
                ),
            )
            world.taps.append(line)
            log = _TimeLineHandler(world, line)
            log.setFormatter(KeyValueFormatter())
            handlers.append(log)
        world.step_hooks.append(lambda: checker.step(world.now_ns))
        begun = world.now_ns
        with redirect_log(handlers):
            try:
                fleet.start()
                if stop_at_breach:
                    world.run(fleet.ends_ns, lambda: bool(checker.breaches or logged_errors.breaches))
                if not (stop_at_breach and (checker.breaches or logged_errors.breaches)):
                    _finish_run(fleet, checker)
            except (Exception, RunTimeout) as error:
                trail = tuple((world.now_ns, row) for row in traceback.format_exc().splitlines())
                what = f"{type(error).__name__}: {error}"
                rule = ENDLESS if isinstance(error, RunTimeout) else LAB
                logged_errors.breaches.append(Breach(rule, world.now_ns, "the lab", what, trail))
        if totals is not None:
            totals.finish(fleet.executions)
        others = logged_errors.breaches + exit_errors.breaches
        breaches = sorted(checker.breaches + others, key=lambda breach: breach.at_ns)
        if line is not None:
            for breach in breaches:
                for row in str(breach).split("\n"):
                    line.line(breach.at_ns, f"BREACH {row}")
        return Result(
            seed=scenario.seed, profile=scenario.profile, digest=digest.hex(), breaches=breaches,
            asked=sum(bool(each.tries) for each in fleet.asked),
            requests_received=checker.requests_received, served=checker.served,
            attempts=checker.attempts, events=digest.events,
            virtual_s=(world.now_ns - begun) / SECOND,
            faults=Counter(str(_to_plain_data(fault)["kind"]) for fault in scenario.faults),
            breach_count=checker.breach_count + len(others), sums=totals,
        )  # fmt: skip


def fleet_limits(scenario: Scenario, rules: Rules) -> FleetLimits:
    """Derive the limits on the totals over a fleet from the scenario's world."""
    world, discovery = scenario.world, scenario.world.discovery
    nodes = (
        NodeLimits(node_machine(number), node.settings.connections, node.settings.handshake_work_s)
        for number, node in enumerate(world.nodes)
    )
    full_list_s = discovery.call_s + discovery.line_s * sum(not node.spare for node in world.nodes)
    return FleetLimits(tuple(nodes), 1 / full_list_s if full_list_s > 0 else math.inf, rules)


def _finish_run(fleet: Fleet, checker: Checker) -> None:
    world = fleet.world
    world.run(fleet.ends_ns)
    ends = fleet.quiesce()
    leaks = [text for end in ends for text in end.leaks()]
    dumped = [(sidecar, sidecar.process) for sidecar in fleet.sidecars if sidecar.up]
    fleet.dump()
    world.run(world.now_ns + DUMP_NS)
    for sidecar, process in dumped:
        # A sidecar that was restarted after the request for its dump has no capture to check.
        if sidecar.up and sidecar.process is process and sidecar.spec.capture:
            checker.captured(world.now_ns, sidecar.machine.name, sidecar.stderr)
    unreached = [
        (each.due_ns, each.ask.id)
        for each in fleet.asked
        if each.tries and all(last.end == "unreachable" for last in each.tries)
    ]
    checker.finish(world.now_ns, leaks, unreached)


def _to_plain_data(fault: object) -> dict[str, Any]:
    """Return a fault as plain data, as written to files."""
    raw = msgspec.to_builtins(fault)
    assert isinstance(raw, dict)
    return raw


class _TimeLineHandler(ProcessLog):
    """Handler that writes the program's log records into the timeline."""

    def __init__(self, world: World, line: TimeLine) -> None:
        super().__init__(world)
        self._line = line
        self.setLevel(logging.INFO)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line of the timeline."""
        process = self._world.current
        who = "the lab" if process is None else process.name
        self._line.line(self._world.now_ns, f"{who} logs {self.format(record)}")


def shrink(
    scenario: Scenario,
    rule: str,
    fails: Callable[[Scenario], bool],
    report: Callable[[str], object] = lambda text: None,
) -> Scenario:
    """Remove faults and requests from a scenario as long as `fails` reports that the rule is still broken.

    The method is delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input",
    2002) on complements only: it drops parts of a list, from halves down to single items, until every item
    left is needed.
    """
    for field_name in ("faults", "asks"):
        scenario = _remove_items(scenario, field_name, fails, report)
    last_ask_s = max((ask.at_s for ask in scenario.asks), default=0.0)
    last_fault_end_s = max((fault.at_s + fault.for_s for fault in scenario.faults), default=0.0)
    shorter = max(last_ask_s, last_fault_end_s) + 1.0
    if shorter < scenario.world.length_s:
        world = msgspec.structs.replace(
            scenario.world, length_s=shorter, faults_s=min(scenario.world.faults_s, shorter)
        )
        shortened = msgspec.structs.replace(scenario, world=world)
        if fails(shortened):
            scenario = shortened
    return msgspec.structs.replace(scenario, note=f"breaks the rule {rule}")


def _remove_items(
    scenario: Scenario, field_name: str, fails: Callable[[Scenario], bool], report: Callable[[str], object]
) -> Scenario:
    items: tuple[Any, ...] = getattr(scenario, field_name)
    size = max(1, len(items) // 2)
    while items:
        at, dropped = 0, False
        while at < len(items):
            fewer = items[:at] + items[at + size :]
            smaller = msgspec.structs.replace(scenario, **{field_name: fewer})
            if (fewer or field_name == "faults") and fails(smaller):
                scenario, items, dropped = smaller, fewer, True
                report(f"{len(items)} {field_name} left")
            else:
                at += size
        if size == 1 and not dropped:
            break
        size = max(1, size // 2)
    return scenario
