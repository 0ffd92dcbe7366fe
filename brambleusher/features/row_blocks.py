"""Render the rows of a page in blocks, so that only blocks with a changed row are rendered again."""

from __future__ import annotations

from collections.abc import Callable

ROWS_PER_BLOCK = 64  # rows per block, which take about half a millisecond to render

Row = tuple[bytes, bytes]  # one row as HTML and as JSON


class RowBlocks:
    """Rows by name, in the order of their first appearance; a new row uses a free place in a block if any."""

    def __init__(self, render: Callable[[str], Row]) -> None:
        self._render = render
        self._block_of: dict[str, int] = {}
        self._names: list[dict[str, None]] = []
        self._rendered: list[Row] = []
        self._stale: dict[int, None] = {}  # blocks to be rendered again, the longest waiting first
        self._not_full: dict[int, None] = {}  # blocks with fewer than `ROWS_PER_BLOCK` rows

    def __len__(self) -> int:
        """Return the number of blocks."""
        return len(self._names)

    def mark_changed(self, name: str) -> None:
        """Record that a row is new or has changed."""
        block = self._block_of.get(name)
        if block is None:
            block = next(iter(self._not_full), None)
            if block is None:
                block = len(self._names)
                self._names.append({})
                self._rendered.append((b"", b""))
                self._not_full[block] = None
            self._block_of[name] = block
            self._names[block][name] = None
            if len(self._names[block]) >= ROWS_PER_BLOCK:
                del self._not_full[block]
        self._stale[block] = None

    def remove_row(self, name: str) -> None:
        """Remove a row."""
        block = self._block_of.pop(name, None)
        if block is not None:
            del self._names[block][name]
            self._not_full[block] = self._stale[block] = None

    def render_next(self) -> bool:
        """Render one changed block, and return whether more blocks have changed."""
        block = next(iter(self._stale), None)
        if block is not None:
            del self._stale[block]
            rows = [self._render(name) for name in self._names[block]]
            self._rendered[block] = b"".join(row[0] for row in rows), b",".join(row[1] for row in rows)
        return bool(self._stale)

    def rendered_chunks(self) -> tuple[list[bytes], list[bytes]]:
        """Return the rendered rows as two lists of chunks: HTML, and JSON with the commas between rows.

        The chunks are not copied.
        """
        blocks = [block for block in self._rendered if block[0]]
        return [block[0] for block in blocks], [chunk for block in blocks for chunk in (b",", block[1])][1:]
