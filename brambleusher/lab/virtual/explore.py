"""One run of a scenario: the fleet in its world, the checker on its wires, a digest of all that passed.

Nothing here reads a real clock or draws a real random number; the command line (`cli/explore.py`) hands
out seeds to processes and counts what they took.
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
from brambleusher.lab.checker.sums import FleetLimits, NodeLimits, Sums
from brambleusher.lab.fleets.fleet import Fleet, empty_world, node_machine
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.virtual.network import Connection
from brambleusher.lab.virtual.world import Machine, ProcessLog, Tap, World
from brambleusher.observability.log_format import KeyValueFormatter

SECOND = 10**9
FAULT = "fault"  # the rule that a task of the program which raises breaks; the checker can't see it
LAB = "lab"  # the lab itself raised: a run that says nothing, and never passes for one without a breach
ENDLESS = "endless"  # the run took more processor time than its caller allows
DUMP_NS = SECOND  # so long a sidecar may take to write its capture
OUTPUT_BYTES = 4 * 1024 * 1024  # of standard error: a whole capture has to fit
SHORT = 100  # characters of what was sent that a time line shows


class Endless(BaseException):
    """Raised by a caller of `play`, wherever the run is, to end one that goes on and on.

    Not an `Exception`, so that the program's guards let it pass.
    """


class Digest(Tap):
    """A hash of every step on the wire: its time, its connection, its bytes."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=16)
        self.events = self.bytes = 0

    def _add(self, *words: object, data: bytes = b"") -> None:
        self.events += 1
        self.bytes += len(data)
        self._hash.update(repr(words).encode())
        self._hash.update(data)

    def opened(self, now: int, conn: Connection) -> None:
        """Who asked for a connection, and to whom."""
        self._add("o", now, conn.id, conn.client.machine, conn.client.port, conn.server.ip, conn.server.port)

    def established(self, now: int, conn: Connection) -> None:
        """It is up."""
        self._add("e", now, conn.id)

    def accepted(self, now: int, conn: Connection) -> None:
        """It was accepted."""
        self._add("a", now, conn.id)

    def refused(self, now: int, conn: Connection) -> None:
        """It was refused."""
        self._add("r", now, conn.id)

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Bytes were sent."""
        self._add("s", now, conn.id, side, data=data)

    def arrived(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Bytes arrived: those that were sent, so that their count says enough."""
        self._add("v", now, conn.id, side, len(data))

    def ended(self, now: int, conn: Connection, side: str, how: str) -> None:
        """An end came."""
        self._add("n", now, conn.id, side, how)

    def closed(self, now: int, conn: Connection, side: str) -> None:
        """A side was closed."""
        self._add("c", now, conn.id, side)

    def process(self, now: int, machine: Machine, what: str) -> None:
        """A process began or ended."""
        self._add("p", now, machine.name, what)

    def hex(self) -> str:
        """So far."""
        return self._hash.hexdigest()


class TimeLine(Tap):
    """Who sent what to whom, a line each, as it happens."""

    def __init__(
        self, say: Callable[[str], object], start_ns: int, faults: Iterable[tuple[int, str]] = ()
    ) -> None:
        self._say, self._start = say, start_ns
        # Told when their time is seen to have come: an event of ours in the world would change the run.
        self._faults = deque(sorted(faults))

    def line(self, now: int, text: str) -> None:
        """One line, under its virtual time in seconds."""
        while self._faults and self._faults[0][0] <= now:
            self._tell(*self._faults.popleft())
        self._tell(now, text)

    def _tell(self, now: int, text: str) -> None:
        self._say(f"{(now - self._start) / SECOND:14.9f}  {text}")

    @staticmethod
    def _ends(conn: Connection, side: str) -> str:
        here, there = (conn.client, conn.server) if side == "client" else (conn.server, conn.client)
        return f"{here.machine} -> {there.machine} #{conn.id}"

    def opened(self, now: int, conn: Connection) -> None:
        """A connect."""
        self.line(now, f"{self._ends(conn, 'client')} connects to {conn.server.ip}:{conn.server.port}")

    def refused(self, now: int, conn: Connection) -> None:
        """A refused one."""
        self.line(now, f"{self._ends(conn, 'client')} is refused")

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Bytes: their first line, the request's id where there is one, and how many."""
        head = data[:2048].decode("latin-1")
        first = head.split("\r\n", 1)[0]
        named = next(
            (line for line in head.split("\r\n") if line.lower().startswith("request-id:")), ""
        ).partition(":")[2]
        text = first if len(first) <= SHORT else first[:SHORT] + "..."
        self.line(now, f"{self._ends(conn, side)} sends {len(data)} bytes {text!r}{named}")

    def ended(self, now: int, conn: Connection, side: str, how: str) -> None:
        """An end, as it reaches a side."""
        other = "server" if side == "client" else "client"
        self.line(now, f"{self._ends(conn, other)} {how}")

    def process(self, now: int, machine: Machine, what: str) -> None:
        """Processes."""
        self.line(now, f"{machine.name} {what}")


class Raised(logging.Handler):
    """Notes each exception that the program logged: in a run nothing of it may raise."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world
        self.breaches: list[Breach] = []

    def emit(self, record: logging.LogRecord) -> None:
        """One record."""
        if record.exc_info and record.exc_info[0] is not None:
            process = self._world.current
            who = "the lab" if process is None else process.name
            what = f"{record.getMessage()}: {record.exc_info[0].__name__}: {record.exc_info[1]}"
            trace = logging.Formatter().formatException(record.exc_info)
            now = self._world.now_ns
            self.breaches.append(
                Breach(FAULT, now, who, what, tuple((now, row) for row in trace.split("\n")))
            )


class Fallen(Tap):
    """Notes each process whose main program raised, be it a sidecar's or a stand-in's."""

    def __init__(self) -> None:
        self.breaches: list[Breach] = []

    def process(self, now: int, machine: Machine, what: str) -> None:
        """One that has just exited is still its machine's last."""
        process = machine.process
        if what != "exited" or process is None or process.error is None:
            return
        what = f"its main program raised {type(process.error).__name__}: {process.error}"
        rows = traceback.format_exception(process.error)
        trail = tuple((now, row) for row in "".join(rows).splitlines())
        rule = ENDLESS if isinstance(process.error, Endless) else FAULT
        self.breaches.append(Breach(rule, now, process.name, what, trail))


@contextmanager
def listening(handlers: list[logging.Handler]) -> Iterator[None]:
    """The program's log goes to these handlers alone, for a while."""
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
    """What one run came to; everything in it can be sent to another process."""

    seed: int
    profile: str
    digest: str
    breaches: list[Breach]
    asked: int  # requests that clients went out with, each counted once, however often it was tried
    taken: int  # tries that sidecars had whole
    served: int
    attempts: int
    events: int  # on the wire
    virtual_s: float
    faults: Counter[str] = field(default_factory=Counter)  # kinds in the plan
    broken: int = 0  # all breaches, also those past the ones that are kept
    sums: Sums | None = None  # over the fleet, where they were asked for

    @property
    def rules(self) -> list[str]:
        """The rules that were broken."""
        return sorted({breach.rule for breach in self.breaches})


def play(
    scenario: Scenario,
    breakage: AbstractContextManager[object] | None = None,
    say: Callable[[str], object] | None = None,
    stop_at_breach: bool = False,
    sums: bool = False,
) -> Result:
    """Play a scenario to its end and check it, `say` being given the time line; `sums` has the fleet's kept.

    `stop_at_breach` ends the run at the first breach: enough to know that there is one.
    """
    with empty_world(scenario) as world, breakage or nullcontext():
        world.settings = replace(world.settings, output_bytes=OUTPUT_BYTES)
        rules = Rules.of(scenario.world.sidecar_settings(0))
        fleet = Fleet(scenario, world)
        checker = Checker(rules, fleet.executions)
        fleet.monitor = checker
        digest, raised, fallen = Digest(), Raised(world), Fallen()
        world.taps += [cast(Tap, checker), digest, fallen]
        books: Sums | None = None
        if sums:
            books = Sums(world.now_ns, fleet_limits(scenario, rules))
            world.taps.append(cast(Tap, books))
        handlers: list[logging.Handler] = [raised]
        line: TimeLine | None = None
        if say is not None:
            line = TimeLine(
                say,
                world.now_ns,
                (
                    (fleet.begins_ns + int(fault.at_s * SECOND), f"fault: {_worded(fault)}")
                    for fault in scenario.faults
                ),
            )
            world.taps.append(line)
            log = _ToLine(world, line)
            log.setFormatter(KeyValueFormatter())
            handlers.append(log)
        world.step_done.append(lambda: checker.step(world.now_ns))
        begun = world.now_ns
        with listening(handlers):
            try:
                fleet.start()
                if stop_at_breach:
                    world.run(fleet.ends_ns, lambda: bool(checker.breaches or raised.breaches))
                if not (stop_at_breach and (checker.breaches or raised.breaches)):
                    _to_the_end(fleet, checker)
            except (Exception, Endless) as error:
                trail = tuple((world.now_ns, row) for row in traceback.format_exc().splitlines())
                what = f"{type(error).__name__}: {error}"
                rule = ENDLESS if isinstance(error, Endless) else LAB
                raised.breaches.append(Breach(rule, world.now_ns, "the lab", what, trail))
        if books is not None:
            books.finish(fleet.executions)
        others = raised.breaches + fallen.breaches
        breaches = sorted(checker.breaches + others, key=lambda breach: breach.at_ns)
        if line is not None:
            for breach in breaches:
                for row in str(breach).split("\n"):
                    line.line(breach.at_ns, f"BREACH {row}")
        return Result(
            seed=scenario.seed, profile=scenario.profile, digest=digest.hex(), breaches=breaches,
            asked=sum(bool(each.tries) for each in fleet.asked), taken=checker.taken, served=checker.served,
            attempts=checker.attempts, events=digest.events,
            virtual_s=(world.now_ns - begun) / SECOND,
            faults=Counter(str(_worded(fault)["kind"]) for fault in scenario.faults),
            broken=checker.count + len(others), sums=books,
        )  # fmt: skip


def fleet_limits(scenario: Scenario, rules: Rules) -> FleetLimits:
    """What a scenario's world sets to the sums over its fleet."""
    world, discovery = scenario.world, scenario.world.discovery
    nodes = (
        NodeLimits(node_machine(number), node.settings.connections, node.settings.handshake_work_s)
        for number, node in enumerate(world.nodes)
    )
    whole_s = discovery.call_s + discovery.line_s * sum(not node.spare for node in world.nodes)
    return FleetLimits(tuple(nodes), 1 / whole_s if whole_s > 0 else math.inf, rules)


def _to_the_end(fleet: Fleet, checker: Checker) -> None:
    world = fleet.world
    world.run(fleet.ends_ns)
    ends = fleet.quiesce()
    left_over = [text for end in ends for text in end.leaks()]
    asked = [(place, place.process) for place in fleet.sidecars if place.up]
    fleet.dump()
    world.run(world.now_ns + DUMP_NS)
    for place, process in asked:
        # One that has ended since, and has a successor that was not asked, has no capture to show.
        if place.up and place.process is process and place.spec.capture:
            checker.captured(world.now_ns, place.machine.name, place.stderr)
    unreached = [
        (each.due_ns, each.ask.id)
        for each in fleet.asked
        if each.tries and all(last.end == "unreachable" for last in each.tries)
    ]
    checker.finish(world.now_ns, left_over, unreached)


def _worded(fault: object) -> dict[str, Any]:
    """A fault as it stands in a file."""
    raw = msgspec.to_builtins(fault)
    assert isinstance(raw, dict)
    return raw


class _ToLine(ProcessLog):
    """Log records of the program, into the time line."""

    def __init__(self, world: World, line: TimeLine) -> None:
        super().__init__(world)
        self._line = line
        self.setLevel(logging.INFO)

    def emit(self, record: logging.LogRecord) -> None:
        """One record."""
        process = self._world.current
        who = "the lab" if process is None else process.name
        self._line.line(self._world.now_ns, f"{who} logs {self.format(record)}")


def shrink(
    scenario: Scenario,
    rule: str,
    fails: Callable[[Scenario], bool],
    tell: Callable[[str], object] = lambda text: None,
) -> Scenario:
    """Take faults and requests away while `fails` still says that the rule is broken.

    Delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002),
    complements only: parts of a list are dropped, halves first, down to single ones, until none can go.
    """
    for part in ("faults", "asks"):
        scenario = _fewer(scenario, part, fails, tell)
    asked = max((ask.at_s for ask in scenario.asks), default=0.0)
    ended = max((fault.at_s + fault.for_s for fault in scenario.faults), default=0.0)
    shorter = max(asked, ended) + 1.0
    if shorter < scenario.world.length_s:
        world = msgspec.structs.replace(
            scenario.world, length_s=shorter, faults_s=min(scenario.world.faults_s, shorter)
        )
        cut = msgspec.structs.replace(scenario, world=world)
        if fails(cut):
            scenario = cut
    return msgspec.structs.replace(scenario, note=f"breaks the rule {rule}")


def _fewer(
    scenario: Scenario, part: str, fails: Callable[[Scenario], bool], tell: Callable[[str], object]
) -> Scenario:
    items: tuple[Any, ...] = getattr(scenario, part)
    size = max(1, len(items) // 2)
    while items:
        at, dropped = 0, False
        while at < len(items):
            fewer = items[:at] + items[at + size :]
            smaller = msgspec.structs.replace(scenario, **{part: fewer})
            if (fewer or part == "faults") and fails(smaller):
                scenario, items, dropped = smaller, fewer, True
                tell(f"{len(items)} {part} left")
            else:
                at += size
        if size == 1 and not dropped:
            break
        size = max(1, size // 2)
    return scenario
