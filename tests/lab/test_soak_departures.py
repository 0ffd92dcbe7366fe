"""Tests of departures in a soak: the state of the request, the time its runs continued, and overlaps."""

from __future__ import annotations

import pytest

from brambleusher.lab.soak.coincidences import Coincidences, all_pairs
from brambleusher.lab.soak.departures import DepartedState, DepartureTimes, departures
from brambleusher.lab.soak.plan import CHANGES, INSTANCE_FAULTS, TRIPLES, SoakPlanner
from brambleusher.lab.soak.records import (
    ChangeEvent,
    ClientAct,
    InstanceFaultInterval,
    RequestKind,
    RequestOutcome,
    RequestRecord,
    RunOutcome,
    RunRecord,
    SoakRecord,
)
from brambleusher.lab.soak.settings import SoakSettings

LEFT_S = 10.5


def left(kind: RequestKind = RequestKind.STREAM, act: ClientAct = ClientAct.CLOSE) -> RequestRecord:
    return RequestRecord("a", kind, "gateway-1", 10.0, False, 10.0, LEFT_S, RequestOutcome.LEFT, act=act)


def run(begun_s: float, ended_s: float, head_s: float | None = None, **given: object) -> RunRecord:
    made = RunRecord("a", "i", begun_s, ended_s, RunOutcome.CANCELLED, head_s)
    for name, value in given.items():
        setattr(made, name, value)
    return made


@pytest.mark.parametrize(
    ("runs", "state", "continued_s"),
    [
        ([], DepartedState.NOT_STARTED, 0.0),
        ([run(10.7, 10.8)], DepartedState.NOT_STARTED, 0.3),
        ([run(10.1, 10.6)], DepartedState.WAITING, 0.1),
        ([run(10.1, 10.6, 10.2)], DepartedState.STREAMING, 0.1),
        ([run(10.1, 10.9, 10.6)], DepartedState.WAITING, 0.4),
        ([run(10.1, 10.3)], DepartedState.BETWEEN_ATTEMPTS, 0.0),
        ([run(10.1, 10.3, 10.2), run(10.4, 10.6, 10.45, is_resumed=True)], DepartedState.RESUMING, 0.1),
    ],
)
def test_a_departure_has_a_state_and_a_time(
    runs: list[RunRecord], state: DepartedState, continued_s: float
) -> None:
    (found,) = departures(SoakRecord([left()], runs))
    assert found.state is state
    assert found.continued_s == pytest.approx(continued_s)


def test_a_request_that_is_finished_alone_counts_how_late_its_runs_begin() -> None:
    """For a notice, only the start of its runs counts, since it is finished without its client.

    In the soaks with seeds 9501 and 9545 a notice was sent at the moment when its client left, and ran for
    2.6 s.
    """
    notice = left(RequestKind.NOTICE)
    (found,) = departures(SoakRecord([notice], [run(10.1, 13.0)]))
    assert found.continued_s == 0.0
    (found,) = departures(SoakRecord([notice], [run(10.501, 13.1)]))
    assert found.continued_s == pytest.approx(0.001)
    (found,) = departures(SoakRecord([notice], [run(11.2, 11.3)]))
    assert found.continued_s == pytest.approx(0.7)


def test_times_are_told_by_program_and_state() -> None:
    times = DepartureTimes()
    times.add(departures(SoakRecord([left()], [run(10.1, 10.6)])))
    times.add(departures(SoakRecord([left()], [run(10.1, 10.8)])))
    head, row = times.rows()
    assert "p99 ms" in head
    assert row.split()[:1] + row.split()[-4:] == ["gateway", "2", "100.0", "300.0", "300.0"]


def test_overlaps_are_counted_by_pairs() -> None:
    record = SoakRecord([left(act=ClientAct.HALF_CLOSE)], [run(10.1, 10.6)])
    record.fault_intervals = [InstanceFaultInterval("i", "hang_instance", 8.0, 9.6)]
    record.change_events = [ChangeEvent("kill", 11.4), ChangeEvent("reload", 12.0)]
    seen = Coincidences()
    seen.add(record)
    assert dict(seen.counts) == {("hang_instance", "half-close"): 1, ("half-close", "kill"): 1}
    assert dict(seen.checked_counts) == dict(seen.counts)
    assert seen.rarest()[1] == 0
    assert ("half-close", "kill") not in seen.never_checked()
    assert ("close", "kill") in seen.never_checked()
    assert any("1 (1)" in row for row in seen.rows())


def test_every_pair_is_planned_by_a_range_of_seeds() -> None:
    assert len(set(TRIPLES)) == len(TRIPLES) == len(INSTANCE_FAULTS) * len(ClientAct) * len(CHANGES)
    assert len(list(all_pairs())) == len(INSTANCE_FAULTS) * len(ClientAct) + len(CHANGES) * (
        len(INSTANCE_FAULTS) + len(ClientAct)
    )
    planned = {
        (action.kind, action.target)
        for seed in range(4)
        for action in SoakPlanner(SoakSettings(seed, 30.0)).plan()
    }
    assert {kind for kind, _ in planned} >= {*INSTANCE_FAULTS, *CHANGES}
    assert {target for _, target in planned} >= set(ClientAct)
