"""The identity of a build in the log of a process."""

from __future__ import annotations

import os
import py_compile
from pathlib import Path

import pytest

from brambleusher.runtime.build_identity import UNKNOWN_BUILD, digest_of_sources, read_build_id, record_build


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


def test_bytecode_of_other_sources_does_not_outlive_a_build(tmp_path: Path) -> None:
    """Guards against a program that is not the one that was built, as times and sizes are equal."""
    package = package_with(tmp_path / "package", one="x = 1")
    path = tmp_path / "target" / "build-id"
    record_build(package, path)
    first = read_build_id(path)
    py_compile.compile(str(package / "one.py"))
    stat = (package / "one.py").stat()
    (package / "one.py").write_text("x = 2")
    os.utime(package / "one.py", ns=(stat.st_atime_ns, stat.st_mtime_ns))
    record_build(package, path)
    assert not list(package.rglob("*.pyc"))
    assert read_build_id(path) not in (first, UNKNOWN_BUILD)


def test_a_build_of_the_same_sources_keeps_their_bytecode(tmp_path: Path) -> None:
    package = package_with(tmp_path / "package", one="x = 1")
    path = tmp_path / "target" / "build-id"
    record_build(package, path)
    written_ns = path.stat().st_mtime_ns
    py_compile.compile(str(package / "one.py"))
    record_build(package, path)
    assert len(list(package.rglob("*.pyc"))) == 1
    assert path.stat().st_mtime_ns == written_ns


def test_a_process_that_was_not_built_has_no_identity(tmp_path: Path) -> None:
    assert read_build_id(tmp_path / "build-id") == UNKNOWN_BUILD
