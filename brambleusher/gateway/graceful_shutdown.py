"""Graceful shutdown of a gateway: become not ready, finish active requests, end the process."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brambleusher.gateway.client_server import ClientServer
from brambleusher.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)

CLIENTS_NOTICE_S = 2.6  # how long after SIGTERM clients may still use the registry's previous answer
IDLE_S = 0.6  # the gateway may end once it has had no request for this long
LAST_REQUESTS_S = 3.0  # requests that arrive within this time before SIGKILL are rejected
KILL_MARGIN_S = 0.3  # the process ends this long before SIGKILL
POLL_INTERVAL_S = 0.05
LAST_POLL_INTERVAL_S = 0.02


class GracefulShutdown:
    """Runs the graceful shutdown of a gateway, which ends before SIGKILL."""

    def __init__(self, scheduler: Scheduler, grace_s: Callable[[], float]) -> None:
        """Create the shutdown; `grace_s` returns the time between SIGTERM and SIGKILL in seconds."""
        self._scheduler, self._grace_s = scheduler, grace_s
        self._started_at_s: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._started_at_s is not None

    @property
    def is_too_late_for_requests(self) -> bool:
        """Whether a request that arrives now could be interrupted by SIGKILL."""
        if self._started_at_s is None:
            return False
        return self._scheduler.now() > self._started_at_s + self._grace_s() - LAST_REQUESTS_S

    def can_finish(self, deadline_s: float) -> bool:
        """Whether a request that arrives now and takes until its deadline would be answered in time.

        Requests are accepted in any case while their clients can't know about the shutdown yet.
        """
        if self._started_at_s is None or self._scheduler.now() < self._started_at_s + CLIENTS_NOTICE_S:
            return True
        return deadline_s <= self._end_s(self._started_at_s)

    def _end_s(self, started_at_s: float) -> float:
        return started_at_s + self._grace_s() - KILL_MARGIN_S

    def begin(self, clients: ClientServer) -> None:
        """Begin the shutdown once: close client connections after their responses, then end the process."""
        if self._started_at_s is not None:
            return
        self._started_at_s = self._scheduler.now()
        fields = {"role": "gateway", "active_requests": clients.active_requests}
        log.info("graceful shutdown started", extra={"fields": fields})
        clients.close_after_responses()
        self._scheduler.spawn(self._finish, clients, self._started_at_s, name="graceful_shutdown")

    def _finish(self, clients: ClientServer, started_at_s: float) -> None:
        deadline_s = self._end_s(started_at_s)
        earliest_s = min(started_at_s + CLIENTS_NOTICE_S, deadline_s)
        while (now_s := self._scheduler.now()) < deadline_s:
            if now_s >= earliest_s and clients.is_idle(IDLE_S):
                break
            self._scheduler.sleep(POLL_INTERVAL_S)
        clients.close()
        while clients.active_requests and self._scheduler.now() < deadline_s:
            self._scheduler.sleep(LAST_POLL_INTERVAL_S)
        self._scheduler.sleep(LAST_POLL_INTERVAL_S)
        self._scheduler.stop()
