"""Tests of a subscriber: the exchange of requests and responses, without sockets."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.xds.errors import ProtocolError
from brambleusher.xds.snapshot import CDS, EDS, LDS, RDS, ResourceCache, Snapshot, UnversionedResource
from brambleusher.xds.subscriber import Request, Response, Subscriber
from brambleusher.xds.versions import MacSigner
from tests.xds.control_builders import SIGNER


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
