"""Test the control service without sockets.

The tests cover the protocol, views, when publishing is allowed, weights, load reports, the store and the
configuration file.
"""

from __future__ import annotations

import json
import logging
import subprocess
import sys
import textwrap
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from hypothesis import given, settings
from hypothesis import strategies as st

from brambleusher.lab.control import history as control_history
from brambleusher.lab.control.xds import ProxyStandIn
from brambleusher.lab.control.xds_rules import rule_violations
from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.fleet_balancer import (
    FleetBalancer,
    HostStatus,
    ReportedOutcomes,
    host_statuses,
    scale_counts,
)
from brambleusher.loadbalancing.locality_weights import (
    MEAN_WEIGHT,
    EndpointWeight,
    WeightDamper,
    WeightRounder,
    group_by_locality,
)
from brambleusher.loadbalancing.settings import parse_settings
from brambleusher.loadbalancing.view_consistency import (
    PeerStatus,
    ViewConsistency,
    ViewPosition,
    WithheldReason,
)
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate
from brambleusher.xds.config import ControlConfig, SubscriberGroup, load_control_config, parse_control_config
from brambleusher.xds.core import Core, Stream, apply_removals_only
from brambleusher.xds.discovered_endpoints import DiscoveredEndpoints
from brambleusher.xds.errors import ControlError, ProtocolError
from brambleusher.xds.resources import ENDPOINTS, AssignmentBuilder, build_static_resources
from brambleusher.xds.snapshot import CDS, EDS, LDS, RDS, ResourceCache, Snapshot, UnversionedResource
from brambleusher.xds.status import MESSAGE_TYPES
from brambleusher.xds.store import Store, StoreError
from brambleusher.xds.subscriber import Request, Response, Subscriber
from brambleusher.xds.versions import MacSigner
from brambleusher.xds.wire import NodeIdentity, decode_load_report, decode_request
from tests.rig import SETTINGS

MS, SECOND = 1_000_000, 1_000_000_000
SECRET = b"a secret for the tests"
SIGNER = MacSigner(SECRET)
AT_FIVE = ViewPosition(1, 5)


# --- the protocol -------------------------------------------------------------------------------


class SnapshotBuilder:
    """Builds snapshots from mappings of a name to its content, or to a pair of content and references."""

    def __init__(self) -> None:
        self.resource_cache, self.version = ResourceCache(SIGNER), 0

    def make(self, **kinds: dict[str, Any]) -> Snapshot:
        self.version += 1
        position = ViewPosition(1, self.version)
        resources_by_kind = {}
        for kind, word in ((CDS, "cds"), (EDS, "eds"), (LDS, "lds"), (RDS, "rds")):
            drafts = []
            for name, content in kinds.get(word, {}).items():
                body, refers = content if isinstance(content, tuple) else (content, ())
                drafts.append(UnversionedResource(name, body.encode(), frozenset(refers)))
            resources_by_kind[kind] = self.resource_cache.update_resources("", kind, drafts, position)
        return Snapshot(position, resources_by_kind)


def content_of(response: Response | None) -> tuple[str, dict[str, bytes], tuple[str, ...]] | None:
    if response is None:
        return None
    return response.kind, {each.name: each.body for each in response.resources}, response.removed


def ack(response: Response | None, *names: str, error: str | None = None, version: str = "") -> Request:
    assert response is not None
    return Request(response.kind, response.nonce, error, version, names)


def new_subscriber(incremental: bool = False) -> Subscriber:
    return Subscriber(SIGNER, incremental, max_names=10, max_name_bytes=50)


def test_whole_state_is_sent_acknowledged_and_not_sent_again() -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber()
    client.set_snapshot(snapshots.make(cds={"a": "1", "b": "1"}))
    assert client.take_response() is None
    client.receive(Request(CDS))
    first = client.take_response()
    assert content_of(first) == (CDS, {"a": b"1", "b": b"1"}, ())
    assert client.take_response() is None
    client.receive(ack(first))
    client.set_snapshot(snapshots.make(cds={"a": "1", "b": "1"}))
    assert client.take_response() is None
    client.set_snapshot(snapshots.make(cds={"a": "1", "b": "2"}))
    # CDS responses list all resources.
    assert content_of(client.take_response()) == (
        CDS,
        {"a": b"1", "b": b"2"},
        (),
    )
    client.set_snapshot(snapshots.make(cds={"b": "2"}))
    assert content_of(client.take_response()) == (CDS, {"b": b"2"}, ("a",))


@pytest.mark.parametrize("incremental", [False, True])
def test_a_refusal_keeps_the_last_good_version_and_is_not_answered_until_the_resource_changes(
    incremental: bool,
) -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber(incremental)
    client.set_snapshot(snapshots.make(eds={"e": "good", "other": "1"}))
    client.receive(Request(EDS, names=("e", "other"), subscribe=("e", "other")))
    client.receive(ack(client.take_response(), "e", "other"))
    good = client.acknowledged(EDS)["e"].version
    client.set_snapshot(snapshots.make(eds={"e": "bad", "other": "1"}))
    client.receive(ack(client.take_response(), "e", "other", error="no such thing"))
    assert client.acknowledged(EDS)["e"].version == good
    assert client.rejected(EDS)["e"].reason == "no such thing"
    client.set_snapshot(snapshots.make(eds={"e": "bad", "other": "2"}))
    assert content_of(client.take_response()) == (EDS, {"other": b"2"}, ())
    client.refresh(EDS)  # a refresh does not send rejected resources again
    assert content_of(client.take_response()) == (EDS, {"other": b"2"}, ())
    client.set_snapshot(snapshots.make(eds={"e": "mended", "other": "2"}))
    response = client.take_response()  # withheld, since two responses are not acknowledged yet
    assert response is None
    client.receive(Request(EDS, "4", None, names=("e", "other")))
    response = client.take_response()
    assert content_of(response) == (EDS, {"e": b"mended"}, ())
    client.receive(ack(response, "e", "other"))
    assert not client.rejected(EDS) and client.acknowledged(EDS)["e"].body == b"mended"


def test_one_that_is_slow_gets_the_newest_and_nothing_in_between() -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber()
    client.receive(Request(EDS, names=("e",)))
    for at in range(50):
        client.set_snapshot(snapshots.make(eds={"e": str(at)}))
    assert content_of(client.take_response()) == (EDS, {"e": b"49"}, ())
    client.set_snapshot(snapshots.make(eds={"e": "50"}))
    # The response is sent before the first acknowledgement.
    assert content_of(client.take_response()) == (
        EDS,
        {"e": b"50"},
        (),
    )
    for at in range(51, 90):
        client.set_snapshot(snapshots.make(eds={"e": str(at)}))
        assert client.take_response() is None
    client.receive(Request(EDS, "2", names=("e",)))
    assert content_of(client.take_response()) == (EDS, {"e": b"89"}, ())


def test_names_are_added_and_dropped_in_whole_state() -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber()
    client.set_snapshot(snapshots.make(eds={"a": "1", "b": "1"}, cds={"a": "1", "b": "1"}))
    client.receive(Request(EDS, names=("a",)))
    first = client.take_response()
    client.receive(ack(first, "a", "b"))
    assert content_of(client.take_response()) == (EDS, {"b": b"1"}, ())
    client.receive(Request(EDS, "2", names=("b",)))
    client.receive(Request(EDS, "2", names=("a", "b")))
    # A resource is sent again if its name was dropped and added again.
    assert content_of(client.take_response()) == (
        EDS,
        {"a": b"1"},
        (),
    )
    client.receive(Request(CDS, names=("a",)))
    assert content_of(client.take_response()) == (CDS, {"a": b"1"}, ())
    client.receive(Request(CDS, "1", names=("a", "b", "none")))
    assert content_of(client.take_response()) == (CDS, {"a": b"1", "b": b"1"}, ("none",))
    client.receive(Request(CDS, "2", names=()))  # an empty list after a list of names means no subscription
    client.set_snapshot(snapshots.make(cds={"a": "2"}))
    assert client.take_response() is None


@pytest.mark.parametrize("incremental", [False, True])
def test_names_that_come_and_go_beside_the_star_leave_nothing_behind(incremental: bool) -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber(incremental)
    client.set_snapshot(snapshots.make(cds={"a": "1"}))
    client.receive(Request(CDS, names=("*",), subscribe=("*",)))
    nonce = ""
    for at in range(50):
        if (response := client.take_response()) is not None:
            nonce = response.nonce
        now = (f"{at}-1", f"{at}-2")
        was = (f"{at - 1}-1", f"{at - 1}-2")
        client.receive(Request(CDS, nonce, names=("*", *now), subscribe=now, unsubscribe=was))
    assert len(client._subscriptions[CDS].removed) <= 4


def test_requests_written_before_the_last_response_was_read_change_no_names() -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber()
    client.set_snapshot(snapshots.make(eds={"a": "1", "b": "1"}))
    client.receive(Request(EDS, names=("a",)))
    client.receive(Request(EDS, names=("a", "b")))  # applied, since no response was sent yet
    assert content_of(client.take_response()) == (EDS, {"a": b"1", "b": b"1"}, ())
    client.receive(Request(EDS, names=("b",)))
    assert client.subscribed_names(EDS) == ["a", "b"]


@pytest.mark.parametrize(
    "request_", [
        Request("type.googleapis.com/envoy.config.core.v3.Node"), Request(CDS, "7"), Request(CDS, "x"),
        Request(CDS, "9" * 400), Request(CDS, "²"), Request(EDS, names=("n" * 51,)),
        Request(EDS, names=tuple(str(at) for at in range(11))),
    ],
)  # fmt: skip
def test_nonsense_is_a_fault_of_the_protocol(request_: Request) -> None:
    with pytest.raises(ProtocolError):
        new_subscriber().receive(request_)


def test_incremental_sends_what_changed_and_names_what_is_gone() -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber(True)
    client.set_snapshot(snapshots.make(cds={"a": "1", "b": "1"}, eds={"e": "1"}))
    client.receive(Request(CDS))
    client.receive(ack(client.take_response()))
    client.set_snapshot(snapshots.make(cds={"a": "2", "c": "1"}, eds={"e": "1"}))
    assert content_of(client.take_response()) == (CDS, {"a": b"2", "c": b"1"}, ("b",))
    client.receive(Request(EDS, subscribe=("e", "none")))
    assert content_of(client.take_response()) == (EDS, {"e": b"1"}, ("none",))
    client.receive(Request(EDS, "1", subscribe=("e",)))  # a name subscribed to again is sent again
    assert content_of(client.take_response()) == (EDS, {"e": b"1"}, ())
    client.receive(Request(EDS, "2", unsubscribe=("e",)))
    client.set_snapshot(snapshots.make(cds={"a": "2", "c": "1"}, eds={"e": "2", "none": "1"}))
    assert content_of(client.take_response()) == (EDS, {"none": b"1"}, ())


@pytest.mark.parametrize(
    ("claim", "sent", "claims"), [
        ("present", False, True), ("other place, same content", False, True), ("older content", True, True),
        ("of the future", True, True), ("made up", True, False), ("nothing", True, False),
    ],
)  # fmt: skip
def test_one_that_reconnects_is_brought_to_the_present_whatever_it_claims(
    claim: str, sent: bool, claims: bool
) -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber(True)
    now = snapshots.make(eds={"e": "now"})
    resource = now.kinds[EDS]["e"]
    version = {
        "present": resource.version,
        "other place, same content": SIGNER.version(ViewPosition(0, 3), resource.digest),
        "older content": SIGNER.version(ViewPosition(1, 1), "0" * 16),
        "of the future": SIGNER.version(ViewPosition(9, 99), "1" * 16),
        "made up": f"9.99.{resource.digest}.{'0' * 16}",
    }.get(claim)
    client.set_snapshot(now)
    client.receive(Request(EDS, subscribe=("e",), initial_versions={} if version is None else {"e": version}))
    assert bool(client.proven_positions) == claims
    assert (client.take_response() is not None) == sent
    if not sent:  # content that the subscriber proved to hold counts as acknowledged
        assert client.acknowledged(EDS)["e"] is resource


def test_whole_state_is_sent_anew_on_a_new_stream_and_its_claim_is_kept() -> None:
    snapshots, client = SnapshotBuilder(), new_subscriber()
    client.set_snapshot(snapshots.make(eds={"e": "now"}))
    client.receive(Request(EDS, version=SIGNER.version(ViewPosition(4, 2), "0" * 16), names=("e",)))
    assert client.proven_positions == [ViewPosition(4, 2)]
    assert content_of(client.take_response()) == (EDS, {"e": b"now"}, ())


def test_make_before_break() -> None:
    old: dict[str, Any] = {
        "cds": {"old": ("1", ("eo",))}, "eds": {"eo": "1"},
        "lds": {"l": ("1", ("r",))}, "rds": {"r": ("to old", ("old",))},
    }  # fmt: skip
    new: dict[str, Any] = {
        "cds": {"new": ("1", ("en",))}, "eds": {"en": "1"},
        "lds": {"l": ("2", ("r",))}, "rds": {"r": ("to new", ("new",))},
    }  # fmt: skip
    snapshots, client = SnapshotBuilder(), new_subscriber()
    client.set_snapshot(snapshots.make(**old))
    for request in (Request(CDS), Request(EDS, names=("eo",)), Request(LDS), Request(RDS, names=("r",))):
        client.receive(request)
    for pair in (((CDS, ()), (EDS, ("eo",))), ((LDS, ()), (RDS, ("r",)))):
        responses = [client.take_response() for _ in pair]
        assert [each and each.kind for each in responses] == [kind for kind, _ in pair]
        assert client.take_response() is None  # resources that refer to these wait for the acknowledgements
        for response, (_, names) in zip(responses, pair, strict=True):
            assert client.take_response() is None
            client.receive(ack(response, *names))
    client.set_snapshot(snapshots.make(**new))
    response = client.take_response()
    # The old route refers to the old cluster.
    assert content_of(response) == (
        CDS,
        {"new": b"1", "old": b"1"},
        (),
    )
    assert client.take_response() is None
    client.receive(ack(response))
    client.receive(Request(EDS, "1", names=("eo", "en")))
    response = client.take_response()
    assert content_of(response) == (EDS, {"en": b"1"}, ())
    assert client.take_response() is None
    client.receive(ack(response, "eo", "en"))
    listener, routes = client.take_response(), client.take_response()
    assert content_of(listener) == (LDS, {"l": b"2"}, ()) and content_of(routes) == (
        RDS,
        {"r": b"to new"},
        (),
    )
    client.receive(ack(listener))
    assert client.take_response() is None  # the old cluster stays until the new routes are acknowledged
    client.receive(ack(routes, "r"))
    assert content_of(client.take_response()) == (CDS, {"new": b"1"}, ("old",))


def test_a_seal_is_only_good_over_what_it_was_put_on() -> None:
    version = SIGNER.version(ViewPosition(3, 41), "0123456789abcdef")
    claim = SIGNER.parse(version)
    assert claim is not None and claim.position == ViewPosition(3, 41)
    for other in (version.replace("41", "42"), version[:-1] + "0", version + "0", "", "3.41", "²" + version):
        assert SIGNER.parse(other) is None or other == version
    assert MacSigner(b"another secret, as long").parse(version) is None


# --- when publishing is allowed -----------------------------------------------------------------


def new_consistency(floor: ViewPosition | None = AT_FIVE) -> ViewConsistency:
    return ViewConsistency(floor, 0, timeout_ns=3 * SECOND, subscribers_wait_ns=2 * SECOND)


def test_nothing_goes_out_before_it_is_known_to_be_the_present_and_written() -> None:
    consistency = new_consistency()
    assert consistency.withheld_reason(0) is WithheldReason.NO_DISCOVERY
    consistency.record_discovery(ViewPosition(1, 4), 0)
    assert consistency.withheld_reason(0) is WithheldReason.BEHIND
    assert consistency.position_to_write() is None  # a position older than the floor is never written
    consistency.record_discovery(ViewPosition(1, 6), 0)
    assert (
        consistency.withheld_reason(0) is WithheldReason.NOT_DURABLE
        and consistency.withheld_reason(0, has_only_removals=True) is None
    )
    consistency.record_written(ViewPosition(1, 6))
    assert consistency.withheld_reason(0) is None
    assert consistency.withheld_reason(3 * SECOND + 1) is WithheldReason.ISOLATED
    consistency.record_subscriber_position(ViewPosition(1, 7))
    assert consistency.withheld_reason(0) is WithheldReason.BEHIND
    consistency.record_discovery(ViewPosition(2, 1), 0)  # a higher epoch precedes any version
    consistency.record_written(ViewPosition(2, 1))
    assert consistency.withheld_reason(0) is None


def test_another_instance_vouches_or_shows_that_this_one_is_behind() -> None:
    consistency = new_consistency()
    consistency.record_discovery(ViewPosition(1, 6), 0)
    consistency.record_written(ViewPosition(1, 6))
    consistency.record_discovery_disconnect()
    assert consistency.withheld_reason(0) is WithheldReason.ISOLATED
    consistency.record_peer_status(
        "b", PeerStatus(ViewPosition(1, 6), ViewPosition(1, 5), is_connected=False), 0
    )
    # The peer is disconnected from discovery too.
    assert consistency.withheld_reason(0) is WithheldReason.ISOLATED
    consistency.record_peer_status(
        "b", PeerStatus(ViewPosition(1, 6), ViewPosition(1, 6), is_connected=True), 0
    )
    assert (
        consistency.withheld_reason(0) is None
        and consistency.withheld_reason(3 * SECOND + 1) is WithheldReason.ISOLATED
    )
    consistency.record_peer_status(
        "b", PeerStatus(ViewPosition(1, 7), ViewPosition(1, 6), is_connected=True), 0
    )
    assert consistency.withheld_reason(0) is WithheldReason.BEHIND


def test_with_a_store_that_was_lost_claims_are_awaited() -> None:
    consistency = new_consistency(None)
    consistency.record_discovery(ViewPosition(1, 6), 0)
    consistency.record_written(ViewPosition(1, 6))
    assert consistency.withheld_reason(SECOND) is WithheldReason.AWAITING_SUBSCRIBERS
    assert consistency.withheld_reason(2 * SECOND) is None


# --- the list and the views -----------------------------------------------------------------------


def endpoint(
    name: str, state: api.HostState = api.HostState.READY, zone: str = "z", port: int = 0
) -> Endpoint:
    return Endpoint(api.HostEntry(name, zone, "k", 0, state), ("10.0.0.1", port or 9000 + int(name[1:])))


def update(version: int, *listed: Endpoint, full: bool = True) -> EndpointListUpdate:
    return EndpointListUpdate(version, full, listed)


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


def control_config(folder: Path, **more: Any) -> ControlConfig:
    return parse_control_config(config_text(folder, **more), folder)


def config_text(folder: Path, **more: Any) -> bytes:
    """Return a configuration file as JSON, which is valid YAML, and write the secret file it refers to."""
    (folder / "secret").write_bytes(SECRET)
    raw = {
        "name": "c1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "secret_file": "secret",
        "store": {"file": "store.db", "new_ms": 0}, "settings": SETTINGS, "zones": ["z", "y"],
        "subscribers": [{"identity": "*", "zone": "z"}],
        "listeners": [{"name": "web", "address": "127.0.0.1:10000"}, {"name": "grpc-web"}],
        "classes": [{"name": "look", "prefixes": ["/look", "/l"], "retries": 2}, {"name": "move"}],
        "status": "127.0.0.1:0", **more,
    }  # fmt: skip
    return json.dumps({key: value for key, value in raw.items() if value is not None}).encode()


def core_with(
    folder: Path, *listed: Endpoint, version: int = 1, floor: ViewPosition | None = None, **more: Any
) -> Core:
    core = Core(control_config(folder, **more), floor, 0, is_floor_certain=True)
    core.record_endpoint_list(update(version, *listed), 0)
    position = core.position_to_write()
    if position is not None:
        core.record_written(position, 0)
    return core


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


# --- resources --------------------------------------------------------------------------------------


def test_resources_are_what_the_published_protos_say(tmp_path: Path) -> None:
    config = control_config(tmp_path)
    drafts = build_static_resources(config, config.groups[0])
    clusters = {draft.name: cluster_pb2.Cluster.FromString(draft.body) for draft in drafts[CDS]}
    assert clusters["look"].eds_cluster_config.service_name == ENDPOINTS
    assert clusters["look"].common_lb_config.healthy_panic_threshold.value == 0
    web, api_ = (listener_pb2.Listener.FromString(draft.body) for draft in drafts[LDS])
    assert web.address.socket_address.port_value == 10000 and api_.HasField("api_listener")
    table = route_pb2.RouteConfiguration.FromString(drafts[RDS][0].body)
    found = [(route.match.prefix, route.route.cluster) for route in table.virtual_hosts[0].routes]
    assert found == [("/look", "look"), ("/move", "move"), ("/l", "look")]
    by_class = {route.route.cluster: route.route for route in table.virtual_hosts[0].routes}
    assert by_class["look"].retry_policy.num_retries.value == 2
    assert not by_class["move"].HasField("retry_policy")  # requests that are not idempotent get no retries
    assert by_class["move"].timeout.seconds == 5


@pytest.mark.parametrize("classes", [("look", "move"), ("look",)])
def test_a_wide_prefix_does_not_take_what_must_not_run_twice_into_its_retries(
    tmp_path: Path, classes: tuple[str, ...]
) -> None:
    """Guards against retries for "move", which is not idempotent, by way of the route for the prefix "/".

    The class "move" has no route if the group may not subscribe to it or the file does not configure it.
    """
    plans: list[dict[str, Any]] = [{"name": "look", "prefixes": ["/"], "retries": 2}, {"name": "move"}]
    config = control_config(
        tmp_path,
        classes=[each for each in plans if each["name"] in classes],
        subscribers=[{"identity": "*", "zone": "z", "may": ["web", "look"]}],
    )
    (draft,) = build_static_resources(config, config.groups[0])[RDS]
    table = route_pb2.RouteConfiguration.FromString(draft.body).virtual_hosts[0].routes
    found = [(route.match.prefix, route.route.retry_policy.num_retries.value) for route in table]
    assert found == [("/move", 0), ("/", 2)]


def test_resources_keep_the_rules_that_the_protos_carry(tmp_path: Path) -> None:
    core = core_with(
        tmp_path, endpoint("n1"), endpoint("n2", api.HostState.DRAINING), endpoint("n3", zone="y")
    )
    for name, locality_level in (("a", "zones"), ("b", "nodes")):
        snapshot = core.snapshot("z", locality_level, core.config.groups[0], 0)
        for kind, message in MESSAGE_TYPES.items():
            for resource in snapshot.kinds[kind].values():
                assert not list(rule_violations(message.FromString(resource.body))), name
    bad = cluster_pb2.Cluster()
    bad.connect_timeout.seconds = 0
    bad.outlier_detection.max_ejection_percent.value = 101
    bad.load_assignment.endpoints.add().load_balancing_weight.value = 0
    found = " | ".join(rule_violations(bad))
    for part in ("Cluster.name is", "connect_timeout", "max_ejection_percent", "load_balancing_weight"):
        assert part in found
    assert list(rule_violations(route_components_pb2.RouteMatch())) == [
        "RouteMatch.path_specifier has none of its fields"
    ]


def test_endpoints_in_both_forms() -> None:
    shares = [
        EndpointWeight("n1", "z", 100, False),
        EndpointWeight("n2", "z", 0, False),
        EndpointWeight("n3", "z", 0, True),
        EndpointWeight("n4", "y", 50, False),
    ]
    addresses = {f"n{at}": ("10.0.0.1", at) for at in range(1, 5)}
    parts = group_by_locality(shares, (("z",), ("y",)))
    made = endpoint_pb2.ClusterLoadAssignment.FromString(
        AssignmentBuilder("zones", 60_000).build(parts, addresses).body
    )
    parts_ = made.endpoints
    assert [(part.locality.zone, part.priority, part.load_balancing_weight.value) for part in parts_] == [
        ("z", 0, 100), ("y", 1, 50),
    ]  # fmt: skip
    assert [each.health_status for each in made.endpoints[0].lb_endpoints] == [0, 2, 3]
    assert made.policy.endpoint_stale_after.seconds == 60
    made = endpoint_pb2.ClusterLoadAssignment.FromString(
        AssignmentBuilder("nodes", 60_000).build(parts, addresses).body
    )
    parts_ = made.endpoints
    assert [(part.locality.sub_zone, part.priority, part.load_balancing_weight.value) for part in parts_] == [
        ("n1", 0, 100), ("n4", 1, 50),
    ]  # fmt: skip


@settings(deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 3), st.booleans()), max_size=12),
    st.lists(st.lists(st.sampled_from("abc"), max_size=2), max_size=3),
)
def test_priorities_have_no_gap_and_lose_no_node(
    nodes: list[tuple[str, int, bool]], order: list[list[str]]
) -> None:
    shares = [
        EndpointWeight(f"n{at}", zone, 0 if drain else weight, drain)
        for at, (zone, weight, drain) in enumerate(nodes)
    ]
    made = group_by_locality(shares, order)
    assert sorted(share.host for tier in made for share in tier.endpoints) == sorted(
        share.host for share in shares
    )
    used = {tier.priority for tier in made}
    assert used == set(range(len(used)))
    assert len({tier.zone for tier in made}) == len(made)


# --- weights and reports ----------------------------------------------------------------------------


def entries(count: int) -> list[api.HostEntry]:
    return [api.HostEntry(f"n{at:02}", "z", "k", 0, api.HostState.READY) for at in range(count)]


def test_without_reports_weights_are_those_of_a_sidecar_without_reports() -> None:
    parsed = replace(parse_settings(SETTINGS), connection_price=0.0)
    fleet, sidecar = FleetBalancer(parsed, 1), Balancer(parsed, 1)
    for each in (fleet, sidecar):
        each.start(0)
        # Twelve hosts are the minimum that a sidecar uses.
        each.handle(api.HostListUpdated(api.ListKind.FULL, entries(12)), 0)
        each.handle(api.TimerFired(0), SECOND)
    mine, theirs = ([host_status.weight for host_status in host_statuses(each)] for each in (fleet, sidecar))
    assert mine == pytest.approx(theirs) and min(mine) > 0


def test_reports_and_outcomes_move_weights_as_the_rules_have_it() -> None:
    parsed = parse_settings(SETTINGS)
    fleet = FleetBalancer(parsed, 1)
    fleet.start(0)
    fleet.handle(api.HostListUpdated(api.ListKind.FULL, entries(40)), 0)
    now = 0
    for _ in range(8):
        now += SECOND // 2
        for at, entry in enumerate(entries(40)):
            busy = api.LoadReport(0.95 if at == 0 else 0.4, 100.0)
            failed, latency = (30 if at == 1 else 0), (900 * MS if at == 2 else 100 * MS)
            fleet.record_outcomes(
                ReportedOutcomes(entry.host, "look", 30 - failed, failed, latency, busy), now
            )
        fleet.handle(api.TimerFired(0), now)
    weights = {each.host: each.weight for each in host_statuses(fleet)}
    usual = weights["n10"]
    assert usual > 0 and weights["n00"] < usual / 2  # n00 reports a high load
    assert weights["n01"] < usual / 2 and weights["n02"] < usual / 2  # n01 fails, and n02 is slow
    fleet.record_outcomes(ReportedOutcomes("nobody", "look", 1, 1), now)
    fleet.record_outcomes(ReportedOutcomes("n03", "no class", 1, 1), now)


@given(st.integers(0, 10**9), st.integers(0, 10**9))
def test_many_attempts_count_as_a_few_in_proportion(served: int, failed: int) -> None:
    good, bad = scale_counts(served, failed)
    assert good >= 0 and bad >= 0 and good + bad == min(served + failed, 64)
    assert (bad > 0) == (failed > 0)


def test_rounding_stays_until_a_weight_has_moved() -> None:
    rounder = WeightRounder(0.1)

    def host_status(name: str, weight: float, state: api.HostState = api.HostState.READY) -> HostStatus:
        return HostStatus(name, "z", state, weight, 0.0, 1.0, None)

    first = rounder.round(
        [host_status("a", 32), host_status("b", 32), host_status("c", 0, api.HostState.DRAINING)]
    )
    assert [(share.weight, share.is_draining) for share in first] == [
        (MEAN_WEIGHT, False),
        (MEAN_WEIGHT, False),
        (0, True),
    ]
    assert rounder.round([host_status("a", 33), host_status("b", 31)]) == first[:2]
    moved = rounder.round([host_status("a", 64), host_status("b", 0.001)])
    assert [share.weight for share in moved] == [2 * MEAN_WEIGHT, 1]
    assert [share.weight for share in rounder.round([host_status("a", 64), host_status("b", 0.0)])] == [
        2 * MEAN_WEIGHT,
        0,
    ]


@pytest.mark.parametrize("use", [0.3, 0.6, 0.8, 0.9])
def test_weights_that_are_followed_blindly_settle(use: float) -> None:
    """Guards against oscillating weights: nodes differ in capacity, and their load follows old weights."""
    capacity = {"a": 60.0, "b": 100.0, "c": 140.0, "d": 100.0}
    offered = use * sum(capacity.values())
    damper = WeightDamper()
    weight = dict.fromkeys(capacity, 16.0)
    for _ in range(60):
        total = sum(weight.values())
        util = {name: min(1.0, offered * weight[name] / total / size) for name, size in capacity.items()}
        spare = {name: size * (1 - util[name]) + 1e-6 for name, size in capacity.items()}
        goal = {name: 64 * each / sum(spare.values()) for name, each in spare.items()}
        states = [
            HostStatus(name, "z", api.HostState.READY, each, 0.0, 1.0, util[name])
            for name, each in goal.items()
        ]
        weight = {each.host: each.weight for each in damper.follow(states, step=True)}
    assert max(util.values()) - min(util.values()) < 0.05
    gone = [replace(each, weight=0.0) for each in states[:1]] + states[1:]
    assert [each.weight for each in damper.follow(gone, step=False)] == [0.0, *list(weight.values())[1:]]


def test_reports_of_both_kinds_are_read_and_nonsense_passed_over(tmp_path: Path) -> None:
    report = lrs_pb2.LoadStatsRequest()
    report.node.id = "p"
    cluster = report.cluster_stats.add(cluster_name="look")
    part = cluster.upstream_locality_stats.add()
    each = part.upstream_endpoint_stats.add(total_successful_requests=9, total_error_requests=1)
    each.address.socket_address.address, each.address.socket_address.port_value = "10.0.0.1", 9001
    for name, total in (
        ("cpu_utilization", 4.5),
        ("named_metrics.rps_fractional", 900.0),
        ("latency_ms", float("nan")),
    ):
        each.load_metric_stats.add(
            metric_name=name, num_requests_finished_with_metric=9, total_metric_value=total
        )
    part = cluster.upstream_locality_stats.add(total_successful_requests=5)
    part.locality.sub_zone = "n2"
    part.cpu_utilization.num_requests_finished_with_metric, part.cpu_utilization.total_metric_value = 5, 1.0
    stranger = cluster.upstream_locality_stats.add(total_successful_requests=5)
    stranger.locality.sub_zone = "n9"
    samples, node = decode_load_report(report.SerializeToString())
    assert node.id == "p"
    core = core_with(tmp_path, endpoint("n1"), endpoint("n2"))
    core.record_load_report("z", samples)
    assert core.zones["z"].load_reports.unknown == 1
    outcomes = {each.host: each for each in core.zones["z"].load_reports.drain()}
    assert outcomes["n1"].report == api.LoadReport(0.5, 100.0) and outcomes["n1"].latency_ns is None
    assert (outcomes["n1"].served, outcomes["n1"].failed, outcomes["n2"].served) == (9, 1, 5)
    with pytest.raises(ProtocolError):
        decode_load_report(b"\xff\xff")


# --- storage --------------------------------------------------------------------------------------


def test_the_store_keeps_the_highest_place_and_counts_starts(tmp_path: Path) -> None:
    path = str(tmp_path / "s.db")
    for start in (1, 2, 3):
        store = Store(path, SIGNER)
        store.record_start()
        assert store.starts == start and store.floor == (None if start == 1 else ViewPosition(1, start + 5))
        store.write(ViewPosition(1, 6 + start))
        store.write(ViewPosition(1, 2))
        store.close()


@pytest.mark.parametrize("damage", ["torn", "not a database", "another's row", "empty"])
def test_a_store_that_cannot_be_read_is_put_aside(tmp_path: Path, damage: str) -> None:
    path = tmp_path / "s.db"
    store = Store(str(path), SIGNER if damage != "another's row" else MacSigner(b"another secret, as long"))
    store.write(ViewPosition(1, 9))
    store.close()
    whole = path.read_bytes()
    if damage == "torn":
        path.write_bytes(whole[: len(whole) // 2 + 100])
    elif damage == "not a database":
        path.write_bytes(b"\0" * 100 + whole[::-1])
    elif damage == "empty":
        path.write_bytes(b"")
    store = Store(str(path), SIGNER)
    assert store.floor is None and store.had_corrupt_file == (damage != "empty")
    store.write(ViewPosition(1, 10))
    store.close()
    assert Store(str(path), SIGNER).floor == ViewPosition(1, 10)


def test_a_disk_that_is_full_fails_the_write_and_keeps_what_was_there(tmp_path: Path) -> None:
    """Runs in a separate process whose file size is limited, so that writes fail as on a full disk."""
    script = textwrap.dedent("""
        import resource, signal, sys
        from brambleusher.xds.store import Store, StoreError
        from brambleusher.xds.versions import MacSigner
        from brambleusher.loadbalancing.view_consistency import ViewPosition
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        path, signer = sys.argv[1], MacSigner(b"a secret for the tests")
        store = Store(path, signer)
        store.record_start()
        store.write(ViewPosition(1, 1))
        resource.setrlimit(resource.RLIMIT_FSIZE, (100, resource.RLIM_INFINITY))
        try:
            store.write(ViewPosition(1, 2))
        except StoreError:
            print("failed")
        print(tuple(store.floor))
        resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        store.write(ViewPosition(1, 3))
        print(tuple(store.floor))
    """)
    done = subprocess.run(
        [sys.executable, "-c", script, str(tmp_path / "s.db")],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert done.stdout.split("\n")[:3] == ["failed", "(1, 1)", "(1, 3)"]
    assert Store(str(tmp_path / "s.db"), SIGNER).floor == ViewPosition(1, 3)


def test_writes_fail_alone(tmp_path: Path) -> None:
    store = Store(str(tmp_path / "s.db"), SIGNER)
    store.write(ViewPosition(1, 1))
    store.close()
    with pytest.raises(StoreError):
        store.write(ViewPosition(1, 2))


# --- the configuration file -------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("change", "names"),
    [
        ({"name": None}, "name is missing"),
        ({"listen": "10.0.0.1:1"}, "listen: without tls"),
        ({"status": "10.0.0.1:1"}, "status: only a loopback"),
        ({"discovery": "x"}, "discovery: 'x' is not host:port"),
        ({"unknown": 1}, "unknown is unknown"),
        ({"epoch": 0}, "epoch is not a whole number"),
        ({"secret_file": "none"}, "secret_file: .* can't be read"),
        ({"settings": {}}, "settings: setting classes"),
        ({"settings_file": "x"}, "not exactly one of settings and settings_file"),
        ({"store": {}}, "store.file is missing"),
        ({"subscribers": []}, "subscribers is not a list"),
        ({"subscribers": [{"identity": "a", "zone": "q"}]}, r"subscribers\[0\].zone: q is not among zones"),
        ({"classes": [{"name": "none"}]}, r"classes\[0\].name: the settings have no class none"),
        ({"classes": [{"name": "move", "retries": 1}]}, r"classes\[0\].retries: .* must not be sent twice"),
        ({"classes": [{"name": "look", "retries": 9}]}, r"classes\[0\].retries: the settings allow 3"),
        ({"classes": [{"name": "look", "prefixes": ["x"]}]}, r"classes\[0\].prefixes: x does not begin"),
        ({"classes": [{"name": "look"}, {"name": "look"}]}, "class look is given twice"),
        ({"spread": {"priorities": {"z": "y"}}}, "spread.priorities.z is not a list"),
        ({"bounds": {"streams": 0}}, "bounds.streams is not a whole number"),
        ({"peers": [{"name": "b", "address": "10.0.0.2:1"}]}, "peers: without tls"),
        ({"tls": {"certificate": "c"}}, "tls.key is missing"),
    ],
)
def test_faults_in_the_file_name_the_key(tmp_path: Path, change: dict[str, Any], names: str) -> None:
    with pytest.raises(ControlError, match=names):
        control_config(tmp_path, **change)


def test_the_file_is_read_from_disk_with_a_sidecars_settings(tmp_path: Path) -> None:
    (tmp_path / "sidecar.json").write_text(json.dumps({"settings": SETTINGS}))
    path = tmp_path / "control.yaml"
    path.write_bytes(config_text(tmp_path, settings=None, settings_file="sidecar.json"))
    config = load_control_config(str(path))
    assert [cls.name for cls in config.settings.classes] == ["look", "move"]
    assert config.group_of("x") == SubscriberGroup("*", "z")


def test_the_example_is_one_that_can_be_used(tmp_path: Path) -> None:
    example = Path(__file__).resolve().parents[2] / "deploy" / "control.yaml"
    names = (
        ("listing-lookup", "read_like"),
        ("price-check", "read_like"),
        ("transfer-record", "non_idempotent"),
    )
    classes = [SETTINGS["classes"][0] | {"name": name, "effect": effect} for name, effect in names]
    (tmp_path / "config.json").write_text(json.dumps({"settings": SETTINGS | {"classes": classes}}))
    (tmp_path / "control.secret").write_bytes(SECRET)
    config = parse_control_config(example.read_bytes(), tmp_path)
    assert [class_config.retries for class_config in config.classes] == [2, 2, 0]
    assert config.group_of("market-one-3") == config.groups[0] and not config.groups[0].may_subscribe_to(
        "transfer-record"
    )


# --- random schedules ---------------------------------------------------------------------------------


@pytest.fixture
def quiet() -> Iterator[None]:
    """Disable logging, since these schedules cause thousands of expected warnings."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.usefixtures("quiet")
def test_no_view_is_older_than_one_accepted_before_whatever_happens(tmp_path: Path) -> None:
    judged = sum(control_history.run(seed, tmp_path).check_count for seed in range(15))
    assert judged > 1000


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize(("mutation", "first"), [("store", 29), ("claims", 41), ("silence", 8), ("floor", 0)])
def test_the_checker_catches_what_would_break_that(tmp_path: Path, mutation: str, first: int) -> None:
    assert mutation in control_history.MUTATION_NAMES
    for seed in range(first, first + 200):  # `first` is the first seed that caught the mutation
        try:
            control_history.run(seed, tmp_path, mutation)
        except control_history.Violation:
            return
    pytest.fail(f"a service without its {mutation} went unnoticed")
