"""What serves the control plane's callers from outside: the operator's calls and the registry."""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.controlplane.configuration.admin_api import CONFIGURATION_BYTES_MAX
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.settings import Bind

QUESTION_BYTES = 4096  # of the body of a question to the registry, which has none

Handler = Callable[[HttpRequest], HttpResponse]


class AdminListeners:
    """The listeners of a controller or an observer."""

    def __init__(self, scheduler: Scheduler, bind: Bind, orders: Handler, resolve: Handler) -> None:
        self._servers = [HttpServer(scheduler, parse_address(bind.control), orders, CONFIGURATION_BYTES_MAX)]
        if bind.directory:
            directory = parse_address(bind.directory)
            self._servers.append(HttpServer(scheduler, directory, resolve, QUESTION_BYTES))

    def close_after_responses(self) -> None:
        """From now on each answer ends its connection."""
        for server in self._servers:
            server.closing = True
