"""Host bans and their combination with the endpoint list."""

from __future__ import annotations

import unittest
from dataclasses import replace

from brambleusher.loadbalancing.api import HostEntry, HostState
from brambleusher.loadbalancing.host_bans import MAX_PENDING_BANS, MAX_REMEMBERED, Ban, HostBans

READY, DRAINING, GONE = HostState.READY, HostState.DRAINING, HostState.REMOVED


def entry(host: str = "a", state: HostState = READY, started_ns: int = 0) -> HostEntry:
    return HostEntry(host, "z", "k", 0, state, started_ns=started_ns)


class BansTest(unittest.TestCase):
    def bans(self) -> HostBans:
        bans = HostBans()
        bans.record_list(True, [entry("a"), entry("b")])
        return bans

    def test_a_ban_holds_whatever_discovery_says(self) -> None:
        bans = self.bans()
        told = bans.ban("a", 100)
        assert told is not None
        self.assertIs(told.state, DRAINING)
        for news in ([entry("a")], [entry("a", DRAINING)], [entry("a", started_ns=150)]):
            bans.record_list(False, news)
            self.assertIs(bans.effective_entry(news[0]).state, DRAINING)
        bans.record_list(True, [entry("b")])  # host a leaves the list and returns under the same name
        bans.record_list(True, [entry("a"), entry("b")])
        self.assertIs(bans.effective_entry(entry("a")).state, DRAINING)
        self.assertIs(bans.effective_entry(entry("a", GONE)).state, GONE)
        self.assertIs(bans.effective_entry(entry("b")).state, READY)

    def test_a_ban_of_a_host_not_listed_yet_holds_from_when_it_is(self) -> None:
        # A proxy that lacks the list entry rejects the ban, but applies it as soon as the host is listed.
        bans = self.bans()
        for host in ("c", "d", "e"):
            bans.ban_when_listed(host, 100)
            self.assertFalse(bans.is_known(host))
        bans.cancel_ban_when_listed("d")
        bans.record_list(False, [entry("c"), entry("d")])
        self.assertIs(bans.effective_entry(entry("c")).state, DRAINING)
        self.assertIs(bans.effective_entry(entry("d")).state, READY)
        self.assertEqual(bans.to_json(), {"c": [100, 0]})
        self.assertIs(bans.unban("c", 200).state, READY)  # type: ignore[union-attr]
        for number in range(2 * MAX_PENDING_BANS):
            bans.ban_when_listed(f"x{number}", 300)
        self.assertEqual(len(bans._pending), MAX_PENDING_BANS)

    def test_calls_may_be_repeated_and_one_call_back_ends_the_ban(self) -> None:
        bans = self.bans()
        self.assertIsNone(bans.unban("a", 90))
        bans.ban("a", 100)
        self.assertIsNone(bans.ban("a", 110))
        told = bans.unban("a", 200)
        assert told is not None
        self.assertIs(told.state, READY)
        self.assertIsNone(bans.unban("a", 210))

    def test_one_that_comes_back_is_taken_for_started_unless_discovery_told(self) -> None:
        for listed, believed in ((0, 200), (99, 200), (150, 150)):
            with self.subTest(listed=listed):
                bans = self.bans()
                bans.ban("a", 100)
                bans.record_list(False, [entry("a", started_ns=listed)])
                told = bans.unban("a", 200)
                assert told is not None
                self.assertEqual(told.started_ns, believed)
                later = bans.effective_entry(entry("a", started_ns=300))
                self.assertEqual(later.started_ns, 300)

    def test_a_ban_that_ends_while_discovery_drains_the_node_leaves_it_draining(self) -> None:
        bans = self.bans()
        bans.ban("a", 100)
        bans.record_list(False, [entry("a", DRAINING)])
        told = bans.unban("a", 200)
        assert told is not None
        self.assertIs(told.state, DRAINING)

    def test_ids_once_listed_are_known_and_others_are_not(self) -> None:
        bans = self.bans()
        self.assertFalse(bans.is_known("c"))
        bans.record_list(False, [entry("a", GONE)])
        self.assertTrue(bans.is_known("a"))
        self.assertIsNone(bans.ban("a", 100))  # the host is not listed, so no entry changes until it returns
        self.assertIs(bans.effective_entry(entry("a")).state, DRAINING)
        for n in range(MAX_REMEMBERED + 1):
            bans.record_list(False, [entry(f"x{n}"), entry(f"x{n}", GONE)])
        self.assertFalse(bans.is_known("x0"))
        self.assertTrue(bans.is_known("a"), "a banned one is never forgotten")
        self.assertTrue(bans.is_known(f"x{MAX_REMEMBERED}"))

    def test_a_ban_of_elsewhere_counts_if_it_is_later(self) -> None:
        bans = self.bans()
        bans.ban("a", 100)
        self.assertEqual(bans.merge({"a": Ban(90, 95)}), [])
        (told,) = bans.merge({"a": Ban(100, 120), "x": Ban(110)})  # host x is not listed here yet
        self.assertEqual((told.host, told.state, told.started_ns), ("a", READY, 120))
        self.assertIs(bans.effective_entry(entry("x")).state, DRAINING)
        self.assertEqual(bans.merge(dict(bans.bans)), [])

    def test_an_entry_that_nothing_is_laid_over_is_passed_as_it_is(self) -> None:
        plain = entry("b")
        self.assertIs(self.bans().effective_entry(plain), plain)
        self.assertEqual(replace(plain), plain)
