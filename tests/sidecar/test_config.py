"""Tests of configuration, endpoint list parsing, log lines and scheduler edge cases."""

from __future__ import annotations

import gc
import json
import logging
import sys
import unittest
import weakref
from typing import Any

from brambleusher.loadbalancing.api import HostState
from brambleusher.net.endpoint_list import EndpointListError, decode_update
from brambleusher.observability.log_format import KeyValueFormatter
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Event, Scheduler, Task, TaskTimeoutError
from brambleusher.sidecar.configuration import ConfigError, load_config, parse_config
from tests.rig import SETTINGS

ENTRY = {"id": "h0", "addr": "127.0.0.1:80", "zone": "z", "kind": "k", "state": "Ready", "started_ms": 3}
GOOD: dict[str, Any] = {
    "name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "8c1f",
    "known": {"version": 41, "full": True, "servers": [ENTRY]}, "settings": SETTINGS,
}  # fmt: skip


class Configuration(unittest.TestCase):
    def test_defaults_and_the_environment_stand_in(self) -> None:
        few = {key: GOOD[key] for key in ("seed", "settings")}
        env = {"NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.1:1", "NODE_DISCOVERY": "127.0.0.1:2"}
        config = parse_config(json.dumps(few).encode(), env)
        self.assertEqual((config.name, config.listen), ("n7", ("127.0.0.1", 1)))
        self.assertEqual((config.limits.sockets, config.limits.memory_mb), (1024, 192))
        self.assertEqual((config.seed, config.known.endpoints), (0x8C1F, ()))
        self.assertIsNone(config.admin)
        for raw, more, admin in (
            (few, {"NODE_ADMIN_ADDR": "127.0.0.1:3"}, ("127.0.0.1", 3)),
            ({**few, "admin_addr": "127.0.0.1:4"}, {"NODE_ADMIN_ADDR": "127.0.0.1:3"}, ("127.0.0.1", 4)),
        ):
            self.assertEqual(parse_config(json.dumps(raw).encode(), {**env, **more}).admin, admin)
        with self.assertRaisesRegex(ConfigError, "NODE_ADMIN_ADDR"):
            parse_config(json.dumps(few).encode(), {**env, "NODE_ADMIN_ADDR": "admin"})

    def test_the_faulty_key_is_named(self) -> None:
        for key, value, named in (
            ("name", 3, "name"),
            ("listen", "here", "listen"),
            ("discovery", "127.0.0.1:99999", "discovery"),
            ("seed", "xyz", "seed"),
            ("admin_addr", "admin", "admin_addr"),
            ("limits", {"sockets": 3}, "limits.sockets"),
            ("limits", {"memory_mb": "big"}, "limits.memory_mb"),
            ("known", {"servers": [{}]}, "known"),
            ("settings", None, "settings"),
            ("settings", {**SETTINGS, "fleet_size": 0}, "fleet_size"),
            ("settings", {**SETTINGS, "limits": 5}, "limits"),
            ("settings", {**SETTINGS, "classes": [1]}, "classes"),
        ):
            with self.subTest(key=key, value=value), self.assertRaisesRegex(ConfigError, named):
                parse_config(json.dumps({**GOOD, key: value}).encode(), {})
        with self.assertRaisesRegex(ConfigError, "NODE_CONFIG"):
            parse_config(b"{", {})
        with self.assertRaisesRegex(ConfigError, "NODE_CONFIG"):
            load_config({})


class Lists(unittest.TestCase):
    def test_entries(self) -> None:
        gone = {"id": "h1", "state": "Gone"}
        update = decode_update({"version": 4, "full": False, "servers": [ENTRY, gone]})
        first, second = update.endpoints
        self.assertEqual((first.address, first.entry.started_ns), (("127.0.0.1", 80), 3_000_000))
        self.assertEqual((second.entry.state, update.full), (HostState.REMOVED, False))

    def test_what_makes_no_sense_is_refused_whole(self) -> None:
        for bad in (
            {"addr": "nowhere"},
            {"id": ""},
            {"state": "Sleeping"},
            {"weight": "heavy"},
            {"started_ms": -1},
            {"cell": 1.5},
        ):
            with self.subTest(bad), self.assertRaises(EndpointListError):
                decode_update({"version": 4, "full": True, "servers": [ENTRY, {**ENTRY, **bad}]})
        texts: tuple[Any, ...] = (None, [], {}, {"servers": {}}, {"servers": [], "version": "x"})
        for raw in texts:
            with self.subTest(raw), self.assertRaises(EndpointListError):
                decode_update(raw)


class LogLines(unittest.TestCase):
    def test_values_are_quoted_where_unclear(self) -> None:
        record = logging.makeLogRecord(
            {"name": "brambleusher.net.x", "levelname": "INFO", "msg": 'a "b"\n', "fields": {"k": 1, "e": ""}}
        )
        line = KeyValueFormatter().format(record)
        self.assertIn('level=info part=net.x msg="a \\"b\\"\\n" k=1 e=""', line)


class Tasks(unittest.TestCase):
    def test_what_wakes_a_task(self) -> None:
        scheduler, event, seen = Scheduler(RealSystem()), Event(), list[str]()
        self.addCleanup(scheduler.close)

        def waits() -> None:
            seen.append(scheduler.park(event=event).value)
            try:
                scheduler.park(scheduler.now(), event=event)
            except TaskTimeoutError:
                seen.append("timeout")
            try:
                scheduler.park(event=event)
            finally:
                seen.append("cancelled")

        task: Task = scheduler.spawn(waits)
        scheduler.call_soon(event.set)
        scheduler.run(lambda: len(seen) == 2)
        task.cancel()
        event.set()  # setting the event at the same time must not undo the cancellation
        scheduler.run(lambda: task.done)
        self.assertEqual(seen, ["event", "timeout", "cancelled"])

    def test_a_fault_ends_its_task_alone(self) -> None:
        scheduler, seen = Scheduler(RealSystem()), list[int]()
        self.addCleanup(scheduler.close)
        with self.assertLogs("brambleusher", "ERROR"):
            scheduler.spawn(lambda: 1 // 0)
            scheduler.spawn(lambda: seen.append(1))
            scheduler.run(lambda: bool(seen))

    def test_cancelled_deadlines_do_not_pile_up(self) -> None:
        scheduler = Scheduler(RealSystem())
        self.addCleanup(scheduler.close)
        for _ in range(5000):
            scheduler.call_at(sys.maxsize, lambda: None).cancel()
        self.assertLess(len(scheduler._timers), 1100)

    def test_a_deadline_that_passes_keeps_nothing(self) -> None:
        scheduler, held = Scheduler(RealSystem()), list[weakref.ref[set[int]]]()
        self.addCleanup(scheduler.close)

        def waits() -> None:
            body = {1}
            held.append(weakref.ref(body))
            try:
                scheduler.park(scheduler.now())
            except TaskTimeoutError:
                return

        gc.disable()
        self.addCleanup(gc.enable)
        task: Task = scheduler.spawn(waits)
        scheduler.run(lambda: task.done)
        self.assertIsNone(held[0]())
