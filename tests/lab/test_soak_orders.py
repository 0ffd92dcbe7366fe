"""Tests of the soak's checks of orders on zones and of draining instances."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.lab.soak.order_checks import check_orders
from brambleusher.lab.soak.plan import CALM_START_S, ActionKind, SoakPlanner
from brambleusher.lab.soak.records import (
    AcknowledgedChange,
    DrainStart,
    ProcessEvent,
    ProcessEventKind,
    RequestKind,
    RequestRecord,
    RunRecord,
    SoakRecord,
    ZoneOrder,
)
from brambleusher.lab.soak.settings import SoakSettings

USED = "evacuated-zone-used"


def record(begun_s: float, orders: list[ZoneOrder], gateway: str = "gateway-1", **run: Any) -> SoakRecord:
    """Return a record of one run in the zone n1, whose gateway has run from the start."""
    return SoakRecord(
        requests=[RequestRecord("a", RequestKind.READ, gateway, begun_s - 0.1)],
        runs=[RunRecord("a", "i", begun_s, zone="n1", incarnation="i.1", **run)],
        processes=[ProcessEvent(gateway, 0.0, ProcessEventKind.STARTED)],
        zone_orders=orders,
    )


def evacuated(at_s: float = 10.0, is_acknowledged: bool = True) -> ZoneOrder:
    return ZoneOrder("n1", True, at_s - 0.3, at_s, is_acknowledged)


def taken_back(sent_s: float, ended_s: float | None = None) -> ZoneOrder:
    return ZoneOrder("n1", False, sent_s, ended_s, is_acknowledged=True)


def rules(of: SoakRecord) -> list[str]:
    return [violation.rule for violation in check_orders(of)]


@pytest.mark.parametrize(
    ("begun_s", "orders", "is_broken"),
    [
        (15.1, [evacuated()], True),
        (14.9, [evacuated()], False),
        (15.1, [evacuated(is_acknowledged=False)], False),
        (15.1, [evacuated(), taken_back(14.0, 14.2)], False),
        (15.1, [evacuated(), taken_back(16.0, 16.2)], True),
        (15.1, [taken_back(9.8, 10.1), evacuated()], False),  # both at the same time
        (15.1, [taken_back(8.0, None), evacuated()], False),  # not over yet
        (15.1, [taken_back(8.0, 9.0), evacuated()], True),
        (15.1, [ZoneOrder("n2", True, 9.7, 10.0, True)], False),
    ],
)
def test_an_evacuated_zone_gets_nothing_after_the_bound(
    begun_s: float, orders: list[ZoneOrder], is_broken: bool
) -> None:
    assert rules(record(begun_s, orders)) == [USED] * is_broken


def test_the_bound_is_longer_while_controllers_change() -> None:
    made = record(15.1, [evacuated()])
    made.processes.append(ProcessEvent("controller-1", 12.0, ProcessEventKind.KILLED))
    assert rules(made) == []
    made.runs[0].begun_s = 21.2
    assert rules(made) == [USED]


def test_only_gateways_in_touch_are_judged() -> None:
    made = record(15.1, [evacuated()])
    made.processes.append(ProcessEvent("gateway-1", 12.0, ProcessEventKind.STARTED))
    assert rules(made) == []
    assert rules(record(15.1, [evacuated()], "sidecar-1")) == []
    assert rules(record(15.1, [evacuated()], is_misdirected=True)) == []


def test_time_in_which_the_soak_stood_still_does_not_count() -> None:
    made = record(15.1, [evacuated()])
    made.own_stalls = [(13.0, 13.2)]
    assert rules(made) == []


@pytest.mark.parametrize(("begun_s", "is_broken"), [(13.9, False), (14.1, True)])
def test_a_draining_instance_gets_nothing_new_after_the_bound(begun_s: float, is_broken: bool) -> None:
    made = record(begun_s, [])
    made.drains = [DrainStart("i.1", 10.0), DrainStart("i.1", 12.0), DrainStart("i.2", 1.0)]
    assert rules(made) == ["draining-used"] * is_broken


@pytest.mark.parametrize(
    ("sent_s", "status", "is_broken"), [(12.4, 404, False), (12.6, 404, True), (12.6, 200, False)]
)
def test_a_route_is_there_after_the_bound(sent_s: float, status: int, is_broken: bool) -> None:
    request = RequestRecord("a", RequestKind.READ, "gateway-1", sent_s, sent_s=sent_s, status=status)
    request.route_revision = 7
    started = ProcessEvent("gateway-1", 0.0, ProcessEventKind.STARTED)
    changes = [AcknowledgedChange(7, 10.0)]
    made = SoakRecord(requests=[request], processes=[started], changes=changes)
    assert rules(made) == ["route-missing"] * is_broken


def test_a_refused_order_is_told() -> None:
    assert rules(SoakRecord(refused_orders=[(1.0, "DELETE n1 got 409")])) == ["order-refused"]


def test_one_zone_is_evacuated_for_longer_than_the_bound_in_each_plan() -> None:
    for seed in range(20):
        settings = SoakSettings(seed)
        zone = settings.zone_names[seed % len(settings.zone_names)]
        plan = [action for action in SoakPlanner(settings).plan() if action.target == zone]
        begun = [action.at_s for action in plan if action.kind is ActionKind.EVACUATE_ZONE]
        ended = [action.at_s for action in plan if action.kind is ActionKind.RESTORE_ZONE]
        assert begun[0] == CALM_START_S
        assert all(end - begin > 6.0 for begin, end in zip(begun, ended, strict=False))
        assert any(action.kind is ActionKind.HOLD_UP_RESTORE for action in plan)
