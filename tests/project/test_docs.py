"""Tests that pages name only existing files and log events that the program writes."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAGES = sorted(
    page
    for page in (ROOT / "README.md", *(ROOT / "docs").rglob("*.md"))
    if "incidents" not in page.parts  # incident reports describe the code at their time
)
PATH = re.compile(r"`((?:brambleusher|tests|benchmarks|deploy|docs|drills)/[\w./-]+)`")
# Matches paths within the package, as in the design pages; `*` stands for several files.
PACKAGES = sorted(path.parent.name for path in (ROOT / "brambleusher").glob("*/__init__.py"))
INNER_PATH = re.compile(rf"`((?:{'|'.join(PACKAGES)})/[\w./*-]+)`")
EVENT = re.compile(r'msg=(?:"([^"]+)"|([\w-]+))')


def page_id(page: Path) -> str:
    return page.relative_to(ROOT).as_posix()


@cache
def texts_in_program() -> frozenset[str]:
    """Return all string constants of the program."""
    found: set[str] = set()
    for path in (ROOT / "brambleusher").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
    return frozenset(found)


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_paths_named_in_a_page_exist(page: Path) -> None:
    named = PATH.findall(page.read_text(encoding="utf-8"))
    missing = [path for path in named if not (ROOT / path).exists()]
    inner = INNER_PATH.findall(page.read_text(encoding="utf-8"))
    missing += [path for path in inner if not list((ROOT / "brambleusher").glob(path.rstrip("/")))]
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_log_events_named_in_a_page_are_written_by_the_program(page: Path) -> None:
    named = [quoted or bare for quoted, bare in EVENT.findall(page.read_text(encoding="utf-8"))]
    unknown = [event for event in named if event not in texts_in_program()]
    assert not unknown


def test_terms_of_the_glossary_are_names_in_the_program() -> None:
    rows = [line.split("|") for line in (ROOT / "docs/glossary.md").read_text(encoding="utf-8").splitlines()]
    terms = {term for row in rows if len(row) == 5 for term in re.findall(r"`(\w+)`", row[3])}
    assert len(terms) > 30
    source = "\n".join(path.read_text(encoding="utf-8") for path in (ROOT / "brambleusher").rglob("*.py"))
    assert not {term for term in terms if not re.search(rf"\b{term}\b", source)}


def test_both_checks_see_a_fault() -> None:
    assert PATH.findall("see `brambleusher/nowhere.py`") == ["brambleusher/nowhere.py"]
    assert INNER_PATH.findall("see `net/nowhere_*.py`") == ["net/nowhere_*.py"]
    assert EVENT.findall('`msg="no such event" peer=…`') == [("no such event", "")]
    assert "no such event of any program" not in texts_in_program()
