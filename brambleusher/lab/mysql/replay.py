"""Seeded fault schedules for the MySQL front, in virtual time: `python -m brambleusher.lab.mysql.replay`.

A world has three stand-in MySQL servers, a discovery, the unmodified sidecar with the front on, and a
handful of clients that transfer, read, set variables, leave and kill.  A plan drawn from the seed breaks
connections at every point of a command, crashes servers, has them vanish, drain, hang and talk nonsense.
At the end the books of both sides are compared: what the servers ran and hold, and what each client was
told.  The checker knows nothing of the front.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import logging
import random
import re
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

from brambleusher.fronts.mysql.auth import Secret
from brambleusher.fronts.mysql.client import NodeConnectionError
from brambleusher.fronts.mysql.constants import NATIVE, Command, Errno
from brambleusher.fronts.mysql.front import MysqlFrontEnd
from brambleusher.fronts.mysql.messages import Err
from brambleusher.fronts.mysql.nodes import MysqlNodes, PendingCommand, ReservedConnection
from brambleusher.fronts.mysql.packets import frame
from brambleusher.fronts.mysql.replies import ReplyRelay
from brambleusher.fronts.mysql.session import Session
from brambleusher.fronts.mysql.statements import PinReason, StatementKind
from brambleusher.lab.mysql.client import MysqlClient, Told
from brambleusher.lab.mysql.engine import ColumnInfo, Database, Table
from brambleusher.lab.mysql.server import Fault, Moment, MysqlServer, MysqlSettings, accounts
from brambleusher.lab.stand_ins.discovery import Discovery, Entry
from brambleusher.lab.stand_ins.settings import DiscoverySettings
from brambleusher.lab.virtual.network import Connection
from brambleusher.lab.virtual.world import START_NS, Machine, Process, Tap, VirtualSystem, World
from brambleusher.operator_settings.configuration import parse_operator_file
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Address
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import parse_config

SECOND = 1_000_000_000
NAMES = [f"n{at}" for at in range(6)]
NODES, CLIENTS = 3, 6
DISCOVERY: Address = ("10.0.0.9", 80)
HTTP, FRONT = 8080, 3307
FAULTS_END_S, ACTS, END_S = 4.0, 9, 40.0
PATIENCE_S = 8.0  # a client waits so long: any deadline, and what it takes to stop a statement
WELL_AGAIN_S = 6.0  # after the last fault every client can transfer again within it
MONEY = 1000
CLASSES = [
    {"name": "look", "promise_ns": 200_000_000, "give_up_ns": 1_500_000_000, "effect": "read_like",
     "worth": 1.0},
    {"name": "move", "promise_ns": 400_000_000, "give_up_ns": 2_000_000_000, "effect": "non_idempotent",
     "worth": 3.0},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "zone": "z", "fleet_size": 1, "membership_mode": "subscribe", "classes": CLASSES,
    "limits": {
        "max_attempts": 3, "max_retry_after_ns": 10**9, "retry_after": True, "connect_timeout_ns": 10**8,
    },
    "safety": {
        "drain_grace_ns": 5 * 10**8, "must_ask_in_ns": 10**10, "cold_ns": 10**9, "start_capacity": 0.5,
        "fall_multiple": 4.0, "fall_ns": 10**9,
    },
    "telemetry": {"names": ["throughput", "utilization"]},
}  # fmt: skip
OPERATOR = """
mysql:
  listen: 10.0.2.1:3307
  users_file: {folder}/users
  accounts_file: {folder}/accounts
  strict_class: move
  default_class: look
  connections: 4
  pool_wait_ms: 800
  grace_ms: {{move: 700, look: 700}}
  drain_spread_ms: 300
  users:
    web: {{account: registry}}
"""
# Errors that say that the statement did not run, or that its transaction was rolled back; others say so
# of themselves.  Beside them a client may hear what a stand-in was scripted to say.
TOLD_UNKNOWN = {int(Errno.ERROR_DURING_COMMIT)}
TOLD_FAILED = {
    int(each) for each in (
        Errno.NET_READ, Errno.SERVER_SHUTDOWN, Errno.QUERY_TIMEOUT, Errno.SERVER_ISNT_AVAILABLE,
        Errno.MALFORMED_PACKET, Errno.NET_PACKETS_OUT_OF_ORDER, Errno.LOCK_WAIT_TIMEOUT, Errno.LOCK_DEADLOCK,
        Errno.NOT_SUPPORTED_YET,
    )
}  # fmt: skip
SCRIPTED = 1105


# --- the plan -----------------------------------------------------------------------------------

KINDS = ("before", "after", "amid", "silent", "nonsense", "number", "slow", "late", "error", "shutdown")
GREETINGS = ("error", "nonsense", "silent", "before", "slow")
EVENTS = ("crash", "vanish", "drain", "stall")


@dataclass(slots=True)
class Plan:
    """What goes wrong in one world: kinds of faults and how often, and events at their times."""

    kinds: list[str]
    greetings: list[str]
    part: float  # of commands that are struck
    greeting_part: float
    events: list[tuple[float, str, int, float]]  # when, what, which node, for how long

    @classmethod
    def draw(cls, rng: random.Random) -> Plan:
        """A swarm: some kinds are on in this world, others are not."""
        kinds = [kind for kind in KINDS if rng.random() < 0.5] or [rng.choice(KINDS)]
        greetings = [kind for kind in GREETINGS if rng.random() < 0.3]
        events = [
            (
                rng.uniform(0.2, FAULTS_END_S - 1),
                rng.choice(EVENTS),
                rng.randrange(NODES),
                rng.uniform(0.2, 1.0),
            )
            for _ in range(rng.choice((0, 0, 1, 2, 4)))
        ]
        return cls(
            kinds, greetings, rng.choice((0.01, 0.03, 0.08)), rng.choice((0.0, 0.05, 0.2)), sorted(events)
        )

    def fault(self, rng: random.Random, moment: Moment) -> Fault | None:
        """The fault for one moment, if there is one."""
        if moment.command < 0:
            if not self.greetings or rng.random() >= self.greeting_part:
                return None
            return Fault(
                rng.choice(self.greetings), seconds=rng.uniform(0.0, 0.3), errno=rng.choice((1040, 1129))
            )
        # The end of a transaction is where it matters most.
        part = self.part * (6 if moment.text.lower().startswith("commit") else 1)
        if rng.random() >= part:
            return None
        kind = rng.choice(self.kinds)
        if kind == "shutdown":
            return Fault("error", errno=1053, state="08S01")
        return Fault(kind, bytes=rng.choice((1, 3, 4, 5, 20, 60, 300, 5000)), seconds=rng.uniform(0.01, 3.0))


# --- the clients --------------------------------------------------------------------------------


@dataclass(slots=True)
class Transfer:
    """What a client was told of one transfer, or of one write outside a transaction."""

    id: str
    told: str = "nothing"  # done, failed, unknown, nothing
    within: bool = True  # a transaction


@dataclass(slots=True)
class Notes:
    """What the clients noted, and where they saw a rule broken."""

    transfers: list[Transfer] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    commands: int = 0
    errors: Counter[int] = field(default_factory=Counter)
    well: set[int] = field(default_factory=set)


class Actor:
    """One client and what it does."""

    def __init__(
        self, scheduler: Scheduler, number: int, rng: random.Random, notes: Notes, fellows: list[Actor]
    ) -> None:
        self.scheduler, self.number, self.rng, self.notes, self.fellows = (
            scheduler,
            number,
            rng,
            notes,
            fellows,
        )
        self.client: MysqlClient | None = None
        self.spoilt = False  # the last answer was an error: the session may be closed behind it
        self.killed = False
        self.serial = 0
        self.done = False

    def run(self) -> None:
        """The task."""
        self.scheduler.sleep(0.3 + self.rng.random() * 0.3)
        for _ in range(ACTS):
            self.act()
            self.scheduler.sleep(self.rng.random() * 0.15)
        wait = FAULTS_END_S + 1.5 - self.scheduler.now() + START_NS / SECOND
        self.scheduler.sleep(max(0.0, wait))
        until = self.scheduler.now() + WELL_AGAIN_S
        while self.scheduler.now() < until:
            if self.transfer(False) == "done":
                self.notes.well.add(self.number)
                break
            self.scheduler.sleep(0.3)
        if self.client is not None:
            self.client.close()
        self.done = True

    def act(self) -> None:
        """One thing that clients do."""
        what = self.rng.choices(
            ("transfer", "no autocommit", "write", "read", "big", "variable", "setting", "id", "leave",
             "kill", "sleep"),
            (26, 9, 12, 10, 8, 8, 5, 6, 7, 5, 4),
        )[0]  # fmt: skip
        if what in ("transfer", "no autocommit"):
            self.transfer(what == "no autocommit")
        elif what == "write":
            self.write()
        elif what == "read":
            name = self.rng.choice(NAMES)
            told = self.ask(f"select name, {self.tag()} from accounts where name = '{name}'")
            if told is not None and told.ok and [row[:1] for row in told.rows] != [[name]]:
                self.breach(f"a read of {name} brought {told.rows[:3]}")
        elif what == "big":
            self.big()
        elif what == "variable":
            self.variable()
        elif what == "setting":
            self.setting()
        elif what == "id":
            self.insert_id()
        elif what == "leave":
            if self.session():
                assert self.client is not None
                self.client.ask_and_leave(
                    f"select id, pad from generated where n = 3000 and width = 41 {self.note()}", 2.0
                )
                self.client = None
        elif what == "kill":
            self.kill()
        else:
            self.ask(f"select sleep(0.4), {self.tag()}")

    # --- asking ---------------------------------------------------------------------------------

    def tag(self) -> str:
        """A text that no other statement has."""
        self.serial += 1
        return f"'c{self.number}-{self.serial}'"

    def note(self) -> str:
        """The same as a comment."""
        return f"/* {self.tag()} */"

    def breach(self, text: str) -> None:
        """A rule was broken."""
        self.notes.breaches.append(f"client {self.number}: {text}")

    def session(self) -> bool:
        """A session, new where there is none; false where none was to be had."""
        if self.client is not None:
            return True
        for _ in range(3):
            client = MysqlClient(self.scheduler, new=self.rng.random() < 0.6)
            told = client.connect(("10.0.2.1", FRONT), "web", b"front", "shop", PATIENCE_S)
            if told.ok:
                self.client, self.spoilt, self.killed = client, False, False
                return True
            client.close()
            self.breach(f"no login: {told}")
        return False

    def ask(self, text: str) -> Told | None:
        """One statement, whose answer must be exactly one; None where there is no session."""
        if not self.session():
            return None
        assert self.client is not None
        told = self.client.query(text, PATIENCE_S)
        self.notes.commands += 1
        verdict = (
            "ok" if told.ok else f"error {told.error}" if told.error else f"gone {told.gone} {told.nonsense}"
        )
        self.notes.lines.append(
            f"{self.scheduler.now():.6f} c{self.number} {text} -> {verdict} {len(told.rows)}"
        )
        if told.late:
            self.breach(f"no answer in {PATIENCE_S} s to {text}")
        elif told.nonsense:
            self.breach(f"nonsense ({told.nonsense}) for {text}")
        elif told.words > 1:
            self.breach(f"two last words for {text}")
        elif not told.words and not self.spoilt and not self.killed:
            self.breach(f"the end of the connection and no error ({told.gone}) for {text}")
        if told.error is not None:
            self.notes.errors[told.error[0]] += 1
            known = {*TOLD_FAILED, *TOLD_UNKNOWN, SCRIPTED}
            known |= {int(Errno.NO_SUCH_THREAD)} if text.startswith("kill") else set()
            if told.error[0] == Errno.QUERY_INTERRUPTED and not self.killed:
                self.breach(f"interrupted, and nobody killed it: {text}")
            elif told.error[0] not in known and told.error[0] != Errno.QUERY_INTERRUPTED:
                self.breach(f"error {told.error} {told.text!r} for {text}")
        if not told.ok and told.error is None:
            self.client.close()
            self.client = None
        self.spoilt = told.error is not None
        return told

    # --- what they do ---------------------------------------------------------------------------

    def transfer(self, no_autocommit: bool) -> str:
        """Move money in a transaction; what it was told of it."""
        self.serial += 1
        transfer = Transfer(f"t{self.number}-{self.serial}")
        one, other = self.rng.sample(NAMES, 2)
        first = "set autocommit = 0" if no_autocommit else "begin"
        steps = [
            f"{first} /* {transfer.id} */",
            f"select money from accounts where name = '{one}' for update",
            f"update accounts set money = money - 5 where name = '{one}'",
            f"update accounts set money = money + 5 where name = '{other}'",
            f"insert into transfers values ('{transfer.id}', 5)",
        ]
        if not self.session():
            return "failed"
        self.notes.transfers.append(transfer)
        for text in steps:
            told = self.ask(text)
            if told is None or not told.ok:
                transfer.told = "failed" if told is not None and told.error is not None else "unknown"
                if told is not None and told.error is None and not told.late:
                    transfer.told = "failed"  # the end of a connection before its COMMIT: rolled back
                self.end_transaction(no_autocommit)
                return transfer.told
            if self.rng.random() < 0.1:
                self.scheduler.sleep(self.rng.random() * 0.3)
        told = self.ask(f"commit /* {transfer.id} */")
        if told is not None and told.ok:
            transfer.told = "done"
        elif told is not None and told.error is not None:
            transfer.told = "unknown" if told.error[0] in TOLD_UNKNOWN else "failed"
            if told.error[0] == SCRIPTED:
                self.end_transaction(no_autocommit)
        elif self.killed:
            transfer.told = "unknown"
        if no_autocommit and self.client is not None and transfer.told == "done":
            self.ask("set autocommit = 1")
        if transfer.told != "done":
            self.end_transaction(no_autocommit)
        return transfer.told

    def end_transaction(self, no_autocommit: bool) -> None:
        """After an error: roll back, if the session is still there."""
        if self.client is None:
            return
        told = self.ask("rollback")
        if told is not None and told.ok and no_autocommit:
            told = self.ask("set autocommit = 1")
        if self.client is not None and (told is None or not told.ok):
            self.client.close()
            self.client = None

    def write(self) -> None:
        """A write outside a transaction."""
        self.serial += 1
        transfer = Transfer(f"w{self.number}-{self.serial}", within=False)
        if not self.session():
            return
        self.notes.transfers.append(transfer)
        spoilt = self.spoilt
        told = self.ask(f"insert into transfers values ('{transfer.id}', 1)")
        if told is not None and told.ok:
            transfer.told = "done"
        elif told is not None and told.error is not None:
            transfer.told = "unknown" if told.error[0] in TOLD_UNKNOWN else "failed"
        elif self.killed:
            transfer.told = "unknown"
        elif told is not None and spoilt and told.gone is not None and not told.gone.within:
            transfer.told = "failed"  # the session was over with the error before

    def big(self) -> None:
        """A result of many rows, looked at one by one."""
        count, width = self.rng.choice((50, 700, 2500)), self.rng.randrange(20, 200)
        told = self.ask(f"select id, pad from generated where n = {count} and width = {width} {self.note()}")
        if told is None:
            return
        good = [[str(at), "x" * width] for at in range(len(told.rows))]
        if told.rows != good:
            at = next(at for at, (one, other) in enumerate(zip(told.rows, good, strict=True)) if one != other)
            self.breach(f"row {at} of a result is another's: {str(told.rows[at])[:60]}")
        elif told.ok and len(told.rows) != count:
            self.breach(f"{len(told.rows)} rows of {count}, and no error")

    def variable(self) -> None:
        """A user variable is where it was set."""
        value = f"v{self.number}-{self.serial}"
        told = self.ask(f"set @token = '{value}'")
        for _ in range(self.rng.randrange(1, 4)):
            if told is None or not told.ok or self.client is None:
                return
            told = self.ask(f"select @token, {self.tag()}")
            if told is not None and told.ok and told.rows[0][0] != value:
                self.breach(f"@token is {told.rows[0][0]}, not {value}")
            self.scheduler.sleep(self.rng.random() * 0.1)
        if self.client is not None and self.rng.random() < 0.7:
            self.client.close()  # else the session stays tied
            self.client = None

    def setting(self) -> None:
        """A setting goes along, wherever the session does."""
        value = f"MODE_{self.number}"
        told = self.ask(f"set sql_mode = '{value}'")
        for _ in range(3):
            if told is None or not told.ok or self.client is None:
                return
            told = self.ask(f"select @@sql_mode, {self.tag()} from accounts where name = 'n1'")
            if told is not None and told.ok and told.rows[0][0] != value:
                self.breach(f"sql_mode is {told.rows[0][0]}, not {value}")

    def insert_id(self) -> None:
        """LAST_INSERT_ID is that of this session's own insert."""
        told = self.ask(f"insert into tickets (v) values ({self.tag()})")
        if told is None or not told.ok or self.client is None:
            return
        wanted = str(told.last_id)
        if self.rng.random() < 0.5:
            self.scheduler.sleep(self.rng.random() * 0.2)
        told = self.ask("select last_insert_id()")
        if told is not None and told.ok and told.rows[0][0] != wanted:
            self.breach(f"LAST_INSERT_ID() is {told.rows[0][0]}, not {wanted}")

    def kill(self) -> None:
        """KILL QUERY of a fellow's session."""
        fellow = self.rng.choice(self.fellows)
        if fellow is self or fellow.client is None:
            return
        fellow.killed = True
        told = self.ask(f"kill query {fellow.client.thread}")
        if told is not None and told.error is not None and told.error[0] != Errno.NO_SUCH_THREAD:
            self.breach(f"kill: {told.error}")


# --- the world ----------------------------------------------------------------------------------


class Answers(Tap):
    """Notes, on the wire, on which connections to servers bytes of a statement's result were read."""

    def __init__(self) -> None:
        self._asked: dict[int, tuple[str, bytes]] = {}  # the statement under way, and what came first
        self.begun: dict[str, set[int]] = {}

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """A statement goes out."""
        if side == "client" and conn.server.port == 3306:
            found = _TAG.search(data)
            self._asked.pop(conn.id, None)
            if found is not None:
                self._asked[conn.id] = found[0].decode(), b""

    def read(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Bytes of its answer were read; an error is no result."""
        if side != "client" or conn.id not in self._asked or not data:
            return
        tag, first = self._asked[conn.id]
        first = (first + data)[:5]
        begun = self.begun.setdefault(tag, set())
        begun.add(conn.id)
        if len(first) < 5:
            self._asked[conn.id] = tag, first
            return
        del self._asked[conn.id]
        if first[4] == 0xFF:
            begun.discard(conn.id)


_TAG = re.compile(rb"'c[0-9]+-[0-9]+'")


@dataclass(slots=True)
class Verdict:
    """What a run came to."""

    seed: int
    breaches: list[str]
    digest: str
    commands: int
    transfers: Counter[str]
    errors: Counter[int]
    struck: Counter[str]
    lines: list[str] = field(default_factory=list)


class Run:
    """One world from its start to its end."""

    def __init__(self, seed: int, folder: Path, dense: bool = False) -> None:
        self.seed, self.folder = seed, folder
        self.world = World(seed)
        self.plan = Plan.draw(self.world.stream("plan"))
        if dense:
            self.plan.part, self.plan.kinds = 0.12, list(KINDS)
        self.notes = Notes()
        self.struck: Counter[str] = Counter()
        self.databases = [self._database() for _ in range(NODES)]
        self.servers: list[list[MysqlServer]] = [[] for _ in range(NODES)]
        self.machines: list[Machine] = []
        self.processes: list[Process] = []
        self.sidecars: list[Sidecar] = []
        self.discovery: Discovery | None = None
        self.actors: list[Actor] = []
        self.answers = Answers()
        self.world.taps.append(self.answers)
        self._fault_rng = self.world.stream("faults")
        self._calm_ns = START_NS + int(FAULTS_END_S * SECOND)

    @staticmethod
    def _database() -> Database:
        database = Database()
        accounts(NAMES, database, money=MONEY)
        columns = [ColumnInfo("id", 8, True, "tickets"), ColumnInfo("v", 253, False, "tickets")]
        database.tables[("shop", "tickets")] = Table("tickets", columns)
        return database

    def _trouble(self, node: int, moment: Moment) -> Fault | None:
        if self.world.now_ns > self._calm_ns or self.world.elapsed_ns < SECOND // 5:
            return None
        fault = self.plan.fault(self._fault_rng, moment)
        if fault is not None:
            self.struck[fault.how if moment.command >= 0 else "greeting"] += 1
        return fault

    def _start_node(self, at: int) -> None:
        def main(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            users = {"registry": Secret.from_password(NATIVE, b"node-secret")}
            settings = MysqlSettings(users=users, plugin=NATIVE, max_connections=12, lock_wait_seconds=1.0,
                                     work_seconds=0.002)  # fmt: skip
            server = MysqlServer(
                scheduler, f"h{at}", self.databases[at], settings, self.seed * 10 + len(self.servers[at]),
                lambda moment: self._trouble(at, moment), keep=True,
            )  # fmt: skip
            self.servers[at].append(server)
            server.listen(("0.0.0.0", 3306))
            scheduler.run()

        process = self.machines[at].start(main, f"h{at}")
        if at < len(self.processes):
            self.processes[at] = process
        else:
            self.processes.append(process)

    def _entry(self, at: int, state: str = "Ready", started_ms: int = 0) -> Entry:
        where = f"{self.machines[at].ip}:9"
        return Entry(id=f"h{at}", addr=where, zone="z", kind="k", state=state, started_ms=started_ms)  # type: ignore[arg-type]

    def _start(self) -> None:
        world = self.world
        self.machines = [world.machine(f"h{at}", f"10.0.1.{at + 1}") for at in range(NODES)]
        for at in range(NODES):
            self._start_node(at)
        entries = [self._entry(at) for at in range(NODES)]

        def discovery(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            self.discovery = Discovery(scheduler, DiscoverySettings(), seed=self.seed, entries=entries)
            self.discovery.listen(DISCOVERY)
            scheduler.run()

        world.machine("discovery", DISCOVERY[0]).start(discovery)
        known = [
            {"id": e.id, "addr": e.addr, "zone": e.zone, "kind": e.kind, "state": e.state} for e in entries
        ]
        config = {
            "name": "n0", "listen": f"10.0.2.1:{HTTP}", "discovery": f"{DISCOVERY[0]}:{DISCOVERY[1]}",
            "seed": f"{self.seed:x}", "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 2048},
            "known": {"version": 1, "full": True, "servers": known}, "settings": SETTINGS,
        }  # fmt: skip
        operator = OPERATOR.format(folder=self.folder).encode()

        def sidecar(system: VirtualSystem) -> None:
            made = Sidecar(
                parse_config(json.dumps(config).encode(), {}),
                operator=parse_operator_file(operator),
                system=system,
            )
            made.install_signal_handlers()
            made.start()
            self.sidecars.append(made)
            made.run()
            made.close()

        self.sidecar_process = world.machine("sidecar", "10.0.2.1").start(sidecar)

        def clients(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            for number in range(CLIENTS):
                actor = Actor(scheduler, number, world.stream(f"client {number}"), self.notes, self.actors)
                self.actors.append(actor)
                scheduler.spawn(actor.run, name=f"client {number}")
            scheduler.run()

        world.machine("clients", "10.0.3.1").start(clients)

    # --- events ---------------------------------------------------------------------------------

    def _tell(self, entry: Entry) -> None:
        discovery = self.discovery
        if discovery is not None:
            discovery.scheduler.call_soon(lambda: discovery.put(entry))

    def _schedule(self) -> None:
        for when, what, at, seconds in self.plan.events:
            self.world.at(START_NS + int(when * SECOND), lambda w=what, a=at, s=seconds: self._event(w, a, s))  # type: ignore[misc]

    def _event(self, what: str, at: int, seconds: float) -> None:
        self.struck[what] += 1
        machine, process, after = self.machines[at], self.processes[at], int(seconds * SECOND)
        if what == "crash" and not process.dead and not machine.gone:
            process.kill(reset=True)
            self.world.after(after, lambda: self._restart(at))
        elif what == "vanish" and not machine.gone:
            machine.vanish()
            self.world.after(after, lambda: self._come_back(at))
        elif what == "drain":
            self._tell(self._entry(at, "Terminating"))
            self.world.after(after + SECOND, lambda: self._tell(self._entry(at)))
        elif what == "stall":
            machine.stall(after)

    def _restart(self, at: int) -> None:
        if self.processes[at].dead and not self.machines[at].gone:
            self._start_node(at)

    def _come_back(self, at: int) -> None:
        self.machines[at].come_back()
        self._restart(at)

    # --- the run and its books ------------------------------------------------------------------

    def go(self) -> Verdict:
        """From the start to the end."""
        self._start()
        self._schedule()
        world, breaches = self.world, self.notes.breaches
        ended = world.run(
            START_NS + int(END_S * SECOND),
            lambda: bool(self.actors) and all(actor.done for actor in self.actors),
        )
        if not ended:
            breaches.append("the clients did not come to an end")
        for actor in self.actors:
            if actor.number not in self.notes.well:
                breaches.append(f"client {actor.number}: no transfer went through after the last fault")
        world.run(world.now_ns + 6 * SECOND)
        self._check_rest()
        self.sidecar_process.signal(signal.SIGTERM)
        world.run(world.now_ns + 8 * SECOND, lambda: self.sidecar_process.dead)
        if not self.sidecar_process.dead:
            breaches.append("the sidecar did not end")
        self._check_books()
        digest = hashlib.sha256("\n".join(self.notes.lines).encode())
        digest.update(repr([[(s.name, s.seen) for s in each] for each in self.servers]).encode())
        verdict = Verdict(
            self.seed, breaches, digest.hexdigest()[:16], self.notes.commands,
            Counter(t.told for t in self.notes.transfers), self.notes.errors, self.struck, self.notes.lines,
        )  # fmt: skip
        world.close()
        return verdict

    def _check_rest(self) -> None:
        """At rest nothing of the sidecar's is left over."""
        breaches = self.notes.breaches
        if not self.sidecars:
            breaches.append("the sidecar never started")
            return
        sidecar = self.sidecars[0]
        if sidecar.counters.count("faults"):
            breaches.append(f"{sidecar.counters.count('faults')} faults in the sidecar")
        assert sidecar.mysql is not None
        if sidecar.mysql.front.session_count:
            breaches.append(f"{sidecar.mysql.front.session_count} sessions left")
        if sidecar.balancer_driver.unanswered_requests or sidecar.balancer_driver._pending:
            breaches.append(f"{len(sidecar.balancer_driver._pending)} requests left")
        for node in sidecar.mysql.nodes._nodes.values():
            left = (
                len(node.reserved),
                len(node.attempts),
                len(node.waiters),
                node.active_kills,
                node.open_count - len(node.idle),
            )
            if any(left):
                breaches.append(f"left at {node.name}: held, claims, waiters, kills, open {left}")

    def _check_books(self) -> None:
        """What the servers ran and hold, against what the clients were told."""
        breaches = self.notes.breaches
        ran: Counter[str] = Counter()
        for each in self.servers:
            for server in each:
                ran.update(text for _, command, text in server.seen if command == Command.QUERY)
        held = [
            {row[0]: row[1] for row in database.snapshot("shop", "transfers").values()}
            for database in self.databases
        ]
        for at, database in enumerate(self.databases):
            money = sum(row[1] for row in database.snapshot("shop", "accounts").values())
            if money != MONEY * len(NAMES):
                breaches.append(f"the accounts of h{at} hold {money}")
        for transfer in self.notes.transfers:
            name = transfer.id
            inserts = sum(
                count
                for text, count in ran.items()
                if text.startswith(f"insert into transfers values ('{name}'")
            )
            commits = ran[f"commit /* {name} */"]
            where = sum(name in rows for rows in held)
            if inserts > 1 or commits > 1 or where > 1:
                breaches.append(
                    f"{name} was sent {inserts} times, committed {commits} times, stands in {where}"
                )
            if transfer.told == "done" and where != 1:
                breaches.append(f"{name} was told to be done and stands nowhere")
            if transfer.told == "failed" and where:
                breaches.append(f"{name} was told to have failed and is done")
            if transfer.told == "nothing":
                breaches.append(f"of {name} its client was told nothing")
        for tag, connections in self.answers.begun.items():
            if len(connections) > 1:
                breaches.append(f"{tag} was asked again behind the first byte of an answer")


# --- breakages ----------------------------------------------------------------------------------


def _resend_after_commit() -> Iterator[None]:
    real = MysqlFrontEnd._from_node

    def from_node(self: Any, client: Any, held: Any, deadline: Any, statement: Any) -> bytes:
        try:
            return real(self, client, held, deadline, statement)
        except NodeConnectionError:
            if statement.kind is not StatementKind.COMMIT:
                raise
            for node in self._nodes._nodes.values():
                for idle in [conn for conn in node.idle if conn.channel.quiet()]:
                    node.idle.remove(idle)
                    idle.channel.send(frame(client.pending_command.body, 0), self._scheduler.now() + 1)
                    data = idle.channel.receive(self._scheduler.now() + 1)
                    self._nodes.discard(idle)
                    if data:
                        return bytes(data)
            raise

    with mock.patch.object(MysqlFrontEnd, "_from_node", from_node):
        yield


def _error_swallowed() -> Iterator[None]:
    with mock.patch.object(ReplyRelay, "fail", lambda self, error: b""):
        yield


def _lost_commit_told_as_done() -> Iterator[None]:
    from brambleusher.fronts.mysql.messages import Ok

    real = ReplyRelay.fail

    def fail(self: Any, error: Err) -> bytes:
        if error.errno == Errno.ERROR_DURING_COMMIT and not self.packet_open and not self.started:
            return self._framed(Ok(status=2).encode(self._client))  # type: ignore[no-any-return]
        return real(self, error)

    with mock.patch.object(ReplyRelay, "fail", fail):
        yield


def _untied(tie: PinReason) -> Callable[[], Iterator[None]]:
    def patch() -> Iterator[None]:
        real = Session.tie

        def tied(self: Session, which: PinReason, name: str = "") -> None:
            if which is not tie:
                real(self, which, name)

        with mock.patch.object(Session, "tie", tied):
            yield

    return patch


def _rows_mixed() -> Iterator[None]:
    real, kept = ReplyRelay._end_of_rows, [b""]
    real_rows = ReplyRelay._take_rows

    def rows(self: Any, at: int, out: bytearray) -> int:
        before = len(out)
        end = real_rows(self, at, out)
        if len(out) - before > 8:
            size = int.from_bytes(out[before : before + 3], "little")
            kept.append(bytes(out[before + 4 : before + 4 + size]))
            del kept[:-2]
        return end

    def ended(self: Any, payload: bytes) -> bytes:
        extra = self._pending_columns_end() + self._framed(kept[0]) if kept[0] and self.rows > 30 else b""
        return extra + real(self, payload)

    with (
        mock.patch.object(ReplyRelay, "_take_rows", rows),
        mock.patch.object(ReplyRelay, "_end_of_rows", ended),
    ):
        yield


def _unknown_told_as_failed() -> Iterator[None]:
    def lost(self: Any, in_transaction: bool, statement: Any) -> Err:
        return Err.of(Errno.NET_READ, "the node was lost")

    with mock.patch.object(MysqlFrontEnd, "_lost_error", lost):
        yield


def _kill_hits_the_next() -> Iterator[None]:
    def stop(self: Any, conn: Any) -> None:
        self.kill(conn)
        if conn.channel.open:
            conn.node.idle.append(conn)

    def quiet(self: Any) -> bool:
        while self.receive_now():
            pass
        return bool(self.stream.open)

    from brambleusher.fronts.mysql.channel import Channel

    with mock.patch.object(MysqlNodes, "stop", stop), mock.patch.object(Channel, "quiet", quiet):
        yield


def _settings_not_replayed() -> Iterator[None]:
    real = Session.setup

    def setup(self: Session, reads_last_id: bool = False) -> Any:
        from dataclasses import replace

        return replace(real(self, reads_last_id), settings=())

    with mock.patch.object(Session, "setup", setup):
        yield


def _id_not_carried() -> Iterator[None]:
    def carry(self: Any, conn: Any, claim: Any, limit: float) -> None:
        conn.pending_id_owner.session.last_id = 0

    with mock.patch.object(MysqlNodes, "_carry", carry):
        yield


def _write_repeated() -> Iterator[None]:
    from brambleusher.fronts.mysql.mapping import RequestMapper

    real = RequestMapper.assign

    def assign(self: Any, statement: Any, user: str, transaction: bool = False) -> Any:
        from dataclasses import replace

        return replace(real(self, statement, user, transaction), request_class="look")

    with mock.patch.object(RequestMapper, "assign", assign):
        yield


def _read_repeated_after_a_byte() -> Iterator[None]:
    def never(self: Any, value: bool) -> None:
        """An answer that broke off is told as one that never began."""

    with mock.patch.object(PendingCommand, "broke", property(lambda self: False, never)):
        yield


def _drain_ignored() -> Iterator[None]:
    with mock.patch.object(ReservedConnection, "drop", lambda self, status: None):
        yield


BREAKAGES: dict[str, Callable[[], Iterator[None]]] = {
    "resend-after-commit": _resend_after_commit,
    "error-swallowed": _error_swallowed,
    "lost-commit-told-as-done": _lost_commit_told_as_done,
    "unknown-told-as-failed": _unknown_told_as_failed,
    "moved-in-a-transaction": _untied(PinReason.TRANSACTION),
    "variable-lost-on-a-move": _untied(PinReason.USER_VARIABLE),
    "rows-of-two-results-mixed": _rows_mixed,
    "kill-hits-the-next": _kill_hits_the_next,
    "settings-not-replayed": _settings_not_replayed,
    "id-not-carried": _id_not_carried,
    "write-repeated": _write_repeated,
    "read-repeated-after-a-byte": _read_repeated_after_a_byte,
    "connection-not-dropped": _drain_ignored,
}


@contextmanager
def broken(name: str | None) -> Iterator[None]:
    """The program with a fault built in."""
    with ExitStack() as stack:
        if name is not None:
            stack.enter_context(contextmanager(BREAKAGES[name])())
        yield


# --- the command --------------------------------------------------------------------------------


def run_seed(seed: int, breakage: str | None = None, dense: bool = False) -> Verdict:
    """One schedule; the same seed gives the same run.  `dense`: every eighth command is struck."""
    logging.getLogger("brambleusher").handlers[:] = [logging.NullHandler()]
    logging.getLogger("brambleusher").propagate = False
    with tempfile.TemporaryDirectory() as folder, broken(breakage):
        path = Path(folder)
        (path / "users").write_text(
            f"web {NATIVE} {Secret.from_password(NATIVE, b'front').to_server_format()}\n"
        )
        (path / "accounts").write_text("registry node-secret\n")
        return Run(seed, path, dense).go()


def _range(text: str) -> range:
    first, colon, last = text.partition(":")
    if not colon or not first.isdigit() or not last.isdigit() or int(first) >= int(last):
        raise argparse.ArgumentTypeError(f"{text!r} is not FIRST:LAST with FIRST below LAST")
    return range(int(first), int(last))


def _some(seeds: Sequence[int], breakage: str | None) -> list[Verdict]:
    out = []
    for seed in seeds:
        verdict = run_seed(seed, breakage)
        verdict.lines = []
        out.append(verdict)
    return out


def _table() -> int:
    """How many seeds it takes to find each breakage; 1 where one is not found."""
    missed = 0
    for name in BREAKAGES:
        for seed in range(2000):
            try:
                verdict = run_seed(seed, name)
            except Exception as error:
                verdict = Verdict(
                    seed, [f"{type(error).__name__}: {error}"], "", 0, Counter(), Counter(), Counter()
                )
            if verdict.breaches:
                print(f"{name:28} found at seed {seed}: {verdict.breaches[0][:100]}", flush=True)
                break
        else:
            missed += 1
            print(f"{name:28} not found in 2000 seeds", flush=True)
    return 1 if missed else 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run schedules; 1 where a rule was broken, with the words that play it again."""
    words = argparse.ArgumentParser(
        prog="mysql_replay", description="Seeded fault schedules for the MySQL front."
    )
    words.add_argument("--seeds", type=_range, default=range(0, 2000), metavar="FIRST:LAST")
    words.add_argument("--jobs", type=int, default=4)
    words.add_argument("--replay", type=int, metavar="SEED", help="print the time line of one schedule")
    words.add_argument("--breakage", choices=sorted(BREAKAGES))
    words.add_argument("--dense", action="store_true", help="with --replay: every eighth command is struck")
    words.add_argument("--table", action="store_true", help="find each breakage and print the seeds needed")
    given = words.parse_args(arguments)
    if given.table:
        return _table()
    if given.replay is not None:
        verdict = run_seed(given.replay, given.breakage, given.dense)
        print(
            "\n".join(
                [*verdict.lines, *(f"BREACH {each}" for each in verdict.breaches), f"digest {verdict.digest}"]
            )
        )
        return 1 if verdict.breaches else 0
    begun = RealSystem.monotonic()
    seeds = list(given.seeds)
    parts = [seeds[at : at + 25] for at in range(0, len(seeds), 25)]
    verdicts: list[Verdict] = []
    with ProcessPoolExecutor(max(1, given.jobs)) as pool:
        for some in pool.map(_some, parts, [given.breakage] * len(parts)):
            verdicts += some
    took = RealSystem.monotonic() - begun
    total, struck, errors, commands = Counter[str](), Counter[str](), Counter[int](), 0
    for verdict in verdicts:
        total, struck, errors = total + verdict.transfers, struck + verdict.struck, errors + verdict.errors
        commands += verdict.commands
        for breach in verdict.breaches[:3]:
            print(f"seed {verdict.seed}: {breach}")
        if verdict.breaches:
            print(f"    python -m brambleusher.lab.mysql.replay --replay {verdict.seed}")
    bad = sum(bool(verdict.breaches) for verdict in verdicts)
    print(f"{len(verdicts)} schedules in {took:.0f} s, {commands} statements, {bad} broke a rule")
    print("writes and transfers told as:", ", ".join(f"{k} {v}" for k, v in sorted(total.items())))
    print("faults:", ", ".join(f"{k} {v}" for k, v in sorted(struck.items())))
    print("errors told:", ", ".join(f"{k} {v}" for k, v in sorted(errors.items())))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
