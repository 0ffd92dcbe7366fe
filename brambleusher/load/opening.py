"""Open source files as streams, with progress; plain, gzip and zstd are detected by the first bytes."""

from __future__ import annotations

import io
import os
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

from brambleusher.load.request import SourceError

GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"
# Compressed bytes per read; the decompressed bytes of one read, at most about 30,000 times as many, are
# held in memory.
COMPRESSED_READ_BYTES = 2 * 1024
MAX_ZSTD_WINDOW_BYTES = 128 * 1024 * 1024  # limit in bytes for the window of a zstd stream
MAX_LINE = 1024 * 1024
Progress = Callable[[int], None]  # receives the number of bytes that the last read returned


class DecompressedFile(io.RawIOBase):
    """Decompresses a gzip or zstd file of any number of members; truncation is an error."""

    def __init__(self, file: BinaryIO, name: str, new: Callable[[], Any]) -> None:
        self._file, self._name, self._new_decompressor = file, name, new
        self._decompressor: Any = None  # decompressor of the current member; None between members
        self._pending = b""  # compressed bytes of the next member
        self._plain = memoryview(b"")
        self._read = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any, /) -> int:
        """Read into a buffer; returns 0 at the end.  Raises `SourceError` if the file is damaged."""
        while not self._plain:
            if not self._read_more():
                return 0
        view = memoryview(buffer).cast("B")
        size = min(len(view), len(self._plain))
        view[:size] = self._plain[:size]
        self._plain = self._plain[size:]
        return size

    def _read_more(self) -> bool:
        data = self._pending or self._file.read(COMPRESSED_READ_BYTES)
        self._pending = b""
        if not data:
            if self._decompressor is not None:
                raise SourceError(f"{self._name}: byte {self._read}: the compressed file is truncated")
            return False
        self._read += len(data)
        if self._decompressor is None:
            self._decompressor = self._new_decompressor()
        try:
            plain = self._decompressor.decompress(data)
        except Exception as error:  # the exceptions of zlib and zstandard have no common base
            raise SourceError(
                f"{self._name}: by byte {self._read}: the compressed file is damaged: {error}"
            ) from None
        if self._decompressor.eof:
            self._pending = self._decompressor.unused_data
            self._read -= len(self._pending)
            self._decompressor = None
        self._plain = memoryview(plain)
        return True


def _new_zstd_decompressor() -> Any:
    import zstandard

    return zstandard.ZstdDecompressor(max_window_size=MAX_ZSTD_WINDOW_BYTES).decompressobj()


class ProgressFile(io.RawIOBase):
    """A file that reports each read to a `progress` callback."""

    def __init__(self, file: BinaryIO, progress: Progress) -> None:
        self._file, self._progress = file, progress

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any, /) -> int:
        """Read into a buffer; returns 0 at the end."""
        data = self._file.read(len(buffer))
        buffer[: len(data)] = data
        self._progress(len(data))
        return len(data)

    def close(self) -> None:
        """Close the underlying file."""
        self._file.close()
        super().close()


def open_source(path: Path, progress: Progress | None = None) -> io.BufferedReader:
    """Open a source as a stream of decompressed bytes; raises `SourceError`."""
    try:
        file: Any = open(path, "rb")  # noqa: SIM115
        first = file.peek(4)[:4]
    except OSError as error:
        raise SourceError(f"{path}: {error.strerror}") from None
    if first[:2] in (b"\xff\xfe", b"\xfe\xff"):
        file.close()
        raise SourceError(f"{path}: byte 0: the text is UTF-16; it must be UTF-8")
    counted: Any = file if progress is None else io.BufferedReader(ProgressFile(file, progress), 1 << 16)
    if first[:2] == GZIP:
        return io.BufferedReader(
            DecompressedFile(counted, str(path), lambda: zlib.decompressobj(31)), 1 << 16
        )
    if first == ZSTD or (len(first) == 4 and 0x50 <= first[0] <= 0x5F and first[1:] == b"\x2a\x4d\x18"):
        return io.BufferedReader(DecompressedFile(counted, str(path), _new_zstd_decompressor), 1 << 16)
    return counted if isinstance(counted, io.BufferedReader) else io.BufferedReader(counted)


def file_size(path: Path) -> int:
    """Return the size of a file in bytes for a progress bar, or 0 if the size is unknown."""
    try:
        return os.stat(path).st_size
    except OSError:
        return 0


def lines(file: io.BufferedReader) -> Iterator[tuple[int, bytes | None, bool]]:
    """Yield lines as number from 1, content (None if too long), and whether a line ending was present."""
    number = 0
    while line := file.readline(MAX_LINE + 1):
        number += 1
        if line.endswith(b"\n"):
            yield number, line[:-2] if line.endswith(b"\r\n") else line[:-1], True
        elif len(line) <= MAX_LINE:
            yield number, line, False
        else:
            while (remainder := file.readline(MAX_LINE)) and not remainder.endswith(b"\n"):
                pass
            yield number, None, True
