"""Bodies too large to be held: they pass on in pieces, pulled by the task at the receiving end.

A piece is read from the giving side only when the last one is gone, so a body costs one piece of memory.
"""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.net.http import HttpError, MessageReader
from brambleusher.runtime.scheduler import Event, TaskTimeoutError
from brambleusher.runtime.streams import Stream

PIECE = 32 * 1024  # bytes: one of them and what is made of it is what a body costs
REST_SECONDS = 5.0  # without a byte of an answer that passes on
LOOK_SECONDS = 0.2  # between two looks at the other end, while nothing comes
LONGEST_SECONDS = 900.0  # that a body of the largest size may take
LEAST_RATE = 48_000  # bytes a second that a request's body comes with, on the whole


class ResponseBodyStream:
    """The rest of an answer whose first bytes have come; its claim waits until it is `over`."""

    __slots__ = ("_reader", "_stream", "done", "length", "over")

    def __init__(self, stream: Stream, reader: MessageReader) -> None:
        self._stream, self._reader = stream, reader
        self.length = reader.length  # of the whole body; None: it is not known
        self.over = Event()
        self.done = False  # to its last byte

    def piece(self) -> bytes:
        """The next bytes, empty at the end; raises `HttpError`, `OSError` or `TaskTimeoutError`."""
        while not self.done:
            data, self.done = self._reader.drain()
            if data:
                self._stream.scheduler.give_way()
                return data
            if self.done:
                break
            data = self._stream.receive(self._stream.scheduler.now() + REST_SECONDS, size=PIECE) or b""
            if not data:
                if not self._reader.ends_with_connection:
                    raise ConnectionResetError("the connection ended before its answer")
                self.done = True
            self._reader.feed(data)
        return b""

    @property
    def reusable(self) -> bool:
        """Whether the connection can serve another claim."""
        return self.done and not self._reader.ends_with_connection and not self._reader.buffered

    def close(self) -> None:
        """No more of it is wanted."""
        self.over.set()


class EarlyResponseError(Exception):
    """The node has said something, or left, before the request it was sent was whole."""


class RequestBodyStream:
    """A request's body that passes on before it is whole.

    What has come of it is held until more is read, so that a claim that never began to send can be made
    again.  `whole` is told when its last byte was read.
    """

    __slots__ = (
        "_begun_at", "_patience", "_reader", "_stream", "done", "due", "error", "held", "left", "length",
        "size", "spent", "wait_ms", "whole",
    )  # fmt: skip

    def __init__(self, stream: Stream, reader: MessageReader, begun_at: float, patience: float) -> None:
        self._stream, self._reader = stream, reader
        self._begun_at, self._patience = begun_at, patience
        self.length = reader.length  # None: it comes in chunks
        self.held, self.done = reader.drain()
        self.size = len(self.held)
        self.spent = False  # part of it has left for a node: it can't be sent again
        self.left = False  # its client has
        self.error: HttpError | None = None  # what the client is to be told
        self.due = stream.scheduler.now() + LONGEST_SECONDS  # its answer; sooner, once it is whole
        self.wait_ms = 1  # that its client waits from then on
        self.whole: Callable[[], None] = lambda: None

    def start(self) -> bytes:
        """What is held, which is not held any longer."""
        held, self.held, self.spent = self.held, b"", True
        return held

    def piece(self, event: Event, look: Callable[[], None]) -> bytes | None:
        """The next bytes, empty at the end, None where the event was set.

        `look` is called ahead of each piece and now and then while none comes; what it raises ends the wait.
        Raises `HttpError` where the rest is spoilt, late or too much, `OSError` where the client left.
        """
        try:
            while not self.done:
                data, self.done = self._reader.drain()
                if self.done:
                    self.whole()
                if data:
                    self.size += len(data)
                    self._stream.scheduler.give_way()
                    return data
                if self.done:
                    break
                look()
                now = self._stream.scheduler.now
                due = self._begun_at + self._patience + self.size / LEAST_RATE
                try:
                    got = self._stream.receive(min(due, now() + LOOK_SECONDS), event, PIECE)
                except TaskTimeoutError:
                    if now() < due:
                        continue
                    raise
                if got is None:
                    return None
                if not got:
                    self.left = True
                    raise ConnectionResetError("the client has left")
                self._reader.feed(got)
        except HttpError as error:
            self.error = error
            raise
        except TaskTimeoutError:
            self.error = HttpError(408, "the request did not come whole in time")
            raise self.error from None
        except OSError:
            self.left = True
            raise
        return b""
