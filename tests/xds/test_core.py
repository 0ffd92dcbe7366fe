"""Tests of the control service's core: the list of endpoints, and what proxies get of it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from brambleusher.lab.control.xds import ProxyStandIn
from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.view_consistency import ViewPosition, WithheldReason
from brambleusher.xds.core import Core, Stream, apply_removals_only
from brambleusher.xds.discovered_endpoints import DiscoveredEndpoints
from brambleusher.xds.errors import ProtocolError
from brambleusher.xds.resources import ENDPOINTS
from brambleusher.xds.snapshot import CDS, EDS, LDS, RDS
from brambleusher.xds.subscriber import Request
from brambleusher.xds.wire import NodeIdentity, decode_request
from tests.xds.control_builders import MS, SECOND, SIGNER, control_config, core_with, endpoint, update


def test_the_list_held_never_goes_back() -> None:
    discovered = DiscoveredEndpoints()
    assert set(discovered.update(update(5, endpoint("n1"), endpoint("n2"))) or ()) == {"n1", "n2"}
    assert set(discovered.update(update(6, endpoint("n2", api.HostState.REMOVED), full=False)) or ()) == {
        "n2"
    }
    assert discovered.update(update(3, endpoint("n1"), endpoint("n2"))) is None and discovered.is_behind
    assert discovered.update(update(5, endpoint("n3"), full=False)) is None
    assert set(discovered.endpoints) == {"n1"} and discovered.version == 6
    changed = discovered.update(update(7, endpoint("n1", api.HostState.DRAINING), full=False))
    assert (
        not discovered.is_behind
        and set(discovered.endpoints) == {"n1", "n2", "n3"}
        and set(changed or ()) == {"n1", "n2", "n3"}
    )


def test_restrained_lists_only_take_away() -> None:
    drain = api.HostState.DRAINING
    before = {
        each.entry.host: each
        for each in (endpoint("n1"), endpoint("n2"), endpoint("n3", drain), endpoint("n4"))
    }
    newest = {each.entry.host: each for each in (
        endpoint("n1", drain), endpoint("n3"), endpoint("n4", port=1), endpoint("n5"))}  # fmt: skip
    kept = apply_removals_only(before, newest)
    assert {name: each.entry.state for name, each in kept.items()} == {"n1": drain, "n3": drain}


def connect_proxy(
    core: Core, name: str = "p", incremental: bool = False, agent: str = "stand-in"
) -> tuple[Stream, ProxyStandIn]:
    proxy = ProxyStandIn(name, "z", incremental, agent)
    stream = core.open_stream(None, incremental, 0)
    exchange(core, stream, proxy, proxy.connect())
    return stream, proxy


def exchange(core: Core, stream: Stream, proxy: ProxyStandIn, requests: list[bytes], now: int = 0) -> None:
    """Exchange requests and responses until no more are due."""
    for data in requests:
        core.handle_request(stream, *decode_request(data, proxy.incremental), now)
    while (response := core.next_response(stream, now)) is not None:
        for data in proxy.receive(response.data):
            core.handle_request(stream, *decode_request(data, proxy.incremental), now)


@pytest.mark.parametrize("incremental", [False, True])
def test_a_proxy_gets_all_and_a_drain_at_once(tmp_path: Path, incremental: bool) -> None:
    core = core_with(tmp_path, endpoint("n1"), endpoint("n2"))
    stream, proxy = connect_proxy(core, incremental=incremental)
    assert proxy.is_complete() and set(proxy.usable()) == {"10.0.0.1:9001", "10.0.0.1:9002"}
    core.record_endpoint_list(update(2, endpoint("n1", api.HostState.DRAINING), full=False), 1)
    exchange(core, stream, proxy, [], 1)
    assert len(proxy.usable()) == 2  # the new position is not on durable storage yet
    core.record_written(ViewPosition(1, 2), 2)
    exchange(core, stream, proxy, [], 2)
    assert set(proxy.usable()) == {"10.0.0.1:9002"}
    assert [each.address for each in proxy.endpoints() if each.draining] == ["10.0.0.1:9001"]


def test_while_the_disk_is_full_drains_go_out_and_nothing_is_added(tmp_path: Path) -> None:
    core = core_with(tmp_path, endpoint("n1"), endpoint("n2"))
    stream, proxy = connect_proxy(core)
    core.record_endpoint_list(
        update(2, endpoint("n2", api.HostState.DRAINING), endpoint("n3"), full=False), 1
    )
    core.record_write_failure(1)
    exchange(core, stream, proxy, [], 1)
    assert set(proxy.usable()) == {"10.0.0.1:9001"} and len(proxy.endpoints()) == 2
    core.record_written(ViewPosition(1, 2), 2)
    exchange(core, stream, proxy, [], 2)
    assert set(proxy.usable()) == {"10.0.0.1:9001", "10.0.0.1:9003"}


@pytest.mark.parametrize(("agent", "renewed"), [("stand-in", True), ("gRPC C++", False)])
def test_what_a_proxy_would_let_go_stale_is_renewed(tmp_path: Path, agent: str, renewed: bool) -> None:
    core = core_with(tmp_path, endpoint("n1"), stale_after_ms=3000)
    stream, proxy = connect_proxy(core, agent=agent)
    before = proxy.responses
    for now, more in ((900 * MS, 0), (1100 * MS, 1), (1200 * MS, 1), (2200 * MS, 2)):
        core.record_discovery_contact(now)
        exchange(core, stream, proxy, [], now)
        assert proxy.responses == before + more * renewed
    core.record_discovery_disconnect()
    exchange(core, stream, proxy, [], 9 * SECOND)  # without discovery the endpoints are not refreshed
    assert proxy.responses == before + 2 * renewed


def test_a_restarted_instance_withholds_until_discovery_has_caught_up(tmp_path: Path) -> None:
    core = core_with(tmp_path, endpoint("n1"), version=4, floor=ViewPosition(1, 9))
    stream, proxy = connect_proxy(core)
    assert core.withheld_reason(0) is WithheldReason.BEHIND and not proxy.responses
    core.record_endpoint_list(update(9, endpoint("n2")), 1)
    exchange(core, stream, proxy, [], 1)
    assert set(proxy.usable()) == {"10.0.0.1:9002"}


def test_discovery_down_for_a_minute_and_back_with_an_older_list(tmp_path: Path) -> None:
    core = core_with(tmp_path, endpoint("n1"), endpoint("n2"), version=9)
    stream, proxy = connect_proxy(core)
    core.record_discovery_disconnect()
    minute = 60 * SECOND
    core.tick(minute)
    assert core.withheld_reason(minute) is WithheldReason.ISOLATED
    later = core.open_stream(None, True, minute)
    newcomer = ProxyStandIn("q", "z", True)
    exchange(core, later, newcomer, newcomer.connect(), minute)
    assert not newcomer.responses and len(proxy.usable()) == 2  # the connected proxy keeps its last view
    core.record_endpoint_list(update(7, endpoint("n1")), minute)
    exchange(core, stream, proxy, [], minute)
    exchange(core, later, newcomer, [], minute)
    assert set(newcomer.usable()) == set(proxy.usable()) == {"10.0.0.1:9001", "10.0.0.1:9002"}
    core.record_endpoint_list(update(8, endpoint("n2", api.HostState.DRAINING), full=False), minute)
    assert core.position_to_write() is None and core.discovered.is_behind
    core.record_endpoint_list(update(10, endpoint("n3"), full=False), minute)
    core.record_written(ViewPosition(1, 10), minute)
    exchange(core, stream, proxy, [], minute)
    assert set(proxy.usable()) == {"10.0.0.1:9001", "10.0.0.1:9003"}


def test_a_claim_of_the_future_withholds_and_one_made_up_does_not(tmp_path: Path) -> None:
    core = core_with(tmp_path, endpoint("n1"))
    for version, why in (
        (f"9.9.{'0' * 16}.{'0' * 16}", None),
        (SIGNER.version(ViewPosition(1, 2), "0" * 16), WithheldReason.BEHIND),
    ):
        stream = core.open_stream(None, False, 0)
        core.handle_request(stream, Request(EDS, version=version, names=(ENDPOINTS,)), NodeIdentity("p"), 0)
        assert core.withheld_reason(0) is why
        assert (core.next_response(stream, 0) is None) == (why is not None)


def test_groups_see_what_they_may(tmp_path: Path) -> None:
    groups = [
        {"identity": "a-*", "zone": "z", "may": ["web", "look"]},
        {"identity": "b-*", "may": ["move"], "endpoints": "nodes"},
    ]
    core = core_with(tmp_path, endpoint("n1"), subscribers=groups)
    _, proxy = connect_proxy(core, "a-1")
    assert [kind.rpartition(".")[2] for kind in proxy.kinds] == [
        "Cluster", "ClusterLoadAssignment", "Listener", "RouteConfiguration"
    ]  # fmt: skip
    assert set(proxy.kinds[CDS].resources) == {"look"} and set(proxy.kinds[LDS].resources) == {"web"}
    (table,) = proxy.kinds[RDS].resources.values()
    assert {route.route.cluster for route in table.virtual_hosts[0].routes} == {"look"}
    with pytest.raises(ProtocolError, match="may not subscribe"):
        connect_proxy(core, "c-1")
    stream = core.open_stream(None, False, 0)
    with pytest.raises(ProtocolError, match="zone"):
        core.handle_request(stream, Request(CDS), NodeIdentity("b-1", zone="elsewhere"), 0)


def test_streams_are_bounded(tmp_path: Path) -> None:
    core = core_with(tmp_path, endpoint("n1"), bounds={"streams": 3, "streams_per_identity": 1})
    connect_proxy(core, "p")
    with pytest.raises(ProtocolError, match="one subscriber"):
        connect_proxy(core, "p")
    connect_proxy(core, "q")
    with pytest.raises(ProtocolError, match="too many streams"):
        connect_proxy(core, "r")


def test_another_configuration_reaches_subscribers_in_order(tmp_path: Path) -> None:
    core = core_with(tmp_path, endpoint("n1"))
    stream, proxy = connect_proxy(core)
    core.reconfigure(control_config(tmp_path, classes=[{"name": "look", "timeout_ms": 77}]), 1)
    seen: list[str] = []

    def verdict(kind: str, resources: list[Any]) -> str | None:
        seen.append(kind)
        return None if proxy.is_complete() else "a route leads nowhere"

    proxy.verdict = verdict
    exchange(core, stream, proxy, [], 1)
    assert seen == [CDS, RDS, CDS]  # the deleted cluster is removed after the routes to it
    assert proxy.is_complete() and set(proxy.kinds[CDS].resources) == {"look"}
    assert not stream.subscriber.rejected(RDS)


def test_another_configuration_moves_subscribers_and_turns_some_away(tmp_path: Path) -> None:
    core = core_with(tmp_path, endpoint("n1"))
    stays, proxy = connect_proxy(core, "stays")
    goes, _ = connect_proxy(core, "goes")
    core.reconfigure(
        control_config(tmp_path, subscribers=[{"identity": "stays", "zone": "y"}], stale_after_ms=0), 1
    )
    assert (stays.zone, goes.group) == ("y", None) and core.next_response(goes, 1) is None
    exchange(core, stays, proxy, [], 1)
    (made,) = proxy.kinds[EDS].resources.values()
    assert not made.policy.HasField("endpoint_stale_after")
