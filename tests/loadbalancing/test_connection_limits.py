"""Connection limits per endpoint: pacing, cap, and idle connections to keep."""

from __future__ import annotations

import math
import random
import unittest

from brambleusher.loadbalancing.connection_limits import (
    HANDSHAKE_CORE_FRACTION,
    HANDSHAKE_CORE_S,
    RECENT_RESPONSE_S,
    ConnectionLimit,
    ConnectPacing,
)


class Pacing(unittest.TestCase):
    def test_a_storm_of_opens_stays_within_its_part_of_the_node(self) -> None:
        """After a reset of all connections, every sidecar would otherwise reopen all of them at once."""
        for sidecars in (1, 2, 5, 40):
            pacing = ConnectPacing.for_fleet(sidecars)
            limit, opened, now = ConnectionLimit(pacing), 0, 0.0
            for step in range(2000):
                now = step / 1000
                while limit.wait_s(now) <= 0:
                    limit.record_open()
                    opened += 1
            self.assertLessEqual(opened, pacing.burst + pacing.opens_per_s * now + 1)
            self.assertGreater(opened, pacing.opens_per_s * now - 1)
            self.assertLessEqual(
                pacing.opens_per_s * sidecars * HANDSHAKE_CORE_S, HANDSHAKE_CORE_FRACTION + 1e-9
            )

    def test_a_connection_idle_for_nearly_as_long_as_its_node_allows_is_not_reused(self) -> None:
        """The node's idle time starts when it sends its last byte, ours when that byte is read."""
        for allowed, trusted in ((30.0, 24.0), (2.0, 1.0), (1.0, 0.5), (0.2, 0.1), (math.inf, math.inf)):
            self.assertEqual(ConnectPacing.for_fleet(1, allowed).idle_timeout_s, trusted)

    def test_an_open_is_allowed_after_the_wait_that_was_returned(self) -> None:
        limit = ConnectionLimit(ConnectPacing.for_fleet(1))
        while limit.wait_s(1.0) <= 0:
            limit.record_open()
        pause = limit.wait_s(1.0)
        self.assertGreater(pause, 0.0)
        self.assertGreater(limit.wait_s(1.0 + pause / 2), 0.0)
        self.assertEqual(limit.wait_s(1.0 + pause * 1.001), 0.0)

    def test_a_clock_that_stands_or_goes_back_gives_nothing_away(self) -> None:
        limit = ConnectionLimit(ConnectPacing.for_fleet(1))
        for now in (5.0, 5.0, 4.0, 5.0):
            while limit.wait_s(now) <= 0:
                limit.record_open()
        self.assertLessEqual(limit.open_count, limit._pacing.burst + 1)


class Cap(unittest.TestCase):
    def limit_with_responses(self, open_count: int, now: float) -> ConnectionLimit:
        limit = ConnectionLimit(ConnectPacing.for_fleet(1))
        for _ in range(open_count):
            limit.record_open()
        limit.record_acquire(now)
        limit.record_release(now, True)
        return limit

    def test_the_cap_is_learned_from_a_failed_connect_only_while_others_are_answered(self) -> None:
        for after, expected in ((0.1, 8.0), (RECENT_RESPONSE_S * 2, math.inf)):
            limit = self.limit_with_responses(10, 1.0)
            limit.record_open()
            limit.record_rejection(1.0 + after)  # 10 other connections are open
            limit.record_close()
            self.assertEqual(limit.cap, expected)
        limit_without_others = self.limit_with_responses(0, 1.0)
        limit_without_others.record_open()
        limit_without_others.record_rejection(1.1)
        self.assertEqual(limit_without_others.cap, math.inf)  # the node may be down, so nothing is learned

    def test_it_holds_further_opens_until_one_comes_back_or_it_has_grown(self) -> None:
        limit = self.limit_with_responses(10, 1.0)
        limit.record_open()
        limit.record_rejection(1.1)
        limit.record_close()
        self.assertEqual(limit.wait_s(1.1), math.inf)
        for _ in range(3):
            limit.record_close()
        self.assertEqual(limit.wait_s(1.1), 0.0)
        for _ in range(3):
            limit.record_open()
        self.assertEqual(limit.wait_s(5.0), 0.0)  # the cap has grown by one connection per second

    def test_sidecars_that_cannot_talk_converge_to_even_shares_of_a_table(self) -> None:
        """One sidecar starts with most of the table; within minutes both hold a fair share on average."""
        for seed in range(5):
            rng, table, means = random.Random(seed), 60, [0.0, 0.0]
            limits = [ConnectionLimit(ConnectPacing.for_fleet(2)) for _ in range(2)]
            for _ in range(55):
                limits[0].record_open()
            for step in range(3000):
                now = 1.0 + step / 10
                for limit in rng.sample(limits, 2):
                    if limit.open_count:
                        limit.record_acquire(now)
                        limit.record_release(now, True)
                    if limit.wait_s(now) <= 0:
                        limit.record_open()
                        if sum(each.open_count for each in limits) > table:
                            limit.record_rejection(now)
                            limit.record_close()
                    while limit.open_count > max(limit.cap, 1.0):
                        limit.record_close()
                if step >= 1000:
                    means = [
                        mean + limit.open_count / 2000 for mean, limit in zip(means, limits, strict=True)
                    ]
            self.assertLess(max(means), 1.6 * min(means))
            self.assertGreater(sum(means), 0.7 * table)


class Kept(unittest.TestCase):
    def test_idle_ones_are_kept_for_what_was_used_at_once_lately(self) -> None:
        limit = ConnectionLimit(ConnectPacing.for_fleet(1))
        for _ in range(9):
            limit.record_acquire(1.0)
        self.assertEqual(limit.idle_to_keep(1.0), 3)
        for _ in range(9):
            limit.record_release(1.0, True)
        self.assertEqual(limit.idle_to_keep(1.0), 12)
        self.assertLess(limit.idle_to_keep(30.0), 4)

    def test_the_idle_timeout_ends_well_before_the_nodes_limit(self) -> None:
        for idle, trusted in ((30.0, 24.0), (2.0, 1.0), (math.inf, math.inf)):
            self.assertEqual(ConnectPacing.for_fleet(1, idle).idle_timeout_s, trusted)

    def test_counts_balance_over_random_steps(self) -> None:
        for seed in range(20):
            rng, limit, now, used, open_count = (
                random.Random(seed),
                ConnectionLimit(ConnectPacing.for_fleet(3)),
                0.0,
                0,
                0,
            )
            for _ in range(500):
                now += rng.expovariate(20.0)
                roll = rng.random()
                if roll < 0.35 and limit.wait_s(now) <= 0:
                    limit.record_open()
                    open_count += 1
                    if rng.random() < 0.2:
                        limit.record_rejection(now)
                        limit.record_close()
                        open_count -= 1
                elif roll < 0.6 and used < open_count:
                    limit.record_acquire(now)
                    used += 1
                elif roll < 0.85 and used:
                    limit.record_release(now, rng.random() < 0.8)
                    used -= 1
                elif open_count > used:
                    limit.record_close()
                    open_count -= 1
                self.assertEqual((limit.open_count, limit.in_use), (open_count, used))
                self.assertGreaterEqual(limit.cap, 1.0)
                self.assertGreaterEqual(limit.idle_to_keep(now), 0)
                limit.status(now)
