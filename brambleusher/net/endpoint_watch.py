"""Discovery's watch over HTTP: a chunked answer with one JSON object a line."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from http import HTTPStatus

from brambleusher.net.http import MessageReader, write_request
from brambleusher.net.json_text_assembler import TextAssembler
from brambleusher.net.streamed_bodies import MIN_BYTES_PER_S
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 4.0  # a call may wait its turn for 3 s before discovery fails it
SILENT_SECONDS = 3.0  # without a whole line: an empty one is due every 2 s; pieces of one are no sign of life
TEXT_SECONDS = 1.0  # from the first line of an indented text to its last
MAX_LINE = 6 * 1024 * 1024
LONG_LINE = 64 * 1024  # past it, others run after each piece of one


class WatchError(OSError):
    """Discovery did not answer with a watch."""


class HttpWatch:
    """The feed of the endpoint list."""

    def __init__(self, scheduler: Scheduler, address: tuple[str, int]) -> None:
        self._scheduler, self._address = scheduler, address

    def __call__(self, since: int | None) -> Generator[bytes, None, None]:
        """Lines as they come; ends with the watch, raises `TaskTimeoutError` when it has gone silent."""
        now = self._scheduler.now
        stream = Stream.connect(self._scheduler, self._address, now() + CONNECT_SECONDS)
        try:
            target = "/v1/endpoints?follow=1" + ("" if since is None else f"&since={since}")
            host = f"{self._address[0]}:{self._address[1]}"
            stream.send(write_request("GET", target, [("Host", host)]), now() + CONNECT_SECONDS)
            reader, deadline = MessageReader.responses(), now() + ANSWER_SECONDS
            while (head := reader.head()) is None:
                data = stream.receive(deadline)
                if not data:
                    raise WatchError("discovery closed the connection")
                reader.feed(data)
            if head.status != HTTPStatus.OK:
                raise WatchError(f"discovery answered {head.status}")
            yield from self._lines(stream, reader)
        finally:
            stream.close()

    def _lines(self, stream: Stream, reader: MessageReader) -> Iterator[bytes]:
        now = self._scheduler.now
        pending, texts = bytearray(), TextAssembler()
        heard_at = now()  # when the last whole line had been dealt with
        while True:
            part, done = reader.drain()
            looked = len(pending)
            pending += part
            while (end := pending.find(b"\n", looked)) >= 0:
                line = bytes(pending[:end])
                del pending[: end + 1]
                looked = 0
                yield from texts.add(line)
                heard_at = now()
            if done:
                return
            if len(pending) + texts.size > MAX_LINE:
                raise WatchError("a line is too long")
            if len(pending) > LONG_LINE:
                self._scheduler.yield_until_idle()
            patience = TEXT_SECONDS if texts.incomplete else SILENT_SECONDS
            # Guards against a watch that trickles: a long line has as much longer as its bytes take.
            try:
                data = stream.receive(heard_at + patience + len(pending) / MIN_BYTES_PER_S)
            except TaskTimeoutError:
                if not texts.incomplete:
                    raise
                yield texts.give_up()
                raise
            if not data:
                raise WatchError("the watch was cut")
            reader.feed(data)
