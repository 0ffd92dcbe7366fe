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

RETRY_INTERVAL_S = 1.0
CONNECTIONS_MAX = 16  # scrape connections open at once


class MetricsServer:
    """Answers scrapes; while its port can't be bound, the gateway runs without metrics."""

    def __init__(
        self, scheduler: Scheduler, host: str, endpoint: MetricsEndpoint, metrics: GatewayMetrics
    ) -> None:
        self._scheduler, self._host = scheduler, host
        self._endpoint, self._metrics = endpoint, metrics
        try:
            self._listen()
        except OSError as error:
            fields = {"port": endpoint.port, "reason": error}
            log.warning("metrics listener failed", extra={"fields": fields})
            scheduler.spawn(self._listen_when_free, name="metrics")

    def _listen(self) -> None:
        address = (self._host, self._endpoint.port)
        HttpServer(self._scheduler, address, self._handle, connections=CONNECTIONS_MAX)

    def _listen_when_free(self) -> None:
        """Listen as soon as the port can be bound, as a predecessor may have it until it ends."""
        while True:
            self._scheduler.sleep(RETRY_INTERVAL_S)
            try:
                self._listen()
            except OSError:
                continue
            log.info("metrics listener opened", extra={"fields": {"port": self._endpoint.port}})
            return

    def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.method != "GET" or request.path != self._endpoint.path:
            reason = f"{request.method} {request.path} is not where metrics are"
            return json_response(HTTPStatus.NOT_FOUND, {"error": reason})
        return HttpResponse(HTTPStatus.OK, render(self._metrics.collect()), content_type=CONTENT_TYPE)
