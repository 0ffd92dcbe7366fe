"""Tests that docs/design/waits.md lists every place where a task waits."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "design" / "waits.md"
PACKAGES = (
    "dataplane",
    "gateway",
    "net",
    "decisions",
    "sidecar",
    "admin",
    "controlplane",
    "membership",
    "controller",
)
MODULES = (
    "acceptor",
    "h11_messages",
    "http_client",
    "http_server",
    "streams",
    "disconnect_watch",
)  # modules of `runtime` whose waits are listed
WAITS = frozenset({"checkpoint", "park", "receive", "sleep", "yield_now", "yield_until_idle"})
ROW = re.compile(r"^\| `([\w/]+\.py)` `([\w.]+)` \|", re.MULTILINE)


def is_wait(call: ast.Call) -> bool:
    """Return whether a call may park a task, by the method names of scheduler and streams."""
    called = call.func
    if not isinstance(called, ast.Attribute):
        return False
    is_connect = (
        called.attr == "connect" and isinstance(called.value, ast.Name) and called.value.id == "Stream"
    )
    return called.attr in WAITS or is_connect


def waits_of(path: Path) -> set[tuple[str, str]]:
    """Return the waits of a module, each as its path and the qualified function name."""
    found: set[tuple[str, str]] = set()

    def visit(node: ast.AST, names: list[str]) -> None:
        for child in ast.iter_child_nodes(node):
            inner = names
            if isinstance(child, ast.FunctionDef | ast.ClassDef):
                inner = [*names, child.name]
            if isinstance(child, ast.Call) and is_wait(child):
                found.add((str(path.relative_to(ROOT / "brambleusher")), ".".join(inner)))
            visit(child, inner)

    visit(ast.parse(path.read_text(encoding="utf-8")), [])
    return found


def sources() -> Iterator[Path]:
    """Yield the modules whose waits are listed."""
    for package in PACKAGES:
        yield from sorted((ROOT / "brambleusher" / package).rglob("*.py"))
    for module in MODULES:
        yield ROOT / "brambleusher" / "runtime" / f"{module}.py"


def test_the_page_lists_every_wait_and_no_other() -> None:
    listed = ROW.findall(PAGE.read_text(encoding="utf-8"))
    assert len(listed) == len(set(listed)), "a wait is listed twice"
    found = {wait for path in sources() for wait in waits_of(path)}
    assert sorted(found - set(listed)) == [], "waits that docs/design/waits.md does not list"
    assert sorted(set(listed) - found) == [], "waits that are no more"


@pytest.mark.parametrize(
    ("text", "count"),
    [
        ("def f(self):\n    self._scheduler.park(1.0)", 1),
        ("def f(stream):\n    return stream.receive(None)", 1),
        ("def f():\n    return Stream.connect(s, a, 1.0)", 1),
        ("def f(pool):\n    return pool.connect(a)", 0),
        ("def f(x):\n    return x.parked", 0),
    ],
)
def test_waits_are_found_in_sources(tmp_path: Path, text: str, count: int) -> None:
    calls = [node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.Call)]
    assert sum(is_wait(call) for call in calls) == count
