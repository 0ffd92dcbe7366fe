"""Seeded fault schedules for the MySQL front, in virtual time: `python -m brambleusher.lab.mysql.replay`.

A world has three MySQL test servers, a discovery service, the unmodified sidecar with the MySQL front
enabled, and six clients.  The clients transfer money, read, set variables, disconnect early and kill each
other's queries.  A fault plan generated from the seed breaks connections at every point of a command, or
crashes, drains and stalls servers, cuts them off from the network and makes them send invalid packets.  At
the end the checker compares the statements that the servers executed and the data they store with the
replies that each client received.  The checker uses no code or state of the front.
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
from brambleusher.lab.mysql.client import CommandReply, MysqlClient
from brambleusher.lab.mysql.engine import ColumnInfo, Database, Table
from brambleusher.lab.mysql.server import (
    Fault,
    FaultPoint,
    MysqlServer,
    MysqlSettings,
    create_transfer_tables,
)
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
FAULTS_END_S, ACTIONS, END_S = 4.0, 9, 40.0
CLIENT_TIMEOUT_S = 8.0  # client timeout in seconds; covers every deadline and the time to stop a statement
RECOVERY_LIMIT_S = 6.0  # time in seconds after the last fault in which each client must complete a transfer
INITIAL_BALANCE = 1000
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
# Errors after which the client can't know whether its transaction was committed.
UNKNOWN_OUTCOME_ERRORS = {int(Errno.ERROR_DURING_COMMIT)}
# Errors after which the statement did not run or its transaction was rolled back.  A client may also
# receive UNKNOWN_OUTCOME_ERRORS, SCRIPTED (sent by the test servers) and the errors of KILL QUERY.
FAILED_ERRORS = {
    int(each) for each in (
        Errno.NET_READ, Errno.SERVER_SHUTDOWN, Errno.QUERY_TIMEOUT, Errno.SERVER_ISNT_AVAILABLE,
        Errno.MALFORMED_PACKET, Errno.NET_PACKETS_OUT_OF_ORDER, Errno.LOCK_WAIT_TIMEOUT, Errno.LOCK_DEADLOCK,
        Errno.NOT_SUPPORTED_YET,
    )
}  # fmt: skip
SCRIPTED = 1105  # error number that the test servers send for a scripted error


# --- fault plan -----------------------------------------------------------------------------------

FAULT_KINDS = (
    "before",
    "after",
    "amid",
    "silent",
    "nonsense",
    "number",
    "slow",
    "late",
    "error",
    "shutdown",
)
GREETING_FAULTS = ("error", "nonsense", "silent", "before", "slow")
SERVER_EVENTS = ("crash", "vanish", "drain", "stall")


@dataclass(slots=True)
class Plan:
    """The faults of one world: kinds and probabilities of faults in commands, and timed server events."""

    kinds: list[str]
    greetings: list[str]
    fault_probability: float  # probability that a fault is injected into a command
    greeting_probability: float  # probability that a fault is injected into a new connection
    events: list[tuple[float, str, int, float]]  # start in s, kind of event, node index, duration in s

    @classmethod
    def draw(cls, rng: random.Random) -> Plan:
        """Generate a plan with a random subset of the kinds of faults (swarm testing)."""
        kinds = [kind for kind in FAULT_KINDS if rng.random() < 0.5] or [rng.choice(FAULT_KINDS)]
        greetings = [kind for kind in GREETING_FAULTS if rng.random() < 0.3]
        events = [
            (
                rng.uniform(0.2, FAULTS_END_S - 1),
                rng.choice(SERVER_EVENTS),
                rng.randrange(NODES),
                rng.uniform(0.2, 1.0),
            )
            for _ in range(rng.choice((0, 0, 1, 2, 4)))
        ]
        return cls(
            kinds, greetings, rng.choice((0.01, 0.03, 0.08)), rng.choice((0.0, 0.05, 0.2)), sorted(events)
        )

    def fault(self, rng: random.Random, point: FaultPoint) -> Fault | None:
        """Return the fault to inject at a connection or command, or None."""
        if point.command < 0:
            if not self.greetings or rng.random() >= self.greeting_probability:
                return None
            return Fault(
                rng.choice(self.greetings), seconds=rng.uniform(0.0, 0.3), errno=rng.choice((1040, 1129))
            )
        # Faults at COMMIT are six times as likely, because the end of a transaction is most critical.
        probability = self.fault_probability * (6 if point.text.lower().startswith("commit") else 1)
        if rng.random() >= probability:
            return None
        kind = rng.choice(self.kinds)
        if kind == "shutdown":
            return Fault("error", errno=1053, state="08S01")
        return Fault(kind, bytes=rng.choice((1, 3, 4, 5, 20, 60, 300, 5000)), seconds=rng.uniform(0.01, 3.0))


# --- clients --------------------------------------------------------------------------------------


@dataclass(slots=True)
class Transfer:
    """The outcome of a transfer, or of a write outside a transaction, as reported to the client."""

    id: str
    outcome: str = "nothing"  # one of done, failed, unknown, nothing
    within: bool = True  # False for a single write outside a transaction


@dataclass(slots=True)
class Observations:
    """Replies and errors that the clients of a run received, and the rule violations they detected."""

    transfers: list[Transfer] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    commands: int = 0
    errors: Counter[int] = field(default_factory=Counter)
    recovered: set[int] = field(default_factory=set)


class Actor:
    """A simulated client that performs random actions through the MySQL front."""

    def __init__(
        self,
        scheduler: Scheduler,
        number: int,
        rng: random.Random,
        observations: Observations,
        peers: list[Actor],
    ) -> None:
        self.scheduler, self.number, self.rng, self.observations, self.peers = (
            scheduler,
            number,
            rng,
            observations,
            peers,
        )
        self.client: MysqlClient | None = None
        self.after_error = False  # the last reply was an error, after which the session may be closed
        self.killed = False
        self.serial = 0
        self.done = False

    def run(self) -> None:
        """Perform the random actions; after the last fault, repeat a transfer until one succeeds."""
        self.scheduler.sleep(0.3 + self.rng.random() * 0.3)
        for _ in range(ACTIONS):
            self.act()
            self.scheduler.sleep(self.rng.random() * 0.15)
        wait = FAULTS_END_S + 1.5 - self.scheduler.now() + START_NS / SECOND
        self.scheduler.sleep(max(0.0, wait))
        until = self.scheduler.now() + RECOVERY_LIMIT_S
        while self.scheduler.now() < until:
            if self.transfer(False) == "done":
                self.observations.recovered.add(self.number)
                break
            self.scheduler.sleep(0.3)
        if self.client is not None:
            self.client.close()
        self.done = True

    def act(self) -> None:
        """Perform one random action."""
        kind = self.rng.choices(
            ("transfer", "no autocommit", "write", "read", "big", "variable", "setting", "id", "leave",
             "kill", "sleep"),
            (26, 9, 12, 10, 8, 8, 5, 6, 7, 5, 4),
        )[0]  # fmt: skip
        if kind in ("transfer", "no autocommit"):
            self.transfer(kind == "no autocommit")
        elif kind == "write":
            self.write()
        elif kind == "read":
            name = self.rng.choice(NAMES)
            reply = self.ask(f"select name, {self.unique_literal()} from accounts where name = '{name}'")
            if reply is not None and reply.ok and [row[:1] for row in reply.rows] != [[name]]:
                self.breach(f"a read of {name} returned {reply.rows[:3]}")
        elif kind == "big":
            self.read_large_result()
        elif kind == "variable":
            self.variable()
        elif kind == "setting":
            self.setting()
        elif kind == "id":
            self.insert_id()
        elif kind == "leave":
            if self.session():
                assert self.client is not None
                self.client.query_and_disconnect(
                    f"select id, pad from generated where n = 3000 and width = 41 {self.unique_comment()}",
                    2.0,
                )
                self.client = None
        elif kind == "kill":
            self.kill()
        else:
            self.ask(f"select sleep(0.4), {self.unique_literal()}")

    # --- statements -------------------------------------------------------------------------------

    def unique_literal(self) -> str:
        """Return a string literal that is unique to one statement."""
        self.serial += 1
        return f"'c{self.number}-{self.serial}'"

    def unique_comment(self) -> str:
        """Return an SQL comment that is unique to one statement."""
        return f"/* {self.unique_literal()} */"

    def breach(self, text: str) -> None:
        """Record a rule violation."""
        self.observations.breaches.append(f"client {self.number}: {text}")

    def session(self) -> bool:
        """Ensure that there is a session; return False if three logins fail."""
        if self.client is not None:
            return True
        for _ in range(3):
            client = MysqlClient(self.scheduler, deprecate_eof=self.rng.random() < 0.6)
            reply = client.connect(("10.0.2.1", FRONT), "web", b"front", "shop", CLIENT_TIMEOUT_S)
            if reply.ok:
                self.client, self.after_error, self.killed = client, False, False
                return True
            client.close()
            self.breach(f"login failed: {reply}")
        return False

    def ask(self, text: str) -> CommandReply | None:
        """Execute a statement and check that it gets exactly one reply; return None without a session."""
        if not self.session():
            return None
        assert self.client is not None
        reply = self.client.query(text, CLIENT_TIMEOUT_S)
        self.observations.commands += 1
        verdict = (
            "ok"
            if reply.ok
            else f"error {reply.error}"
            if reply.error
            else f"gone {reply.connection_closed} {reply.protocol_error}"
        )
        self.observations.lines.append(
            f"{self.scheduler.now():.6f} c{self.number} {text} -> {verdict} {len(reply.rows)}"
        )
        if reply.late:
            self.breach(f"no reply within {CLIENT_TIMEOUT_S} s to {text}")
        elif reply.protocol_error:
            self.breach(f"invalid reply ({reply.protocol_error}) to {text}")
        elif reply.endings > 1:
            self.breach(f"more than one reply to {text}")
        elif not reply.endings and not self.after_error and not self.killed:
            self.breach(f"connection closed without an error ({reply.connection_closed}) after {text}")
        if reply.error is not None:
            self.observations.errors[reply.error[0]] += 1
            known = {*FAILED_ERRORS, *UNKNOWN_OUTCOME_ERRORS, SCRIPTED}
            known |= {int(Errno.NO_SUCH_THREAD)} if text.startswith("kill") else set()
            if reply.error[0] == Errno.QUERY_INTERRUPTED and not self.killed:
                self.breach(f"interrupted although no client killed the query: {text}")
            elif reply.error[0] not in known and reply.error[0] != Errno.QUERY_INTERRUPTED:
                self.breach(f"unexpected error {reply.error} {reply.text!r} for {text}")
        if not reply.ok and reply.error is None:
            self.client.close()
            self.client = None
        self.after_error = reply.error is not None
        return reply

    # --- actions ----------------------------------------------------------------------------------

    def transfer(self, no_autocommit: bool) -> str:
        """Transfer money between two accounts in a transaction; return the reported outcome."""
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
        self.observations.transfers.append(transfer)
        for text in steps:
            reply = self.ask(text)
            if reply is None or not reply.ok:
                transfer.outcome = "failed" if reply is not None and reply.error is not None else "unknown"
                if reply is not None and reply.error is None and not reply.late:
                    transfer.outcome = "failed"  # a connection closed before COMMIT: rolled back
                self.end_transaction(no_autocommit)
                return transfer.outcome
            if self.rng.random() < 0.1:
                self.scheduler.sleep(self.rng.random() * 0.3)
        reply = self.ask(f"commit /* {transfer.id} */")
        if reply is not None and reply.ok:
            transfer.outcome = "done"
        elif reply is not None and reply.error is not None:
            transfer.outcome = "unknown" if reply.error[0] in UNKNOWN_OUTCOME_ERRORS else "failed"
            if reply.error[0] == SCRIPTED:
                self.end_transaction(no_autocommit)
        elif self.killed:
            transfer.outcome = "unknown"
        if no_autocommit and self.client is not None and transfer.outcome == "done":
            self.ask("set autocommit = 1")
        if transfer.outcome != "done":
            self.end_transaction(no_autocommit)
        return transfer.outcome

    def end_transaction(self, no_autocommit: bool) -> None:
        """Roll back after an error, if the session is still open."""
        if self.client is None:
            return
        reply = self.ask("rollback")
        if reply is not None and reply.ok and no_autocommit:
            reply = self.ask("set autocommit = 1")
        if self.client is not None and (reply is None or not reply.ok):
            self.client.close()
            self.client = None

    def write(self) -> None:
        """Insert a row outside a transaction."""
        self.serial += 1
        transfer = Transfer(f"w{self.number}-{self.serial}", within=False)
        if not self.session():
            return
        self.observations.transfers.append(transfer)
        after_error = self.after_error
        reply = self.ask(f"insert into transfers values ('{transfer.id}', 1)")
        if reply is not None and reply.ok:
            transfer.outcome = "done"
        elif reply is not None and reply.error is not None:
            transfer.outcome = "unknown" if reply.error[0] in UNKNOWN_OUTCOME_ERRORS else "failed"
        elif self.killed:
            transfer.outcome = "unknown"
        elif (
            reply is not None
            and after_error
            and reply.connection_closed is not None
            and not reply.connection_closed.within
        ):
            transfer.outcome = "failed"  # the preceding error had already ended the session

    def read_large_result(self) -> None:
        """Read a result of many rows and compare every row with the expected one."""
        count, width = self.rng.choice((50, 700, 2500)), self.rng.randrange(20, 200)
        reply = self.ask(
            f"select id, pad from generated where n = {count} and width = {width} {self.unique_comment()}"
        )
        if reply is None:
            return
        expected_rows = [[str(at), "x" * width] for at in range(len(reply.rows))]
        if reply.rows != expected_rows:
            at = next(
                at
                for at, (one, other) in enumerate(zip(reply.rows, expected_rows, strict=True))
                if one != other
            )
            self.breach(f"row {at} belongs to another result: {str(reply.rows[at])[:60]}")
        elif reply.ok and len(reply.rows) != count:
            self.breach(f"{len(reply.rows)} of {count} rows before the end of a result without an error")

    def variable(self) -> None:
        """Set a user variable and check that later statements of the session read the same value."""
        value = f"v{self.number}-{self.serial}"
        reply = self.ask(f"set @token = '{value}'")
        for _ in range(self.rng.randrange(1, 4)):
            if reply is None or not reply.ok or self.client is None:
                return
            reply = self.ask(f"select @token, {self.unique_literal()}")
            if reply is not None and reply.ok and reply.rows[0][0] != value:
                self.breach(f"@token is {reply.rows[0][0]}, expected {value}")
            self.scheduler.sleep(self.rng.random() * 0.1)
        if self.client is not None and self.rng.random() < 0.7:
            self.client.close()  # otherwise the session stays bound to its server connection
            self.client = None

    def setting(self) -> None:
        """Set sql_mode and check that later statements have that mode, on whichever server they run."""
        value = f"MODE_{self.number}"
        reply = self.ask(f"set sql_mode = '{value}'")
        for _ in range(3):
            if reply is None or not reply.ok or self.client is None:
                return
            reply = self.ask(f"select @@sql_mode, {self.unique_literal()} from accounts where name = 'n1'")
            if reply is not None and reply.ok and reply.rows[0][0] != value:
                self.breach(f"sql_mode is {reply.rows[0][0]}, expected {value}")

    def insert_id(self) -> None:
        """Check that LAST_INSERT_ID() returns the id of this session's own insert."""
        reply = self.ask(f"insert into tickets (v) values ({self.unique_literal()})")
        if reply is None or not reply.ok or self.client is None:
            return
        expected_id = str(reply.last_id)
        if self.rng.random() < 0.5:
            self.scheduler.sleep(self.rng.random() * 0.2)
        reply = self.ask("select last_insert_id()")
        if reply is not None and reply.ok and reply.rows[0][0] != expected_id:
            self.breach(f"LAST_INSERT_ID() is {reply.rows[0][0]}, expected {expected_id}")

    def kill(self) -> None:
        """Execute KILL QUERY on the session of a random other client."""
        peer = self.rng.choice(self.peers)
        if peer is self or peer.client is None:
            return
        peer.killed = True
        reply = self.ask(f"kill query {peer.client.thread}")
        if reply is not None and reply.error is not None and reply.error[0] != Errno.NO_SUCH_THREAD:
            self.breach(f"KILL QUERY failed: {reply.error}")


# --- world ----------------------------------------------------------------------------------------


class ResultReads(Tap):
    """Network tap that records on which server connections the result of each statement was read."""

    def __init__(self) -> None:
        # For each connection id: tag of the current statement and first bytes of its reply.
        self._current: dict[int, tuple[str, bytes]] = {}
        self.connections_by_tag: dict[str, set[int]] = {}

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Record the tag of a statement that the front sends to a server."""
        if side == "client" and conn.server.port == 3306:
            found = _TAG.search(data)
            self._current.pop(conn.id, None)
            if found is not None:
                self._current[conn.id] = found[0].decode(), b""

    def read(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Record that the front read bytes of a result; an ERR packet doesn't count as a result."""
        if side != "client" or conn.id not in self._current or not data:
            return
        tag, first = self._current[conn.id]
        first = (first + data)[:5]
        connections = self.connections_by_tag.setdefault(tag, set())
        connections.add(conn.id)
        if len(first) < 5:
            self._current[conn.id] = tag, first
            return
        del self._current[conn.id]
        if first[4] == 0xFF:
            connections.discard(conn.id)


_TAG = re.compile(rb"'c[0-9]+-[0-9]+'")


@dataclass(slots=True)
class Verdict:
    """The rule violations and statistics of one run."""

    seed: int
    breaches: list[str]
    digest: str
    commands: int
    transfers: Counter[str]
    errors: Counter[int]
    injected_faults: Counter[str]
    lines: list[str] = field(default_factory=list)


class ScheduleRun:
    """Builds the world of one seed, runs it with its faults, and checks the result."""

    def __init__(self, seed: int, folder: Path, dense: bool = False) -> None:
        self.seed, self.folder = seed, folder
        self.world = World(seed)
        self.plan = Plan.draw(self.world.stream("plan"))
        if dense:
            self.plan.fault_probability, self.plan.kinds = 0.12, list(FAULT_KINDS)
        self.observations = Observations()
        self.injected_faults: Counter[str] = Counter()
        self.databases = [self._database() for _ in range(NODES)]
        self.servers: list[list[MysqlServer]] = [[] for _ in range(NODES)]
        self.machines: list[Machine] = []
        self.processes: list[Process] = []
        self.sidecars: list[Sidecar] = []
        self.discovery: Discovery | None = None
        self.actors: list[Actor] = []
        self.result_reads = ResultReads()
        self.world.taps.append(self.result_reads)
        self._fault_rng = self.world.stream("faults")
        self._faults_end_ns = START_NS + int(FAULTS_END_S * SECOND)

    @staticmethod
    def _database() -> Database:
        database = Database()
        create_transfer_tables(NAMES, database, money=INITIAL_BALANCE)
        columns = [ColumnInfo("id", 8, True, "tickets"), ColumnInfo("v", 253, False, "tickets")]
        database.tables[("shop", "tickets")] = Table("tickets", columns)
        return database

    def _choose_fault(self, node: int, point: FaultPoint) -> Fault | None:
        if self.world.now_ns > self._faults_end_ns or self.world.elapsed_ns < SECOND // 5:
            return None
        fault = self.plan.fault(self._fault_rng, point)
        if fault is not None:
            self.injected_faults[fault.kind if point.command >= 0 else "greeting"] += 1
        return fault

    def _start_node(self, at: int) -> None:
        def main(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            users = {"registry": Secret.from_password(NATIVE, b"node-secret")}
            settings = MysqlSettings(users=users, plugin=NATIVE, max_connections=12, lock_wait_seconds=1.0,
                                     work_seconds=0.002)  # fmt: skip
            server = MysqlServer(
                scheduler, f"h{at}", self.databases[at], settings, self.seed * 10 + len(self.servers[at]),
                lambda point: self._choose_fault(at, point), record_commands=True,
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
            app = Sidecar(
                parse_config(json.dumps(config).encode(), {}),
                operator=parse_operator_file(operator),
                system=system,
            )
            app.install_signal_handlers()
            app.start()
            self.sidecars.append(app)
            app.run()
            app.close()

        self.sidecar_process = world.machine("sidecar", "10.0.2.1").start(sidecar)

        def clients(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            for number in range(CLIENTS):
                actor = Actor(
                    scheduler, number, world.stream(f"client {number}"), self.observations, self.actors
                )
                self.actors.append(actor)
                scheduler.spawn(actor.run, name=f"client {number}")
            scheduler.run()

        world.machine("clients", "10.0.3.1").start(clients)

    # --- events -----------------------------------------------------------------------------------

    def _announce(self, entry: Entry) -> None:
        discovery = self.discovery
        if discovery is not None:
            discovery.scheduler.call_soon(lambda: discovery.put(entry))

    def _schedule(self) -> None:
        for at_s, kind, at, seconds in self.plan.events:
            self.world.at(START_NS + int(at_s * SECOND), lambda w=kind, a=at, s=seconds: self._event(w, a, s))  # type: ignore[misc]

    def _event(self, kind: str, at: int, seconds: float) -> None:
        self.injected_faults[kind] += 1
        machine, process, after = self.machines[at], self.processes[at], int(seconds * SECOND)
        if kind == "crash" and not process.dead and not machine.has_vanished:
            process.kill(reset=True)
            self.world.after(after, lambda: self._restart(at))
        elif kind == "vanish" and not machine.has_vanished:
            machine.vanish()
            self.world.after(after, lambda: self._reconnect(at))
        elif kind == "drain":
            self._announce(self._entry(at, "Terminating"))
            self.world.after(after + SECOND, lambda: self._announce(self._entry(at)))
        elif kind == "stall":
            machine.stall(after)

    def _restart(self, at: int) -> None:
        if self.processes[at].dead and not self.machines[at].has_vanished:
            self._start_node(at)

    def _reconnect(self, at: int) -> None:
        self.machines[at].come_back()
        self._restart(at)

    # --- run and checks ---------------------------------------------------------------------------

    def run(self) -> Verdict:
        """Run the world to its end and return the verdict."""
        self._start()
        self._schedule()
        world, breaches = self.world, self.observations.breaches
        ended = world.run(
            START_NS + int(END_S * SECOND),
            lambda: bool(self.actors) and all(actor.done for actor in self.actors),
        )
        if not ended:
            breaches.append("the clients did not finish")
        for actor in self.actors:
            if actor.number not in self.observations.recovered:
                breaches.append(f"client {actor.number}: no transfer succeeded after the last fault")
        world.run(world.now_ns + 6 * SECOND)
        self._check_idle_sidecar()
        self.sidecar_process.signal(signal.SIGTERM)
        world.run(world.now_ns + 8 * SECOND, lambda: self.sidecar_process.dead)
        if not self.sidecar_process.dead:
            breaches.append("the sidecar did not exit after SIGTERM")
        self._check_data()
        digest = hashlib.sha256("\n".join(self.observations.lines).encode())
        digest.update(repr([[(s.name, s.seen) for s in each] for each in self.servers]).encode())
        verdict = Verdict(
            self.seed, breaches, digest.hexdigest()[:16], self.observations.commands,
            Counter(t.outcome for t in self.observations.transfers), self.observations.errors,
            self.injected_faults, self.observations.lines,
        )  # fmt: skip
        world.close()
        return verdict

    def _check_idle_sidecar(self) -> None:
        """Check that the idle sidecar has no sessions, requests or busy server connections."""
        breaches = self.observations.breaches
        if not self.sidecars:
            breaches.append("the sidecar never started")
            return
        sidecar = self.sidecars[0]
        if sidecar.counters.count("faults"):
            breaches.append(f"{sidecar.counters.count('faults')} faults in the sidecar")
        assert sidecar.mysql is not None
        if sidecar.mysql.front.session_count:
            breaches.append(f"{sidecar.mysql.front.session_count} sessions left open")
        if sidecar.balancer_driver.unanswered_requests or sidecar.balancer_driver._pending:
            breaches.append(f"{len(sidecar.balancer_driver._pending)} requests left unfinished")
        for node in sidecar.mysql.nodes._nodes.values():
            left = (
                len(node.reserved),
                len(node.attempts),
                len(node.waiters),
                node.active_kills,
                node.open_count - len(node.idle),
            )
            if any(left):
                breaches.append(f"left over at {node.name} (held, claims, waiters, kills, open): {left}")

    def _check_data(self) -> None:
        """Compare the executed statements and stored data of the servers with the clients' replies."""
        breaches = self.observations.breaches
        ran: Counter[str] = Counter()
        for each in self.servers:
            for server in each:
                ran.update(text for _, command, text in server.seen if command == Command.QUERY)
        stored = [
            {row[0]: row[1] for row in database.snapshot("shop", "transfers").values()}
            for database in self.databases
        ]
        for at, database in enumerate(self.databases):
            money = sum(row[1] for row in database.snapshot("shop", "accounts").values())
            if money != INITIAL_BALANCE * len(NAMES):
                breaches.append(f"the accounts of h{at} sum to {money}")
        for transfer in self.observations.transfers:
            name = transfer.id
            inserts = sum(
                count
                for text, count in ran.items()
                if text.startswith(f"insert into transfers values ('{name}'")
            )
            commits = ran[f"commit /* {name} */"]
            where = sum(name in rows for rows in stored)
            if inserts > 1 or commits > 1 or where > 1:
                breaches.append(
                    f"{name} was sent {inserts} times, committed {commits} times, rows stored: {where}"
                )
            if transfer.outcome == "done" and where != 1:
                breaches.append(f"{name} was reported as done and is not stored")
            if transfer.outcome == "failed" and where:
                breaches.append(f"{name} was reported as failed and is stored")
            if transfer.outcome == "nothing":
                breaches.append(f"outcome of {name} was never reported")
        for tag, connections in self.result_reads.connections_by_tag.items():
            if len(connections) > 1:
                breaches.append(f"{tag} was sent again after the first byte of its result")


# --- mutations ------------------------------------------------------------------------------------


def _resend_after_commit() -> Iterator[None]:
    real = MysqlFrontEnd._from_node

    def from_node(self: Any, client: Any, node_binding: Any, deadline: Any, statement: Any) -> bytes:
        try:
            return real(self, client, node_binding, deadline, statement)
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


def _interrupted_commit_reported_as_done() -> Iterator[None]:
    from brambleusher.fronts.mysql.messages import Ok

    real = ReplyRelay.fail

    def fail(self: Any, error: Err) -> bytes:
        if error.errno == Errno.ERROR_DURING_COMMIT and not self.packet_open and not self.started:
            return self._framed(Ok(status=2).encode(self._client))  # type: ignore[no-any-return]
        return real(self, error)

    with mock.patch.object(ReplyRelay, "fail", fail):
        yield


def _without_tie(tie: PinReason) -> Callable[[], Iterator[None]]:
    def patch() -> Iterator[None]:
        real = Session.tie

        def tie_unless_removed(self: Session, which: PinReason, name: str = "") -> None:
            if which is not tie:
                real(self, which, name)

        with mock.patch.object(Session, "tie", tie_unless_removed):
            yield

    return patch


def _rows_mixed() -> Iterator[None]:
    real, earlier_rows = ReplyRelay._end_of_rows, [b""]
    real_rows = ReplyRelay._take_rows

    def rows(self: Any, at: int, out: bytearray) -> int:
        before = len(out)
        end = real_rows(self, at, out)
        if len(out) - before > 8:
            size = int.from_bytes(out[before : before + 3], "little")
            earlier_rows.append(bytes(out[before + 4 : before + 4 + size]))
            del earlier_rows[:-2]
        return end

    def ended(self: Any, payload: bytes) -> bytes:
        extra = (
            self._pending_columns_end() + self._framed(earlier_rows[0])
            if earlier_rows[0] and self.rows > 30
            else b""
        )
        return extra + real(self, payload)

    with (
        mock.patch.object(ReplyRelay, "_take_rows", rows),
        mock.patch.object(ReplyRelay, "_end_of_rows", ended),
    ):
        yield


def _unknown_reported_as_failed() -> Iterator[None]:
    def connection_error(self: Any, in_transaction: bool, statement: Any) -> Err:
        return Err.of(Errno.NET_READ, "the node was lost")

    with mock.patch.object(MysqlFrontEnd, "_lost_error", connection_error):
        yield


def _kill_hits_the_next() -> Iterator[None]:
    def stop(self: Any, conn: Any) -> None:
        self.kill(conn)
        if conn.channel.open:
            conn.node.idle.append(conn)

    def discard_input(self: Any) -> bool:
        while self.receive_now():
            pass
        return bool(self.stream.open)

    from brambleusher.fronts.mysql.channel import Channel

    with mock.patch.object(MysqlNodes, "stop", stop), mock.patch.object(Channel, "quiet", discard_input):
        yield


def _settings_not_replayed() -> Iterator[None]:
    real = Session.setup

    def setup(self: Session, reads_last_id: bool = False) -> Any:
        from dataclasses import replace

        return replace(real(self, reads_last_id), settings=())

    with mock.patch.object(Session, "setup", setup):
        yield


def _id_not_carried() -> Iterator[None]:
    def carry(self: Any, conn: Any, attempt: Any, limit: float) -> None:
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
        """Ignore the assignment, so that an interrupted reply counts as one that never began."""

    with mock.patch.object(PendingCommand, "broke", property(lambda self: False, never)):
        yield


def _drain_ignored() -> Iterator[None]:
    with mock.patch.object(ReservedConnection, "drop", lambda self, status: None):
        yield


FRONT_MUTATIONS: dict[str, Callable[[], Iterator[None]]] = {
    "resend-after-commit": _resend_after_commit,
    "error-swallowed": _error_swallowed,
    "lost-commit-told-as-done": _interrupted_commit_reported_as_done,
    "unknown-told-as-failed": _unknown_reported_as_failed,
    "moved-in-a-transaction": _without_tie(PinReason.TRANSACTION),
    "variable-lost-on-a-move": _without_tie(PinReason.USER_VARIABLE),
    "rows-of-two-results-mixed": _rows_mixed,
    "kill-hits-the-next": _kill_hits_the_next,
    "settings-not-replayed": _settings_not_replayed,
    "id-not-carried": _id_not_carried,
    "write-repeated": _write_repeated,
    "read-repeated-after-a-byte": _read_repeated_after_a_byte,
    "connection-not-dropped": _drain_ignored,
}


@contextmanager
def mutated(name: str | None) -> Iterator[None]:
    """Apply a mutation to the front for the duration of the context; None applies nothing."""
    with ExitStack() as stack:
        if name is not None:
            stack.enter_context(contextmanager(FRONT_MUTATIONS[name])())
        yield


# --- command line ---------------------------------------------------------------------------------


def run_seed(seed: int, mutation: str | None = None, dense: bool = False) -> Verdict:
    """Run the schedule of a seed; the same seed gives the same run.

    With `dense`, a fault is injected into about every eighth command.
    """
    logging.getLogger("brambleusher").handlers[:] = [logging.NullHandler()]
    logging.getLogger("brambleusher").propagate = False
    with tempfile.TemporaryDirectory() as folder, mutated(mutation):
        path = Path(folder)
        (path / "users").write_text(
            f"web {NATIVE} {Secret.from_password(NATIVE, b'front').to_server_format()}\n"
        )
        (path / "accounts").write_text("registry node-secret\n")
        return ScheduleRun(seed, path, dense).run()


def _seed_range(text: str) -> range:
    first, colon, last = text.partition(":")
    if not colon or not first.isdigit() or not last.isdigit() or int(first) >= int(last):
        raise argparse.ArgumentTypeError(f"{text!r} is not FIRST:LAST with FIRST below LAST")
    return range(int(first), int(last))


def _run_batch(seeds: Sequence[int], mutation: str | None) -> list[Verdict]:
    out = []
    for seed in seeds:
        verdict = run_seed(seed, mutation)
        verdict.lines = []
        out.append(verdict)
    return out


def _print_detection_table() -> int:
    """Print how many seeds it takes to detect each mutation; return 1 if a mutation is not detected."""
    missed = 0
    for name in FRONT_MUTATIONS:
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
    """Run schedules; if a rule is violated, print the command that reproduces the run and return 1."""
    parser = argparse.ArgumentParser(
        prog="mysql_replay", description="Seeded fault schedules for the MySQL front."
    )
    parser.add_argument("--seeds", type=_seed_range, default=range(0, 2000), metavar="FIRST:LAST")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--replay", type=int, metavar="SEED", help="run one schedule and print its statements"
    )
    parser.add_argument("--breakage", choices=sorted(FRONT_MUTATIONS))
    parser.add_argument(
        "--dense", action="store_true", help="with --replay: inject a fault into every eighth command"
    )
    parser.add_argument(
        "--table", action="store_true", help="print how many seeds it takes to detect each mutation"
    )
    options = parser.parse_args(arguments)
    if options.table:
        return _print_detection_table()
    if options.replay is not None:
        verdict = run_seed(options.replay, options.breakage, options.dense)
        print(
            "\n".join(
                [*verdict.lines, *(f"BREACH {each}" for each in verdict.breaches), f"digest {verdict.digest}"]
            )
        )
        return 1 if verdict.breaches else 0
    started = RealSystem.monotonic()
    seeds = list(options.seeds)
    batches = [seeds[at : at + 25] for at in range(0, len(seeds), 25)]
    verdicts: list[Verdict] = []
    with ProcessPoolExecutor(max(1, options.jobs)) as pool:
        for batch in pool.map(_run_batch, batches, [options.breakage] * len(batches)):
            verdicts += batch
    elapsed = RealSystem.monotonic() - started
    total, injected_faults, errors, commands = Counter[str](), Counter[str](), Counter[int](), 0
    for verdict in verdicts:
        total, injected_faults, errors = (
            total + verdict.transfers,
            injected_faults + verdict.injected_faults,
            errors + verdict.errors,
        )
        commands += verdict.commands
        for breach in verdict.breaches[:3]:
            print(f"seed {verdict.seed}: {breach}")
        if verdict.breaches:
            print(f"    python -m brambleusher.lab.mysql.replay --replay {verdict.seed}")
    violating = sum(bool(verdict.breaches) for verdict in verdicts)
    print(f"{len(verdicts)} schedules in {elapsed:.0f} s, {commands} statements, {violating} violated a rule")
    print("outcomes of writes and transfers:", ", ".join(f"{k} {v}" for k, v in sorted(total.items())))
    print("faults:", ", ".join(f"{k} {v}" for k, v in sorted(injected_faults.items())))
    print("errors received:", ", ".join(f"{k} {v}" for k, v in sorted(errors.items())))
    return 1 if violating else 0


if __name__ == "__main__":
    sys.exit(main())
