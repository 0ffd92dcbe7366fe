"""Tests with real processes that an instance that answers without end harms nobody."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.system.endless_deployment import endless_deployment
from tests.system.endless_instance import EndlessForm
from tests.system.real_processes import MEMORY_LIMIT_MB

DEADLINE_S = 1.5
LATENESS_MAX_S = 0.25  # RULES.md, the score: a request held past its deadline by this costs


# Guards against gateways that run out of memory or stand still while an instance sends bytes without end.
@pytest.mark.parametrize(
    ("form", "kind", "status"),
    [
        (EndlessForm.ONE_CHUNK, "mutating", 200),
        (EndlessForm.SMALL_CHUNKS, "mutating", 200),
        (EndlessForm.SMALL_CHUNKS, "streaming", 200),
        (EndlessForm.EVENT_PIECES, "mutating", 500),
        (EndlessForm.EVENT_PIECES, "streaming", 200),
        (EndlessForm.INFORMATIONAL, "mutating", 200),
    ],
)
def test_an_endless_response_harms_nobody(form: EndlessForm, kind: str, status: int, tmp_path: Path) -> None:
    with endless_deployment(tmp_path) as deployment:
        play = deployment.play(form, kind, status, DEADLINE_S)
    assert play.peak_mb < MEMORY_LIMIT_MB
    assert play.sound_s
    assert not play.sound_failures
    for caller in play.callers:
        assert caller.status >= 400 or not caller.is_complete
        assert caller.seconds < DEADLINE_S + LATENESS_MAX_S
