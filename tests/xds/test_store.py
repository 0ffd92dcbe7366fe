"""Tests of the control service's store."""

from __future__ import annotations

import subprocess
import sys
import textwrap
from pathlib import Path

import pytest

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.xds.store import Store, StoreError
from brambleusher.xds.versions import MacSigner
from tests.xds.control_builders import SIGNER


def test_the_store_keeps_the_highest_place_and_counts_starts(tmp_path: Path) -> None:
    path = str(tmp_path / "s.db")
    for start in (1, 2, 3):
        store = Store(path, SIGNER)
        store.record_start()
        assert store.starts == start and store.floor == (None if start == 1 else ViewPosition(1, start + 5))
        store.write(ViewPosition(1, 6 + start))
        store.write(ViewPosition(1, 2))
        store.close()


@pytest.mark.parametrize("damage", ["torn", "not a database", "another's row", "empty"])
def test_a_store_that_cannot_be_read_is_put_aside(tmp_path: Path, damage: str) -> None:
    path = tmp_path / "s.db"
    store = Store(str(path), SIGNER if damage != "another's row" else MacSigner(b"another secret, as long"))
    store.write(ViewPosition(1, 9))
    store.close()
    whole = path.read_bytes()
    if damage == "torn":
        path.write_bytes(whole[: len(whole) // 2 + 100])
    elif damage == "not a database":
        path.write_bytes(b"\0" * 100 + whole[::-1])
    elif damage == "empty":
        path.write_bytes(b"")
    store = Store(str(path), SIGNER)
    assert store.floor is None and store.had_corrupt_file == (damage != "empty")
    store.write(ViewPosition(1, 10))
    store.close()
    assert Store(str(path), SIGNER).floor == ViewPosition(1, 10)


def test_a_disk_that_is_full_fails_the_write_and_keeps_what_was_there(tmp_path: Path) -> None:
    """Runs in a separate process whose file size is limited, so that writes fail as on a full disk."""
    script = textwrap.dedent("""
        import resource, signal, sys
        from brambleusher.xds.store import Store, StoreError
        from brambleusher.xds.versions import MacSigner
        from brambleusher.loadbalancing.view_consistency import ViewPosition
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        path, signer = sys.argv[1], MacSigner(b"a secret for the tests")
        store = Store(path, signer)
        store.record_start()
        store.write(ViewPosition(1, 1))
        resource.setrlimit(resource.RLIMIT_FSIZE, (100, resource.RLIM_INFINITY))
        try:
            store.write(ViewPosition(1, 2))
        except StoreError:
            print("failed")
        print(tuple(store.floor))
        resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        store.write(ViewPosition(1, 3))
        print(tuple(store.floor))
    """)
    done = subprocess.run(
        [sys.executable, "-c", script, str(tmp_path / "s.db")],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert done.stdout.split("\n")[:3] == ["failed", "(1, 1)", "(1, 3)"]
    assert Store(str(tmp_path / "s.db"), SIGNER).floor == ViewPosition(1, 3)


def test_writes_fail_alone(tmp_path: Path) -> None:
    store = Store(str(tmp_path / "s.db"), SIGNER)
    store.write(ViewPosition(1, 1))
    store.close()
    with pytest.raises(StoreError):
        store.write(ViewPosition(1, 2))
