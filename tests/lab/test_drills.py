"""Drills with real sidecar processes behind relays, and the same drills in virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from brambleusher.lab.faults import kinds as faults
from brambleusher.lab.processes.drill import Drill, DrillError, play, read_drill

DRILLS = Path(__file__).parents[2] / "drills"


SMALL = Drill(sidecars=4, nodes=8, requests_per_s=30.0, after_s=2.0)


def small(*faults: Any, **more: Any) -> Drill:
    """Return a drill that takes a few seconds."""
    return msgspec.structs.replace(SMALL, faults=faults, **more)


def test_a_zone_is_cut_between_four_processes() -> None:
    """Relays block all links of a zone; no rule is broken, and nodes in other zones serve."""
    drill = small(faults.ZonePartition(at_s=0.5, for_s=1.5, target="atl-north"))
    outcome = play(drill, "processes")
    problems = [*outcome.late, *outcome.missed, *map(str, outcome.breaches[:3])]
    assert outcome.verdict == "ok" and outcome.served > 0.8, "\n".join(problems)
    assert outcome.asked > 80 and outcome.opened > 20
    curves = {curve.name: curve for curve in outcome.curves}
    assert 0 < curves["held"].highest <= 1 and 0 < curves["descriptors"].highest < 1
    assert min(curves["MB"].values[2:-2]) > 10  # memory was sampled in each second


def test_memory_that_only_grows_passes_its_limit() -> None:
    """A memory leak does not show in responses; it must be found by sampling the processes' memory."""
    many = faults.MisbehavingClients(at_s=0.3, for_s=1.5, what="silent", count=30)
    outcome = play(small(many, sidecars=2), "processes", mutation="memory-kept")
    assert [text for text in outcome.missed if text.startswith("limit passed: MB")], outcome.missed


@pytest.mark.parametrize(
    ("name", "fault", "rules"),
    [  # only the first of these mutations can also be found in virtual time
        ("unread-ones-served", faults.SidecarPaused(at_s=0.3, for_s=2.5), {"for-nobody"}),
        ("lost-in-accept", faults.SidecarPaused(at_s=0.5, for_s=1.2), {"left-over"}),
        (
            "accept-blocks",
            faults.MisbehavingClients(at_s=0.3, for_s=1.5, what="silent", count=4),
            {"answer", "bad-client"},
        ),
    ],
)
def test_breakages_are_caught_by_real_processes(name: str, fault: Any, rules: set[str]) -> None:
    """A drill that passes without a mutation must break the expected rule with it."""
    outcome = play(small(fault, sidecars=2), "processes", mutation=name)
    assert {breach.rule for breach in outcome.breaches} & rules, outcome.late


def test_what_waited_for_a_stopped_process_is_served_for_those_who_still_wait() -> None:
    """A sidecar that was stopped drops requests of clients that left, and counts the others' waiting time.

    The same drill must pass with real processes and in virtual time.
    """
    for where in ("processes", "virtual"):
        outcome = play(small(faults.SidecarPaused(at_s=0.3, for_s=2.5), sidecars=2), where)
        assert outcome.verdict == "ok", "\n".join([*outcome.late, *map(str, outcome.breaches[:3])])


def test_drills_can_all_be_read() -> None:
    """All drill files are valid; at least six run in both worlds, and at least four have 12 sidecars."""
    drills = [read_drill(path) for path in sorted(DRILLS.glob("*.yaml"))]
    assert len(drills) >= 12 and sum(drill.sidecars >= 12 for drill in drills) >= 4
    assert sum(drill.needs == "both" for drill in drills) >= 6


def test_a_drill_says_what_can_t_be_used(tmp_path: Path) -> None:
    """The error message names the invalid key."""
    for text, named in (
        ("sidecars: 0", "sidecars"),
        ("faults: [{kind: none-such, at_s: 1}]", "faults"),
        ("faults: [{kind: zone-cut, at_s: 1, for_s: 1, target: nowhere}]", "'nowhere'"),
        ("world: {nothing: 1}", "nothing"),
        ("{", "not YAML"),
    ):
        path = tmp_path / "drill.yaml"
        path.write_text(text)
        with pytest.raises(DrillError, match=named):
            read_drill(path)


def test_expectations_that_are_not_kept_are_told() -> None:
    """A drill fails if expectations are not met, even if no rule is broken."""
    drill = Drill(sidecars=2, nodes=3, requests_per_s=20.0, length_s=2.0)
    strict = msgspec.convert({"served": 1.0, "refused": 0.0, "well_s": 0.0}, type(drill.expect))
    overloaded = msgspec.structs.replace(drill, load=6.0, expect=strict)
    outcome = play(overloaded, "virtual")
    assert outcome.verdict == "FAILED" and not outcome.breaches
    assert any("expected" in text for text in outcome.missed)
