"""Stored form of a balancer's state: completeness and compatibility of its keys."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from brambleusher.loadbalancing import Balancer, api, state_tables
from brambleusher.loadbalancing.balancer_factory import balancer_for
from brambleusher.loadbalancing.host_ranking import HostRanking
from brambleusher.loadbalancing.hosts import Host, Request
from brambleusher.loadbalancing.idle_timeout import IdleTimeout
from brambleusher.loadbalancing.retry_budget import RetryBudget
from brambleusher.loadbalancing.state_codec import save, stored_form
from brambleusher.loadbalancing.token_round_robin import TokenRoundRobin
from brambleusher.loadbalancing.zone_routing import ZoneRouter
from brambleusher.loadbalancing.zone_state import NodeHealth, Zone

# Public attributes that are derived from the settings and the stored attributes.
DERIVED = {
    "rng",  # stored separately from the balancer's own fields
    "settings",
    "performance_index.goals_ns",
    "host_table.ranking",
}
# Keys in the order in which captures and state transfers of earlier versions have them.
OWN_KEYS = (
    "_hosts _requests _turn _unlinked _peak _rate _lately _silent _trust _open _ready _part _closing "
    "_ticked_ns _mean_capacity _mean_util _remote _kind_capacity _sized _size_used _size_asked "
    "_size_rate _lat_n _lat_sum _quiet_ns _index_n _served_rate _span _retries _limit _offered "
    "_logged_ns _full_sum _turned _best_rate _tight _late _ranked _mean_open _came_ns _densities "
    "_tenant_level _tenant_seen _my_share _used _ask_at _ask_wait_ns"
)
ZONE_KEYS = "_zones _probing _due_ns _ahead"
HOST_KEYS = (
    "rank name zone kind cell local ready out lost weight room credit tokens started_ns sum_qps "
    "sum_util throughput util util_ns late_n late_sum served failed turned pi passed shut_ns used_ns "
    "closing_ns draining linked cold_level cold_seen_ns size"
)
REQUEST_KEYS = "id cls deadline_ns half_ns reached attempts out lost closed ran passing origin first_ran_ns"


# Types that have tables of their own, and settings.
RECORD_TYPES = {TokenRoundRobin, HostRanking, RetryBudget, IdleTimeout, ZoneRouter, api.Settings}


def make_balancer(zone_rules: api.ZoneRules | None) -> Balancer:
    request_class = api.RequestClass("read", 10**9, 2 * 10**9, 1.0)
    return balancer_for(api.Settings("a", (request_class,), 1, zone_rules=zone_rules), 1)


@pytest.mark.parametrize(
    ("rules", "keys"),
    [(None, OWN_KEYS.split()), (api.ZoneRules(), [*OWN_KEYS.split(), *ZONE_KEYS.split()])],
)
def test_a_balancer_is_stored_under_the_keys_of_earlier_versions(
    rules: api.ZoneRules | None, keys: list[str]
) -> None:
    state = save(make_balancer(rules))
    assert list(state) == ["own", "host_names", "hosts", "request_names", "requests", "random"]
    assert list(state["own"]) == keys


def public_state(owner: object, prefix: str = "") -> Iterator[str]:
    """Yield the paths of all public attributes, descending into mechanisms but not into records."""
    for name, value in vars(owner).items():
        path = prefix + name
        if name.startswith("_") or path in DERIVED:
            continue
        is_mechanism = type(value).__module__.startswith("brambleusher.loadbalancing.")
        if is_mechanism and type(value) not in RECORD_TYPES:
            yield from public_state(value, f"{path}.")
        else:
            yield path


@pytest.mark.parametrize("rules", [None, api.ZoneRules()])
def test_every_public_attribute_of_a_balancer_is_stored_or_known_to_be_derived(
    rules: api.ZoneRules | None,
) -> None:
    balancer = make_balancer(rules)
    assert set(public_state(balancer)) == set(stored_form(balancer).fields)


def private_values(owner: object, prefix: str = "") -> dict[str, str]:
    """Return the private attributes of a balancer and its mechanisms with their values as text."""
    found: dict[str, str] = {}
    for name, value in vars(owner).items():
        is_mechanism = type(value).__module__.startswith("brambleusher.loadbalancing.")
        if is_mechanism and type(value) not in RECORD_TYPES:
            if not name.startswith("_"):
                found |= private_values(value, f"{prefix}{name}.")
        elif name.startswith("_") and name not in {"_actions", "_rng", "_handlers"}:
            found[prefix + name] = repr(value)
    return found


def test_private_attributes_of_a_balancer_do_not_change_between_events() -> None:
    """Private attributes are not stored, so they may only be references and settings that don't change."""
    balancer = make_balancer(api.ZoneRules())
    before = private_values(balancer)
    entries = [api.HostEntry(f"h{n}", "a", "k", 0, api.HostState.READY) for n in range(4)]
    balancer.handle(api.HostListUpdated(api.ListKind.FULL, entries), 1)
    for n in range(20):
        (start,) = balancer.handle(api.RequestArrived(f"r{n}", "read", None, 10**9), n * 10**8)
        assert isinstance(start, api.StartAttempt)
        ended = api.AttemptEnded(f"r{n}", 0, start.host, api.AttemptStatus.OK, 10**7, True)
        balancer.handle(ended, n * 10**8 + 10**7)
        balancer.handle(api.TimerFired(0), n * 10**8 + 2 * 10**7)
    assert private_values(balancer) == before


def test_hosts_and_requests_are_stored_under_the_keys_of_earlier_versions() -> None:
    assert list(state_tables.HOST.values()) == HOST_KEYS.split()
    assert list(state_tables.REQUEST.values()) == REQUEST_KEYS.split()


def test_every_attribute_of_a_host_is_stored() -> None:
    assert set(state_tables.HOST) == set(Host.__slots__)


def attributes_of(record: object) -> set[str]:
    """Return all attributes; for a router those of its parts, without references between parts."""
    if not isinstance(record, ZoneRouter):
        return set(vars(record))
    parts = vars(record)
    return {
        f"{part}.{name}"
        for part, owner in parts.items()
        for name, value in vars(owner).items()
        if not any(value is each for each in parts.values())
    }


@pytest.mark.parametrize(
    ("record", "fields", "not_stored"),
    [
        (Request("", 0, 0, 0), state_tables.REQUEST, set[str]()),
        (TokenRoundRobin(random.Random(1)), state_tables.TOKEN_ROUND_ROBIN, {"_rng"}),
        (RetryBudget(1), state_tables.RETRY_BUDGET, set[str]()),
        (IdleTimeout(), state_tables.IDLE_TIMEOUT, set[str]()),
        (ZoneRouter(None, "", 0, 0), state_tables.ZONE_ROUTER, set[str]()),
        (Zone(""), state_tables.ZONE, set[str]()),
        (NodeHealth(), state_tables.ZONE_NODE, set[str]()),
    ],
)
def test_every_attribute_of_a_record_is_stored(
    record: object, fields: state_tables.FieldTable, not_stored: set[str]
) -> None:
    assert attributes_of(record) - not_stored == set(fields)
