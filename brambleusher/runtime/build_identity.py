"""The identity of a build, so that a log tells which sources a process runs.

`python3 -m brambleusher.runtime.build_identity`, a step of each build, writes `target/build-id`.
"""

from __future__ import annotations

from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1]
BUILD_ID = PACKAGE.parent / "target" / "build-id"
UNKNOWN_BUILD = "unknown"
DIGITS = 12  # hexadecimal digits of the digest; enough to tell builds apart


def digest_of_sources(package: Path) -> str:
    """Return a digest of the names and contents of all modules of a package.

    Raises:
        OSError: A module can't be read.
    """
    import hashlib  # a process that only reads its identity does without

    digest = hashlib.sha256()
    for path in sorted(package.rglob("*.py")):
        content = path.read_bytes()
        digest.update(b"%b %d\n" % (path.relative_to(package).as_posix().encode(), len(content)))
        digest.update(content)
    return digest.hexdigest()[:DIGITS]


def read_build_id(path: Path = BUILD_ID) -> str:
    """Return the identity that the build wrote, `UNKNOWN_BUILD` if there is none."""
    try:
        return path.read_text(encoding="ascii").strip() or UNKNOWN_BUILD
    except (OSError, UnicodeDecodeError):
        return UNKNOWN_BUILD


def record_build(package: Path, path: Path) -> None:
    """Write the identity of a package's sources, and remove the bytecode of other sources.

    Bytecode counts as that of a source with equal time and size, which the source of an earlier build may
    have too. Where the identity is recorded already, nothing is written.

    Raises:
        OSError: A module can't be read, or the identity or the bytecode can't be replaced.
    """
    identity = digest_of_sources(package)
    if read_build_id(path) == identity:
        return
    for bytecode in package.rglob("*.pyc"):
        bytecode.unlink()
    path.parent.mkdir(exist_ok=True)
    path.write_text(f"{identity}\n", encoding="ascii")


if __name__ == "__main__":
    record_build(PACKAGE, BUILD_ID)
