"""Guards against requests that get no answer because their handler raised."""

from __future__ import annotations

import logging

import pytest

from brambleusher.runtime.http_client import HttpClient
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer, json_response
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from tests.system.real_processes import free_ports, own_loopback_address

TIMEOUT_S = 5.0


@pytest.mark.parametrize(
    "error", [ValueError("odd"), RecursionError("deep"), OSError("disk"), TaskTimeoutError()]
)
def test_a_request_whose_handler_raises_gets_500_and_the_connection_goes_on(
    error: Exception, caplog: pytest.LogCaptureFixture
) -> None:
    def handle(request: HttpRequest) -> HttpResponse:
        if request.path == "/raise":
            raise error
        return json_response(200, {})

    scheduler = Scheduler(RealSystem())
    ip = own_loopback_address()
    (port,) = free_ports(ip, 1)
    HttpServer(scheduler, (ip, port), handle)
    client = HttpClient(scheduler, (ip, port))
    statuses: list[int] = []

    def ask() -> None:
        try:
            statuses.extend(client.get(path, TIMEOUT_S)[0] for path in ("/raise", "/fine", "/raise"))
        finally:
            scheduler.stop()

    scheduler.spawn(ask, name="ask")
    with caplog.at_level(logging.ERROR, logger="brambleusher"):
        logging.getLogger("brambleusher").propagate = True
        scheduler.run()
    scheduler.close()
    assert statuses == [500, 200, 500]
    assert [record.getMessage() for record in caplog.records] == ["request failed"] * 2
