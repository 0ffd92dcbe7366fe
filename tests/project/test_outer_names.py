"""Guards outer names against renaming, so that clients, peers and stored data keep working."""

from __future__ import annotations

import ast

from tests.project.outer_names import LIST, ROOT, collect, collect_all, encoded_classes, listed

LEAST_NAMES = 2000


def test_each_outer_name_is_still_in_the_code() -> None:
    names = listed()
    assert len(names) == len(set(names)) >= LEAST_NAMES
    found = collect_all()
    assert [name for name in names if name not in found] == []


def test_the_collector_sees_a_key_that_was_renamed() -> None:
    path = ROOT / "brambleusher" / "wire" / "policy.py"
    fields = {
        line.target.id
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.ClassDef) and node.name == "Policy"
        for line in node.body
        if isinstance(line, ast.AnnAssign) and isinstance(line.target, ast.Name)
    }
    assert fields
    assert fields <= collect(path, encoded_classes())
    assert fields <= set(listed()), f"{LIST} lacks keys of the policy file"
