"""The identity of a build in the log of a process."""

from __future__ import annotations

from pathlib import Path

import pytest

from brambleusher.runtime.build_identity import UNKNOWN_BUILD, digest_of_sources, read_build_id


def package_with(folder: Path, **modules: str) -> Path:
    folder.mkdir()
    for name, text in modules.items():
        (folder / f"{name}.py").write_text(text)
    return folder


def test_equal_sources_have_one_identity_and_others_another(tmp_path: Path) -> None:
    packages = [
        package_with(tmp_path / "a", one="x = 1", two="y = 2"),
        package_with(tmp_path / "b", two="y = 2", one="x = 1"),
        package_with(tmp_path / "c", one="x = 2", two="y = 2"),
        package_with(tmp_path / "d", one="x = 1", three="y = 2"),
    ]
    identities = [digest_of_sources(package) for package in packages]
    assert identities[0] == identities[1]
    assert len(set(identities)) == 3


@pytest.mark.parametrize(
    ("content", "identity"), [(b"0123abcd\n", "0123abcd"), (b"", UNKNOWN_BUILD), (b"\xff", UNKNOWN_BUILD)]
)
def test_the_identity_that_the_build_wrote_is_read(tmp_path: Path, content: bytes, identity: str) -> None:
    path = tmp_path / "build-id"
    path.write_bytes(content)
    assert read_build_id(path) == identity


def test_a_process_that_was_not_built_has_no_identity(tmp_path: Path) -> None:
    assert read_build_id(tmp_path / "build-id") == UNKNOWN_BUILD
