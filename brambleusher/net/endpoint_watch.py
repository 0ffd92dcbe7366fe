"""Watches discovery over HTTP; the response is chunked and has one JSON object per line."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from http import HTTPStatus

from brambleusher.net.http import MessageReader, write_request
from brambleusher.net.json_text_assembler import TextAssembler
from brambleusher.net.streamed_bodies import MIN_BYTES_PER_S
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream

CONNECT_TIMEOUT_S = 1.0  # limit in seconds for the connect, and again for sending the request
RESPONSE_TIMEOUT_S = 4.0  # limit in seconds; discovery may queue a request for 3 s before rejecting it
# At most this many seconds without a complete line. An empty line is due every 2 s as a heartbeat; pieces of
# an incomplete line are no sign of life and do not extend the timeout.
LINE_TIMEOUT_S = 3.0
TEXT_TIMEOUT_S = 1.0  # limit in seconds from the first to the last line of an indented text
MAX_LINE_BYTES = 6 * 1024 * 1024
YIELD_LINE_BYTES = 64 * 1024  # bytes of an incomplete line from which other tasks run after each read


class WatchError(OSError):
    """Raised when discovery does not open a watch or closes it unexpectedly."""


class HttpWatch:
    """Feeds the endpoint list from a discovery watch over HTTP."""

    def __init__(self, scheduler: Scheduler, address: tuple[str, int]) -> None:
        self._scheduler, self._address = scheduler, address

    def __call__(self, since: int | None) -> Generator[bytes, None, None]:
        """Yield texts as they arrive until the watch ends; raise `TaskTimeoutError` if it times out."""
        now = self._scheduler.now
        stream = Stream.connect(self._scheduler, self._address, now() + CONNECT_TIMEOUT_S)
        try:
            target = "/v1/endpoints?follow=1" + ("" if since is None else f"&since={since}")
            host = f"{self._address[0]}:{self._address[1]}"
            stream.send(write_request("GET", target, [("Host", host)]), now() + CONNECT_TIMEOUT_S)
            reader, deadline = MessageReader.responses(), now() + RESPONSE_TIMEOUT_S
            while (head := reader.head()) is None:
                data = stream.receive(deadline)
                if not data:
                    raise WatchError("discovery closed the connection before its response")
                reader.feed(data)
            if head.status != HTTPStatus.OK:
                raise WatchError(f"discovery responded with status {head.status}")
            yield from self._lines(stream, reader)
        finally:
            stream.close()

    def _lines(self, stream: Stream, reader: MessageReader) -> Iterator[bytes]:
        now = self._scheduler.now
        pending, texts = bytearray(), TextAssembler()
        last_line_at = now()  # time at which the last complete line had been processed
        while True:
            received, done = reader.drain()
            searched = len(pending)
            pending += received
            while (end := pending.find(b"\n", searched)) >= 0:
                line = bytes(pending[:end])
                del pending[: end + 1]
                searched = 0
                yield from texts.add(line)
                last_line_at = now()
            if done:
                return
            if len(pending) + texts.size > MAX_LINE_BYTES:
                raise WatchError("a line of the watch is too long")
            if len(pending) > YIELD_LINE_BYTES:
                self._scheduler.yield_until_idle()
            timeout_s = TEXT_TIMEOUT_S if texts.incomplete else LINE_TIMEOUT_S
            # Guards against a watch that sends a line very slowly. The timeout of a long line is extended
            # only by the time that its bytes take at the minimum rate.
            try:
                data = stream.receive(last_line_at + timeout_s + len(pending) / MIN_BYTES_PER_S)
            except TaskTimeoutError:
                if not texts.incomplete:
                    raise
                yield texts.take_pending()
                raise
            if not data:
                raise WatchError("discovery closed the connection in the middle of the watch")
            reader.feed(data)
