"""The command line tools of the system: checks of files that name the invalid key, and the state folder."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from brambleusher import system_main
from brambleusher.controlplane.consensus.outputs import HardState
from brambleusher.controlplane.storage.storage import Storage
from brambleusher.runtime.disk import FolderDisk
from brambleusher.wire.metrics_endpoint import InvalidMetricsEndpointError, MetricsEndpoint
from tests.system.virtual_deployment import SETTINGS, configuration, route

ROOT = Path(__file__).resolve().parents[2]
LISTED = 'build = "x"\npackages = ["python3"]'


def settings_text(**given: str) -> str:
    values = {
        "name": "core-1",
        "serves": '["controller"]',
        "ip": "10.0.0.1",
        "zone": "n1",
        "region": "north",
        "seeds": '["10.0.0.1:1"]',
        "bootstrap": "true",
        "in_force": "[]",
        "zones": "",
        "data_dir": "/data",
        "tolerated": "1",
        "bind": 'control = "10.0.0.1:1"',
    }
    return SETTINGS.format(**{**values, **given})


def test_the_deploy_file_of_this_project_is_complete(capsys: pytest.CaptureFixture[str]) -> None:
    assert system_main.main(["check-deploy", str(ROOT / "deploy" / "system.toml")]) == 0
    assert "3 roles" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("build = 1", "build"),
        ('build = "x"', "packages"),
        ('build = "x"\npackages = []', "packages"),
        ('build = "x"\npackages = "python3"', "packages"),
        ('build = "x"\npackages = ["python3", "Not One"]', "packages: 'Not One'"),
        ('build = "x"\npackages = [3]', "packages: 3"),
        (f'{LISTED}\n[roles.a]\nrun = "x"\non = "edge"\nserves = ["edge"]', "controller, registry"),
        (f'{LISTED}\n[roles.a]\non = "edge"', "roles.a.run"),
        (f'{LISTED}\n[roles.a]\nrun = "x"\non = "edge"\nserves = ["all"]', "roles.a.serves"),
        ("build = ", "Invalid value"),
    ],
)
def test_a_wrong_deploy_file_is_reported_by_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, named: str
) -> None:
    path = tmp_path / "system.toml"
    path.write_text(text)
    assert system_main.main(["check-deploy", str(path)]) == 1
    assert named in capsys.readouterr().err


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (("[7720, 7735]", '"all"'), "port_range"),
        (('node_name = "core-1"', ""), "node_name"),
        (("machines = 1", 'machines = "one"'), "tolerance.machines"),
        (("[bounds]", "[bounds"), "invalid TOML"),
    ],
)
def test_wrong_settings_are_reported_by_file_and_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], change: tuple[str, str], named: str
) -> None:
    path = tmp_path / "local.toml"
    path.write_text(settings_text().replace(*change))
    assert system_main.main(["check-settings", str(path)]) == 1
    message = capsys.readouterr().err
    assert named in message
    assert str(path) in message


def test_settings_with_unknown_keys_are_accepted(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "local.toml"
    path.write_text(settings_text())
    assert system_main.main(["check-settings", str(path)]) == 0
    assert "core-1 serves controller" in capsys.readouterr().out


def test_a_configuration_is_checked(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(configuration(4))
    assert system_main.main(["check-configuration", str(path)]) == 0
    path.write_bytes(configuration(4, route(service="none")))
    assert system_main.main(["check-configuration", str(path)]) == 1
    assert "routes.0: service none is unknown" in capsys.readouterr().err


def test_a_data_folder_is_shown_and_verified(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    disk = FolderDisk(str(tmp_path / "state"))
    storage = Storage(disk)
    storage.recover()
    storage.begin("m1")
    storage.write([HardState(7, "m2")])
    assert system_main.main(["state", str(tmp_path / "state")]) == 0
    shown = capsys.readouterr().out
    assert '"identity": "m1"' in shown
    assert '"term": 7' in shown
    assert system_main.main(["state", str(tmp_path / "none")]) == 1


def test_a_role_without_settings_exits_with_2(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    monkeypatch.delenv(system_main.SETTINGS_VARIABLE, raising=False)
    assert system_main.main(["gateway"]) == 2
    assert system_main.SETTINGS_VARIABLE in capsys.readouterr().err
    monkeypatch.setenv(system_main.SETTINGS_VARIABLE, str(tmp_path / "none.toml"))
    assert system_main.main(["controller"]) == 2
    assert "none.toml" in capsys.readouterr().err


def test_an_unknown_command_exits_with_2(capsys: pytest.CaptureFixture[str]) -> None:
    assert system_main.main(["no-such-tool"]) == 2


def test_a_process_that_does_not_answer_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    assert system_main.main(["status", "nonsense"]) == 1
    assert "nonsense" in capsys.readouterr().err


def test_the_two_lists_of_packages_agree() -> None:
    """The build installs the same packages that the tests use."""
    import tomllib

    listed = (ROOT / "deploy" / "requirements-system.txt").read_text().split()
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert set(listed) <= set(project["optional-dependencies"]["system"] + project["dependencies"])
    assert set(project["optional-dependencies"]["system"]) <= set(listed)


@pytest.mark.parametrize("text", ["9464", "/metrics", "0/metrics", "65536/metrics", "port/metrics", ""])
def test_a_metrics_endpoint_that_is_none_is_named(text: str) -> None:
    with pytest.raises(InvalidMetricsEndpointError, match="is not PORT/PATH"):
        MetricsEndpoint.parse(text)


def test_the_deploy_file_names_the_metrics_endpoint_that_its_gateway_is_started_with() -> None:
    role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
    assert f"--metrics {role['metrics']}" in role["run"]
    assert MetricsEndpoint.parse(role["metrics"]) == MetricsEndpoint(9464, "/metrics")


@pytest.mark.parametrize(
    ("words", "named"), [(["--metrics"], "'--metrics'"), (["--polcy", "x"], "'--polcy'")]
)
def test_a_wrong_option_of_a_gateway_is_named(
    capsys: pytest.CaptureFixture[str], words: list[str], named: str
) -> None:
    assert system_main.main(["gateway", *words]) == 2
    assert named in capsys.readouterr().err
