"""Convert HAR 1.2 entries to rows, with one entry in memory at a time, and requests back to HAR."""

from __future__ import annotations

import base64
import binascii
import io
import re
from collections.abc import Iterable, Iterator
from typing import Any, TextIO
from urllib.parse import urlencode

import msgspec

from brambleusher.load.access_log import split_url
from brambleusher.load.json_lines import encode_text, is_invalid_utf8, join_headers
from brambleusher.load.request import RejectedRow, Request, Row, SourceError
from brambleusher.load.times import from_text, to_text

MAX_ENTRY_BYTES = 64 * 1024 * 1024  # limit in bytes for one entry including the response content
READ_CHUNK_BYTES = 1024 * 1024
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Matches up to the next bracket outside strings.
_BRACKET = re.compile(rb'(?:[^"{}\[\]]++|' + _STRING + rb")*+([{}\[\]])", re.S)
_TOKEN = re.compile(rb"\s*+(?:(" + _STRING + rb')\s*+(:?)|([{}\[\],:])|([^\s"{}\[\],:]++))', re.S)
_SPACE = re.compile(rb"\s*+")
_SCALAR = re.compile(rb"(?:" + _STRING + rb'|[^"{}\[\],])++', re.S)


class Pair(msgspec.Struct):
    """A header or a form parameter."""

    name: str
    value: str = ""


class PostData(msgspec.Struct):
    """Body of a request; `encoding` is an extension that some exporters write."""

    mimeType: str = ""
    text: str | None = None
    params: list[Pair] = []
    encoding: str | None = None
    other_encoding: str | None = msgspec.field(default=None, name="_encoding")


class EntryRequest(msgspec.Struct):
    """Request of a HAR entry."""

    method: str
    url: str
    headers: list[Pair] = []
    postData: PostData | None = None
    bodySize: Any = -1


class EntryResponse(msgspec.Struct):
    """Response of a HAR entry, limited to the status."""

    status: Any = 0


class Entry(msgspec.Struct):
    """An element of `log.entries`."""

    request: EntryRequest
    response: EntryResponse | None = None
    startedDateTime: str | None = None
    time: Any = None
    from_cache: Any = msgspec.field(default=None, name="_fromCache")
    served_from_cache: Any = msgspec.field(default=None, name="_servedFromCache")


class EntryScanner:
    """Extracts the elements of `log.entries` from a JSON text that is read in chunks.

    The extraction looks only at brackets and strings.  The JSON library parses each entry separately, so an
    invalid entry is rejected without affecting the others.
    """

    def __init__(self, file: io.BufferedReader, name: str) -> None:
        self._file, self._name = file, name
        self._buffer = bytearray()
        self._at = 0  # read position in the buffer
        self._base = 0  # file offset of the start of the buffer
        self._entry = -1  # file offset of the current entry, which stays in the buffer, or -1 for none
        self._number = 0
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the text of each entry; raises `SourceError` if the file is no HAR file or is truncated."""
        self._skip_to_entries()
        while self._peek_byte() != b"]":
            if self._number:
                if self._peek_byte() != b",":
                    raise self._error(f"expected a comma or the end of the list after entry {self._number}")
                self._at += 1
                self._peek_byte()
            self._number += 1
            yield self._entry_text()
        self._at += 1
        self._check_ending()

    def _error(self, text: str) -> SourceError:
        return SourceError(f"{self._name}: byte {self._base + self._at}: {text}")

    def _read_more(self) -> bool:
        if not self._ended:
            consumed = self._at if self._entry < 0 else self._entry - self._base
            if len(self._buffer) - consumed > MAX_ENTRY_BYTES:
                raise self._error("an entry or a string is longer than 64 MiB")
            del self._buffer[:consumed]
            self._base += consumed
            self._at -= consumed
            data = self._file.read(READ_CHUNK_BYTES)
            self._ended = not data
            self._buffer += data
        return not self._ended

    def _match(self, pattern: re.Pattern[bytes]) -> re.Match[bytes] | None:
        """Match at the current position, reading more of the file while that could change the match."""
        while True:
            match = pattern.match(self._buffer, self._at)
            if match is not None and match.end() < len(self._buffer):
                return match
            if not self._read_more():
                return pattern.match(self._buffer, self._at)

    def _peek_byte(self) -> bytes:
        """Skip white space and return the next byte, or an empty value at the end of the file."""
        match = self._match(_SPACE)
        self._at = match.end() if match is not None else self._at
        return bytes(self._buffer[self._at : self._at + 1])

    def _tokens(self) -> Iterator[tuple[bytes, bool]]:
        """Yield JSON tokens, each with whether the token is an object key."""
        while (match := self._match(_TOKEN)) is not None:
            self._at = match.end()
            yield match[1] or match[3] or match[4], bool(match[2])

    def _skip_to_entries(self) -> None:
        """Advance past the bracket that opens `log.entries`."""
        self._read_more()
        if self._buffer.startswith(b"\xef\xbb\xbf"):
            self._at = 3
        stack: list[bytes] = []
        key = b""
        for token, is_key in self._tokens():
            if is_key:
                key = token
            elif token in (b"{", b"["):
                if token == b"[" and key == b'"entries"' and stack == [b"", b'"log"']:
                    return
                stack.append(key)
                key = b""
            elif token in (b"}", b"]"):
                if not stack:
                    break
                stack.pop()
        raise self._error("this is no HAR file: it has no log.entries")

    def _entry_text(self) -> bytes:
        self._entry, depth = self._base + self._at, 0
        while True:
            is_container = depth or self._peek_byte() in (b"{", b"[")
            match = self._match(_BRACKET) if is_container else self._match(_SCALAR)
            if match is None:
                self._at = self._entry - self._base
                raise self._error(f"entry {self._number} has no end")
            self._at = match.end()
            if is_container:
                depth += 1 if match[1] in (b"{", b"[") else -1
            if not depth:
                text = bytes(self._buffer[self._entry - self._base : self._at])
                self._entry = -1
                return text

    def _check_ending(self) -> None:
        depth = 2
        for token, _ in self._tokens():
            depth += (token in (b"{", b"[")) - (token in (b"}", b"]"))
            if depth < 0 or (depth == 0 and token != b"}"):
                raise self._error("unexpected data after the end of the JSON text")
        if depth:
            raise self._error("the file ends before the JSON text does")


def rows(file: io.BufferedReader, name: str) -> Iterator[Row | tuple[int, RejectedRow]]:
    """Yield each entry as a row, or its number with the reason for its rejection; raises `SourceError`."""
    decode = msgspec.json.Decoder(Entry).decode
    for number, text in enumerate(EntryScanner(file, name), 1):
        try:
            try:
                entry = decode(text)
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                raise RejectedRow("encoding" if is_invalid_utf8(text) else "unreadable", str(error)) from None
            yield row(number, entry)
        except RejectedRow as why:
            yield number, why


def row(number: int, entry: Entry) -> Row:
    """Convert one entry to a row; raises `RejectedRow`."""
    if entry.from_cache or entry.served_from_cache:
        raise RejectedRow("from-cache")
    status = entry.response.status if entry.response is not None else 0
    if type(status) is not int or not 100 <= status <= 599:
        raise RejectedRow("aborted", f"status {status}"[:40])
    if not entry.startedDateTime:
        raise RejectedRow("no-time")
    at_ns, in_seconds, leap = from_text(entry.startedDateTime)
    origin, target = split_url(entry.request.url)
    fields = tuple((pair.name, pair.value) for pair in entry.request.headers)
    headers = join_headers(fields)
    body, size = _body(entry.request, headers)
    took = entry.time
    took_ns = round(took * 1e6) if type(took) in (int, float) and 0 <= took < 1e12 else None
    return Row(
        number, at_ns, in_seconds, entry.request.method, target, headers, fields, body, size, origin, status,
        took_ns, leap=leap,
    )  # fmt: skip


def _body(request: EntryRequest, headers: dict[str, str]) -> tuple[bytes | None, int | None]:
    """Return the body and its size, each None if the entry does not give it."""
    stated_size = request.bodySize
    size = int(stated_size) if type(stated_size) in (int, float) and 0 <= stated_size < 2**53 else None
    length = headers.get("content-length")
    if length is not None and length.isascii() and length.isdecimal() and len(length) < 16:
        size = int(length)
    post_data = request.postData
    if post_data is None:
        return None, size
    if post_data.text:
        encoding = post_data.encoding or post_data.other_encoding
        if encoding == "base64":
            try:
                body = base64.b64decode(post_data.text, validate=True)
            except (binascii.Error, ValueError):
                raise RejectedRow("body-not-kept", "postData is not base64") from None
        elif encoding:
            raise RejectedRow("body-not-kept", f"postData is encoded as {encoding[:40]}")
        else:
            body = encode_text(post_data.text)
    elif post_data.params:
        if not post_data.mimeType.startswith("application/x-www-form-urlencoded") or size is None:
            raise RejectedRow("body-not-kept", "postData has parameters and no text")
        body = urlencode([(pair.name, pair.value) for pair in post_data.params]).encode()
    elif size:
        return None, size
    else:
        body = b""
    if size is not None and size != len(body):
        raise RejectedRow("body-not-kept", f"{len(body)} bytes were kept of {size}")
    return body, len(body)


def write(requests: Iterable[Request], file: TextIO, version: str) -> int:
    """Write requests as a HAR file and return their number; a body that is not UTF-8 becomes base64."""
    file.write(
        '{"log":{"version":"1.2","creator":{"name":"brambleusher","version":"' + version + '"},"entries":['
    )
    count = 0
    for request in requests:
        file.write(",\n" if count else "\n")
        file.write(msgspec.json.encode(entry_of(request)).decode())
        count += 1
    file.write("\n]}}\n")
    return count


def entry_of(request: Request) -> dict[str, Any]:
    """Convert one request to a HAR entry."""
    took_ms = (request.took_ns or 0) / 1e6
    request_object: dict[str, Any] = {
        "method": request.method, "url": f"{request.origin or 'http://localhost'}{request.target}",
        "httpVersion": "HTTP/1.1", "cookies": [], "queryString": [], "headersSize": -1,
        "bodySize": request.size,
        "headers": [{"name": name, "value": value} for name, value in request.headers],
    }  # fmt: skip
    if request.body:
        content_type = next((value for name, value in request.headers if name.lower() == "content-type"), "")
        try:
            request_object["postData"] = {"mimeType": content_type, "text": request.body.decode()}
        except UnicodeDecodeError:
            text = base64.b64encode(request.body).decode()
            request_object["postData"] = {"mimeType": content_type, "text": text, "encoding": "base64"}
    return {
        "startedDateTime": to_text(request.at_ns), "time": took_ms, "request": request_object, "cache": {},
        "response": {
            "status": request.status or 200, "statusText": "", "httpVersion": "HTTP/1.1", "cookies": [],
            "headers": [], "content": {"size": 0, "mimeType": ""}, "redirectURL": "", "headersSize": -1,
            "bodySize": -1,
        },
        "timings": {"send": 0, "wait": took_ms, "receive": 0},
    }  # fmt: skip
