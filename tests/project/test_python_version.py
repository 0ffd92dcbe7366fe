"""Tests that an unsupported interpreter is rejected with a one-line message."""

from __future__ import annotations

import pytest

import brambleusher


@pytest.mark.parametrize("version", [(3, 11), (3, 11, 2), (3, 14, 0), (4, 0)])
def test_new_enough_interpreters_do(version: tuple[int, ...]) -> None:
    assert brambleusher.python_version_error(version) is None


@pytest.mark.parametrize("version", [(3, 10, 14), (3, 6, 1)])
def test_an_old_interpreter_is_told_both_versions(version: tuple[int, ...]) -> None:
    error = brambleusher.python_version_error(version)
    assert error == f"brambleusher: Python 3.11 or newer is needed, this is {version[0]}.{version[1]}"


def test_a_program_ends_with_that_line_and_a_library_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sys.version_info", (3, 9, 1))
    monkeypatch.setattr("sys.argv", ["-m"])
    with pytest.raises(SystemExit, match="Python 3.11 or newer"):
        brambleusher._check_python()
    monkeypatch.setattr("sys.argv", ["program.py"])
    with pytest.raises(ImportError, match="Python 3.11 or newer"):
        brambleusher._check_python()
