"""Admission of client connections, with simulated groups of clients."""

from __future__ import annotations

import heapq
import random
import unittest
from dataclasses import dataclass, field

from brambleusher.loadbalancing.connection_admission import FIRST_REQUEST_S, ConnectionAdmission

SERVICE = 0.05  # service time of a request in seconds


@dataclass
class Crowd:
    """A group of clients with the same rate of new connections and the same reuse of connections."""

    peer: str
    rate: float
    again: float | None = None  # seconds after which a connection sends its next request; None for never
    silent: bool = False
    tenant: str = "t"


@dataclass
class World:
    """Clients that may hold `cap` active connections in total; a request beyond that is rejected."""

    places: ConnectionAdmission
    cap: int
    crowds: list[Crowd]
    seed: int = 1
    served: dict[str, int] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)
    # Closed connections that would have sent another request.
    closed: dict[str, int] = field(default_factory=dict)

    def run(self, until: float) -> None:
        rng, count, now = random.Random(self.seed), 0, 0.0
        events: list[tuple[float, int, str, Crowd, int]] = []
        open_: dict[int, Crowd] = {}

        def put(at: float, what: str, crowd: Crowd, conn: int) -> None:
            nonlocal count
            count += 1
            heapq.heappush(events, (at, count, what, crowd, conn))

        def end(conn: int) -> None:
            if conn in open_:
                crowd = open_.pop(conn)
                self.closed[crowd.peer] = self.closed.get(crowd.peer, 0) + (crowd.again is not None)
                self.places.record_close(conn, now)

        for crowd in self.crowds:
            put(rng.expovariate(crowd.rate), "come", crowd, 0)
        while events and events[0][0] < until:
            now, _, what, crowd, conn = heapq.heappop(events)
            if what == "come":
                put(now + rng.expovariate(crowd.rate), "come", crowd, 0)
                self.asked[crowd.peer] = self.asked.get(crowd.peer, 0) + (not crowd.silent)
                if not crowd.silent and sum(not each.silent for each in open_.values()) >= self.cap:
                    continue
                for victim in self.places.evictions_for_new(now):
                    end(victim)  # type: ignore[arg-type]
                if self.places.connection_count >= self.places.max_connections:
                    continue
                conn = count
                open_[conn] = crowd
                self.places.record_open(conn, crowd.peer, now)
                if not crowd.silent:
                    put(now + 0.001, "ask", crowd, conn)
            elif what == "ask" and conn in open_:
                self.places.record_request(conn, now)
                self.places.record_tenant(conn, crowd.tenant)
                put(now + SERVICE, "answer", crowd, conn)
            elif what == "answer":
                self.served[crowd.peer] = self.served.get(crowd.peer, 0) + 1
                if not self.places.may_keep_alive(conn, now):
                    end(conn)
                    continue
                self.places.record_idle(conn, now)
                for victim in self.places.surplus_connections(now):
                    end(victim)  # type: ignore[arg-type]
                if crowd.again is not None and conn in open_:
                    put(now + rng.uniform(0.5, 1.5) * crowd.again, "ask", crowd, conn)
            assert self.places.connection_count == len(open_) <= self.places.max_connections


class Scarce(unittest.TestCase):
    def test_connections_that_stay_after_one_request_are_not_kept(self) -> None:
        """In recorded traffic, all 128 connections of the clients stayed open after one request each."""
        world = World(
            ConnectionAdmission(212, 128), 128, [Crowd("app", 250.0), Crowd("rude", 40.0, silent=True)]
        )
        world.run(8.0)
        self.assertGreater(world.served["app"], 0.97 * world.asked["app"] - 40)

    def test_without_the_ceiling_of_the_clients_their_own_bounds_do(self) -> None:
        """The same applies where only the proxy's own limit binds and hundreds of connections are unused."""
        world = World(
            ConnectionAdmission(120), 10_000, [Crowd("app", 250.0), Crowd("rude", 150.0, silent=True)]
        )
        world.run(8.0)
        self.assertGreater(world.served["app"], 0.97 * world.asked["app"] - 40)

    def test_connections_that_send_further_requests_are_kept(self) -> None:
        """Connections that are reused, which carry half of the load, must not be closed like the others."""
        pool = Crowd("pool", 4.0, again=0.2, tenant="a")
        world = World(ConnectionAdmission(212, 128), 128, [pool, Crowd("once", 200.0, tenant="b")])
        world.run(8.0)
        self.assertGreater(world.served["once"], 0.97 * world.asked["once"] - 40)
        self.assertGreater(world.served["pool"], 300)
        self.assertLess(world.closed.get("pool", 0), 0.01 * world.served["pool"])

    def test_a_peer_with_few_is_not_crowded_out_by_one_with_many(self) -> None:
        """An owner below an even share loses no connection, even if other owners reuse theirs sooner."""
        few, many = Crowd("few", 2.0, again=1.5), Crowd("many", 40.0, again=0.3)
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
                crowds = [
                    Crowd(
                        f"p{n}", rng.uniform(0.2, 3.0), rng.choice([None, 0.01, 0.3, 2.0]), rng.random() < 0.2
                    )
                    for n in range(rng.randrange(1, 4))
                ]
                world = World(ConnectionAdmission(200, 100), 10_000, crowds, seed)
                world.run(5.0)
                self.assertEqual(sum(world.closed.values()), 0)


class Cases(unittest.TestCase):
    def test_a_silent_one_has_time_for_its_first_request(self) -> None:
        places = ConnectionAdmission(4)
        for n in range(4):
            places.record_open(n, "p", 1.0)
        self.assertEqual(list(places.evictions_for_new(1.0 + FIRST_REQUEST_S / 2)), [])
        self.assertEqual(next(places.evictions_for_new(1.0 + FIRST_REQUEST_S)), 0)

    def test_one_passed_over_is_not_yielded_again(self) -> None:
        """A connection whose request has arrived but is still unread must not be yielded repeatedly."""
        places = ConnectionAdmission(3)
        for n in range(3):
            places.record_open(n, "p", 0.0)
        self.assertEqual(list(places.evictions_for_new(1.0)), [0, 1, 2])

    def test_an_unknown_connection_changes_nothing(self) -> None:
        places = ConnectionAdmission(3)
        places.record_request("x", 1.0)
        places.record_tenant("x", "t")
        places.record_idle("x", 1.0)
        places.record_close("x", 1.0)
        self.assertTrue(places.may_keep_alive("x", 1.0))
        self.assertEqual(places.connection_count, 0)

    def test_counts_balance_over_random_steps(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                rng, places, now = random.Random(seed), ConnectionAdmission(12, 8), 0.0
                at: dict[int, str] = {}
                for n in range(400):
                    now += rng.expovariate(50.0)
                    roll, some = rng.random(), rng.choice(sorted(at)) if at else -1
                    if roll < 0.4 and len(at) < 12:
                        places.record_open(n, rng.choice("ab"), now)
                        at[n] = "silent"
                    elif some >= 0 and roll < 0.6 and at[some] != "busy":
                        places.record_request(some, now)
                        places.record_tenant(some, rng.choice("xyz"))
                        at[some] = "busy"
                    elif some >= 0 and roll < 0.8 and at[some] == "busy" and places.may_keep_alive(some, now):
                        places.record_idle(some, now)
                        at[some] = "idle"
                    elif some >= 0:
                        places.record_close(some, now)
                        del at[some]
                    for victim in list(places.surplus_connections(now)):
                        self.assertNotEqual(at[victim], "busy")  # type: ignore[index]
                    self.assertEqual(places.connection_count, len(at))
                    self.assertEqual(places.idle_count, sum(state == "idle" for state in at.values()))
                    self.assertEqual(places.unused_count, sum(state == "silent" for state in at.values()))
                    self.assertEqual(
                        set(places.idle_connections()), {c for c, state in at.items() if state != "busy"}
                    )
                    places.status(now)
                for conn in list(at):
                    places.record_close(conn, now)
                self.assertEqual((places.connection_count, places.idle_connections()), (0, []))
