"""HTTP listeners for clients outside the control plane: the operator's admin API and the registry."""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.controlplane.configuration.admin_api import CONFIGURATION_BYTES_MAX
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.settings import Bind

# Upper bound on the body of a request to the registry; valid requests have no body.
RESOLUTION_BYTES_MAX = 4096

Handler = Callable[[HttpRequest], HttpResponse]


class AdminListeners:
    """Owns the HTTP listeners of a controller or an observer."""

    def __init__(self, scheduler: Scheduler, bind: Bind, admin_api: Handler, resolver: Handler) -> None:
        admin_address = parse_address(bind.control)
        self._servers = [HttpServer(scheduler, admin_address, admin_api, CONFIGURATION_BYTES_MAX)]
        if bind.directory:
            address = parse_address(bind.directory)
            self._servers.append(HttpServer(scheduler, address, resolver, RESOLUTION_BYTES_MAX))

    def close_after_responses(self) -> None:
        """Close each connection after its next response."""
        for server in self._servers:
            server.closing = True
