"""The module stays short enough to be read and signed in an hour."""

from pathlib import Path

from quillpass import balance


def test_module_size() -> None:
    lines = Path(balance.__file__).read_text(encoding="utf-8").splitlines()
    assert len([line for line in lines if line.strip()]) <= 810
    assert max(map(len, lines)) <= 110
