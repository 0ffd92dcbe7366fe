"""Rows of a page in blocks: only those blocks are made anew in which a row has changed."""

from __future__ import annotations

from collections.abc import Callable

BLOCK = 64  # rows: half a millisecond's work

Row = tuple[bytes, bytes]  # one row as the page's HTML and as JSON


class RowBlocks:
    """Rows by name, in the order in which the names came; a name that is new takes a place that is free."""

    def __init__(self, render: Callable[[str], Row]) -> None:
        self._render = render
        self._block_of: dict[str, int] = {}
        self._names: list[dict[str, None]] = []
        self._made: list[Row] = []
        self._stale: dict[int, None] = {}  # blocks to be made anew, the longest waiting first
        self._not_full: dict[int, None] = {}  # blocks that are not full

    def __len__(self) -> int:
        """How many blocks there are."""
        return len(self._names)

    def changed(self, name: str) -> None:
        """Record that a row is new, or has changed."""
        block = self._block_of.get(name)
        if block is None:
            block = next(iter(self._not_full), None)
            if block is None:
                block = len(self._names)
                self._names.append({})
                self._made.append((b"", b""))
                self._not_full[block] = None
            self._block_of[name] = block
            self._names[block][name] = None
            if len(self._names[block]) >= BLOCK:
                del self._not_full[block]
        self._stale[block] = None

    def removed(self, name: str) -> None:
        """Record that a row is no more."""
        block = self._block_of.pop(name, None)
        if block is not None:
            del self._names[block][name]
            self._not_full[block] = self._stale[block] = None

    def step(self) -> bool:
        """Make one block anew; whether more are to be made."""
        block = next(iter(self._stale), None)
        if block is not None:
            del self._stale[block]
            rows = [self._render(name) for name in self._names[block]]
            self._made[block] = b"".join(row[0] for row in rows), b",".join(row[1] for row in rows)
        return bool(self._stale)

    def made(self) -> tuple[list[bytes], list[bytes]]:
        """All rows as they were last made, in pieces that are not copied: HTML, and JSON with its commas."""
        made = [block for block in self._made if block[0]]
        return [block[0] for block in made], [part for block in made for part in (b",", block[1])][1:]
