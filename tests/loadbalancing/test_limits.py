"""Overload protection: written-off attempts, hosts that reject, and the retry budget."""

from __future__ import annotations

import random
import unittest

from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.retry_budget import DEPOSIT_PER_REQUEST, MAX_TOKENS, RetryBudget
from tests.loadbalancing.balancer_builders import host_entry
from tests.rules import MS, SECOND

SAFE = api.RequestClass("safe", 500 * MS, 2 * SECOND, 1.0)
ONCE = api.RequestClass("once", 500 * MS, 2 * SECOND, 1.0, idempotency=api.Idempotency.UNSAFE)


def build(hosts: int = 3, **changes: object) -> Balancer:
    settings = api.Settings(
        zone="a", classes=(SAFE, ONCE), fleet_size=1, max_attempts=4, hedging_enabled=True,
        can_cancel_attempts=True, **changes,  # type: ignore[arg-type]
    )  # fmt: skip
    balancer = Balancer(settings, 3)
    balancer.start(0)
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, [host_entry(f"h{n}") for n in range(hosts)]), 0)
    return balancer


class RequestDriver:
    """Sends requests, most of which are answered within 20 ms while some are never answered."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer, self.now, self.count = balancer, 0, 0
        self.sent: dict[str, list[str]] = {}
        self.actions: list[api.Action] = []

    def ask(self, cls: str = "safe", answered: bool = True) -> str:
        self.count += 1
        name = f"q{self.count}"
        self._take(self.balancer.handle(api.RequestArrived(name, cls, None, 2 * SECOND), self.now))
        self.now += 20 * MS
        if answered and name in self.sent:
            self.end(name, 0, api.AttemptStatus.OK)
        return name

    def end(self, name: str, attempt: int, status: api.AttemptStatus, util: float = 0.2) -> list[api.Action]:
        host, report = self.sent[name][attempt], api.LoadReport(util, 50.0)
        event = api.AttemptEnded(name, attempt, host, status, 20 * MS, status is api.AttemptStatus.OK, report)
        return self._take(self.balancer.handle(event, self.now))

    def tick(self) -> list[api.Action]:
        return self._take(self.balancer.handle(api.TimerFired(0), self.now))

    def _take(self, actions: list[api.Action]) -> list[api.Action]:
        self.actions += actions
        for action in actions:
            if isinstance(action, api.StartAttempt):
                self.sent.setdefault(action.request, []).append(action.host)
        return list(actions)


class WrittenOff(unittest.TestCase):
    def silent(self, cls: str, util: float = 0.2) -> tuple[RequestDriver, str]:
        """Send one request that is never answered, among rounds of eight answered ones."""
        driver = RequestDriver(build())

        def rounds(count: int) -> None:
            for _ in range(count):
                names = [driver.ask(answered=False) for _ in range(8)]
                for each in names:
                    driver.end(each, 0, api.AttemptStatus.OK, util)
                driver.tick()

        rounds(2)
        name = driver.ask(cls, answered=False)
        for _ in range(4):
            if len(driver.sent[name]) == 1:
                rounds(1)
        return driver, name

    def test_one_that_was_overtaken_is_sent_elsewhere_and_counted_no_more(self) -> None:
        driver, name = self.silent("safe")
        first, second = driver.sent[name]
        self.assertNotEqual(first, second)
        self.assertEqual(driver.balancer.traffic.in_flight, 1)  # the hedged attempt
        actions = driver.end(name, 1, api.AttemptStatus.OK)
        self.assertIn(api.CancelAttempt(name, 0), actions)  # the other attempt is cancelled
        driver.end(name, 0, api.AttemptStatus.CANCELLED)
        self.assertEqual((driver.balancer.traffic.in_flight, driver.balancer.attempts.requests), (0, {}))

    def test_one_that_must_not_run_twice_is_not_copied_and_holds_no_place(self) -> None:
        driver, name = self.silent("once")
        self.assertEqual(len(driver.sent[name]), 1)
        self.assertEqual(driver.balancer.traffic.in_flight, 0)
        late = driver.end(name, 0, api.AttemptStatus.OK)  # the answer arrives late
        self.assertEqual([action for action in late if isinstance(action, api.CancelAttempt)], [])
        self.assertEqual((driver.balancer.traffic.in_flight, driver.balancer.attempts.requests), (0, {}))

    def test_where_hosts_are_busy_nothing_is_written_off(self) -> None:
        """A heavy request on a busy host must not be mistaken for one on a dropped connection."""
        driver, name = self.silent("safe", util=0.95)
        self.assertEqual(len(driver.sent[name]), 1)
        self.assertEqual(driver.balancer.traffic.in_flight, 1)

    def test_a_copy_that_fails_ends_the_request_at_once(self) -> None:
        """A client must not be kept waiting for a dropped connection after the hedged attempt has failed."""
        driver, name = self.silent("safe")
        driver.balancer.retry_policy.budget.tokens = 0.0
        actions = driver.end(name, 1, api.AttemptStatus.ERROR)
        self.assertIn(api.RejectRequest, [type(action) for action in actions])
        self.assertIn(api.CancelAttempt(name, 0), actions)

    def test_in_a_queue_nothing_is_overtaken(self) -> None:
        """Late answers in sending order indicate a queue, not dropped connections."""
        driver = RequestDriver(build(1))
        names = [driver.ask(answered=False) for _ in range(40)]
        for name in names:
            driver.now += 30 * MS
            if name in driver.sent:
                driver.end(name, 0, api.AttemptStatus.OK)
            driver.tick()
        self.assertTrue(all(len(sent) == 1 for sent in driver.sent.values()))


class TurnedAway(unittest.TestCase):
    def test_a_host_that_turns_away_with_room_left_draws_few_turns(self) -> None:
        """In recorded traffic, five of twelve hosts rejected attempts while reporting that they were idle."""
        for util, expected in ((0.1, True), (0.95, False)):
            with self.subTest(util=util):
                driver = RequestDriver(build(4))
                for _ in range(240):
                    name = driver.ask(answered=False)
                    for attempt in range(4):
                        if len(driver.sent[name]) > attempt:
                            bad = driver.sent[name][attempt] == "h0"
                            driver.end(
                                name,
                                attempt,
                                api.AttemptStatus.OVERLOADED if bad else api.AttemptStatus.OK,
                                util,
                            )
                    driver.tick()
                weights = {host.name: host.weight for host in driver.balancer.host_table.hosts.values()}
                asked = sum(sent.count("h0") for sent in driver.sent.values())
                self.assertEqual(asked < 24, expected, f"{asked} of 240")
                self.assertEqual(weights["h0"] < 8.0, expected)


class Budget(unittest.TestCase):
    def test_work_stays_within_the_share_over_random_histories(self) -> None:
        """Only repeated work is bounded: a retry of a request that no host worked on is free."""
        for seed in range(50):
            rng, retries = random.Random(seed), RetryBudget()
            firsts, work, refused = 0, 0, 0
            for _ in range(2000):
                roll = rng.random()
                if roll < 0.4:
                    firsts += 1
                    retries.deposit()
                    if rng.random() < 0.5:
                        work += 1
                    else:
                        refused += 1
                        retries.credit_unserved()
                elif roll < 0.7:
                    work += retries.withdraw_for_client_retry()
                elif roll < 0.9:
                    work += retries.withdraw()
                else:
                    retries.decay(rng.random())
            self.assertLessEqual(work, (1 + DEPOSIT_PER_REQUEST) * firsts + MAX_TOKENS, f"seed {seed}")
            self.assertGreater(refused, 0)

    def test_a_client_that_asks_again_draws_on_it(self) -> None:
        driver = RequestDriver(build(3))
        driver.balancer.retry_policy.budget.tokens = 1.0
        asked = [
            driver.balancer.handle(api.RequestArrived(f"r{n}", "safe", None, SECOND, is_retry=True), 1)
            for n in range(3)
        ]
        self.assertEqual(
            [type(actions[0]) for actions in asked], [api.StartAttempt, api.RejectRequest, api.StartAttempt]
        )  # the third one is a retry of the second one, which no host worked on
