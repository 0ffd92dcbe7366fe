"""Expects the tests listed in KNOWN-RED.txt to fail, and prints them and the number of mutated messages."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from tests.known_red import KnownRedError, known_red


@pytest.fixture(autouse=True)
def log_as_it_was() -> Iterator[None]:
    """Restore the log configuration, as a program started by a test logs to a stream that is closed later."""
    log = logging.getLogger("brambleusher")
    handlers, level, propagate = list(log.handlers), log.level, log.propagate
    yield
    log.handlers[:], log.propagate = handlers, propagate
    log.setLevel(level)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures; in a full run, a missing test is an error."""
    try:
        entries = known_red()
    except KnownRedError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    names = {item.nodeid: item for item in items}
    for entry in entries:
        item = names.get(entry.test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=True))
        elif config.args_source != pytest.Config.ArgsSource.ARGS and not config.option.keyword:
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {entry.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests, and the sum that tests recorded as `mutations_of_one_message`."""
    passed = terminalreporter.stats.get("passed", [])
    counts = [dict(report.user_properties).get("mutations_of_one_message", 0) for report in passed]
    if any(counts):
        terminalreporter.write_line(f"mutations of one message played: {sum(counts)}")
    for entry in known_red():
        terminalreporter.write_line(f"KNOWN-RED {entry.test}: {entry.cause} ({entry.issue})")
