"""Serve the status page: prepared bytes to a few clients at a time, with one request per connection."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from brambleusher.net.http import HttpError, Message, MessageReader, write_response
from brambleusher.runtime.listening import (
    ACCEPT_RETRY_S,
    OutOfDescriptorsError,
    accept_connection,
    local_address,
)
from brambleusher.runtime.scheduler import Event, Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address, Socket

MAX_VIEWERS = 8  # connections served at the same time; others wait in the listen backlog
DESCRIPTORS = MAX_VIEWERS + 1
BACKLOG = 16
VIEW_TIMEOUT_S = 2.0  # limit for the time from accepting a connection to sending the last byte


class StatusServer:
    """Serves prepared pages, which the owner of the `pages` mapping replaces."""

    def __init__(self, scheduler: Scheduler, pages: Mapping[str, list[bytes]]) -> None:
        """Serve `pages`, which maps a path to a complete HTTP response as chunks."""
        self._scheduler, self._pages = scheduler, pages
        self._listener: Socket | None = None
        self._accepting: Task | None = None
        self._viewers: dict[Task, Stream] = {}
        self._viewer_left = Event()

    @property
    def viewers(self) -> int:
        """The number of connections being served."""
        return len(self._viewers)

    def listen(self, address: Address) -> Address:
        """Bind the listener and return its address; raises `OSError` if that fails."""
        self._listener = self._scheduler.system.listen(address, BACKLOG)
        return local_address(self._listener)

    def start(self) -> None:
        """Start to accept connections."""
        if self._listener is not None:
            self._accepting = self._scheduler.spawn(self._accept_all, self._listener, name="status")

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for task, stream in self._viewers.items():
            task.cancel()
            stream.close()

    def _accept_all(self, listener: Socket) -> None:
        while True:
            if len(self._viewers) >= MAX_VIEWERS:
                self._scheduler.park(event=self._viewer_left)
                continue
            try:
                accepted = accept_connection(self._scheduler, listener)
            except OutOfDescriptorsError:
                self._scheduler.sleep(ACCEPT_RETRY_S)
                continue
            if accepted is None:
                self._scheduler.park(sock=listener)
            else:
                self._start_viewer(accepted.stream)

    def _start_viewer(self, stream: Stream) -> None:
        def serve() -> None:
            try:
                self._serve(stream)
            except (OSError, TaskTimeoutError):
                return
            finally:
                stream.close()
                del self._viewers[task]
                self._viewer_left.set()

        task = self._scheduler.spawn(serve, name="viewer")
        self._viewers[task] = stream

    def _serve(self, stream: Stream) -> None:
        """Serve one request, then end the connection."""
        reader, deadline = MessageReader.requests(), self._scheduler.now() + VIEW_TIMEOUT_S
        try:
            while (request := reader.take()) is None:
                data = stream.receive(deadline)
                if not data:
                    return
                reader.feed(data)
            response = self._response(request)
        except HttpError as error:
            response = [write_response(error.status, [], f"{error}\n".encode(), keep_alive=False)]
        for chunk in response:
            stream.send(chunk, deadline)
        stream.finish()

    def _response(self, request: Message) -> list[bytes]:
        method, target = request.start
        page = self._pages.get(target.split("?", 1)[0])
        if page is None:
            raise HttpError(HTTPStatus.NOT_FOUND.value, "there is / and /status.json")
        if method != "GET":
            status = HTTPStatus.METHOD_NOT_ALLOWED.value
            return [write_response(status, [("Allow", "GET")], b"only GET\n", keep_alive=False)]
        return page
