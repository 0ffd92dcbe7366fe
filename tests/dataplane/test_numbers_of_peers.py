"""Numbers of clients and of the platform that can't be represented: requests are answered all the same."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from brambleusher.dataplane.instance_entry import InstanceEntry
from brambleusher.wire import settings as settings_reader
from brambleusher.wire.errors import InvalidMessageError, InvalidSettingsError
from tests.system.virtual_deployment import VirtualDeployment

LONG, OVERFLOWING = "9" * 5000, "9" * 400
ENTRY: dict[str, object] = {"id": "i", "service": "s", "address": "10.0.0.1:80", "zone": "n1"}
SETTINGS = 'node_name = "g"\nip = "10.0.0.1"\nzone = "n1"\nregion = "n"\nport_range = [1, 2]\n[bounds]\n'


@pytest.fixture(scope="module")
def deployment() -> Iterator[VirtualDeployment]:
    deployment = VirtualDeployment(gateways=1)
    deployment.add_instance("a")
    deployment.served()
    deployment.sleep(6.0)
    yield deployment
    deployment.close()


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("X-Deadline-Remaining", OVERFLOWING),
        ("X-Deadline-Remaining", LONG),
        ("X-Prompt-Prefix", f"a:{LONG},b:1"),
        ("Last-Event-Id", LONG),
    ],
)
def test_a_number_that_can_not_be_read_costs_no_answer(
    deployment: VirtualDeployment, name: str, value: str
) -> None:
    """Guards against a connection that is closed without an answer, as its task has failed."""
    reply = deployment.request("g1", attempt=f"{name} {len(value)}", headers={name: value})
    assert (reply.status, reply.is_complete) == (200, True)


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "1e999", 10**400], ids=lambda value: str(value)[:5])
@pytest.mark.parametrize("key", ["capacity", "warmup_ms"])
def test_a_figure_of_the_list_that_is_not_finite_is_an_error(key: str, value: object) -> None:
    with pytest.raises(InvalidMessageError, match=f"{key} is not"):
        InstanceEntry.from_json({**ENTRY, key: value})


@pytest.mark.parametrize("value", ["nan", "inf", "-inf"])
def test_a_bound_of_the_settings_that_is_not_finite_is_an_error(value: str) -> None:
    with pytest.raises(InvalidSettingsError, match=r"bounds\.grace_s"):
        settings_reader.parse(f"{SETTINGS}grace_s = {value}\n", "local.toml")
