"""Read and write demand files, which hold requests ordered by time as MessagePack in zstd frames.

The decompressed file is a stream of MessagePack values: a header, blocks of requests, and a footer.  Each
frame is preceded by a skippable frame, the envelope, with the kind, length and CRC-32 of the frame.  The
footer holds an index by time, the rejected rows of the build, and a SHA-256 of all preceding bytes.  The
last skippable frame, the trailer, holds the offset of the footer.  This format can be written and read as a
stream, allows a time span to be read alone, and detects damage before any request is used.
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
# Blocks are small so that decoding one delays the player only briefly.
BLOCK_ROWS, BLOCK_BYTES = 1024, 256 * 1024
MAX_FRAME_BYTES = 64 * 1024 * 1024  # decompressed size limit of a frame; no writer exceeds this limit
COMPRESSION_LEVEL = 5

_SKIPPABLE = 0x184D2A5B
_ENVELOPE = struct.Struct("<II4sBBHII")  # skippable magic, size, signature, kind, version, 0, length, CRC-32
# Fields: skippable magic, size, signature, kind, version, 0, offset of the footer, CRC-32 of the offset.
_TRAILER = struct.Struct("<II4sBBHQI")
_SIGNATURE = b"BUld"


class DemandError(ValueError):
    """A demand file is unusable; the message names the file and the byte offset."""


class Header(msgspec.Struct, frozen=True):
    """Header of a demand file, written before the first request."""

    start_ns: int  # time of the first request, in Unix nanoseconds
    made: dict[str, Any] = {}  # provenance: sources, mapping, window, spread and later transformations


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """Index entry of a block of requests."""

    offset: int  # byte offset of the envelope of the block
    length: int  # compressed length of the frame in bytes
    rows: int
    first_ns: int
    last_ns: int


class Footer(msgspec.Struct, frozen=True):
    """Footer of a demand file, written after the last request."""

    rows: int
    index: list[Entry]
    sha256: str  # SHA-256 of all bytes before the envelope of the footer
    report: dict[str, Any] = {}  # counts of rejected rows by reason, and of notes


def temporary_path_for(path: Path) -> Path:
    """Return the path of a temporary file next to `path`; raises `DemandError` without a directory."""
    if path.is_dir():
        raise DemandError(f"{path}: Is a directory")
    if not path.parent.is_dir():
        raise DemandError(f"{path}: there is no directory {path.parent}")
    return path.with_name(f".{path.name}.{os.getpid()}.part")


@contextmanager
def atomic_write(path: Path) -> Iterator[Path]:
    """Yield a temporary path that replaces `path` on success and is deleted on failure."""
    temporary = temporary_path_for(path)
    try:
        yield temporary
        os.replace(temporary, path)
    finally:
        temporary.unlink(missing_ok=True)


class DemandWriter:
    """Writes a demand file to a temporary path first, so that a file under its final name is complete."""

    def __init__(self, path: str | Path, made: dict[str, Any] | None = None) -> None:
        self.path, self._made = Path(path), made or {}
        self._temporary_path = temporary_path_for(self.path)
        try:
            self._file = open(self._temporary_path, "wb")  # noqa: SIM115
        except OSError as error:
            raise DemandError(f"{path}: {error.strerror}") from None
        self._digest = hashlib.sha256()
        self._offset = 0
        self._rows: list[Request] = []
        self._bytes = 0
        self._index: list[Entry] = []
        self._encoder = msgspec.msgpack.Encoder()
        self._compress = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL, write_checksum=True).compress
        self._header_written = False
        self._last_ns = -1
        self.count = 0

    def add(self, request: Request) -> None:
        """Append a request, which must not be earlier than the previous request."""
        if request.at_ns < self._last_ns:
            raise ValueError(f"a request at {request.at_ns} ns after one at {self._last_ns} ns")
        if not self._header_written:
            self._begin(request.at_ns)
        self._last_ns = request.at_ns
        self._rows.append(request)
        # Long headers and bodies could make a block larger than readers accept.
        self._bytes += 200 + len(request.body or b"") + sum(len(value) for _, value in request.headers)
        if len(self._rows) >= BLOCK_ROWS or self._bytes >= BLOCK_BYTES:
            self._flush()

    def close(self, report: dict[str, Any] | None = None) -> None:
        """Write the footer and rename the temporary file to its final name."""
        if not self._header_written:
            self._begin(0)
        self._flush()
        offset = self._offset
        self._frame(FOOTER, Footer(self.count, self._index, self._digest.hexdigest(), report or {}))
        packed_offset = struct.pack("<Q", offset)
        self._put(
            _TRAILER.pack(
                _SKIPPABLE, _TRAILER.size - 8, _SIGNATURE, TAIL, VERSION, 0, offset, zlib.crc32(packed_offset)
            )
        )
        self._file.close()
        os.replace(self._temporary_path, self.path)

    def discard(self) -> None:
        """Delete the temporary file; does nothing after `close`."""
        self._file.close()
        self._temporary_path.unlink(missing_ok=True)

    def __enter__(self) -> Self:
        """Return this object."""
        return self

    def __exit__(self, *why: object) -> None:
        """Delete the temporary file of an incomplete write."""
        self.discard()

    def _begin(self, start_ns: int) -> None:
        self._header_written = True
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
                _SKIPPABLE, _ENVELOPE.size - 8, _SIGNATURE, kind, VERSION, 0, len(frame), zlib.crc32(frame)
            )
        )
        self._put(frame)
        return len(frame)

    def _put(self, data: bytes) -> None:
        self._file.write(data)
        self._digest.update(data)
        self._offset += len(data)


class DemandFile:
    """Reads a complete demand file; blocks are decoded lazily."""

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
        """Return this object."""
        return self

    def __exit__(self, *why: object) -> None:
        """Close the file."""
        self.close()

    def __len__(self) -> int:
        """Return the number of requests in the file."""
        return self.footer.rows

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    @property
    def span_ns(self) -> tuple[int, int]:
        """Times of the first and the last request in Unix nanoseconds; both 0 for an empty file."""
        index = self.footer.index
        return (index[0].first_ns, index[-1].last_ns) if index else (0, 0)

    def requests(self, first_ns: int | None = None, end_ns: int | None = None) -> Iterator[Request]:
        """Yield requests in order, from `first_ns` up to but excluding `end_ns`; raises `DemandError`."""
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
        """Compare the whole file with its SHA-256; raises `DemandError` on a mismatch."""
        index = self.footer.index
        end = index[-1].offset + _ENVELOPE.size + index[-1].length if index else self._blocks_at
        digest = hashlib.sha256()
        self._file.seek(0)
        remaining = end
        while remaining:
            data = self._file.read(min(remaining, 1 << 20))
            if not data:
                raise self._error(end - remaining, "unexpected end of file")
            digest.update(data)
            remaining -= len(data)
        if digest.hexdigest() != self.footer.sha256:
            raise self._error(0, "checksum mismatch of the whole file")

    def _error(self, offset: int, text: str) -> DemandError:
        return DemandError(f"{self.path}: byte {offset}: {text}")

    def _read(self, offset: int, size: int) -> bytes:
        self._file.seek(offset)
        data = self._file.read(size)
        if len(data) < size:
            raise self._error(offset + len(data), "unexpected end of file")
        return data

    def _footer_at(self) -> int:
        at = self._size - _TRAILER.size
        if at < 0:
            raise self._error(0, "this is no demand file: it is too short")
        magic, size, signature, kind, version, _, offset, crc = _TRAILER.unpack(self._read(at, _TRAILER.size))
        if (magic, size, signature, kind) != (_SKIPPABLE, _TRAILER.size - 8, _SIGNATURE, TAIL):
            first = self._read(0, 12)
            problem = "the file is truncated" if first[8:12] == _SIGNATURE else "this is no demand file"
            raise self._error(at, f"{problem}: the trailer is missing")
        if version != VERSION:
            raise self._error(at, f"the file is of version {version}; only {VERSION} can be read")
        if crc != zlib.crc32(struct.pack("<Q", offset)) or offset >= at:
            raise self._error(at, "the offset of the footer is damaged")
        return int(offset)

    def _value(self, at: int, kind: int, value_type: Any, limit: int) -> tuple[Any, int]:
        """Return the decoded value of a frame and the offset of the next envelope."""
        envelope = self._read(at, _ENVELOPE.size)
        magic, size, signature, found_kind, version, _, length, crc = _ENVELOPE.unpack(envelope)
        if (magic, size, signature) != (_SKIPPABLE, _ENVELOPE.size - 8, _SIGNATURE) or found_kind != kind:
            raise self._error(at, "an envelope is damaged or of an unexpected kind")
        if version != VERSION:
            raise self._error(at, f"the frame is of version {version}; only {VERSION} can be read")
        next_at = at + _ENVELOPE.size + length
        if length > MAX_FRAME_BYTES or next_at > limit:
            raise self._error(at, "an envelope states a length beyond the limit or the end of the file")
        frame = self._read(at + _ENVELOPE.size, length)
        if zlib.crc32(frame) != crc:
            raise self._error(at + _ENVELOPE.size, "a frame is damaged: checksum mismatch")
        try:
            if zstandard.frame_content_size(frame) > MAX_FRAME_BYTES:
                raise self._error(at, "the decompressed size of a frame exceeds the limit")
            plain = zstandard.ZstdDecompressor().decompress(frame)
            return msgspec.msgpack.decode(plain, type=value_type), next_at
        except (zstandard.ZstdError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise self._error(at, f"a frame can't be decoded: {error}") from None

    def _check_index(self, footer_at: int) -> None:
        at, last_ns, rows = self._blocks_at, -1, 0
        for entry in self.footer.index:
            if entry.offset != at or not last_ns <= entry.first_ns <= entry.last_ns or entry.rows < 1:
                raise self._error(footer_at, f"the index does not match the block at byte {at}")
            at, last_ns, rows = at + _ENVELOPE.size + entry.length, entry.last_ns, rows + entry.rows
        if at != footer_at or rows != self.footer.rows:
            raise self._error(footer_at, "the index does not match the size or the request count of the file")

    def _block(self, entry: Entry) -> list[Request]:
        end = entry.offset + _ENVELOPE.size + entry.length
        rows: list[Request] = self._value(entry.offset, BLOCK, list[Request], end)[0]
        if (
            len(rows) != entry.rows
            or (rows[0].at_ns, rows[-1].at_ns) != (entry.first_ns, entry.last_ns)
            or any(after.at_ns < row.at_ns for row, after in pairwise(rows))
        ):
            raise self._error(entry.offset, "a block does not match its index entry")
        return rows


def write(
    path: str | Path,
    requests: Iterable[Request],
    made: dict[str, Any] | None = None,
    report: dict[str, Any] | None = None,
) -> int:
    """Write requests, which must be in order, to a demand file and return their number."""
    with DemandWriter(path, made) as writer:
        for request in requests:
            writer.add(request)
        writer.close(report)
        return writer.count
