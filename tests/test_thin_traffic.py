"""Admission of one sidecar among hundreds: a few attempts out, and hosts that all of them keep busy."""

from __future__ import annotations

import random
from collections import deque

from brambleusher.loadbalancing import Balancer, api

SECOND, STEP = 10**9, 10_000_000
HOSTS, SIDECARS, FLEET_RATE = 20, 20, 100.0


def refused(asked_a_second: float, answer_s: float, seed: int, seconds: int = 30) -> float:
    """The part that it refuses in the last two thirds; hosts are at 0.85, and answers take so long."""
    rng = random.Random(seed)
    settings = api.Settings(
        zone="a", fleet_size=SIDECARS, connection_price=0.1, is_value_by_work=True,
        classes=(api.RequestClass("r", SECOND, 2 * SECOND, 1.0),),
    )  # fmt: skip
    balancer, now, tick = Balancer(settings, seed), 100 * SECOND, 0
    out: deque[tuple[int, str, str]] = deque()
    report, wait = api.LoadReport(0.85, FLEET_RATE / HOSTS), int(answer_s * SECOND)
    asked = turned = 0

    def act(event: api.Event) -> bool:
        nonlocal tick
        actions = balancer.handle(event, now)
        for action in actions:
            if isinstance(action, api.StartAttempt):
                out.append((now + wait, action.request, action.host))
            elif isinstance(action, api.SetTimer):
                tick = action.at_ns
        return any(isinstance(action, api.RejectRequest) for action in actions)

    balancer.start(now)
    hosts = [api.HostEntry(f"h{number}", "a", "k", 0, api.HostState.READY) for number in range(HOSTS)]
    act(api.HostListUpdated(api.ListKind.SAVED, hosts))
    for step in range(seconds * SECOND // STEP):
        now += STEP
        while out and out[0][0] <= now:
            _, request, host = out.popleft()
            act(api.AttemptEnded(request, 0, host, api.AttemptStatus.OK, wait, True, report))
        if now >= tick:
            act(api.TimerFired(0))
        if rng.random() < asked_a_second * STEP / SECOND:
            refuses = act(api.RequestArrived(f"r{step}", "r", None, 2 * SECOND))
            if step * STEP > seconds * SECOND / 3:
                asked, turned = asked + 1, turned + refuses
    return turned / asked


def mean(asked_a_second: float, answer_s: float) -> float:
    return sum(refused(asked_a_second, answer_s, seed) for seed in range(4)) / 4


def test_busy_hosts_that_answer_in_time_are_no_reason_to_refuse() -> None:
    for times_the_mean in (1, 2, 4):
        assert mean(times_the_mean * FLEET_RATE / SIDECARS, 0.15) < 0.02


def test_busy_hosts_that_answer_late_are() -> None:
    assert mean(4 * FLEET_RATE / SIDECARS, 0.9) > 0.2
