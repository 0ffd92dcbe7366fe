"""Source files opened: plain, gzip or zstd by their first bytes, read as a stream, with progress."""

from __future__ import annotations

import io
import os
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

from brambleusher.load.request import SourceError

GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"
# Of the file at a time: what it unpacks to is held whole, and may be thirty thousand times as much.
INPUT = 2 * 1024
MOST_WINDOW = 128 * 1024 * 1024  # bytes that a zstd stream may look back over
MAX_LINE = 1024 * 1024
Progress = Callable[[int], None]  # told how many more bytes of the file have been read


class Unpacked(io.RawIOBase):
    """The plain bytes of a gzip or zstd file, member after member; its end must be one of the format's."""

    def __init__(self, file: BinaryIO, name: str, new: Callable[[], Any]) -> None:
        self._file, self._name, self._new = file, name, new
        self._part: Any = None  # decompresses the member under way
        self._pending = b""  # of the file, not yet looked at
        self._plain = memoryview(b"")
        self._read = 0

    def readable(self) -> bool:
        """It is."""
        return True

    def readinto(self, buffer: Any, /) -> int:
        """Fill a buffer; 0 at the end.  Raises `SourceError` where the file is damaged or cut."""
        while not self._plain:
            if not self._more():
                return 0
        view = memoryview(buffer).cast("B")
        size = min(len(view), len(self._plain))
        view[:size] = self._plain[:size]
        self._plain = self._plain[size:]
        return size

    def _more(self) -> bool:
        data = self._pending or self._file.read(INPUT)
        self._pending = b""
        if not data:
            if self._part is not None:
                raise SourceError(f"{self._name}: byte {self._read}: the compressed file is cut off here")
            return False
        self._read += len(data)
        if self._part is None:
            self._part = self._new()
        try:
            plain = self._part.decompress(data)
        except Exception as error:  # zlib's and zstandard's have no common base
            raise SourceError(
                f"{self._name}: by byte {self._read}: the compressed file is damaged: {error}"
            ) from None
        if self._part.eof:
            self._pending = self._part.unused_data
            self._read -= len(self._pending)
            self._part = None
        self._plain = memoryview(plain)
        return True


def _zstd() -> Any:
    import zstandard

    return zstandard.ZstdDecompressor(max_window_size=MOST_WINDOW).decompressobj()


class Counted(io.RawIOBase):
    """A file whose reading is told to `progress`."""

    def __init__(self, file: BinaryIO, progress: Progress) -> None:
        self._file, self._progress = file, progress

    def readable(self) -> bool:
        """It is."""
        return True

    def readinto(self, buffer: Any, /) -> int:
        """Fill a buffer; 0 at the end."""
        data = self._file.read(len(buffer))
        buffer[: len(data)] = data
        self._progress(len(data))
        return len(data)

    def close(self) -> None:
        """Close the file below."""
        self._file.close()
        super().close()


def open_source(path: Path, progress: Progress | None = None) -> io.BufferedReader:
    """The plain bytes of a source; raises `SourceError`."""
    try:
        file: Any = open(path, "rb")  # noqa: SIM115
        first = file.peek(4)[:4]
    except OSError as error:
        raise SourceError(f"{path}: {error.strerror}") from None
    if first[:2] in (b"\xff\xfe", b"\xfe\xff"):
        file.close()
        raise SourceError(f"{path}: byte 0: the text is UTF-16; it must be UTF-8")
    counted: Any = file if progress is None else io.BufferedReader(Counted(file, progress), 1 << 16)
    if first[:2] == GZIP:
        return io.BufferedReader(Unpacked(counted, str(path), lambda: zlib.decompressobj(31)), 1 << 16)
    if first == ZSTD or (len(first) == 4 and 0x50 <= first[0] <= 0x5F and first[1:] == b"\x2a\x4d\x18"):
        return io.BufferedReader(Unpacked(counted, str(path), _zstd), 1 << 16)
    return counted if isinstance(counted, io.BufferedReader) else io.BufferedReader(counted)


def size_of(path: Path) -> int:
    """Bytes of a file, for progress; 0 where that can't be told."""
    try:
        return os.stat(path).st_size
    except OSError:
        return 0


def lines(file: io.BufferedReader) -> Iterator[tuple[int, bytes | None, bool]]:
    """Lines without their ends, numbered from 1, and whether the end was there; None: it was too long."""
    number = 0
    while line := file.readline(MAX_LINE + 1):
        number += 1
        if line.endswith(b"\n"):
            yield number, line[:-2] if line.endswith(b"\r\n") else line[:-1], True
        elif len(line) <= MAX_LINE:
            yield number, line, False
        else:
            while (rest := file.readline(MAX_LINE)) and not rest.endswith(b"\n"):
                pass
            yield number, None, True
