"""A test that configures the log leaves no trace for the tests after it."""

from __future__ import annotations

import logging

from brambleusher.observability import log_format as logs
from tests import conftest


def test_the_log_is_put_back() -> None:
    log = logging.getLogger("brambleusher")
    before = (list(log.handlers), log.level, log.propagate)
    around = conftest.log_as_it_was.__wrapped__()  # type: ignore[attr-defined]
    next(around)
    logs.configure(level=logging.DEBUG)
    assert (list(log.handlers), log.level, log.propagate) != before
    next(around, None)
    assert (list(log.handlers), log.level, log.propagate) == before
