"""HTTP listeners for clients outside the control plane: the operator's admin API and the registry."""

from __future__ import annotations

from brambleusher.controlplane.configuration.admin_api import CONFIGURATION_BYTES_MAX, AdminApi
from brambleusher.runtime.http_server import Handler, HttpServer
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream, parse_address
from brambleusher.runtime.system import Address
from brambleusher.wire.settings import Bind

# Upper bound on the body of a request to the registry; valid requests have no body.
RESOLUTION_BYTES_MAX = 4096


class AdminServer(HttpServer):
    """Serves the admin API, whose evacuation orders depend on when their connection became ready for them."""

    def __init__(self, scheduler: Scheduler, address: Address, admin_api: AdminApi) -> None:
        super().__init__(scheduler, address, admin_api.handle, CONFIGURATION_BYTES_MAX)
        self._system, self._admin_api = scheduler.system, admin_api

    def await_first_request(self, stream: Stream, /) -> Handler:
        """Return the handler of a connection's first request.

        The client may have sent it since the connection began to open. Bytes that have arrived already may
        have waited for this process to accept the connection.
        """
        sock = stream.sock
        waited_s = self._system.seconds_to_open(sock) + self._system.seconds_since_data(sock)
        return self._admin_api.next_handler(waited_s)

    def await_next_request(self) -> Handler:
        """Return the handler of a connection's next request."""
        return self._admin_api.next_handler()


class AdminListeners:
    """Owns the HTTP listeners of a controller or an observer."""

    def __init__(self, scheduler: Scheduler, bind: Bind, admin_api: AdminApi, resolver: Handler) -> None:
        admin_address = parse_address(bind.control)
        self._servers: list[HttpServer] = [AdminServer(scheduler, admin_address, admin_api)]
        if bind.directory:
            address = parse_address(bind.directory)
            self._servers.append(HttpServer(scheduler, address, resolver, RESOLUTION_BYTES_MAX))

    def close_after_responses(self) -> None:
        """Close each connection after its next response."""
        for server in self._servers:
            server.closing = True
