"""Patches of the configuration: the merged result, and when patches are accepted or rejected."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest

from brambleusher.wire import configuration_patch
from brambleusher.wire.errors import InvalidConfigurationError
from tests.system.virtual_deployment import Reply, VirtualDeployment, configuration, route

BASE = configuration(1, route("/a/"), route("/b/"), route("/c/"))


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    deployment = VirtualDeployment()
    deployment.served(BASE)
    yield deployment
    deployment.close()


Items = dict[str, Any] | None


def patch_body(revision: int, upsert: Items = None, remove: Items = None) -> bytes:
    return json.dumps({"revision": revision, "upsert": upsert or {}, "remove": remove or {}}).encode()


def patch(deployment: VirtualDeployment, core: str, base: int, body: bytes) -> Reply:
    return deployment.control(core, "PATCH", "/api/config", headers={"If-Match": str(base)}, body=body)


def current_configuration(deployment: VirtualDeployment, core: str = "c1") -> Any:
    return json.loads(deployment.control(core, "GET", "/api/config").body)


def names(configuration: Any) -> list[str]:
    return [each["name"] for each in configuration["routes"]]


def test_items_are_added_replaced_in_place_and_removed(deployment: VirtualDeployment) -> None:
    changed = route("/b/", deadline_ms=1234)
    body = patch_body(4, {"routes": [route("/d/"), changed]}, {"routes": ["/a/"]})
    assert patch(deployment, "c2", 1, body).status == 200
    found = current_configuration(deployment)
    assert found["revision"] == 4
    assert names(found) == ["/b/", "/c/", "/d/"]
    assert found["routes"][0] == changed
    assert found["services"] == json.loads(BASE)["services"]
    deployment.sleep(1.0)
    table = deployment.gateways["g1"].routes
    assert table is not None
    assert table.revision == 4


def test_keys_that_this_version_does_not_know_stay(deployment: VirtualDeployment) -> None:
    body = patch_body(2, {"routes": [route("/d/", later={"x": [1]})], "services": [{"name": "new", "y": 2}]})
    assert patch(deployment, "c1", 1, body).status == 200
    assert patch(deployment, "c2", 2, patch_body(3, remove={"routes": ["/a/"]})).status == 200
    found = current_configuration(deployment)
    assert found["routes"][-1]["later"] == {"x": [1]}
    assert found["services"][-1] == {"name": "new", "y": 2}


def test_a_repeated_patch_is_acknowledged_by_any_controller_even_after_others(
    deployment: VirtualDeployment,
) -> None:
    first = patch_body(2, {"routes": [route("/d/")]})
    assert patch(deployment, "c1", 1, first).status == 200
    assert patch(deployment, "c2", 2, patch_body(5, remove={"routes": ["/d/"]})).status == 200
    for core in ("c1", "c2", "c3"):
        assert patch(deployment, core, 1, first).status == 200
    assert current_configuration(deployment)["revision"] == 5
    assert names(current_configuration(deployment)) == ["/a/", "/b/", "/c/"]


def test_a_patch_of_a_lost_patch_is_rejected(deployment: VirtualDeployment) -> None:
    """The patch is based on revision 2, which the operator sent, but which no controller accepted."""
    assert patch(deployment, "c1", 2, patch_body(3, {"routes": [route("/d/")]})).status == 412
    assert current_configuration(deployment) == json.loads(BASE)


def test_a_patch_of_an_outdated_revision_is_rejected_even_if_it_no_longer_fits(
    deployment: VirtualDeployment,
) -> None:
    assert patch(deployment, "c1", 1, patch_body(2, remove={"routes": ["/a/"]})).status == 200
    assert patch(deployment, "c1", 1, patch_body(3, {"routes": [route("/d/")]})).status == 412
    assert patch(deployment, "c1", 1, patch_body(3, remove={"routes": ["/a/"]})).status == 412


def test_two_patches_that_race_on_different_items_have_one_winner(deployment: VirtualDeployment) -> None:
    bodies = [patch_body(3, {"routes": [route("/x/")]}), patch_body(3, {"routes": [route("/y/")]})]
    added = ["/x/", "/y/"][deployment.race_changes("PATCH", 1, bodies)]
    assert names(current_configuration(deployment)) == ["/a/", "/b/", "/c/", added]


def test_an_acknowledged_patch_survives_a_power_loss_of_all(deployment: VirtualDeployment) -> None:
    assert patch(deployment, "c1", 1, patch_body(2, {"routes": [route("/d/")]})).status == 200
    for core in ("c1", "c2", "c3"):
        deployment.power_off(core, nothing_unsynced=True)
    for core in ("c1", "c2", "c3"):
        deployment.power_on(core)
    deployment.wait(lambda: deployment.control("c2", "GET", "/api/config").status == 200)
    assert names(current_configuration(deployment, "c2")) == ["/a/", "/b/", "/c/", "/d/"]


def test_a_patch_without_any_configuration_is_rejected() -> None:
    deployment = VirtualDeployment()
    deployment.wait(lambda: deployment.leader() is not None)
    deployment.wait(lambda: patch(deployment, "c1", 1, patch_body(2)).status == 412)
    deployment.close()


def test_a_body_of_four_megabytes_is_accepted(deployment: VirtualDeployment) -> None:
    services = [{"name": f"s{at}", "note": f"{at}" * 400} for at in range(2400)]
    body = patch_body(2, {"services": services})
    assert 2 * 2**20 < len(body) <= 4 * 2**20
    deployment.wait(lambda: patch(deployment, "c1", 1, body).status == 200)
    assert len(current_configuration(deployment)["services"]) == 2402


INVALID = [
    (b"{", "body"),
    (b"[]", "body"),
    (patch_body(0), "revision"),
    (patch_body(1), "revision"),
    (patch_body(2**60), "revision"),
    (b'{"revision":2,"insert":{}}', "insert"),
    (b'{"revision":2,"upsert":{"limits":[]}}', "upsert.limits"),
    (b'{"revision":2,"upsert":{"routes":{}}}', "upsert.routes"),
    (b'{"revision":2,"upsert":{"routes":[3]}}', "upsert.routes.0"),
    (b'{"revision":2,"upsert":{"routes":[{"host":"h"}]}}', "upsert.routes.0.name"),
    (b'{"revision":2,"upsert":{},"upsert":{}}', "body"),
    (patch_body(2, remove={"routes": ["/nowhere/"]}), "remove.routes.0"),
    (patch_body(2, remove={"routes": [3]}), "remove.routes.0"),
    (patch_body(2, remove={"services": ["llm"]}), "routes.0"),
    (patch_body(2, {"routes": [route("/d/", service="unknown")]}), "routes.3"),
    (patch_body(2, {"routes": [route("/d/", deadline_ms=0)]}), "routes.3.deadline_ms"),
    (patch_body(2, {"routes": [route("/d/", path_prefix="/a/")]}), "routes.3"),
    (patch_body(2, {"routes": [route("/d/"), route("/d/")]}), "upsert.routes.1.name"),
    (patch_body(2, {"routes": [route("/a/")]}, {"routes": ["/a/"]}), "remove.routes.0"),
    (patch_body(2, remove={"routes": ["/a/", "/a/"]}), "remove.routes.1"),
]


@pytest.mark.parametrize(("body", "key"), INVALID, ids=[str(at) for at in range(len(INVALID))])
def test_an_invalid_patch_is_rejected_with_the_reason(
    deployment: VirtualDeployment, body: bytes, key: str
) -> None:
    reply = patch(deployment, "c3", 1, body)
    assert reply.status == 400
    assert key in reply.json()["error"]
    assert current_configuration(deployment) == json.loads(BASE)


def test_a_patch_without_its_base_is_rejected(deployment: VirtualDeployment) -> None:
    reply = deployment.control("c1", "PATCH", "/api/config", body=patch_body(2))
    assert reply.status == 400
    assert "If-Match" in reply.json()["error"]


def test_two_items_of_one_name_are_rejected() -> None:
    with pytest.raises(InvalidConfigurationError, match="stands twice"):
        configuration_patch.read(patch_body(2, {"services": [{"name": "a"}, {"name": "a"}]}))
