"""An incremental decoder and an encoder for the chunked transfer coding."""

from __future__ import annotations

import re

from brambleusher.net.http.message import MAX_CHUNK_LINE_BYTES, HttpError

_HEX = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")
_LINE_END = b"\r\n"

# Parser states; a state of at least 0 is the number of chunk bytes still to read.
_SIZE_LINE, _TRAILER, _CHUNK_END = -1, -2, -3


def chunk(data: bytes) -> bytes:
    """Encode one chunk; empty data encodes the last chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class ChunkedDecoder:
    """Decodes a chunked body incrementally as its bytes arrive."""

    __slots__ = ("_buffer", "_next", "done")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._next = _SIZE_LINE
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Decode received bytes and return the body bytes that became available.

        Bytes after the end of the body are available as `remainder`.

        Raises:
            HttpError: The framing is malformed.
        """
        self._buffer += data
        out = bytearray()
        while not self.done:
            if self._next > 0:
                has_advanced = self._take_data(out)
            elif self._next == _CHUNK_END:
                has_advanced = self._take_chunk_end()
            else:
                has_advanced = self._take_line()
            if not has_advanced:
                break
        return bytes(out)

    @property
    def remainder(self) -> bytes:
        """The bytes received after the end of the body."""
        return bytes(self._buffer)

    def _take_data(self, out: bytearray) -> bool:
        data = self._buffer[: self._next]
        if not data:
            return False
        out += data
        del self._buffer[: len(data)]
        self._next = self._next - len(data) or _CHUNK_END
        return True

    def _take_chunk_end(self) -> bool:
        if len(self._buffer) < len(_LINE_END):
            return False
        if not self._buffer.startswith(_LINE_END):
            raise HttpError(400, "a chunk does not end where it should")
        del self._buffer[: len(_LINE_END)]
        self._next = _SIZE_LINE
        return True

    def _take_line(self) -> bool:
        """Parse a chunk size line or a trailer line."""
        end = self._buffer.find(_LINE_END)
        if end < 0 or end > MAX_CHUNK_LINE_BYTES:
            if max(end, len(self._buffer)) > MAX_CHUNK_LINE_BYTES:
                raise HttpError(400, "a chunk's size line is too long")
            return False
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(_LINE_END)]
        if self._next == _TRAILER:
            self.done = not line
            return True
        size = line.split(b";", 1)[0].strip(b" \t")
        if not _HEX.match(size):
            raise HttpError(400, "bad chunk size")
        self._next = int(size, 16) or _TRAILER
        return True
