"""The balancer's five rules under random event sequences, and the checker with planted violations."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies

from brambleusher.loadbalancing import Balancer, api
from tests.rules import MS, SECOND, Breach, Checker, OwedRequest, World

CLASSES = tuple(
    api.RequestClass(f"{effect.value}-{group.value}", 400 * MS, 2 * SECOND, 1.0, 0.0, effect, group, SECOND)
    for effect in api.Idempotency
    for group in api.DeduplicationScope
)
BASE = api.Settings(
    zone="z0",
    classes=CLASSES,
    fleet_size=3,
    tenants=(api.Tenant("a", 0.5, 20.0), api.Tenant("b", 0.5, 20.0)),
    tick_ns=5 * MS,
    max_attempts=4,
    cross_zone_price=0.1,
    over_quota_value=0.1,
    drain_grace_ns=0,
    drain_release_ns=300 * MS,
    warm_up_ns=5 * SECOND,
    initial_capacity=0.2,
    overload_multiple=3.0,
)


@given(strategies.integers(0, 2**32), strategies.booleans(), strategies.booleans(), strategies.integers(0, 6))
@settings(derandomize=True, deadline=None, max_examples=120)
def test_rules_hold_under_random_events(seed: int, copies: bool, asks: bool, hosts: int) -> None:
    chosen = replace(
        BASE,
        hedging_enabled=copies,
        subscribes_to_endpoints=asks,
        can_cancel_attempts=copies,
        can_check_health=asks,
    )
    worlds = [World(chosen, seed) for _ in range(2)]
    for world in worlds:
        world.start(hosts)
        for _ in range(250):
            world.step()
        world.finish()
        # No ended request or attempt is kept.
        assert not world.balancer.attempts.requests
        assert not any(host.in_flight for host in world.balancer.host_table.hosts.values())
    assert worlds[0].actions == worlds[1].actions


def checker(cls: api.RequestClass, **changes: bool) -> Checker:
    judge = Checker(replace(BASE, **changes))  # type: ignore[arg-type]
    judge.listed(
        api.ListKind.SAVED,
        [
            api.HostEntry("h0", "z0", "k", 0, api.HostState.READY),
            api.HostEntry("h1", "z1", "k", 1, api.HostState.READY),
        ],
        0,
    )
    judge.requests["r"] = OwedRequest(cls, SECOND)
    return judge


SAFE = CLASSES[0]
KEYED_CELL = next(
    c
    for c in CLASSES
    if c.idempotency is api.Idempotency.KEYED and c.deduplication_scope is api.DeduplicationScope.CELL
)
UNSAFE = next(c for c in CLASSES if c.idempotency is api.Idempotency.UNSAFE)


def test_checker_sees_two_answers_late_answers_and_none() -> None:
    judge = checker(SAFE)
    with pytest.raises(Breach, match="never answered"):
        judge.close()
    judge.action(api.FailRequest("r"), 0)
    with pytest.raises(Breach, match="two answers"):
        judge.action(api.RejectRequest("r"), 0)
    with pytest.raises(Breach, match="after the end"):
        judge.action(api.StartAttempt("r", "h0"), 0)
    with pytest.raises(Breach, match="late"):
        checker(SAFE).action(api.FailRequest("r"), 2 * SECOND)


def test_checker_sees_double_effects() -> None:
    judge = checker(UNSAFE, hedging_enabled=True)
    judge.action(api.StartAttempt("r", "h0"), 0)
    with pytest.raises(Breach, match="unsafe"):
        judge.action(api.StartAttempt("r", "h1"), 1)
    with pytest.raises(Breach, match="rejected"):
        judge.action(api.RejectRequest("r"), 1)
    judge = checker(KEYED_CELL, hedging_enabled=True)
    judge.action(api.StartAttempt("r", "h0"), 0)
    with pytest.raises(Breach, match="group"):
        judge.action(api.StartAttempt("r", "h1"), 1)
    with pytest.raises(Breach, match="window"):
        judge.action(api.StartAttempt("r", "h0"), SECOND)
    judge = checker(SAFE)
    judge.action(api.StartAttempt("r", "h0"), 0)
    with pytest.raises(Breach, match="two attempts"):
        judge.action(api.StartAttempt("r", "h1"), 1)


def test_checker_sees_attempts_at_a_host_that_left() -> None:
    for kind, entries in (
        (api.ListKind.DELTA, [api.HostEntry("h0", "z0", "k", 0, api.HostState.DRAINING)]),
        (api.ListKind.FULL, []),
    ):
        judge = checker(SAFE)
        judge.listed(kind, entries, 0)
        with pytest.raises(Breach, match="left"):
            judge.action(api.StartAttempt("r", "h0"), 1)


def test_checker_sees_a_flooded_host_that_warms_up() -> None:
    judge = checker(SAFE)
    judge.full_rate = 10.0
    judge.listed(api.ListKind.DELTA, [api.HostEntry("h0", "z0", "k", 0, api.HostState.READY, 1.0, 1)], 1)
    with pytest.raises(Breach, match="flooded"):
        for n in range(20):
            judge.requests[f"q{n}"] = OwedRequest(SAFE, SECOND)
            judge.action(api.StartAttempt(f"q{n}", "h0"), 2)


def test_a_host_warming_up_gets_no_more_than_its_budget() -> None:
    """If a warming host is the only one left, requests beyond its budget are rejected."""
    world = World(replace(BASE, classes=(SAFE,)), 5)
    world.start(3)
    world.checker.full_rate = 20.0
    for _ in range(60):
        name = world.request(SAFE, SECOND)
        world.pass_time(20 * MS)
        if (name, 0) in world.out:
            world.end(name, 0, api.AttemptStatus.OK, api.LoadReport(0.5, 10.0))
    gone = [replace(entry, state=api.HostState.REMOVED) for entry in world.entries.values()]
    cold = api.HostEntry("new", "z0", "k0", 0, api.HostState.READY, 1.0, world.now)
    world.list_hosts(api.ListKind.DELTA, [*gone, cold])
    before = world.sends
    for _ in range(200):
        world.request(SAFE, SECOND)
        world.pass_time(10 * MS)
    assert 1 <= world.sends - before < 100
    world.finish()


def test_lists_that_fail_are_asked_for_again_within_the_limit() -> None:
    world = World(replace(BASE, subscribes_to_endpoints=True), 9)
    world.start(2)
    world.pass_time(BASE.endpoint_poll_deadline_ns // 2)
    assert world.asked == 1
    for n in range(2, 8):
        world.list_hosts(api.ListKind.FAILED, [])
        world.pass_time(BASE.endpoint_poll_deadline_ns)
        assert world.asked == n


def test_a_balancer_with_an_empty_list_answers() -> None:
    world = World(BASE, 1)
    assert isinstance(world.balancer, Balancer)
    world.start(0)
    world.request(SAFE, SECOND)
    world.finish()


def drain(judge: Checker, now: int) -> None:
    judge.listed(api.ListKind.DELTA, [api.HostEntry("h0", "z0", "k", 0, api.HostState.DRAINING)], now)


def test_checker_sees_connections_kept_to_a_draining_host() -> None:
    never, late, after = checker(SAFE), checker(SAFE), checker(SAFE)
    for judge in (never, late, after):
        judge.action(api.StartAttempt("r", "h0"), 0)
        drain(judge, 10 * MS)
    never.closes(310 * MS)
    with pytest.raises(Breach, match="rule 5"):
        never.closes(311 * MS)
    with pytest.raises(Breach, match="rule 5"):
        late.closes(400 * MS)
    after.action(api.CloseIdleConnections("h0"), 10 * MS)
    after.closes(500 * MS)
    after.used["h0"] = 600 * MS  # an outcome after the close makes its connection idle again
    with pytest.raises(Breach, match="rule 5"):
        after.closes(901 * MS)


def test_connections_are_closed_on_drain_and_at_each_later_outcome() -> None:
    """Idle connections to a draining host are closed if the setting requires it."""
    for release in (0, 300 * MS):
        world = World(replace(BASE, drain_release_ns=release), 5)
        world.start(2)
        name = world.request(SAFE, 2 * SECOND)
        host = world.checker.requests[name].attempts[0].host
        old = world.entries[host]
        drained = api.HostEntry(old.host, old.zone, old.kind, old.cell, api.HostState.DRAINING)
        world.list_hosts(api.ListKind.DELTA, [drained])
        world.pass_time(SECOND)
        world.actions.clear()
        world.end(name, 0, api.AttemptStatus.OK)
        closed = [action for _, action in world.actions if isinstance(action, api.CloseIdleConnections)]
        assert bool(closed) is bool(release)
        world.finish()
        back = replace(old, started_ns=world.now)
        world.list_hosts(api.ListKind.DELTA, [back])
        world.actions.clear()
        world.pass_time(SECOND)
        assert not [action for _, action in world.actions if isinstance(action, api.CloseIdleConnections)]


def test_hundreds_of_proxies_together_spare_a_host_warming_up() -> None:
    """All proxies learn of a new host simultaneously and must not each send it an attempt at once."""
    count, hosts, full_rate = 300, 10, 12.0
    chosen = replace(
        BASE,
        classes=(SAFE,),
        tenants=(),
        fleet_size=count,
        cross_zone_price=0.0,
        warm_up_ns=18 * SECOND,
        initial_capacity=0.13,
        overload_multiple=2.0,
        overload_window_ns=2 * SECOND,
        connection_price=0.1,
    )
    warm = [api.HostEntry(f"h{n}", "z0", "k", 0, api.HostState.READY) for n in range(hosts)]
    fresh = api.HostEntry("new", "z0", "k", 0, api.HostState.READY, 1.0, 10 * SECOND)
    sends: list[int] = []
    for seed in range(count):
        balancer = Balancer(chosen, seed)
        balancer.start(0)
        balancer.handle(api.HostListUpdated(api.ListKind.SAVED, warm), 0)
        for n in range(160):
            now = seed * MS + n * 125 * MS
            if n == 80:
                balancer.handle(api.HostListUpdated(api.ListKind.DELTA, [fresh]), 10 * SECOND + seed)
            for action in balancer.handle(api.RequestArrived(f"q{n}", SAFE.name, None, SECOND), now):
                if isinstance(action, api.StartAttempt):
                    sends += [now] * (action.host == "new")
                    report = api.LoadReport(0.5, full_rate / 2)
                    balancer.handle(
                        api.AttemptEnded(
                            f"q{n}", 0, action.host, api.AttemptStatus.OK, 50 * MS, True, report
                        ),
                        now,
                    )
            balancer.handle(api.TimerFired(0), now)
    assert sends  # the host gets some attempts
    for start in range(10 * SECOND, 20 * SECOND, SECOND // 4):
        age = (start + 2 * SECOND - 10 * SECOND) / (18 * SECOND)
        budget = 2.0 * (0.13 + 0.87 * age) * full_rate * 2
        assert sum(start <= at < start + 2 * SECOND for at in sends) <= budget


def test_a_host_started_ahead_of_the_clock_counts_as_just_started() -> None:
    """A wall clock behind the host's clock used to make its warm fraction and its weight negative."""
    world = World(replace(BASE, classes=(SAFE,)), 5)
    world.start(2)
    ahead = api.HostEntry("new", "z0", "k0", 0, api.HostState.READY, 1.0, world.now + 100 * SECOND)
    world.list_hosts(api.ListKind.DELTA, [ahead])
    for _ in range(40):
        name = world.request(SAFE, SECOND)
        world.pass_time(50 * MS)
        if (name, 0) in world.out:
            world.end(name, 0, api.AttemptStatus.OK, api.LoadReport(0.5, 10.0))
    assert all(host.weight >= 0 for host in world.balancer.round_robin.ring)
    assert any(host.name == "new" for host in world.balancer.round_robin.ring)
    world.finish()
