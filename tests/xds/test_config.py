"""Tests of the control service's configuration file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from brambleusher.xds.config import SubscriberGroup, load_control_config, parse_control_config
from brambleusher.xds.errors import ControlError
from tests.rig import SETTINGS
from tests.xds.control_builders import SECRET, config_text, control_config


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
