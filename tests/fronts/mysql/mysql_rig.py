"""Stand-in MySQL servers in one thread, a sidecar before them in another; clients are the test's."""

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
    """Some stand-in servers on one scheduler in a thread of their own."""

    def __init__(self, count: int = 2, seed: int = 1, **settings: Any) -> None:
        self.troubles: list[Callable[[FaultPoint], Fault | None]] = [lambda moment: None] * count
        self.servers: list[MysqlServer] = []
        users = {
            "web": Secret.of(NATIVE, b"pw"), "registry": Secret.of(NATIVE, b"node-secret"),
            "sha": Secret.of(CACHING_SHA2, b"sha-secret"),
        }  # fmt: skip
        up: queue.Queue[Scheduler] = queue.Queue()

        def run() -> None:
            scheduler = Scheduler(RealSystem())
            for at in range(count):
                database = Database()
                create_transfer_tables(NAMES, database)
                server = MysqlServer(
                    scheduler, f"h{at}", database, MysqlSettings(users=users, **settings), seed + at,
                    partial(self._trouble, at), record_commands=True,
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

    def _trouble(self, at: int, moment: FaultPoint) -> Fault | None:
        return self.troubles[at](moment)

    def do(self, call: Callable[[], Answer]) -> Answer:
        """Have the servers' thread do something, and wait for it."""
        out: queue.Queue[Answer] = queue.Queue()
        self.scheduler.call_soon(lambda: out.put(call()))
        return out.get(timeout=WAIT)

    def clear(self) -> None:
        """No faults, nothing seen, and the tables as they were."""
        self.troubles[:] = [lambda moment: None] * len(self.servers)
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
    """Servers, discovery and a sidecar with the front on."""

    def __init__(
        self, folder: Path, servers: Servers, more: str = "", promise_s: int = 1, **limits: Any
    ) -> None:
        self.servers, self.folder = servers, folder
        self._before: dict[str, int] = {}
        names = [server.name for server in servers.servers]
        self.entries = [self.entry(name) for name in names]
        self.discovery = Discovery(self.entries)
        # Aims that a busy machine keeps too: else the decisions rightly turn some away.
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
            f"web {NATIVE} {Secret.of(NATIVE, b'front').stored()}\n"
            f"sha {CACHING_SHA2} {Secret.of(CACHING_SHA2, b'front-sha').stored()}\n"
        )
        (folder / "accounts").write_text("registry node-secret\nsha sha-secret\n")
        places = {name: "{}:{}".format(*servers.address(at)) for at, name in enumerate(names)}
        text = OPERATOR.format(
            folder=folder, addresses=", ".join(f"{k}: '{v}'" for k, v in places.items()), more=more
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
        """How often something was counted since `forget_counts`."""
        return self.sidecar.counters.count(name) - self._before.get(name, 0)

    def forget_counts(self) -> None:
        self._before = dict(self.sidecar.counters._counts)

    def entry(self, name: str, state: str = "Ready") -> dict[str, Any]:
        return {"id": name, "addr": "127.0.0.1:9", "zone": "z", "kind": "k", "state": state, "weight": 1.0}

    def do(self, call: Callable[[], Answer]) -> Answer:
        """Have the sidecar's thread do something, and wait for it."""
        out: queue.Queue[Answer] = queue.Queue()
        self.sidecar.scheduler.call_soon(lambda: out.put(call()))
        return out.get(timeout=WAIT)

    def until(self, test: Callable[[], bool]) -> None:
        """Wait until the sidecar's thread finds something true."""
        end = time.monotonic() + WAIT
        while not self.do(test):
            assert time.monotonic() < end
            time.sleep(0.002)

    def seen(self, text: str) -> list[tuple[int, int]]:
        """Where a statement came: the server's place and the thread of its connection."""
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
