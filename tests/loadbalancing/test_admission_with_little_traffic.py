"""Admission at one of hundreds of sidecars, with few attempts in flight and hosts kept busy by all."""

from __future__ import annotations

import random
from collections import deque

from brambleusher.loadbalancing import Balancer, api

SECOND, STEP = 10**9, 10_000_000
HOSTS, SIDECARS, FLEET_RATE = 20, 20, 100.0


def rejected_fraction(requests_per_s: float, answer_s: float, seed: int, seconds: int = 30) -> float:
    """Return the rejected fraction in the last two thirds, with hosts at a utilisation of 0.85."""
    rng = random.Random(seed)
    settings = api.Settings(
        zone="a", fleet_size=SIDECARS, connection_price=0.1, is_value_by_work=True,
        classes=(api.RequestClass("r", SECOND, 2 * SECOND, 1.0),),
    )  # fmt: skip
    balancer, now, tick = Balancer(settings, seed), 100 * SECOND, 0
    in_flight: deque[tuple[int, str, str]] = deque()
    report, wait = api.LoadReport(0.85, FLEET_RATE / HOSTS), int(answer_s * SECOND)
    requests = rejected = 0

    def act(event: api.Event) -> bool:
        nonlocal tick
        actions = balancer.handle(event, now)
        for action in actions:
            if isinstance(action, api.StartAttempt):
                in_flight.append((now + wait, action.request, action.host))
            elif isinstance(action, api.SetTimer):
                tick = action.at_ns
        return any(isinstance(action, api.RejectRequest) for action in actions)

    balancer.start(now)
    hosts = [api.HostEntry(f"h{number}", "a", "k", 0, api.HostState.READY) for number in range(HOSTS)]
    act(api.HostListUpdated(api.ListKind.SAVED, hosts))
    for step in range(seconds * SECOND // STEP):
        now += STEP
        while in_flight and in_flight[0][0] <= now:
            _, request, host = in_flight.popleft()
            act(api.AttemptEnded(request, 0, host, api.AttemptStatus.OK, wait, True, report))
        if now >= tick:
            act(api.TimerFired(0))
        if rng.random() < requests_per_s * STEP / SECOND:
            is_rejected = act(api.RequestArrived(f"r{step}", "r", None, 2 * SECOND))
            if step * STEP > seconds * SECOND / 3:
                requests, rejected = requests + 1, rejected + is_rejected
    return rejected / requests


def mean_rejected_fraction(requests_per_s: float, answer_s: float) -> float:
    return sum(rejected_fraction(requests_per_s, answer_s, seed) for seed in range(4)) / 4


def test_busy_hosts_that_answer_in_time_are_no_reason_to_reject() -> None:
    for times_the_mean in (1, 2, 4):
        assert mean_rejected_fraction(times_the_mean * FLEET_RATE / SIDECARS, 0.15) < 0.02


def test_busy_hosts_that_answer_late_are_a_reason_to_reject() -> None:
    assert mean_rejected_fraction(4 * FLEET_RATE / SIDECARS, 0.9) > 0.2
