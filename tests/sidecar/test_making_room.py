"""Tests of evicting client connections when slots are scarce and requests wait unread."""

from __future__ import annotations

import json
import unittest

from brambleusher.net.client_connection import ClientConnection
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import parse_config
from tests.rig import SETTINGS


class UnreadStream(Stream):
    """A stream with `unread` as its unread data, which counts the calls of `peek`."""

    def __init__(self, scheduler: Scheduler, unread: bytes | None) -> None:
        super().__init__(scheduler, RealSystem().connection())
        self.unread, self.looks = unread, 0

    def peek(self) -> bytes | None:
        self.looks += 1
        return self.unread

    def is_idle(self) -> bool:
        return self.peek() is None


class Room(unittest.TestCase):
    def setUp(self) -> None:
        config = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "2a",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"version": 6, "full": True, "servers": []}, "settings": SETTINGS,
        }  # fmt: skip
        self.sidecar = Sidecar(parse_config(json.dumps(config).encode(), {}))
        self.addCleanup(self.sidecar.close)
        self.places, self.connections = (
            self.sidecar.connection_admission,
            self.sidecar.client_listener._connections,
        )
        self.places.max_connections = self.places.max_active = 20

    def add_idle_connections(self, count: int, unread: bytes | None) -> list[UnreadStream]:
        streams = []
        for _ in range(count):
            stream = UnreadStream(self.sidecar.scheduler, unread)
            self.addCleanup(stream.close)
            connection = ClientConnection(stream, "p")
            connection.was_served = True
            self.connections._open.add(connection)
            self.places.record_open(connection, "p", 0.0)
            self.places.record_request(connection, 0.1)
            self.places.record_idle(connection, 0.2)
            streams.append(stream)
        return streams

    def test_a_request_that_has_come_is_looked_at_once(self) -> None:
        """If every response checked each waiting request again, an overloaded process could not recover."""
        streams = self.add_idle_connections(30, b"G")
        for _ in range(25):
            self.assertFalse(self.connections.close_least_valuable())
            self.assertFalse(self.connections.evict_for_next_connection())
        self.assertLessEqual(sum(stream.looks for stream in streams), 30)
        self.assertEqual(self.places.connection_count, 30, "a connection with an unread request was closed")

    def test_one_whose_other_end_has_left_goes(self) -> None:
        streams = self.add_idle_connections(30, b"")
        self.assertTrue(self.connections.close_least_valuable())
        self.assertLessEqual(self.places.connection_count, 20)
        self.assertEqual(sum(not stream.open for stream in streams), 30 - self.places.connection_count)

    def test_what_is_quiet_goes_as_ever(self) -> None:
        self.add_idle_connections(15, b"G"), self.add_idle_connections(15, None)
        self.assertTrue(self.connections.close_least_valuable())
        self.assertGreaterEqual(self.places.connection_count, 15)
        self.assertLess(self.places.connection_count, 30)
