"""Fixtures of the tests with real processes of the system's roles."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.system.real_processes import RoleMachine


@pytest.fixture
def machine(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[RoleMachine]:
    """Return the machine of the role that the test's parameter names; its process is not started."""
    made = RoleMachine(tmp_path, str(request.param))
    yield made
    made.close()
    print(made.log())  # shown where the test has failed
