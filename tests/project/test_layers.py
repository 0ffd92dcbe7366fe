"""Tests that each layer imports only from lower layers."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
ALLOWED: dict[str, tuple[str, ...]] = {
    "brambleusher/loadbalancing": ("brambleusher.loadbalancing",),
    "brambleusher/runtime": ("brambleusher.runtime",),
    "brambleusher/wire": ("brambleusher.wire",),
    "brambleusher/membership": ("brambleusher.membership", "brambleusher.wire", "brambleusher.runtime"),
    "brambleusher/controlplane": (
        "brambleusher.controlplane",
        "brambleusher.membership",
        "brambleusher.wire",
        "brambleusher.runtime",
    ),
    "brambleusher/dataplane": (
        "brambleusher.dataplane",
        "brambleusher.membership",
        "brambleusher.wire",
        "brambleusher.runtime",
        "brambleusher.loadbalancing",
    ),
    "brambleusher/gateway": (
        "brambleusher.gateway",
        "brambleusher.dataplane",
        "brambleusher.membership",
        "brambleusher.wire",
        "brambleusher.runtime",
        "brambleusher.observability.prometheus_text",
    ),
    "brambleusher/controller": (
        "brambleusher.controller",
        "brambleusher.controlplane",
        "brambleusher.membership",
        "brambleusher.wire",
        "brambleusher.runtime",
        "brambleusher.observability.log_format",
    ),
}


def imported_modules(path: Path) -> set[str]:
    """Return the modules of this project that a file imports, also within functions."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return {name for name in names if name.split(".")[0] == "brambleusher"}


@pytest.mark.parametrize("layer", ALLOWED)
def test_imports_point_down(layer: str) -> None:
    layer_path = ROOT / layer
    files = sorted(layer_path.rglob("*.py")) if layer_path.is_dir() else [layer_path]
    assert files
    for path in files:
        for name in imported_modules(path):
            is_allowed = any(name == allowed or name.startswith(f"{allowed}.") for allowed in ALLOWED[layer])
            assert is_allowed, f"{path.relative_to(ROOT)} imports {name}"


def test_the_check_sees_an_import_that_points_up(tmp_path: Path) -> None:
    path = tmp_path / "module.py"
    path.write_text("def late():\n    from brambleusher.gateway.app import Gateway\n    return Gateway\n")
    assert imported_modules(path) == {"brambleusher.gateway.app"}
