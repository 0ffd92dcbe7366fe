"""Captures, states and settings recorded by commit 49e18d4 are replayed and written identically."""

from __future__ import annotations

import gzip
import io
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from brambleusher.decisions.observers import Decision
from brambleusher.decisions.requests import ClientRequest
from brambleusher.features.capture import Capture
from brambleusher.features.output_queue import OutputQueue
from brambleusher.features.records import (
    decode_entry,
    decode_event,
    encode_action,
    encode_entry,
    encode_event,
)
from brambleusher.features.replay import SAME, replay
from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer_factory import balancer_for
from brambleusher.loadbalancing.settings_codec import restore_settings, save_settings
from brambleusher.loadbalancing.state_codec import restore, save
from brambleusher.loadbalancing.state_transfer import export_state, import_state
from brambleusher.net.endpoint_list import EndpointListUpdate, decode_update
from brambleusher.operator_settings.configuration import CaptureSettings
from brambleusher.runtime.operating_system import RealSystem

RECORDED = Path(__file__).parent / "recorded" / "decisions"
CAPTURES = ["plain", "plain-successor", "zones", "zones-successor"]
# Ring buffers that have wrapped, so they begin with requests in progress.
MIDWAY = ["plain-midway", "zones-midway"]
STATES = ["plain", "zones"]
FRESH = ["plain-fresh", "zones-fresh"]  # states with twenty hosts, some of which were never used
CODEC = json.loads((RECORDED / "codec.json").read_bytes())
# One example of each action, with its fields in order.
ACTIONS: list[api.Action] = [
    api.StartAttempt("r1", "h1", 5),
    api.RejectRequest("r1", 6),
    api.FailRequest("r1"),
    api.CancelAttempt("r1", 2),
    api.CloseIdleConnections("h1"),
    api.CheckHealth("h1"),
    api.SetTimer(9, 3),
    api.SubscribeToEndpoints(),
    api.WriteLog("text"),
]


def captured(name: str) -> bytes:
    """Return a recorded capture."""
    return gzip.decompress((RECORDED / f"{name}.jsonl.gz").read_bytes())


def state_of(name: str) -> dict[str, Any]:
    """Return recorded settings with a state that has requests in progress."""
    recorded: dict[str, Any] = orjson.loads(
        gzip.decompress((RECORDED / f"{name}-state.json.gz").read_bytes())
    )
    return recorded


@pytest.fixture
def queue() -> Iterator[OutputQueue]:
    yield OutputQueue(RealSystem().worker("lane", lambda: False, lambda: None), 1 << 30)


@pytest.mark.parametrize("name", [*CAPTURES, *MIDWAY])
def test_a_capture_is_rerun_without_a_difference(name: str, tmp_path: Path) -> None:
    path = tmp_path / "capture.jsonl"
    path.write_bytes(captured(name))
    out, errors = io.StringIO(), io.StringIO()
    assert replay(str(path), out, errors) == SAME, out.getvalue() + errors.getvalue()
    records = captured(name).count(b"\n") - 1
    assert out.getvalue() == f"{records} records, 0 differ\n"


def test_captures_hold_all_events_and_most_actions() -> None:
    events, actions = set(), set()
    for name in CAPTURES:
        for line in captured(name).splitlines()[1:]:
            record = json.loads(line)
            events.add(record["ev"])
            actions |= {action[0] for action in record["out"]}
    assert events == {
        "begin", "request", "attempt", "stream", "gone", "timer", "list", "rules", "body", "part",
    }  # fmt: skip
    # The balancer never requests a health check; codec.json has the form of that action.
    assert actions == {"send", "refuse", "fail", "cancel", "let_go", "timer", "subscribe", "log"}


@pytest.mark.parametrize("name", CAPTURES)
def test_the_same_events_make_the_same_capture(name: str, queue: OutputQueue) -> None:
    """Replaying the events, with settings, seed, list and state from the header, gives the same lines."""
    recorded = captured(name)
    head, *records = (orjson.loads(line) for line in recorded.splitlines())
    settings, seed = restore_settings(head["settings"]), int(head["seed"], 16)
    state = head.get("state")
    known = decode_update({**head["list"], "full": True}) if state else EndpointListUpdate(0, True, ())
    capture = Capture(CaptureSettings(4096), settings, seed, known, queue, None)
    balancer = balancer_for(settings, seed) if state is None else restore(settings, seed, state)
    capture.start(lambda: dict(save(balancer)), is_imported=state is not None)
    requests: dict[str, ClientRequest] = {}
    for record in records:
        event, now = decode_event(record), record["t_ns"]
        if isinstance(event, api.RequestArrived):
            name_, kind, tenant = record["id"], record["class"], record["tenant"]
            requests[name_] = ClientRequest(name_, kind, tenant, 0, None, False, 0)
        raised: Exception | None = None
        actions: list[api.Action] = []
        try:
            actions = balancer.start(now) if event is None else balancer.handle(event, now)
        except KeyError as error:  # an unknown request class
            raised = error
        capture.record(Decision(event, now, actions, raised, requests.get(record["id"] or "")))
    capture.dump()
    written = b""
    while items := queue.take_batch():
        queue.finish_batch(0)
        written += b"".join(items)
    assert written.splitlines() == recorded.splitlines()
    assert written == recorded


@pytest.mark.parametrize("name", [*STATES, *FRESH])
def test_a_state_is_written_as_it_was_read(name: str) -> None:
    recorded = state_of(name)
    settings = restore_settings(recorded["settings"])
    assert orjson.dumps(save_settings(settings)) == orjson.dumps(recorded["settings"])
    restored = restore(settings, 1, recorded["state"])
    assert orjson.dumps(save(restored)) == orjson.dumps(recorded["state"])


@pytest.mark.parametrize("name", FRESH)
def test_hosts_out_of_use_are_among_them(name: str) -> None:
    assert {"none": 0} in [value for row in state_of(name)["state"]["hosts"] for value in row]


@pytest.mark.parametrize("name", MIDWAY)
def test_a_state_in_a_capture_is_written_as_it_was_read(name: str) -> None:
    head = orjson.loads(captured(name).splitlines()[0])
    restored = restore(restore_settings(head["settings"]), 1, head["state"])
    assert head["state"]["requests"]
    assert orjson.dumps(save(restored)) == orjson.dumps(head["state"])


@pytest.mark.parametrize("name", STATES)
def test_a_transferred_state_is_written_as_it_was_read(name: str) -> None:
    recorded = state_of(name)
    balancer = restore(restore_settings(recorded["settings"]), 1, recorded["state"])
    exported = export_state(balancer)
    learnt = {"plain": "learnt-4321.json", "zones": "learnt-4322.json"}[name]
    file = orjson.loads((RECORDED.parent / "shared-folder" / learnt).read_bytes())
    assert orjson.dumps(exported) == orjson.dumps(file["state"])
    successor = import_state(restore_settings(recorded["settings"]), 2, file["state"])
    again = export_state(successor)
    assert again is not None
    # The successor has a random generator of its own, and no requests whose fields would be listed.
    own = {"random": 0, "request_names": []}
    assert orjson.dumps({**again, **own}) == orjson.dumps({**file["state"], **own})


def test_actions_are_written_alike() -> None:
    assert [encode_action(action) for action in ACTIONS] == list(CODEC["actions"].values())


@pytest.mark.parametrize("recorded", CODEC["events"], ids=lambda recorded: str(recorded)[:60])
def test_events_are_read_and_written_alike(recorded: list[Any]) -> None:
    name, told = recorded
    record = {
        "ev": name, "in": {"servers": [], **told}, "id": "r1", "class": "look", "tenant": "a",
    }  # fmt: skip
    again, told_again = encode_event(decode_event(record))
    assert again == name
    assert orjson.dumps(told_again) == orjson.dumps(told)


def test_entries_of_the_endpoint_list_are_written_alike() -> None:
    servers = [
        server
        for name in CAPTURES
        for line in captured(name).splitlines()[1:]
        for server in json.loads(line)["in"].get("servers", [])
    ]
    assert len(servers) > 20
    for server in servers:
        written = encode_entry(decode_entry(server), server["addr"])
        assert {**written, "started_ns": server["started_ns"]} == server
        assert list(written) == list(server)[:-1]
