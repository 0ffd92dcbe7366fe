"""Tests that the checker is independent of the program that it checks."""

from __future__ import annotations

import ast
from pathlib import Path

from brambleusher.lab import checker


def test_the_checker_shares_no_code_with_the_program() -> None:
    folder = Path(checker.__file__).parent
    for path in sorted(folder.glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            names += [each.name for each in node.names] if isinstance(node, ast.Import) else []
            ours = [name for name in names if name.partition(".")[0] in ("brambleusher",)]
            shared = [name for name in ours if not name.startswith("brambleusher.lab.checker")]
            # `rerun` may import the program's replay, because it checks that replay.
            assert shared == (["brambleusher.features.replay"] if path.name == "rerun.py" and shared else [])
