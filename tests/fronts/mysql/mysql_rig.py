"""Test rig with stand-in MySQL servers in one thread and a sidecar in another."""

from __future__ import annotations

import json
import queue
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

from brambleusher.fronts.mysql.auth import Secret
from brambleusher.fronts.mysql.constants import CACHING_SHA2, NATIVE
from brambleusher.lab.mysql.engine import Database
from brambleusher.lab.mysql.server import (
    Fault,
    FaultPoint,
    MysqlServer,
    MysqlSettings,
    create_transfer_tables,
)
from brambleusher.operator_settings.configuration import parse_operator_file
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import parse_config
from tests.rig import SETTINGS, WAIT, Discovery

Answer = TypeVar("Answer")
NAMES = [f"n{at}" for at in range(10)]


class Servers:
    """Stand-in MySQL servers on one scheduler, which runs in its own thread."""

    def __init__(self, count: int = 2, seed: int = 1, **settings: Any) -> None:
        self.fault_injectors: list[Callable[[FaultPoint], Fault | None]] = [lambda moment: None] * count
        self.servers: list[MysqlServer] = []
        users = {
            "web": Secret.from_password(NATIVE, b"pw"),
            "registry": Secret.from_password(NATIVE, b"node-secret"),
            "sha": Secret.from_password(CACHING_SHA2, b"sha-secret"),
        }  # fmt: skip
        up: queue.Queue[Scheduler] = queue.Queue()

        def run() -> None:
            scheduler = Scheduler(RealSystem())
            for at in range(count):
                database = Database()
                create_transfer_tables(NAMES, database)
                server = MysqlServer(
                    scheduler, f"h{at}", database, MysqlSettings(users=users, **settings), seed + at,
                    partial(self._inject_fault, at), record_commands=True,
                )  # fmt: skip
                server.listen(("127.0.0.1", 0))
                self.servers.append(server)
            up.put(scheduler)
            scheduler.run()
            for server in self.servers:
                server.close()
            scheduler.close()

        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()
        self.scheduler = up.get(timeout=WAIT)

    def _inject_fault(self, at: int, moment: FaultPoint) -> Fault | None:
        return self.fault_injectors[at](moment)

    def do(self, call: Callable[[], Answer]) -> Answer:
        """Run a function in the servers' thread and return its result."""
        out: queue.Queue[Answer] = queue.Queue()
        self.scheduler.call_soon(lambda: out.put(call()))
        return out.get(timeout=WAIT)

    def clear(self) -> None:
        """Remove the injected faults, forget the recorded statements, and reset the tables."""
        self.fault_injectors[:] = [lambda moment: None] * len(self.servers)
        for server in self.servers:
            server.seen.clear()
            server.database.tables.clear()
            create_transfer_tables(NAMES, server.database)

    def address(self, at: int = 0) -> tuple[str, int]:
        where = self.servers[at].address
        assert where is not None
        return where

    def end(self) -> None:
        self.scheduler.stop()
        self.thread.join(WAIT)
        assert not self.thread.is_alive()


OPERATOR = """
mysql:
  listen: 127.0.0.1:0
  users_file: {folder}/users
  accounts_file: {folder}/accounts
  strict_class: move
  default_class: look
  addresses: {{{addresses}}}
  ask_node_key: true
  users:
    web: {{account: registry}}
{more}
"""


class MysqlRig:
    """Stand-in servers, a discovery service, and a sidecar with the MySQL front end enabled."""

    def __init__(
        self, folder: Path, servers: Servers, more: str = "", latency_target_s: int = 1, **limits: Any
    ) -> None:
        self.servers, self.folder = servers, folder
        self._before: dict[str, int] = {}
        names = [server.name for server in servers.servers]
        self.entries = [self.entry(name) for name in names]
        self.discovery = Discovery(self.entries)
        # The latency targets hold on a busy machine too; otherwise the load balancer would reject requests.
        classes = [
            {**each, "promise_ns": 20 * 10**9, "give_up_ns": 20 * 10**9} for each in SETTINGS["classes"]
        ]
        settings = {**SETTINGS, "limits": {**SETTINGS["limits"], **limits}, "classes": classes}
        if "grace_ms" not in more:
            more += "  grace_ms: {move: 300, look: 300}\n"
        config = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "2a",
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096},
            "known": {"version": 6, "full": True, "servers": self.entries}, "settings": settings,
        }  # fmt: skip
        (folder / "users").write_text(
            "# name plugin hash\n"
            f"web {NATIVE} {Secret.from_password(NATIVE, b'front').to_server_format()}\n"
            f"sha {CACHING_SHA2} {Secret.from_password(CACHING_SHA2, b'front-sha').to_server_format()}\n"
        )
        (folder / "accounts").write_text("registry node-secret\nsha sha-secret\n")
        node_addresses = {name: "{}:{}".format(*servers.address(at)) for at, name in enumerate(names)}
        text = OPERATOR.format(
            folder=folder, addresses=", ".join(f"{k}: '{v}'" for k, v in node_addresses.items()), more=more
        )
        up: queue.Queue[tuple[Sidecar, tuple[str, int]]] = queue.Queue()

        def run() -> None:
            sidecar = Sidecar(
                parse_config(json.dumps(config).encode(), {}), operator=parse_operator_file(text.encode())
            )
            sidecar.start()
            assert sidecar.mysql is not None
            assert sidecar.mysql.address is not None
            up.put((sidecar, sidecar.mysql.address))
            sidecar.run()
            sidecar.close()

        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()
        self.sidecar, self.address = up.get(timeout=WAIT)
        self.discovery.asked.get(timeout=WAIT)

    def count(self, name: str) -> int:
        """Return the increase of a counter since `forget_counts`."""
        return self.sidecar.counters.count(name) - self._before.get(name, 0)

    def forget_counts(self) -> None:
        self._before = dict(self.sidecar.counters._counts)

    def entry(self, name: str, state: str = "Ready") -> dict[str, Any]:
        return {"id": name, "addr": "127.0.0.1:9", "zone": "z", "kind": "k", "state": state, "weight": 1.0}

    def do(self, call: Callable[[], Answer]) -> Answer:
        """Run a function in the sidecar's thread and return its result."""
        out: queue.Queue[Answer] = queue.Queue()
        self.sidecar.scheduler.call_soon(lambda: out.put(call()))
        return out.get(timeout=WAIT)

    def until(self, test: Callable[[], bool]) -> None:
        """Wait until a condition, evaluated in the sidecar's thread, is true."""
        end = time.monotonic() + WAIT
        while not self.do(test):
            assert time.monotonic() < end
            time.sleep(0.002)

    def seen(self, text: str) -> list[tuple[int, int]]:
        """Return server index and connection thread id for each time that a statement was received."""
        return self.servers.do(
            lambda: [
                (at, thread)
                for at, server in enumerate(self.servers.servers)
                for thread, _, each in server.seen
                if each == text
            ]
        )

    def end(self) -> None:
        self.sidecar.begin_graceful_shutdown()
        self.thread.join(WAIT)
        self.discovery.close()
        assert not self.thread.is_alive()
