"""The demand file: requests in the order of their times, as MessagePack in zstd frames.

Decompressed as a whole it is a stream of MessagePack values: a header, blocks of requests, a footer.
In front of each frame stands a skippable one, the envelope: what the next frame is, how long, and its
CRC-32.  The footer has the index by time, what was left out while the file was made, and a SHA-256 of
all before it; a last skippable frame says where the footer is.  So a file can be written and read as a
stream, a span of time can be read without the rest, and damage is found before a request is believed.
"""

from __future__ import annotations

import hashlib
import os
import struct
import zlib
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from itertools import pairwise
from pathlib import Path
from typing import Any, BinaryIO, Self

import msgspec
import zstandard

from brambleusher.load.request import Request

VERSION = 1
HEADER, BLOCK, FOOTER, TAIL = 1, 2, 3, 4
# Small enough that a player is not held up for long by reading one.
BLOCK_ROWS, BLOCK_BYTES = 1024, 256 * 1024
MOST_BYTES = 64 * 1024 * 1024  # of one frame, plain: no writer makes a larger one
LEVEL = 5

_SKIPPABLE = 0x184D2A5B
_ENVELOPE = struct.Struct("<II4sBBHII")  # skippable, its size, mark, kind, version, 0, length, CRC-32
_TAIL = struct.Struct(
    "<II4sBBHQI"
)  # skippable, its size, mark, kind, version, 0, footer's offset, CRC-32 of it
_MARK = b"BUld"


class DemandError(ValueError):
    """A demand file that can't be used; the message names the file and the byte."""


class Header(msgspec.Struct, frozen=True):
    """What is known before the first request."""

    start_ns: int  # the first request's time
    made: dict[str, Any] = {}  # sources, mapping, window, spread, and what was done since


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A block in the index."""

    offset: int  # of its envelope
    length: int  # of its frame
    rows: int
    first_ns: int
    last_ns: int


class Footer(msgspec.Struct, frozen=True):
    """What is known after the last request."""

    rows: int
    index: list[Entry]
    sha256: str  # of all bytes before the footer's envelope
    report: dict[str, Any] = {}  # what was left out, and what was noted


def part_of(path: Path) -> Path:
    """A name beside a file's own, to write to; raises `DemandError` where there can be no such file."""
    if path.is_dir():
        raise DemandError(f"{path}: Is a directory")
    if not path.parent.is_dir():
        raise DemandError(f"{path}: there is no directory {path.parent}")
    return path.with_name(f".{path.name}.{os.getpid()}.part")


@contextmanager
def beside(path: Path) -> Iterator[Path]:
    """The name to write to; it becomes the file's own at the end.  What fails leaves no trace."""
    part = part_of(path)
    try:
        yield part
        os.replace(part, path)
    finally:
        part.unlink(missing_ok=True)


class DemandWriter:
    """Writes one file: to a name beside it first, so that a file that is there is a whole one."""

    def __init__(self, path: str | Path, made: dict[str, Any] | None = None) -> None:
        self.path, self._made = Path(path), made or {}
        self._part = part_of(self.path)
        try:
            self._file = open(self._part, "wb")  # noqa: SIM115
        except OSError as error:
            raise DemandError(f"{path}: {error.strerror}") from None
        self._sum = hashlib.sha256()
        self._offset = 0
        self._rows: list[Request] = []
        self._bytes = 0
        self._index: list[Entry] = []
        self._encoder = msgspec.msgpack.Encoder()
        self._compress = zstandard.ZstdCompressor(level=LEVEL, write_checksum=True).compress
        self._began = False
        self._last_ns = -1
        self.count = 0

    def add(self, request: Request) -> None:
        """One more request, no earlier than the one before."""
        if request.at_ns < self._last_ns:
            raise ValueError(f"a request at {request.at_ns} ns after one at {self._last_ns} ns")
        if not self._began:
            self._begin(request.at_ns)
        self._last_ns = request.at_ns
        self._rows.append(request)
        # Guards against a block larger than readers take: headers and bodies may be long.
        self._bytes += 200 + len(request.body or b"") + sum(len(value) for _, value in request.headers)
        if len(self._rows) >= BLOCK_ROWS or self._bytes >= BLOCK_BYTES:
            self._flush()

    def close(self, report: dict[str, Any] | None = None) -> None:
        """Write the footer and give the file its name."""
        if not self._began:
            self._begin(0)
        self._flush()
        offset = self._offset
        self._frame(FOOTER, Footer(self.count, self._index, self._sum.hexdigest(), report or {}))
        where = struct.pack("<Q", offset)
        self._put(_TAIL.pack(_SKIPPABLE, _TAIL.size - 8, _MARK, TAIL, VERSION, 0, offset, zlib.crc32(where)))
        self._file.close()
        os.replace(self._part, self.path)

    def discard(self) -> None:
        """Leave no trace; nothing happens once the file has its name."""
        self._file.close()
        self._part.unlink(missing_ok=True)

    def __enter__(self) -> Self:
        """Itself."""
        return self

    def __exit__(self, *why: object) -> None:
        """Leave nothing half done."""
        self.discard()

    def _begin(self, start_ns: int) -> None:
        self._began = True
        self._frame(HEADER, Header(start_ns, self._made))

    def _flush(self) -> None:
        if self._rows:
            rows, self._rows, self._bytes = self._rows, [], 0
            offset = self._offset
            length = self._frame(BLOCK, rows)
            self._index.append(Entry(offset, length, len(rows), rows[0].at_ns, rows[-1].at_ns))
            self.count += len(rows)

    def _frame(self, kind: int, value: object) -> int:
        frame = self._compress(self._encoder.encode(value))
        self._put(
            _ENVELOPE.pack(
                _SKIPPABLE, _ENVELOPE.size - 8, _MARK, kind, VERSION, 0, len(frame), zlib.crc32(frame)
            )
        )
        self._put(frame)
        return len(frame)

    def _put(self, data: bytes) -> None:
        self._file.write(data)
        self._sum.update(data)
        self._offset += len(data)


class DemandFile:
    """A demand file that is there, whole; requests are read as they are asked for."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        try:
            self._file: BinaryIO = open(path, "rb")  # noqa: SIM115
        except OSError as error:
            raise DemandError(f"{path}: {error.strerror}") from None
        try:
            self._size = self._file.seek(0, os.SEEK_END)
            footer_at = self._footer_at()
            self.footer: Footer = self._value(footer_at, FOOTER, Footer, self._size)[0]
            self.header: Header
            self.header, self._blocks_at = self._value(0, HEADER, Header, footer_at)
            self._check_index(footer_at)
        except BaseException:
            self._file.close()
            raise

    def __enter__(self) -> Self:
        """Itself."""
        return self

    def __exit__(self, *why: object) -> None:
        """Close it."""
        self.close()

    def __len__(self) -> int:
        """How many requests it has."""
        return self.footer.rows

    def close(self) -> None:
        """Let go of the file."""
        self._file.close()

    @property
    def span_ns(self) -> tuple[int, int]:
        """The first and the last request's time; both 0 where there is none."""
        index = self.footer.index
        return (index[0].first_ns, index[-1].last_ns) if index else (0, 0)

    def requests(self, first_ns: int | None = None, end_ns: int | None = None) -> Iterator[Request]:
        """Requests in order, all or those from `first_ns` on and before `end_ns`; raises `DemandError`."""
        index = self.footer.index
        start = 0 if first_ns is None else bisect_left([entry.last_ns for entry in index], first_ns)
        for entry in index[start:]:
            if end_ns is not None and entry.first_ns >= end_ns:
                return
            for request in self._block(entry):
                if (first_ns is None or request.at_ns >= first_ns) and (
                    end_ns is None or request.at_ns < end_ns
                ):
                    yield request

    def verify(self) -> None:
        """Read all of it against its checksum; raises `DemandError`."""
        index = self.footer.index
        end = index[-1].offset + _ENVELOPE.size + index[-1].length if index else self._blocks_at
        whole = hashlib.sha256()
        self._file.seek(0)
        left = end
        while left:
            data = self._file.read(min(left, 1 << 20))
            if not data:
                raise self._error(end - left, "the file ends here")
            whole.update(data)
            left -= len(data)
        if whole.hexdigest() != self.footer.sha256:
            raise self._error(0, "the checksum of the whole file does not fit")

    def _error(self, offset: int, text: str) -> DemandError:
        return DemandError(f"{self.path}: byte {offset}: {text}")

    def _read(self, offset: int, size: int) -> bytes:
        self._file.seek(offset)
        data = self._file.read(size)
        if len(data) < size:
            raise self._error(offset + len(data), "the file ends here")
        return data

    def _footer_at(self) -> int:
        at = self._size - _TAIL.size
        if at < 0:
            raise self._error(0, "this is no demand file: it is too short for one")
        magic, size, mark, kind, version, _, offset, crc = _TAIL.unpack(self._read(at, _TAIL.size))
        if (magic, size, mark, kind) != (_SKIPPABLE, _TAIL.size - 8, _MARK, TAIL):
            first = self._read(0, 12)
            what = "it is cut off" if first[8:12] == _MARK else "this is no demand file"
            raise self._error(at, f"{what}: the last bytes don't say where the footer is")
        if version != VERSION:
            raise self._error(at, f"the file is of version {version}; only {VERSION} can be read")
        if crc != zlib.crc32(struct.pack("<Q", offset)) or offset >= at:
            raise self._error(at, "the footer's place is damaged")
        return int(offset)

    def _value(self, at: int, kind: int, form: Any, before: int) -> tuple[Any, int]:
        """The value of a frame, and where the next envelope is."""
        envelope = self._read(at, _ENVELOPE.size)
        magic, size, mark, found, version, _, length, crc = _ENVELOPE.unpack(envelope)
        if (magic, size, mark) != (_SKIPPABLE, _ENVELOPE.size - 8, _MARK) or found != kind:
            raise self._error(at, "an envelope is damaged, or not the one that should stand here")
        if version != VERSION:
            raise self._error(at, f"the frame is of version {version}; only {VERSION} can be read")
        after = at + _ENVELOPE.size + length
        if length > MOST_BYTES or after > before:
            raise self._error(at, "an envelope says a length that the file does not have")
        frame = self._read(at + _ENVELOPE.size, length)
        if zlib.crc32(frame) != crc:
            raise self._error(at + _ENVELOPE.size, "a frame is damaged: its checksum does not fit")
        try:
            if zstandard.frame_content_size(frame) > MOST_BYTES:
                raise self._error(at, "a frame is larger than any writer makes")
            plain = zstandard.ZstdDecompressor().decompress(frame)
            return msgspec.msgpack.decode(plain, type=form), after
        except (zstandard.ZstdError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise self._error(at, f"a frame can't be read: {error}") from None

    def _check_index(self, footer_at: int) -> None:
        at, last_ns, rows = self._blocks_at, -1, 0
        for entry in self.footer.index:
            if entry.offset != at or not last_ns <= entry.first_ns <= entry.last_ns or entry.rows < 1:
                raise self._error(footer_at, f"the index does not fit the blocks at byte {at}")
            at, last_ns, rows = at + _ENVELOPE.size + entry.length, entry.last_ns, rows + entry.rows
        if at != footer_at or rows != self.footer.rows:
            raise self._error(footer_at, "the index does not fit the file")

    def _block(self, entry: Entry) -> list[Request]:
        end = entry.offset + _ENVELOPE.size + entry.length
        rows: list[Request] = self._value(entry.offset, BLOCK, list[Request], end)[0]
        if (
            len(rows) != entry.rows
            or (rows[0].at_ns, rows[-1].at_ns) != (entry.first_ns, entry.last_ns)
            or any(after.at_ns < row.at_ns for row, after in pairwise(rows))
        ):
            raise self._error(entry.offset, "a block is not what the index says")
        return rows


def write(
    path: str | Path,
    requests: Iterable[Request],
    made: dict[str, Any] | None = None,
    report: dict[str, Any] | None = None,
) -> int:
    """Write requests, which are in order, as a demand file; says how many."""
    with DemandWriter(path, made) as writer:
        for request in requests:
            writer.add(request)
        writer.close(report)
        return writer.count
