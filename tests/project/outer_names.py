"""Collects the outer names of the program from its sources.

    python -m tests.project.outer_names            # print the list
    python -m tests.project.outer_names --write    # write it to tests/recorded/outer_names.txt

An outer name leaves a process or reaches it from outside: the text of a key or value of a message, a stored
record, a settings file or a metric, a flag, an environment variable, a log event, or a field that a codec
writes under its own name.  The same word used for an identifier somewhere else is not an outer name.  The
list has more than what leaves: a text that looks like a key is collected wherever it stands.
"""

from __future__ import annotations

import argparse
import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIST = ROOT / "tests" / "recorded" / "outer_names.txt"
TREES = ("brambleusher", "benchmarks")
KEY = re.compile(r"[-/.@]*[A-Za-z_][A-Za-z0-9_.:/-]*")
HYPHENATED = re.compile(r"[a-z0-9]+(-[a-z0-9]+)+")
MIN_LENGTH = 2
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception", "critical"})
# Bases of classes whose fields a library encodes under their own names.
ENCODED_BASES = frozenset({"Struct", "BaseModel"})
# Functions of these modules are commands; `fire` makes flags of their parameters.
COMMAND_MODULES = ("brambleusher/system_tools.py",)
# Modules whose texts name attributes, functions and classes of the program: only hyphenated ones are outer.
MODULES_OF_CODE_NAMES = (
    "brambleusher/lab/soak/mutations.py",
    "brambleusher/lab/faults/breakages.py",
    "benchmarks/breakages.py",
    "benchmarks/gateway_calls.py",
    "benchmarks/request_calls.py",
)
# Captures name an exception that a decision raised by its class.
MODULES_OF_STORED_ERRORS = "brambleusher/loadbalancing/"
# Calls whose texts are names of code or types: nothing of them is written.
CODE_CALLS = frozenset(
    {"TypeVar", "NewType", "getLogger", "getattr", "setattr", "hasattr", "delattr", "_unchanged", "cast"}
)
# Mappings of attributes to stored keys: their keys are names of code, their values are stored.
ATTRIBUTE_TABLES = (
    "brambleusher/loadbalancing/state_tables.py",
    "brambleusher/loadbalancing/settings_codec.py",
)


def sources() -> list[Path]:
    """Return the modules whose names are collected."""
    return [path for tree in TREES for path in sorted((ROOT / tree).rglob("*.py"))]


@cache
def parse(path: Path) -> ast.Module:
    """Return the syntax tree of a module, which callers do not change."""
    return ast.parse(path.read_text(encoding="utf-8"))


def collect(path: Path, encoded: frozenset[str]) -> set[str]:
    """Return the outer names of a module; `encoded` names the classes whose fields are written."""
    tree = parse(path)
    name = path.relative_to(ROOT).as_posix()
    found = set(_log_events(tree))
    found |= set(_encoded_fields(tree, encoded))
    if name in COMMAND_MODULES:
        found |= set(_parameters(tree))
    if name.startswith(MODULES_OF_STORED_ERRORS):
        found |= {
            node.name
            for node in ast.walk(tree)
            if isinstance(node, ast.ClassDef) and node.name.endswith("Error")
        }
    form = HYPHENATED if name in MODULES_OF_CODE_NAMES else KEY
    skipped = _skipped(tree, skips_attributes=name in ATTRIBUTE_TABLES)
    return found | {
        text for text in _texts(tree, skipped) if form.fullmatch(text) and len(text) >= MIN_LENGTH
    }


def encoded_classes() -> frozenset[str]:
    """Return the names of all classes whose fields a library encodes, found through their bases."""
    bases: dict[str, set[str]] = {}
    for path in sources():
        for node in ast.walk(parse(path)):
            if isinstance(node, ast.ClassDef):
                bases[node.name] = {ast.unparse(base).rpartition(".")[2] for base in node.bases}
    found = set(ENCODED_BASES)
    while fresh := {name for name, of in bases.items() if of & found} - found:
        found |= fresh
    return frozenset(found)


def collect_all() -> dict[str, set[str]]:
    """Return every outer name with the modules that have it."""
    encoded = encoded_classes()
    found: dict[str, set[str]] = defaultdict(set)
    for path in sources():
        for name in collect(path, encoded):
            found[name].add(path.relative_to(ROOT).as_posix())
    return dict(found)


def listed() -> list[str]:
    """Return the names of the recorded list."""
    lines = (line.split("#")[0].strip() for line in LIST.read_text(encoding="utf-8").splitlines())
    return [line for line in lines if line]


def _log_events(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in LOG_METHODS
        ):
            first = node.args[0] if node.args else None
            if isinstance(first, ast.Constant) and isinstance(first.value, str):
                yield first.value


def _encoded_fields(tree: ast.AST, encoded: frozenset[str]) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef) and node.name in encoded:
            for line in node.body:
                if isinstance(line, ast.AnnAssign) and isinstance(line.target, ast.Name):
                    yield line.target.id


def _parameters(tree: ast.Module) -> Iterator[str]:
    for node in tree.body:
        if isinstance(node, ast.FunctionDef) and not node.name.startswith("_"):
            yield node.name
            yield from (arg.arg for arg in node.args.args + node.args.kwonlyargs)


def _skipped(tree: ast.AST, *, skips_attributes: bool) -> set[int]:
    """Return the ids of text nodes that only name code."""
    skipped: set[int] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and ast.unparse(node.func).rpartition(".")[2] in CODE_CALLS:
            skipped |= {id(argument) for argument in node.args}
        elif isinstance(node, ast.Assign | ast.AnnAssign):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            if any(isinstance(each, ast.Name) and each.id in ("__all__", "__slots__") for each in targets):
                skipped |= {id(each) for each in ast.walk(node)}
            if isinstance(node, ast.AnnAssign):
                skipped |= {id(each) for each in ast.walk(node.annotation)}
        elif isinstance(node, ast.arg) and node.annotation is not None:
            skipped |= {id(each) for each in ast.walk(node.annotation)}
        elif isinstance(node, ast.JoinedStr):
            skipped |= {id(each) for each in node.values}
        elif isinstance(node, ast.Expr):
            skipped.add(id(node.value))
        elif isinstance(node, ast.Dict) and skips_attributes:
            skipped |= {id(key) for key in node.keys}
    return skipped


def _texts(tree: ast.AST, skipped: set[int]) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in skipped:
            yield node.value


def _package(module: str) -> str:
    return "/".join(module.split("/")[: 3 if module.startswith("brambleusher/lab") else 2]).removesuffix(
        ".py"
    )


def _lines(found: dict[str, set[str]]) -> Iterator[str]:
    yield "# Outer names, one a line, each with the packages that write or read it."
    yield "# Made by tests/project/outer_names.py."
    for name, modules in sorted(found.items()):
        if "#" not in name and name == name.strip():
            yield f"{name}  # {', '.join(sorted({_package(module) for module in modules}))}"


def main() -> None:
    """Print or write the list."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--write", action="store_true", help="write the list to its place")
    text = "\n".join(_lines(collect_all())) + "\n"
    if parser.parse_args().write:
        LIST.write_text(text, encoding="utf-8")
    else:
        print(text, end="")


if __name__ == "__main__":
    main()
