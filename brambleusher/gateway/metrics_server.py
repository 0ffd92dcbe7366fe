"""The HTTP listener for scrapes of a gateway's metrics; the deploy file sets its port and path."""

from __future__ import annotations

import logging
from http import HTTPStatus

from brambleusher.gateway.gateway_metrics import GatewayMetrics
from brambleusher.observability.prometheus_text import CONTENT_TYPE, render
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer, json_response
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.metrics_endpoint import MetricsEndpoint

log = logging.getLogger(__name__)

CONNECTIONS_MAX = 16  # scrape connections open at once


class MetricsServer:
    """Answers scrapes; if its port can't be bound, the gateway runs without metrics."""

    def __init__(
        self, scheduler: Scheduler, host: str, endpoint: MetricsEndpoint, metrics: GatewayMetrics
    ) -> None:
        self._endpoint, self._metrics = endpoint, metrics
        try:
            HttpServer(scheduler, (host, endpoint.port), self._handle, connections=CONNECTIONS_MAX)
        except OSError as error:
            fields = {"port": endpoint.port, "reason": error}
            log.warning("metrics listener failed", extra={"fields": fields})

    def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.method != "GET" or request.path != self._endpoint.path:
            reason = f"{request.method} {request.path} is not where metrics are"
            return json_response(HTTPStatus.NOT_FOUND, {"error": reason})
        return HttpResponse(HTTPStatus.OK, render(self._metrics.collect()), content_type=CONTENT_TYPE)
