"""The operators' listener: one call a connection, answered ahead of the requests that wait to be served."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from brambleusher.admin.routes import AdminCall, AdminRequest, find
from brambleusher.net.http import HttpError, Message, MessageReader, write_response
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import RESOURCE_EXHAUSTION_ERRNOS, Socket

log = logging.getLogger(__name__)

MOST = 16  # connections at once; one more closes the oldest
DESCRIPTORS = MOST + 2  # the listener, and the one that is accepted before the oldest is closed
BACKLOG = 64
CALL_SECONDS = 1.5  # from the accept to the last byte of the call
WRITE_SECONDS = 1.0
MOST_BODY = 4096  # no call needs one
NO_DESCRIPTOR_SECONDS = 0.05


class AdminService(Protocol):
    """What calls are about."""

    def is_serving(self) -> bool:
        """Whether this process can serve."""

    def figures_text(self) -> bytes:
        """The figures as they stand."""

    def offline(self, node: str) -> bool:
        """Leave an endpoint out; false for one that was never listed."""

    def online(self, node: str) -> bool:
        """Use it again; false for one that was never listed."""

    def out_of_service(self) -> None:
        """Send clients away."""

    def in_service(self) -> None:
        """Back to work."""


class AdminServer:
    """Serves operators' calls."""

    def __init__(self, scheduler: Scheduler, service: AdminService) -> None:
        self._scheduler, self._service = scheduler, service
        self._listener: Socket | None = None
        self._accepting: Task | None = None
        self._callers: dict[Stream, Task] = {}  # those whose call is not whole, the oldest first

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind, and start to take calls; says where.  Raises `OSError`."""
        self._listener = listener = self._scheduler.system.listen(address, BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept_all, listener, name="admin", urgent=True)
        host, port = listener.getsockname()[:2]
        return str(host), int(port)

    def close(self) -> None:
        """Take no more calls."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for stream in list(self._callers):
            self._drop(stream)

    def _accept_all(self, listener: Socket) -> None:
        while True:
            try:
                sock, _ = self._scheduler.system.accept(listener)
            except BlockingIOError:
                self._scheduler.park(sock=listener)
                continue
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    log.warning("no descriptor for a call", extra={"fields": {"error": error.strerror}})
                    self._scheduler.sleep(NO_DESCRIPTOR_SECONDS)
                continue
            if len(self._callers) >= MOST:
                # Guards against callers that say nothing keeping out the next one.
                self._drop(next(iter(self._callers)))
            stream = Stream(self._scheduler, sock)
            self._callers[stream] = self._scheduler.spawn(self._serve, stream, name="call", urgent=True)

    def _drop(self, stream: Stream) -> None:
        task = self._callers.pop(stream, None)
        if task is not None:
            task.cancel()
        stream.close()

    def _serve(self, stream: Stream) -> None:
        try:
            try:
                status, body = self.answer(self._read(stream))
            except HttpError as error:
                status, body = error.status, f"{error}\n".encode()
            except (OSError, TaskTimeoutError):
                return
            except Exception:
                # Guards against a call without an answer, by a fault of ours.
                log.exception("call failed")
                status, body = 500, b"failed\n"
            self._callers.pop(stream, None)
            try:
                text = write_response(status, [("Content-Type", "text/plain")], body, False)
                stream.send(text, self._scheduler.now() + WRITE_SECONDS)
                stream.finish()
            except (OSError, TaskTimeoutError):
                return
        finally:
            self._callers.pop(stream, None)
            stream.close()

    def _read(self, stream: Stream) -> AdminRequest:
        """The call; raises `HttpError`, `OSError` where the caller left."""
        reader, deadline = MessageReader.requests(), self._scheduler.now() + CALL_SECONDS
        told_to_go_on = False
        while (call := self._taken(reader)) is None:
            if reader.expects_continue and not told_to_go_on:
                told_to_go_on = True
                stream.send(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
            try:
                data = stream.receive(deadline)
            except TaskTimeoutError:
                raise HttpError(408, "the call did not come whole in time") from None
            if not data:
                raise ConnectionResetError("the caller has left")
            reader.feed(data)
        return find(*call.start)

    @staticmethod
    def _taken(reader: MessageReader) -> Message | None:
        call = reader.take()
        if reader.size > MOST_BODY:
            raise HttpError(413, "no call has a body")
        return call

    def answer(self, asked: AdminRequest) -> tuple[int, bytes]:
        """Do what is asked: the status and what is said."""
        service, node = self._service, asked.node
        by_node: dict[AdminCall, Callable[[str], bool]] = {
            AdminCall.OFFLINE: service.offline, AdminCall.ONLINE: service.online
        }  # fmt: skip
        match asked.call:
            case AdminCall.READY:
                return (200, b"ready\n") if service.is_serving() else (503, b"starting\n")
            case AdminCall.COUNTERS:
                return 200, service.figures_text()
            case AdminCall.OFFLINE | AdminCall.ONLINE:
                if not by_node[asked.call](node):
                    return 404, b"no such registry node was ever listed\n"
            case AdminCall.OUT_OF_SERVICE:
                service.out_of_service()
            case AdminCall.IN_SERVICE:
                service.in_service()
        log.info("operators' call", extra={"fields": {"call": asked.call.value, "registry_node": node}})
        return 200, f"{asked.call.value}\n".encode()
