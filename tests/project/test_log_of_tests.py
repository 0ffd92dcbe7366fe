"""Tests that a test which configures logging does not affect later tests."""

from __future__ import annotations

import logging

from brambleusher.observability import log_format as logs
from tests import conftest


def test_the_log_is_put_back() -> None:
    log = logging.getLogger("brambleusher")
    before = (list(log.handlers), log.level, log.propagate)
    fixture = conftest.log_as_it_was.__wrapped__()  # type: ignore[attr-defined]
    next(fixture)
    logs.configure(level=logging.DEBUG)
    assert (list(log.handlers), log.level, log.propagate) != before
    next(fixture, None)
    assert (list(log.handlers), log.level, log.propagate) == before
