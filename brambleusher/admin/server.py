"""The admin listener: one request per connection, handled with priority over client requests."""

from __future__ import annotations

import logging
from typing import Protocol

from brambleusher.admin.routes import AdminOperation, AdminRequest, find_route
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

MAX_ADMIN_CONNECTIONS = 16  # connections open at once; a new one beyond this closes the oldest
DESCRIPTORS = MAX_ADMIN_CONNECTIONS + 2  # plus the listener and a connection that replaces the oldest
BACKLOG = 64
ADMIN_REQUEST_TIMEOUT_S = 1.5  # limit in seconds from accept to the last byte of the request
WRITE_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 4096  # no operation needs a body
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class AdminService(Protocol):
    """The operations of the sidecar that the admin endpoint calls."""

    def is_serving(self) -> bool:
        """Whether this process is ready to serve requests."""

    def metrics_text(self) -> bytes:
        """Return the current metrics as text."""

    def take_endpoint_offline(self, name: str) -> bool:
        """Ban an endpoint; return False if the endpoint was never listed."""

    def put_endpoint_online(self, name: str) -> bool:
        """End the ban of an endpoint; return False if the endpoint was never listed."""

    def take_out_of_service(self) -> None:
        """Take this process out of service, so that clients go elsewhere."""

    def put_in_service(self) -> None:
        """Put this process back in service, so that clients may return."""


class AdminServer:
    """Accepts admin connections and serves their requests."""

    def __init__(self, scheduler: Scheduler, service: AdminService) -> None:
        self._scheduler, self._service = scheduler, service
        self._listener: Socket | None = None
        self._accepting: Task | None = None
        # Connections without a complete request, oldest first.
        self._pending_connections: dict[Stream, Task] = {}

    def listen(self, address: Address) -> Address:
        """Listen on an address and start accepting; return the bound address; raises `OSError`."""
        self._listener = listener = self._scheduler.system.listen(address, BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept_all, listener, name="admin", urgent=True)
        return local_address(listener)

    def close(self) -> None:
        """Stop listening and close the connections without a complete request."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for stream in list(self._pending_connections):
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
            if len(self._pending_connections) >= MAX_ADMIN_CONNECTIONS:
                # Silent connections must not block new ones.
                self._drop(next(iter(self._pending_connections)))
            stream = accepted.stream
            self._pending_connections[stream] = self._scheduler.spawn(
                self._serve, stream, name="admin call", urgent=True
            )

    def _drop(self, stream: Stream) -> None:
        task = self._pending_connections.pop(stream, None)
        if task is not None:
            task.cancel()
        stream.close()

    def _serve(self, stream: Stream) -> None:
        try:
            response = self._serve_request(stream)
            # From here on, a newer connection does not close this one.
            self._pending_connections.pop(stream, None)
            stream.send(response, self._scheduler.now() + WRITE_TIMEOUT_S)
            stream.finish()
        except (OSError, TaskTimeoutError):
            return
        finally:
            self._pending_connections.pop(stream, None)
            stream.close()

    def _serve_request(self, stream: Stream) -> bytes:
        """Read a request and run its operation; raises `OSError` if the client disconnected."""
        try:
            status, body = self.respond(self._read(stream))
        except HttpError as error:
            status, body = error.status, f"{error}\n".encode()
        except (OSError, TaskTimeoutError):
            raise
        except Exception:
            # An unexpected error here must not leave the client without a response.
            log.exception("admin call failed")
            status, body = 500, b"failed\n"
        return write_response(status, [("Content-Type", "text/plain")], body, False)

    def _read(self, stream: Stream) -> AdminRequest:
        """Read the request; raises `HttpError`, or `OSError` if the client disconnected."""
        reader, deadline = MessageReader.requests(), self._scheduler.now() + ADMIN_REQUEST_TIMEOUT_S
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
                raise ConnectionResetError("the client has disconnected")
            reader.feed(data)
        return find_route(*message.start)

    @staticmethod
    def _take(reader: MessageReader) -> Message | None:
        message = reader.take()
        if reader.size > MAX_BODY_BYTES:
            raise HttpError(413, "no call has a body")
        return message

    def respond(self, request: AdminRequest) -> tuple[int, bytes]:
        """Run the requested operation; return the status and the body of the response."""
        service = self._service
        match request.operation:
            case AdminOperation.READY:
                return (200, b"ready\n") if service.is_serving() else (503, b"starting\n")
            case AdminOperation.COUNTERS:
                return 200, service.metrics_text()
            case AdminOperation.OFFLINE | AdminOperation.ONLINE:
                if not self._set_endpoint(request):
                    return 404, b"no such registry node was ever listed\n"
            case AdminOperation.OUT_OF_SERVICE:
                service.take_out_of_service()
            case AdminOperation.IN_SERVICE:
                service.put_in_service()
        fields = {"call": request.operation.value, "registry_node": request.endpoint}
        log.info("admin call", extra={"fields": fields})
        return 200, f"{request.operation.value}\n".encode()

    def _set_endpoint(self, request: AdminRequest) -> bool:
        if request.operation is AdminOperation.OFFLINE:
            return self._service.take_endpoint_offline(request.endpoint)
        return self._service.put_endpoint_online(request.endpoint)
