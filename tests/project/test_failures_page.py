"""Tests that docs/design/control-plane-failures.md names only existing tests."""

from __future__ import annotations

import re
from pathlib import Path

PAGE = Path("docs/design/control-plane-failures.md")
SHORT = {
    "F": "tests/system/test_control_plane_faults.py",
    "L": "tests/controlplane/consensus/test_consensus_losses.py",
    "H": "tests/system/test_held_up_orders.py",
    "C": "tests/controlplane/consensus/test_consensus.py",
}
NAMED = re.compile(r"`([\w/.]+)::(\w+)`")


def test_each_test_that_the_page_names_is_there() -> None:
    named = NAMED.findall(PAGE.read_text())
    assert len(named) > 20
    for file, test in named:
        path = Path(SHORT.get(file, file))
        assert f"def {test}(" in path.read_text(), f"{path}::{test}"
