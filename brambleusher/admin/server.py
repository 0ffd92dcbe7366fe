"""The operators' listener: one call a connection, answered ahead of the requests that wait to be served."""

from __future__ import annotations

import logging
from typing import Protocol

from brambleusher.admin.routes import AdminCall, AdminRequest, find_route
from brambleusher.net.http import HttpError, Message, MessageReader, write_response
from brambleusher.runtime.listening import (
    ACCEPT_RETRY_S,
    OutOfDescriptorsError,
    accept_connection,
    local_address,
)
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address, Socket

log = logging.getLogger(__name__)

MAX_CALLERS = 16  # connections at once; one more closes the oldest
DESCRIPTORS = MAX_CALLERS + 2  # the listener, and the one that is accepted before the oldest is closed
BACKLOG = 64
CALL_TIMEOUT_S = 1.5  # from the accept to the last byte of the call
WRITE_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 4096  # no call needs one
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class AdminService(Protocol):
    """What calls are about."""

    def is_serving(self) -> bool:
        """Whether this process can serve."""

    def metrics_text(self) -> bytes:
        """Render the metrics as they stand."""

    def take_endpoint_offline(self, name: str) -> bool:
        """Ban an endpoint; false for one that was never listed."""

    def put_endpoint_online(self, name: str) -> bool:
        """End an endpoint's ban; false for one that was never listed."""

    def take_out_of_service(self) -> None:
        """Send clients away."""

    def put_in_service(self) -> None:
        """Accept clients again."""


class AdminServer:
    """Serves operators' calls."""

    def __init__(self, scheduler: Scheduler, service: AdminService) -> None:
        self._scheduler, self._service = scheduler, service
        self._listener: Socket | None = None
        self._accepting: Task | None = None
        self._callers: dict[Stream, Task] = {}  # those whose call is not complete, the oldest first

    def listen(self, address: Address) -> Address:
        """Bind, and start to take calls; returns the address it listens on, raises `OSError`."""
        self._listener = listener = self._scheduler.system.listen(address, BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept_all, listener, name="admin", urgent=True)
        return local_address(listener)

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
                accepted = accept_connection(self._scheduler, listener)
            except OutOfDescriptorsError as error:
                log.warning("accept failed", extra={"fields": {"listener": "admin", "error": error.strerror}})
                self._scheduler.sleep(ACCEPT_RETRY_S)
                continue
            if accepted is None:
                self._scheduler.park(sock=listener)
                continue
            if len(self._callers) >= MAX_CALLERS:
                # Callers that say nothing must not keep out the next one.
                self._drop(next(iter(self._callers)))
            stream = accepted.stream
            self._callers[stream] = self._scheduler.spawn(self._serve, stream, name="admin call", urgent=True)

    def _drop(self, stream: Stream) -> None:
        task = self._callers.pop(stream, None)
        if task is not None:
            task.cancel()
        stream.close()

    def _serve(self, stream: Stream) -> None:
        try:
            response = self._serve_call(stream)
            # From here on a newer caller does not close this one.
            self._callers.pop(stream, None)
            stream.send(response, self._scheduler.now() + WRITE_TIMEOUT_S)
            stream.finish()
        except (OSError, TaskTimeoutError):
            return
        finally:
            self._callers.pop(stream, None)
            stream.close()

    def _serve_call(self, stream: Stream) -> bytes:
        """Read a call and do what it asks for; raises `OSError` where the caller left."""
        try:
            status, body = self.respond(self._read(stream))
        except HttpError as error:
            status, body = error.status, f"{error}\n".encode()
        except (OSError, TaskTimeoutError):
            raise
        except Exception:
            # A fault of ours must not leave the call without a response.
            log.exception("admin call failed")
            status, body = 500, b"failed\n"
        return write_response(status, [("Content-Type", "text/plain")], body, False)

    def _read(self, stream: Stream) -> AdminRequest:
        """Read the call; raises `HttpError`, and `OSError` where the caller left."""
        reader, deadline = MessageReader.requests(), self._scheduler.now() + CALL_TIMEOUT_S
        has_sent_continue = False
        while (message := self._take(reader)) is None:
            if reader.expects_continue and not has_sent_continue:
                has_sent_continue = True
                stream.send(CONTINUE, deadline)
            try:
                data = stream.receive(deadline)
            except TaskTimeoutError:
                raise HttpError(408, "the call did not come whole in time") from None
            if not data:
                raise ConnectionResetError("the caller has left")
            reader.feed(data)
        return find_route(*message.start)

    @staticmethod
    def _take(reader: MessageReader) -> Message | None:
        message = reader.take()
        if reader.size > MAX_BODY_BYTES:
            raise HttpError(413, "no call has a body")
        return message

    def respond(self, request: AdminRequest) -> tuple[int, bytes]:
        """Do what a call asks for; returns the status and the body of its response."""
        service = self._service
        match request.call:
            case AdminCall.READY:
                return (200, b"ready\n") if service.is_serving() else (503, b"starting\n")
            case AdminCall.COUNTERS:
                return 200, service.metrics_text()
            case AdminCall.OFFLINE | AdminCall.ONLINE:
                if not self._set_endpoint(request):
                    return 404, b"no such registry node was ever listed\n"
            case AdminCall.OUT_OF_SERVICE:
                service.take_out_of_service()
            case AdminCall.IN_SERVICE:
                service.put_in_service()
        fields = {"call": request.call.value, "registry_node": request.endpoint}
        log.info("admin call", extra={"fields": fields})
        return 200, f"{request.call.value}\n".encode()

    def _set_endpoint(self, request: AdminRequest) -> bool:
        if request.call is AdminCall.OFFLINE:
            return self._service.take_endpoint_offline(request.endpoint)
        return self._service.put_endpoint_online(request.endpoint)
