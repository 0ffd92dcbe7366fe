"""Admission of client connections, with simulated groups of clients."""

from __future__ import annotations

import heapq
import random
import unittest
from dataclasses import dataclass, field

from brambleusher.loadbalancing.connection_admission import FIRST_REQUEST_S, ConnectionAdmission

SERVICE_TIME_S = 0.05  # service time of a request in seconds


@dataclass
class ClientGroup:
    """A group of clients with the same rate of new connections and the same reuse of connections."""

    peer: str
    rate: float
    reuse_interval_s: float | None = (
        None  # seconds after which a connection sends its next request; None for never
    )
    silent: bool = False
    tenant: str = "t"


@dataclass
class World:
    """Clients that may hold `cap` active connections in total; a request beyond that is rejected."""

    admission: ConnectionAdmission
    cap: int
    groups: list[ClientGroup]
    seed: int = 1
    served: dict[str, int] = field(default_factory=dict)
    requested: dict[str, int] = field(default_factory=dict)
    # Closed connections that would have sent another request.
    closed: dict[str, int] = field(default_factory=dict)

    def run(self, until: float) -> None:
        rng, count, now = random.Random(self.seed), 0, 0.0
        events: list[tuple[float, int, str, ClientGroup, int]] = []
        open_: dict[int, ClientGroup] = {}

        def put(at: float, event_type: str, group: ClientGroup, conn: int) -> None:
            nonlocal count
            count += 1
            heapq.heappush(events, (at, count, event_type, group, conn))

        def end(conn: int) -> None:
            if conn in open_:
                group = open_.pop(conn)
                self.closed[group.peer] = self.closed.get(group.peer, 0) + (
                    group.reuse_interval_s is not None
                )
                self.admission.record_close(conn, now)

        for group in self.groups:
            put(rng.expovariate(group.rate), "come", group, 0)
        while events and events[0][0] < until:
            now, _, event_type, group, conn = heapq.heappop(events)
            if event_type == "come":
                put(now + rng.expovariate(group.rate), "come", group, 0)
                self.requested[group.peer] = self.requested.get(group.peer, 0) + (not group.silent)
                if not group.silent and sum(not each.silent for each in open_.values()) >= self.cap:
                    continue
                for evicted in self.admission.evictions_for_new(now):
                    end(evicted)  # type: ignore[arg-type]
                if self.admission.connection_count >= self.admission.max_connections:
                    continue
                conn = count
                open_[conn] = group
                self.admission.record_open(conn, group.peer, now)
                if not group.silent:
                    put(now + 0.001, "ask", group, conn)
            elif event_type == "ask" and conn in open_:
                self.admission.record_request(conn, now)
                self.admission.record_tenant(conn, group.tenant)
                put(now + SERVICE_TIME_S, "answer", group, conn)
            elif event_type == "answer":
                self.served[group.peer] = self.served.get(group.peer, 0) + 1
                if not self.admission.may_keep_alive(conn, now):
                    end(conn)
                    continue
                self.admission.record_idle(conn, now)
                for evicted in self.admission.surplus_connections(now):
                    end(evicted)  # type: ignore[arg-type]
                if group.reuse_interval_s is not None and conn in open_:
                    put(now + rng.uniform(0.5, 1.5) * group.reuse_interval_s, "ask", group, conn)
            assert self.admission.connection_count == len(open_) <= self.admission.max_connections


class Scarce(unittest.TestCase):
    def test_connections_that_stay_after_one_request_are_not_kept(self) -> None:
        """In recorded traffic, all 128 connections of the clients stayed open after one request each."""
        world = World(
            ConnectionAdmission(212, 128),
            128,
            [ClientGroup("app", 250.0), ClientGroup("rude", 40.0, silent=True)],
        )
        world.run(8.0)
        self.assertGreater(world.served["app"], 0.97 * world.requested["app"] - 40)

    def test_without_the_ceiling_of_the_clients_their_own_bounds_do(self) -> None:
        """The same applies where only the proxy's own limit binds and hundreds of connections are unused."""
        world = World(
            ConnectionAdmission(120),
            10_000,
            [ClientGroup("app", 250.0), ClientGroup("rude", 150.0, silent=True)],
        )
        world.run(8.0)
        self.assertGreater(world.served["app"], 0.97 * world.requested["app"] - 40)

    def test_connections_that_send_further_requests_are_kept(self) -> None:
        """Connections that are reused, which carry half of the load, must not be closed like the others."""
        pool = ClientGroup("pool", 4.0, reuse_interval_s=0.2, tenant="a")
        world = World(ConnectionAdmission(212, 128), 128, [pool, ClientGroup("once", 200.0, tenant="b")])
        world.run(8.0)
        self.assertGreater(world.served["once"], 0.97 * world.requested["once"] - 40)
        self.assertGreater(world.served["pool"], 300)
        self.assertLess(world.closed.get("pool", 0), 0.01 * world.served["pool"])

    def test_a_peer_with_few_is_not_crowded_out_by_one_with_many(self) -> None:
        """An owner below an even share loses no connection, even if other owners reuse theirs sooner."""
        few, many = (
            ClientGroup("few", 2.0, reuse_interval_s=1.5),
            ClientGroup("many", 40.0, reuse_interval_s=0.3),
        )
        world = World(ConnectionAdmission(100), 10_000, [few, many])
        world.run(10.0)
        self.assertEqual(world.closed.get("few", 0), 0)
        self.assertGreater(world.closed["many"], 50)


class Plenty(unittest.TestCase):
    def test_nothing_acts(self) -> None:
        """For random groups of clients that fit, no connection is closed (property test)."""
        for seed in range(20):
            rng = random.Random(seed)
            with self.subTest(seed=seed):
                groups = [
                    ClientGroup(
                        f"p{n}", rng.uniform(0.2, 3.0), rng.choice([None, 0.01, 0.3, 2.0]), rng.random() < 0.2
                    )
                    for n in range(rng.randrange(1, 4))
                ]
                world = World(ConnectionAdmission(200, 100), 10_000, groups, seed)
                world.run(5.0)
                self.assertEqual(sum(world.closed.values()), 0)


class Cases(unittest.TestCase):
    def test_a_silent_one_has_time_for_its_first_request(self) -> None:
        admission = ConnectionAdmission(4)
        for n in range(4):
            admission.record_open(n, "p", 1.0)
        self.assertEqual(list(admission.evictions_for_new(1.0 + FIRST_REQUEST_S / 2)), [])
        self.assertEqual(next(admission.evictions_for_new(1.0 + FIRST_REQUEST_S)), 0)

    def test_one_passed_over_is_not_yielded_again(self) -> None:
        """A connection whose request has arrived but is still unread must not be yielded repeatedly."""
        admission = ConnectionAdmission(3)
        for n in range(3):
            admission.record_open(n, "p", 0.0)
        self.assertEqual(list(admission.evictions_for_new(1.0)), [0, 1, 2])

    def test_an_unknown_connection_changes_nothing(self) -> None:
        admission = ConnectionAdmission(3)
        admission.record_request("x", 1.0)
        admission.record_tenant("x", "t")
        admission.record_idle("x", 1.0)
        admission.record_close("x", 1.0)
        self.assertTrue(admission.may_keep_alive("x", 1.0))
        self.assertEqual(admission.connection_count, 0)

    def test_counts_balance_over_random_steps(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                rng, admission, now = random.Random(seed), ConnectionAdmission(12, 8), 0.0
                at: dict[int, str] = {}
                for n in range(400):
                    now += rng.expovariate(50.0)
                    roll, some = rng.random(), rng.choice(sorted(at)) if at else -1
                    if roll < 0.4 and len(at) < 12:
                        admission.record_open(n, rng.choice("ab"), now)
                        at[n] = "silent"
                    elif some >= 0 and roll < 0.6 and at[some] != "busy":
                        admission.record_request(some, now)
                        admission.record_tenant(some, rng.choice("xyz"))
                        at[some] = "busy"
                    elif (
                        some >= 0
                        and roll < 0.8
                        and at[some] == "busy"
                        and admission.may_keep_alive(some, now)
                    ):
                        admission.record_idle(some, now)
                        at[some] = "idle"
                    elif some >= 0:
                        admission.record_close(some, now)
                        del at[some]
                    for evicted in list(admission.surplus_connections(now)):
                        self.assertNotEqual(at[evicted], "busy")  # type: ignore[index]
                    self.assertEqual(admission.connection_count, len(at))
                    self.assertEqual(admission.idle_count, sum(state == "idle" for state in at.values()))
                    self.assertEqual(admission.unused_count, sum(state == "silent" for state in at.values()))
                    self.assertEqual(
                        set(admission.idle_connections()), {c for c, state in at.items() if state != "busy"}
                    )
                    admission.status(now)
                for conn in list(at):
                    admission.record_close(conn, now)
                self.assertEqual((admission.connection_count, admission.idle_connections()), (0, []))
