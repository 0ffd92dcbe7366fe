"""Simulator adapter: translation of lines to events and of actions to lines."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.settings import SettingsError, parse_settings
from brambleusher.loadbalancing.simulator_adapter import (
    Adapter,
    SimulatorLineError,
    format_action,
    parse_report,
)

SETUP: dict[str, Any] = {
    "zone": "z",
    "fleet_size": 2,
    "classes": [
        {"name": "c", "promise_ns": 10**9, "give_up_ns": 2 * 10**9, "effect": "read_like", "worth": 1.0}
    ],
    "safety": {
        "drain_grace_ns": 0,
        "cold_ns": 1,
        "start_capacity": 0.5,
        "fall_multiple": 3.0,
        "fall_ns": 10**9,
    },
    "telemetry": {"names": ["x9", "utilization", "throughput"]},
    "something_new": 1,
}
REGISTER = "register\tlist=0\telements=1\nentry\thost=h:1\tsite=z\tsku=k\tblock=0\tstate=Running\tnominal=1\n"
INIT = f"init\twho=4\tsalt=7\tsetup={json.dumps(SETUP)}\n"
MEMBERS = "backends_changed\twho=4\tgen=1\tlist=0\tscope=SAVED\n"


def talk(*batches: str) -> tuple[list[str], list[str]]:
    notes: list[str] = []
    sink = io.StringIO()
    text = "".join(f"batch\tclock_ns={n + 1}000000\n{body}end\n" for n, body in enumerate(batches))
    Adapter(notes.append).run(io.StringIO(text), sink)
    return sink.getvalue().splitlines(), notes


def test_a_request_is_relayed() -> None:
    demand = "demand\twho=4\top_id=r1\tservice=c\tremaining_ns=1000000000\n"
    lines, _ = talk("", INIT + REGISTER + MEMBERS, demand)
    assert lines[0] == "ready" and lines[-1] == "ready"
    assert "relay\twho=4\top_id=r1\thost=h:1" in lines


def test_halt_forgets_and_unknown_events_are_noted_once() -> None:
    _, notes = talk(INIT + REGISTER + MEMBERS, "novelty\twho=4\n", "novelty\twho=4\n")
    assert notes == ["unknown event 'novelty' is skipped"]
    with pytest.raises(SimulatorLineError, match="instance 4 is unknown"):
        talk(INIT + REGISTER + MEMBERS, "halt\twho=4\n", "bell\twho=4\tkey_back=0\n")


def test_a_malformed_line_is_named() -> None:
    with pytest.raises(SimulatorLineError, match="remaining_ns"):
        talk(INIT + REGISTER + MEMBERS, "demand\twho=4\top_id=r1\tservice=c\n")
    with pytest.raises(SimulatorLineError, match="batch was expected"):
        Adapter(print).run(io.StringIO("hello\n"), io.StringIO())


def test_settings_name_the_key_that_is_wrong() -> None:
    assert parse_settings(json.dumps(SETUP)).fleet_size == 2
    with pytest.raises(SettingsError, match="fleet_size"):
        parse_settings(json.dumps({**SETUP, "fleet_size": 0}))
    with pytest.raises(SettingsError, match="safety.cold_ns"):
        parse_settings(json.dumps({**SETUP, "safety": {"drain_grace_ns": 0}}))
    with pytest.raises(SettingsError, match=r"classes\[c\].effect"):
        parse_settings(json.dumps({**SETUP, "classes": [{"name": "c"}]}))


def test_reports_keep_only_sense() -> None:
    fields = ("utilization", "throughput")
    assert parse_report("0.5,10", fields) == api.LoadReport(0.5, 10.0)
    assert parse_report("nan,-3", fields) == api.LoadReport(None, None)
    assert parse_report("0.5", fields) == api.LoadReport(0.5, None)
    assert parse_report(None, fields) is None


def test_actions_become_lines() -> None:
    assert (
        format_action("1", api.StartAttempt("r", "h", 5))
        == "relay\twho=1\top_id=r\thost=h\tgive_up_after_ns=5"
    )
    assert format_action("1", api.RejectRequest("r", 5)) == "not_now\twho=1\top_id=r\tstay_away_ns=5"
    assert format_action("1", api.FailRequest("r")) == "give_up\twho=1\top_id=r"
    assert format_action("1", api.CancelAttempt("r", 2)) == "abort_attempt\twho=1\top_id=r\tcopy=2"
    assert format_action("1", api.CheckHealth("h")) == "health_check\twho=1\thost=h"
    assert format_action("1", api.SubscribeToEndpoints()) == "observe\twho=1\ton=1"
    assert format_action("1", api.WriteLog("a b")) == "debug\twho=1\twords=a b"
    assert format_action("1", api.SetTimer(3, 4)) == "wake_me\twho=1\ttime_ns=3\tkey_back=4"
