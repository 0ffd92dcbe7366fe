"""Tests of the configuration store: parts of a response, and the count of gateways that divide budgets."""

from __future__ import annotations

import random
from typing import Any

import pytest

from brambleusher.dataplane.configuration_store import COUNT_WINDOW_S, ConfigurationStore, GatewayCount
from brambleusher.dataplane.long_poll_messages import LongPollResponse
from brambleusher.membership.controllers import Controllers, Locality
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.packing import pack
from tests.dataplane.dataplane_builders import entry, instances
from tests.system.virtual_deployment import configuration

READABLE = configuration(1)


@pytest.fixture
def store() -> ConfigurationStore:
    rng = random.Random(1)
    controllers = Controllers(("10.1.0.1:7720",), rng, Locality())
    return ConfigurationStore(Scheduler(RealSystem()), controllers, instances(), lambda _: None)


def response(
    index: int,
    packed: str = "",
    evacuated: list[str] | None = None,
    listed: list[dict[str, Any]] | None = None,
    gateways: int = 1,
) -> LongPollResponse:
    data: dict[str, Any] = {
        "index": index,
        "contact": True,
        "gateways": gateways,
        "rank": 0,
        "controllers": [],
        "source": "c1",
        "version": index,
        "age_ms": 0,
        "packed": packed,
        "evacuated": evacuated or [],
    }
    if listed is not None:
        data["instances"] = listed
    return LongPollResponse.from_json(data)


def test_the_largest_count_of_the_window_is_used() -> None:
    count = GatewayCount()
    assert count.record(8, 0.0) == 8.0
    assert count.record(3, 5.0) == 8.0
    assert count.record(3, COUNT_WINDOW_S - 1.0) == 8.0
    assert count.record(3, COUNT_WINDOW_S) == 3.0


def test_there_is_at_least_one_gateway() -> None:
    assert GatewayCount().record(0, 0.0) == 1.0


def test_a_part_that_cannot_be_applied_holds_up_no_other(store: ConfigurationStore) -> None:
    """Guards against evacuations and instances that wait for ever behind an unreadable configuration."""
    deep = b'{"revision": 2, "routes": [], "services": [], "x": %b%b}' % (b"[" * 300, b"]" * 300)
    store.apply(response(1, packed=pack(READABLE), listed=[entry("a")]), confirms_list=False)
    assert store.routes is not None
    assert store.routes.revision == 1
    store.apply(response(2, packed=pack(deep), evacuated=["n1"]), confirms_list=False)
    assert (store.state_index, store.routes.revision) == (2, 1)
    assert store._instances.evacuated_zones == {"n1"}
    with pytest.raises(InvalidMessageError):
        store.apply(response(3, packed="not packed", listed=[{}], gateways=7), confirms_list=False)
    assert (store.state_index, store._instances.gateway_count) == (2, 7.0)
    assert store.failed_parts == {"configuration": 1, "state": 1, "instances": 1, "fleet": 0}
    store.apply(response(4, packed=pack(b"\xef\xbb\xbf" + READABLE)), confirms_list=False)
    assert (store.state_index, store.failed_parts["configuration"]) == (4, 1)
