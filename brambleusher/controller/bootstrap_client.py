"""Queries to the seeds at the first start of the system, until this controller belongs to a group."""

from __future__ import annotations

import logging

from brambleusher.controlplane.replica import Replica
from brambleusher.membership.line_connection import LineClient
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.bootstrap_messages import BootstrapAnswer
from brambleusher.wire.errors import InvalidMessageError

log = logging.getLogger(__name__)

FORMATION_S = 0.4  # time from the start in which a group whose seeds are all controllers gets a leader
QUERY_INTERVAL_S = 0.2  # time between two queries to a seed
ANSWER_TIMEOUT_S = 0.5
OVERDUE_S = 5.0  # a group that is not formed within this time is logged, and again after each further one


class BootstrapClient:
    """Asks each other seed whether it is an observer; see `controlplane.bootstrap`."""

    def __init__(self, scheduler: Scheduler, replica: Replica) -> None:
        """Begin nothing yet; the caller calls `check` repeatedly."""
        self._scheduler, self._replica = scheduler, replica
        self._due_at = scheduler.now() + FORMATION_S
        self._has_begun = False

    def check(self) -> None:
        """Begin the queries, once, if the replica still has no log; they end when it has one."""
        if self._has_begun or self._scheduler.now() < self._due_at or not self._replica.is_bootstrapping:
            return
        self._has_begun = True
        for seed in self._replica.bootstrap.other_seeds:
            self._scheduler.spawn(self._query_repeatedly, seed, name="bootstrap")
        self._scheduler.spawn(self._log_overdue, name="bootstrap_overdue")

    def _query_repeatedly(self, seed: str) -> None:
        client = LineClient(self._scheduler, parse_address(seed))
        while self._replica.is_bootstrapping:
            self._query(client, seed)
            self._scheduler.sleep(QUERY_INTERVAL_S)
        client.close()

    def _query(self, client: LineClient, seed: str) -> None:
        query = self._replica.bootstrap.next_query(seed)
        try:
            answer = BootstrapAnswer.from_json(client.send_request(query.as_json(), ANSWER_TIMEOUT_S))
        except (OSError, TaskTimeoutError, InvalidMessageError):
            return
        self._replica.record_bootstrap_answer(seed, answer)

    def _log_overdue(self) -> None:
        while True:
            self._scheduler.sleep(OVERDUE_S)
            if not self._replica.is_bootstrapping:
                return
            unanswered = ",".join(self._replica.bootstrap.unanswered_seeds())
            log.warning("group not formed", extra={"fields": {"not_known_as_observers": unanswered}})
