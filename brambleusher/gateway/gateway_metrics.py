"""The metrics of a gateway for operators and their monitoring."""

from __future__ import annotations

from brambleusher.dataplane.configuration_store import ConfigurationStore
from brambleusher.dataplane.counters import Counters
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.memory_budget import MemoryBudget
from brambleusher.dataplane.response_failures import ResponseFailureLog
from brambleusher.gateway.client_server import ClientServer
from brambleusher.observability.prometheus_text import Metric, counter, gauge
from brambleusher.runtime.scheduler import Scheduler

PREFIX = "brambleusher_gateway_"


class GatewayMetrics:
    """Collects the current metrics of one gateway for each scrape."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        clients: ClientServer,
        instances: InstanceTable,
        configuration: ConfigurationStore,
        response_memory: MemoryBudget,
        failures: ResponseFailureLog,
    ) -> None:
        self._scheduler, self._counters = scheduler, counters
        self._clients, self._instances, self._configuration = clients, instances, configuration
        self._response_memory, self._failures = response_memory, failures

    def collect(self) -> list[Metric]:
        """Return all metrics with their current values."""
        return [
            counter(
                f"{PREFIX}requests_total",
                "Requests by outcome and attempts by failure.",
                "outcome",
                self._counters.as_json(),
            ),
            counter(
                f"{PREFIX}response_failures_total",
                "Responses of instances that could not be used.",
                "reason",
                self._failures.counts,
            ),
            counter(
                f"{PREFIX}update_failures_total",
                "Parts of controllers' responses that could not be applied.",
                "part",
                self._configuration.failed_parts,
            ),
            gauge(
                f"{PREFIX}active_requests", "Requests that are being served.", self._clients.active_requests
            ),
            gauge(
                f"{PREFIX}departed_requests",
                "Requests that are being served although their client has closed its connection.",
                self._clients.departed_requests,
            ),
            gauge(
                f"{PREFIX}attempts_in_flight",
                "Connections to instances on which a response is awaited or read.",
                self._instances.attempts_in_flight,
            ),
            gauge(
                f"{PREFIX}buffered_response_bytes",
                "Bytes of incomplete responses of instances that are kept in memory.",
                self._response_memory.reserved_bytes,
            ),
            gauge(
                f"{PREFIX}scheduler_lateness_seconds",
                "How late timers are, 0 where none was late recently.",
                self._scheduler.lateness_s,
            ),
        ]
