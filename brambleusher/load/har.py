"""HAR 1.2: entries to rows, one entry in memory at a time, and requests back to HAR."""

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
from brambleusher.load.json_lines import encoded, joined, not_text
from brambleusher.load.request import LeftOut, Request, Row, SourceError
from brambleusher.load.times import from_text, to_text

MOST_ENTRY = 64 * 1024 * 1024  # bytes of one entry, its answer's content included
CHUNK = 1024 * 1024
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# The next bracket outside strings, however much stands before it.
_BRACKET = re.compile(rb'(?:[^"{}\[\]]++|' + _STRING + rb")*+([{}\[\]])", re.S)
_TOKEN = re.compile(rb"\s*+(?:(" + _STRING + rb')\s*+(:?)|([{}\[\],:])|([^\s"{}\[\],:]++))', re.S)
_SPACE = re.compile(rb"\s*+")
_SCALAR = re.compile(rb"(?:" + _STRING + rb'|[^"{}\[\],])++', re.S)


class Pair(msgspec.Struct):
    """A header or a parameter."""

    name: str
    value: str = ""


class PostData(msgspec.Struct):
    """A request's body; `encoding` is an extension that some exporters write."""

    mimeType: str = ""
    text: str | None = None
    params: list[Pair] = []
    encoding: str | None = None
    other_encoding: str | None = msgspec.field(default=None, name="_encoding")


class Asked(msgspec.Struct):
    """The request of an entry."""

    method: str
    url: str
    headers: list[Pair] = []
    postData: PostData | None = None
    bodySize: Any = -1


class Answered(msgspec.Struct):
    """What is needed of an entry's response."""

    status: Any = 0


class Entry(msgspec.Struct):
    """One of `log.entries`."""

    request: Asked
    response: Answered | None = None
    startedDateTime: str | None = None
    time: Any = None
    from_cache: Any = msgspec.field(default=None, name="_fromCache")
    served_from_cache: Any = msgspec.field(default=None, name="_servedFromCache")


class Entries:
    """Cuts `log.entries` out of a JSON text that is read piece by piece.

    Only brackets and strings are looked at; an entry's own text is read by the JSON library, so one that
    is faulty is left out alone.
    """

    def __init__(self, file: io.BufferedReader, name: str) -> None:
        self._file, self._name = file, name
        self._buffer = bytearray()
        self._at = 0  # in the buffer
        self._base = 0  # of the buffer, in the file
        self._entry = -1  # where the one under way begins in the file; it stays in the buffer
        self._number = 0
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        """The text of each entry; raises `SourceError` where the file is no HAR file, or ends too early."""
        self._open()
        while self._next() != b"]":
            if self._number:
                if self._next() != b",":
                    raise self._error(
                        f"neither a comma nor the list's end stands behind entry {self._number}"
                    )
                self._at += 1
                self._next()
            self._number += 1
            yield self._value()
        self._at += 1
        self._close()

    def _error(self, text: str) -> SourceError:
        return SourceError(f"{self._name}: byte {self._base + self._at}: {text}")

    def _more(self) -> bool:
        if not self._ended:
            done = self._at if self._entry < 0 else self._entry - self._base
            if len(self._buffer) - done > MOST_ENTRY:
                raise self._error("there are more than 64 MiB in one entry or text here")
            del self._buffer[:done]
            self._base += done
            self._at -= done
            data = self._file.read(CHUNK)
            self._ended = not data
            self._buffer += data
        return not self._ended

    def _match(self, pattern: re.Pattern[bytes]) -> re.Match[bytes] | None:
        """A match here that more of the file would not change."""
        while True:
            found = pattern.match(self._buffer, self._at)
            if found is not None and found.end() < len(self._buffer):
                return found
            if not self._more():
                return pattern.match(self._buffer, self._at)

    def _next(self) -> bytes:
        """The next byte that is not white space; empty at the end."""
        found = self._match(_SPACE)
        self._at = found.end() if found is not None else self._at
        return bytes(self._buffer[self._at : self._at + 1])

    def _tokens(self) -> Iterator[tuple[bytes, bool]]:
        """Brackets, commas, texts and the rest, and whether it is a key."""
        while (found := self._match(_TOKEN)) is not None:
            self._at = found.end()
            yield found[1] or found[3] or found[4], bool(found[2])

    def _open(self) -> None:
        """Go to behind the bracket that begins the list."""
        self._more()
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

    def _value(self) -> bytes:
        self._entry, depth = self._base + self._at, 0
        while True:
            opens = depth or self._next() in (b"{", b"[")
            found = self._match(_BRACKET) if opens else self._match(_SCALAR)
            if found is None:
                self._at = self._entry - self._base
                raise self._error(f"entry {self._number} has no end")
            self._at = found.end()
            if opens:
                depth += 1 if found[1] in (b"{", b"[") else -1
            if not depth:
                text = bytes(self._buffer[self._entry - self._base : self._at])
                self._entry = -1
                return text

    def _close(self) -> None:
        depth = 2
        for token, _ in self._tokens():
            depth += (token in (b"{", b"[")) - (token in (b"}", b"]"))
            if depth < 0 or (depth == 0 and token != b"}"):
                raise self._error("something stands behind the end of the JSON text")
        if depth:
            raise self._error("the file ends before the JSON text does")


def rows(file: io.BufferedReader, name: str) -> Iterator[Row | tuple[int, LeftOut]]:
    """Each entry as a row, or as what kept it from being one; raises `SourceError`."""
    decode = msgspec.json.Decoder(Entry).decode
    for number, text in enumerate(Entries(file, name), 1):
        try:
            try:
                entry = decode(text)
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                raise LeftOut("encoding" if not_text(text) else "unreadable", str(error)) from None
            yield row(number, entry)
        except LeftOut as why:
            yield number, why


def row(number: int, entry: Entry) -> Row:
    """One entry; raises `LeftOut`."""
    if entry.from_cache or entry.served_from_cache:
        raise LeftOut("from-cache")
    status = entry.response.status if entry.response is not None else 0
    if type(status) is not int or not 100 <= status <= 599:
        raise LeftOut("aborted", f"status {status}"[:40])
    if not entry.startedDateTime:
        raise LeftOut("no-time")
    at_ns, whole, leap = from_text(entry.startedDateTime)
    origin, target = split_url(entry.request.url)
    fields = tuple((pair.name, pair.value) for pair in entry.request.headers)
    headers = joined(fields)
    body, size = _body(entry.request, headers)
    took = entry.time
    took_ns = round(took * 1e6) if type(took) in (int, float) and 0 <= took < 1e12 else None
    return Row(
        number, at_ns, whole, entry.request.method, target, headers, fields, body, size, origin, status,
        took_ns, leap=leap,
    )  # fmt: skip


def _body(asked: Asked, headers: dict[str, str]) -> tuple[bytes | None, int | None]:
    """The body and its size; None where the entry does not say."""
    stated = asked.bodySize
    size = int(stated) if type(stated) in (int, float) and 0 <= stated < 2**53 else None
    length = headers.get("content-length")
    if length is not None and length.isascii() and length.isdecimal() and len(length) < 16:
        size = int(length)
    post = asked.postData
    if post is None:
        return None, size
    if post.text:
        encoding = post.encoding or post.other_encoding
        if encoding == "base64":
            try:
                body = base64.b64decode(post.text, validate=True)
            except (binascii.Error, ValueError):
                raise LeftOut("body-not-kept", "postData is not base64") from None
        elif encoding:
            raise LeftOut("body-not-kept", f"postData is encoded as {encoding[:40]}")
        else:
            body = encoded(post.text)
    elif post.params:
        if not post.mimeType.startswith("application/x-www-form-urlencoded") or size is None:
            raise LeftOut("body-not-kept", "postData has parameters and no text")
        body = urlencode([(pair.name, pair.value) for pair in post.params]).encode()
    elif size:
        return None, size
    else:
        body = b""
    if size is not None and size != len(body):
        raise LeftOut("body-not-kept", f"{len(body)} bytes were kept of {size}")
    return body, len(body)


def write(requests: Iterable[Request], file: TextIO, version: str) -> int:
    """Requests as a HAR file; says how many.  A body that is no text is written as base64."""
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
    """One request as an entry of a HAR file."""
    took_ms = (request.took_ns or 0) / 1e6
    asked: dict[str, Any] = {
        "method": request.method, "url": f"{request.origin or 'http://localhost'}{request.target}",
        "httpVersion": "HTTP/1.1", "cookies": [], "queryString": [], "headersSize": -1,
        "bodySize": request.size,
        "headers": [{"name": name, "value": value} for name, value in request.headers],
    }  # fmt: skip
    if request.body:
        kind = next((value for name, value in request.headers if name.lower() == "content-type"), "")
        try:
            asked["postData"] = {"mimeType": kind, "text": request.body.decode()}
        except UnicodeDecodeError:
            text = base64.b64encode(request.body).decode()
            asked["postData"] = {"mimeType": kind, "text": text, "encoding": "base64"}
    return {
        "startedDateTime": to_text(request.at_ns), "time": took_ms, "request": asked, "cache": {},
        "response": {
            "status": request.status or 200, "statusText": "", "httpVersion": "HTTP/1.1", "cookies": [],
            "headers": [], "content": {"size": 0, "mimeType": ""}, "redirectURL": "", "headersSize": -1,
            "bodySize": -1,
        },
        "timings": {"send": 0, "wait": took_ms, "receive": 0},
    }  # fmt: skip
