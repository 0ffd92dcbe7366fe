"""Parts of the data plane that need no sockets: routes, prefixes, events, budgets, instances, placement."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest

from brambleusher.dataplane.connection_pool import connection_quota
from brambleusher.dataplane.errors import EventTooLongError
from brambleusher.dataplane.event_stream import EventSplitter
from brambleusher.dataplane.instance import InstanceStatus
from brambleusher.dataplane.instance_entry import InstanceEntry
from brambleusher.dataplane.instance_table import WARM_UP_MARGIN_S, InstanceTable
from brambleusher.dataplane.placement import SUBSET_MIN, Placement, PlacementRequest
from brambleusher.dataplane.prefix_affinity import rank_by_affinity, shared_prefix
from brambleusher.dataplane.retry_budget import RetryBudget
from brambleusher.dataplane.routing import RouteTable, pick_service
from brambleusher.dataplane.warm_up_budget import WarmUpBudget
from brambleusher.membership.controllers import Controllers, Locality
from brambleusher.wire.configuration import Configuration, Route, Service

ZONES = {"n1": "north", "n2": "north", "s1": "south"}


def route(**given: Any) -> Route:
    return Route(**{"host": "h", "path_prefix": "/", "deadline_ms": 1000, "service": "llm", **given})


def table(*routes: Route) -> RouteTable:
    return RouteTable(Configuration(revision=1, routes=routes, services=(Service(name="llm"),)))


# --- routes ---------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/b/c", "ab"),
        ("H", "/a/b/c?x=/a/", "ab"),
        ("h:8080", "/a/x", "a"),
        ("h", "/a", "all"),
        ("h", "/ab/c", "all"),
        ("h", "/?q=/a/b/", "all"),
        ("other", "/a/b/", None),
    ],
)
def test_the_longest_prefix_wins(host: str, path: str, name: str | None) -> None:
    routes = table(
        route(name="all"), route(name="a", path_prefix="/a/"), route(name="ab", path_prefix="/a/b/")
    )
    found = routes.find(host, path)
    assert (found.name if found else None) == name


def test_no_route_below_the_prefixes_of_a_host() -> None:
    assert table(route(path_prefix="/a/")).find("h", "/b/") is None


def test_services_are_drawn_by_their_shares() -> None:
    split = route(service=None, split=({"service": "a", "gain": 90}, {"service": "b", "gain": 10}))
    rng = random.Random(2)
    drawn = [pick_service(split, rng) for _ in range(2000)]
    assert 1700 < drawn.count("a") < 1900


# --- prefixes -------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        ("5c:800,91:410,e4:250", ("5c/91", 1210)),
        (" 5c:800 , e4:250", ("5c", 800)),
        ("e4:250", ("", 0)),
        ("", ("", 0)),
        ("5c:x,e4:250", ("", 0)),
    ],
)
def test_the_shared_part_is_all_but_the_last(header: str, expected: tuple[str, int]) -> None:
    assert shared_prefix(header) == expected


def test_a_keeper_stays_when_others_come_and_go() -> None:
    names = [f"i{number}" for number in range(10)]
    moved = 0
    for number in range(200):
        first = rank_by_affinity(f"k{number}", names)[0]
        assert rank_by_affinity(f"k{number}", [*reversed(names)])[0] == first
        without = rank_by_affinity(f"k{number}", [name for name in names if name != "i3"])[0]
        moved += without != first
        assert without == first or first == "i3"
    assert 5 < moved < 45


# --- events ---------------------------------------------------------------------------------------

STREAM = b"id: 1\ndata: a\n\nid: 2\nversions: 3\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n"


def test_events_come_whole_wherever_they_are_cut() -> None:
    for at in range(len(STREAM) + 1):
        splitter = EventSplitter()
        got = splitter.feed(STREAM[:at])
        assert got == b"" or got.endswith((b"\n\n", b"\r\n\r\n"))
        got += splitter.feed(STREAM[at:])
        assert got == STREAM
        assert splitter.last_id == 4
        assert not splitter.has_partial_event


def test_events_that_were_passed_on_are_left_out() -> None:
    splitter = EventSplitter(after_id=2)
    assert splitter.feed(STREAM) == b"id: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n"


def test_a_partial_event_is_known_as_such() -> None:
    splitter = EventSplitter()
    assert splitter.feed(STREAM[:-1]) == STREAM[: STREAM.index(b"id: 4")]
    assert splitter.has_partial_event
    assert splitter.last_id == 3


def test_an_event_without_an_end_is_bounded() -> None:
    splitter = EventSplitter()
    with pytest.raises(EventTooLongError):
        for _ in range(100):
            splitter.feed(b"x" * 65536)


# --- budgets --------------------------------------------------------------------------------------


def test_retries_of_all_gateways_stay_within_the_slack() -> None:
    budgets = [RetryBudget(0.2, 56, 10, 8, 0.0) for _ in range(8)]
    for budget in budgets:
        budget.set_gateway_count(8)
    taken = sum(budget.take(step / 100) for step in range(1000) for budget in budgets)
    assert 8 <= taken <= 56


def test_requests_earn_retries() -> None:
    budget = RetryBudget(0.2, 0, 10, 8, 0.0)
    taken = 0
    for _ in range(1000):
        budget.record_request()
        taken += budget.take(0.0)
    assert 80 <= taken <= 110


@pytest.mark.parametrize("gateways", [1, 8, 87, 400])
def test_a_cold_instance_gets_no_more_than_its_bound_from_all(gateways: int) -> None:
    for instance in range(20):
        budgets = [WarmUpBudget(f"i{instance}", 0.0) for _ in range(gateways)]
        times = []
        for step in range(300):
            for rank, budget in enumerate(budgets):
                if budget.take(26.0, rank, gateways, step / 100):
                    times.append(step / 100)
        most = max((sum(begin <= at < begin + 1.0 for at in times) for begin in times), default=0)
        assert most <= 26 * 1.5 + 5


def test_a_cold_instance_gets_a_fair_part_of_what_it_can_take() -> None:
    budgets = [WarmUpBudget("i", 0.0) for _ in range(8)]
    taken = sum(
        budget.take(26.0, rank, 8, step / 100) for step in range(300) for rank, budget in enumerate(budgets)
    )
    assert taken > 3 * 26 * 0.6


def test_connections_are_shared_out() -> None:
    assert 8 * connection_quota(110, 8) <= 110
    assert connection_quota(3, 50) == 1


# --- instances ------------------------------------------------------------------------------------


def entry(name: str, zone: str = "n1", state: str = "ready", **given: Any) -> dict[str, Any]:
    return {
        "id": name,
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": zone,
        "capacity": 8,
        "state": state,
        "warmup_ms": 0,
        **given,
    }


def listed(*entries: dict[str, Any]) -> list[InstanceEntry]:
    return [InstanceEntry.from_json(each) for each in entries]


def instances(*entries: dict[str, Any]) -> InstanceTable:
    made = InstanceTable(ZONES, random.Random(1))
    made.services = {"llm": Service(name="llm", warmup_s=3.0, cold_per_s=10.0)}
    made.update(listed(*entries), 0.0, 0.0)
    return made


def usable(known: InstanceTable, now: float = 0.0, **given: Any) -> set[str]:
    return {instance.id for instance in known.usable(route(**given), "llm", now)}


def test_draining_and_gone_instances_get_nothing_and_never_come_back() -> None:
    known = instances(entry("a"), entry("b"), entry("c"))
    kept = known.for_service("llm")
    left = known.update(listed(entry("a", state="draining"), entry("b")), 1.0, 1.0)
    assert {instance.id: instance.status for instance in left} == {
        "a": InstanceStatus.DRAINING,
        "c": InstanceStatus.REMOVED,
    }
    assert usable(known) == {"b"}
    known.update(listed(entry("a"), entry("b")), 2.0, 2.0)
    assert usable(known) == {"b"}
    assert next(each for each in kept if each.id == "c").status is InstanceStatus.REMOVED


def test_homes_and_evacuations_bind() -> None:
    known = instances(entry("a"), entry("b", "n2"), entry("c", "s1"))
    assert usable(known, home_regions=("north",)) == {"a", "b"}
    known.set_evacuated_zones(frozenset({"n1"}), 0.0)
    assert usable(known, home_regions=("north",)) == {"b"}
    assert usable(known) == {"b", "c"}


def test_instances_of_the_first_list_are_warm_and_later_ones_are_not() -> None:
    known = instances(entry("a"))
    known.update(listed(entry("a"), entry("b")), 1.0, 1.0)
    by_name = {instance.id: instance for instance in known.for_service("llm")}
    assert not known.is_warming_up(by_name["a"], 1.0)
    assert known.is_warming_up(by_name["b"], 1.0)
    assert not known.is_warming_up(by_name["b"], 1.0 + 3.0 + WARM_UP_MARGIN_S + 0.1)


def test_what_the_list_says_of_warming_up_counts() -> None:
    known = instances(entry("a", warmup_ms=2500))
    assert known.is_warming_up(known.for_service("llm")[0], 2.4)


def test_a_zone_that_is_taken_back_is_warming_up() -> None:
    known = instances(entry("a"), entry("b", "n2"))
    known.set_evacuated_zones(frozenset({"n1"}), 0.0)
    known.set_evacuated_zones(frozenset(), 5.0)
    cold = {instance.id for instance in known.for_service("llm") if known.is_warming_up(instance, 5.1)}
    assert cold == {"a"}


def test_an_instance_that_takes_no_connection_rests_longer_each_time() -> None:
    known = instances(entry("a"))
    instance = known.for_service("llm")[0]
    rests = []
    for _ in range(6):
        instance.record_connect_failure(10.0)
        rests.append(instance.backoff_until_s - 10.0)
    assert rests == sorted(rests)
    assert rests[-1] == 2.0
    assert usable(known, 10.0) == set()
    instance.record_connected()
    assert usable(known, 10.0) == {"a"}


# --- placement ------------------------------------------------------------------------------------


def wanted(key: str = "", tokens: int = 0, **given: Any) -> PlacementRequest:
    return PlacementRequest(route(**given), "llm", key, tokens)


def test_near_instances_come_first() -> None:
    known = instances(entry("a"), entry("b", "n2"), entry("c", "s1"))
    placement = Placement(known, "north")
    chosen = {placement.choose(wanted(), (), 0.0) for _ in range(9)}
    assert {instance.id for instance in chosen if instance} == {"a", "b"}


def used_by(gateway: str, known_zones: dict[str, str], **given: Any) -> set[str]:
    """The instances that a gateway in the north prefers, at low use."""
    known = InstanceTable(ZONES, random.Random(1), gateway_name=gateway)
    known.services = {"llm": Service(name="llm")}
    known.update(listed(*(entry(name, zone, capacity=100) for name, zone in known_zones.items())), 0.0, 0.0)
    known.tick(0.0)
    for number in range(1, 6):
        known.tick(number * 0.5)
    placement = Placement(known, "north")
    chosen = [placement.choose(wanted(**given), (), 3.0) for _ in range(40)]
    return {instance.id for instance in chosen if instance}


def test_a_gateway_uses_few_instances_always_the_same_and_others_use_others() -> None:
    zones = {f"i{number}": "n1" if number % 2 else "n2" for number in range(20)}
    first, again, other = (used_by(name, zones) for name in ("g1", "g1", "g2"))
    assert len(first) == SUBSET_MIN
    assert first == again
    assert first != other
    users = Counter(name for number in range(40) for name in used_by(f"g{number}", zones))
    assert set(users) == set(zones)
    assert max(users.values()) <= 4 * 40 * SUBSET_MIN / 20


def test_few_far_instances_are_used_where_no_near_one_may_be() -> None:
    zones = {f"i{number}": "s1" for number in range(20)}
    assert len(used_by("g1", zones, home_regions=("south",))) == SUBSET_MIN


def test_all_instances_are_used_where_they_are_full() -> None:
    known = instances(*(entry(f"i{number}", capacity=2) for number in range(12)))
    weights = known.weights["llm"]
    for number in range(12):
        weights.record_load(f"i{number}", 1, 0, 2)
    known.tick(0.0)
    known.tick(0.5)
    placement = Placement(known, "north")
    chosen = {each.id for _ in range(60) if (each := placement.choose(wanted(), (), 0.6)) is not None}
    assert len(chosen) == 12


def test_the_turn_begins_at_an_instance_with_a_connection_to_use_again() -> None:
    known = instances(*(entry(f"i{number}") for number in range(3)))
    weights = known.weights["llm"]
    chosen = [weights.choose(["i0", "i1", "i2"], 0.0, among_few=True, first=["i2"]) for _ in range(3)]
    assert chosen[0] == "i2"
    assert set(chosen) == {"i0", "i1", "i2"}


def test_far_instances_take_over_where_near_ones_are_tried_or_down() -> None:
    known = instances(entry("a"), entry("c", "s1"))
    placement = Placement(known, "north")
    far = placement.choose(wanted(), {"a"}, 0.0)
    assert far is not None
    assert far.id == "c"
    assert placement.choose(wanted(home_regions=("north",)), {"a"}, 0.0) is None


def test_a_large_prefix_has_one_keeper_in_all_regions() -> None:
    entries = [entry("a"), entry("b", "n2"), entry("c", "s1"), entry("d", "s1")]
    for key in ("k1", "k2", "k3", "k4"):
        chosen = set()
        for region in ("north", "south"):
            placement = Placement(instances(*entries), region)
            for _ in range(3):
                instance = placement.choose(wanted(key, 13000), (), 0.0)
                assert instance is not None
                chosen.add(instance.id)
        assert len(chosen) == 1


def test_a_cold_keeper_is_passed_over_once_its_budget_is_spent() -> None:
    """Open case: a region back cold with full spare gets no more than the bound of cold instances."""
    known = instances(entry("a"))
    known.gateway_count = 1.0
    known.update(listed(entry("a"), entry("b")), 1.0, 1.0)
    placement = Placement(known, "north")
    key = next(f"k{n}" for n in range(50) if rank_by_affinity(f"k{n}", ["a", "b"])[0] == "b")
    sent = [placement.choose(wanted(key, 13000), (), 1.0) for _ in range(10)]
    assert [instance.id for instance in sent if instance].count("b") <= 1


# --- controllers ----------------------------------------------------------------------------------

HERE = Locality("n1", "north")


def test_near_controllers_come_first_and_far_ones_when_those_fail() -> None:
    known = Controllers(("far",), random.Random(3), HERE)
    known.set_announced(
        [
            ("far", Locality("s1", "south")),
            ("zone", Locality("n1", "north")),
            ("region", Locality("n2", "north")),
        ]
    )
    assert [known.acquire(0, 0.0), known.acquire(1, 0.0)] == ["zone", "region"]
    known.record_failure("zone", 0.0)
    assert known.acquire(0, 0.0) == "far"
    known.record_success("zone")
    assert known.acquire(0, 0.0) == "zone"


def test_a_watcher_moves_once_a_nearer_controller_is_known_and_rested() -> None:
    known = Controllers(("far",), random.Random(3), HERE)
    assert known.acquire(0, 0.0) == "far"
    assert not known.is_nearer_available(0, "far", 0.0)
    known.set_announced([("far", Locality("s1", "south")), ("zone", Locality("n1", "north"))])
    assert known.is_nearer_available(0, "far", 0.0)
    known.record_failure("zone", 0.0)
    assert not known.is_nearer_available(0, "far", 0.1)
    known.record_success("zone")
    assert known.acquire(0, 0.2) == "zone"
    assert not known.is_nearer_available(0, "zone", 0.2)
    assert known.acquire(1, 0.2) == "far"
    assert not known.is_nearer_available(1, "far", 0.2)  # the nearer one is the other watcher's


def test_the_watcher_with_the_nearest_controller_is_foremost() -> None:
    known = Controllers(("far", "zone"), random.Random(3), HERE)
    known._held = {0: "far", 1: "zone"}
    assert known.holds_nearest(0)  # nobody's place is known yet
    assert not known.holds_nearest(1)
    known.set_announced([("far", Locality("s1", "south")), ("zone", Locality("n1", "north"))])
    assert known.holds_nearest(1)
    assert not known.holds_nearest(0)


def test_two_watchers_follow_two_controllers() -> None:
    known = Controllers(("a", "b", "c"), random.Random(3), HERE)
    assert known.acquire(0, 0.0) != known.acquire(1, 0.0)


def test_a_controller_that_failed_rests_and_one_is_always_found() -> None:
    known = Controllers(("a", "b", "c"), random.Random(3), HERE)
    held = known.acquire(1, 0.0)
    for name in {"a", "b", "c"} - {held}:
        known.record_failure(name, 0.0)
    assert known.acquire(0, 0.0) != held
    known.record_failure(held, 0.0)
    assert known.acquire(0, 0.1) in {"a", "b", "c"}


def test_seeds_are_never_forgotten() -> None:
    known = Controllers(("a",), random.Random(3), HERE)
    known.set_announced([("x", Locality()), ("y", Locality())])
    known.set_seeds(("b",))
    taken = set()
    for number in range(40):
        address = known.acquire(0, float(number) * 10)
        known.record_failure(address, float(number) * 10)
        taken.add(address)
    assert {"x", "y", "b"} <= taken
