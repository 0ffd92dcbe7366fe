"""Tests of the machine model of a stand-in node: times of job starts and ends, warm-up and load reports."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest

from brambleusher.lab.stand_ins.machine import Job, Machine
from brambleusher.lab.stand_ins.settings import NodeSettings


class Bench:
    """A machine, with the start and finish time of each job."""

    def __init__(self, cold: bool = False, **settings: Any) -> None:
        given = {"cores": 1, "speed": 1.0, "thrash": 0.0, "report_noise": 0.0, **settings}
        self.machine = Machine(NodeSettings(**given), random.Random(1), 0.0, cold)
        self.begun: dict[str, float] = {}
        self.done: dict[str, float] = {}
        self.jobs: dict[str, Job] = {}

    def add(self, name: str, work: float, at: float) -> None:
        def begun(now: float) -> bool:
            self.begun[name] = now
            return True

        def done(now: float) -> None:
            self.done[name] = now

        self.jobs[name] = Job(work, begun, done)
        self.machine.add(self.jobs[name], at)

    def run(self, until: float = 1000.0) -> dict[str, float]:
        """Advance as a node's timer would, and return the finish time of each job."""
        while (at := self.machine.next_at()) is not None and at <= until:
            self.machine.advance(at)
        self.machine.advance(until)
        return {name: round(at, 6) for name, at in self.done.items()}


@pytest.mark.parametrize(
    ("settings", "jobs", "done"),
    [
        ({}, [("a", 0.5, 1.0)], {"a": 1.5}),
        ({"speed": 2.0}, [("a", 0.5, 1.0)], {"a": 1.25}),
        # One core with one slot runs the jobs one after the other.
        ({}, [("a", 0.5, 0.0), ("b", 0.2, 0.1)], {"a": 0.5, "b": 0.7}),
        ({"cores": 2}, [("a", 0.5, 0.0), ("b", 0.2, 0.1)], {"a": 0.5, "b": 0.3}),
        # Two jobs in the slots of one core run at half speed, and the last one then at full speed.
        ({"slots_per_core": 2}, [("a", 0.5, 0.0), ("b", 0.2, 0.0)], {"b": 0.4, "a": 0.7}),
        # With three jobs and a thrashing threshold of one, work takes 1 + 0.5 * 2 times as long.
        (
            {"thrash": 0.5, "thrash_at": 1.0},
            [("a", 0.2, 0.0), ("b", 0.2, 0.0), ("c", 0.2, 0.0)],
            {"a": 0.4, "b": 0.7, "c": 0.9},
        ),
    ],
)
def test_jobs_are_done(
    settings: dict[str, Any], jobs: list[tuple[str, float, float]], done: dict[str, float]
) -> None:
    bench = Bench(**settings)
    for job in jobs:
        bench.add(*job)
    assert bench.run() == done


@pytest.mark.parametrize(
    ("burden", "factor"), [({"slow": 3.0}, 3.0), ({"taken": 0.5}, 2.0), ({"tax": 0.2}, 1.25)]
)
def test_a_burden_weighs_from_its_moment_on(burden: dict[str, Any], factor: float) -> None:
    bench = Bench()
    bench.add("a", 1.0, 0.0)
    bench.machine.set_capacity_loss(0.4, **burden)
    assert bench.run() == {"a": round(0.4 + 0.6 * factor, 6)}


def test_a_hung_machine_goes_on_where_it_was() -> None:
    bench = Bench()
    bench.add("a", 1.0, 0.0)
    bench.machine.set_capacity_loss(0.25, hung=True)
    assert bench.machine.next_at() is None
    bench.machine.set_capacity_loss(9.0, hung=False)
    assert bench.run() == {"a": 9.75}


def test_a_dropped_job_makes_room_at_once() -> None:
    bench = Bench()
    for name in "abc":
        bench.add(name, 1.0, 0.0)
    assert bench.machine.drop(bench.jobs["b"], 0.1)
    assert bench.machine.drop(bench.jobs["a"], 0.2)
    assert not bench.machine.drop(bench.jobs["a"], 0.3)
    assert bench.run() == {"c": 1.2} and "b" not in bench.begun


def test_the_waiting_room_is_bounded() -> None:
    bench = Bench(queue_per_core=2)
    for name in "abc":
        assert not bench.machine.is_full
        bench.add(name, 1.0, 0.0)
    assert bench.machine.is_full and bench.machine.job_count == 3


@pytest.mark.parametrize("warm_by", ["time", "work"])
def test_a_cold_machine_warms_up(warm_by: str) -> None:
    bench = Bench(cold=True, cold_from=0.25, cold_s=8.0, warm_by=warm_by, warm_work=0.25, falls=False)
    assert bench.machine.capacity == 0.25
    idle = Bench(cold=True, cold_from=0.25, cold_s=8.0, warm_by=warm_by, falls=False)
    idle.machine.advance(4.0)
    assert idle.machine.capacity == pytest.approx(0.25 + 0.75 / 2, abs=0.05)  # at least linear in time
    for number in range(90):
        bench.add(f"j{number}", 0.1, 0.0)
    bench.run(6.0)
    assert bench.machine.is_cold == (warm_by == "time")  # 2 s of work complete the warm-up
    bench.run(9.0)
    idle.machine.advance(9.0)
    assert bench.machine.capacity == idle.machine.capacity == 1.0


def test_too_much_work_brings_a_cold_machine_down() -> None:
    bench = Bench(cold=True, cold_from=0.5, cold_s=10.0, fall_multiple=2.0, fall_s=1.0)
    for number in range(9):  # 0.9 s of work in a window with a limit of 2 * 0.5 * 1 s
        bench.add(f"a{number}", 0.1, 0.01 * number)
    assert bench.machine.fell_at is None
    bench.machine.record_rejected(0.2, 0.5)  # within the allowance for random variation
    assert bench.machine.fell_at is None
    bench.machine.record_rejected(0.3, 0.5)  # rejected requests count toward overload too
    assert bench.machine.fell_at == 0.5
    warm = Bench(fall_multiple=2.0, fall_s=1.0)
    for number in range(50):
        warm.add(f"a{number}", 1.0, 0.0)
    assert warm.machine.fell_at is None


def test_reports_are_late_and_tell_what_was() -> None:
    bench = Bench(cores=2, report_period_s=1.0, report_delay_s=0.25)
    for number in range(30):
        bench.add(f"a{number}", 0.1, 0.0)
    bench.run(3.0)
    first = bench.machine.report(10.0)
    assert first is not None and first.seen_at == first.at + 0.25
    before, whole = [report for report in bench.machine._reports if report.at < 2.0][:2]
    done = sum(before.at < at <= whole.at for at in bench.done.values())
    assert whole.throughput == done / (whole.at - before.at) > 0
    assert math.isclose(whole.utilization, (1.5 - before.at) / (whole.at - before.at))
    seen = bench.machine.report(whole.seen_at)
    assert seen is not None and seen.at == whole.at
    assert bench.machine.report(whole.seen_at - 0.001) == before
    assert bench.machine.report(whole.seen_at, delay=50.0) is None
