"""Tests that withdrawn terms do not occur in the listed sources."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PATHS = (
    "brambleusher/loadbalancing",
    "brambleusher/admin",
    "brambleusher/net",
    "brambleusher/runtime",
    "brambleusher/decisions/balancer_driver.py",
    "brambleusher/sidecar/app.py",
    "brambleusher/wire",
    "brambleusher/membership",
    "brambleusher/controlplane",
    "brambleusher/dataplane",
    "brambleusher/gateway",
    "brambleusher/controller",
)
WITHDRAWN = ("submitter", "execute.?node", "machine.?list", "requeue.?notice", r"\bbells?\b", r"\bdoors?\b")
# Counters keep the names that operators use, and `bell` is a message name of the simulator protocol.
EXEMPT_NAMES = ("submitters_closed_silent", "submitters_closed", "submitters_told_to_close", '"bell"')


def sources() -> list[Path]:
    found: list[Path] = []
    for path in PATHS:
        where = ROOT / path
        found += sorted(where.rglob("*.py")) if where.is_dir() else [where]
    return found


@pytest.mark.parametrize("term", WITHDRAWN)
def test_a_withdrawn_term_is_gone(term: str) -> None:
    files = sources()
    assert len(files) > 30
    for path in files:
        text = path.read_text(encoding="utf-8")
        for name in EXEMPT_NAMES:
            text = text.replace(name, "")
        found = re.search(term, text, re.IGNORECASE)
        assert found is None, f"{path.relative_to(ROOT)}: {found and found[0]}"
