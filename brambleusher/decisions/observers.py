"""Those that follow requests and decisions: features of the operators, and the recorder of captures."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from brambleusher.decisions.requests import AttemptOutcome, ClientRequest
from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.state_codec import JsonObject

log = logging.getLogger(__name__)


class DecisionObserver:
    """Follows requests as they pass; its methods are quick and never park the task."""

    def request_accepted(self, request: ClientRequest) -> None:
        """Note a request that was accepted."""

    def attempt_finished(self, request: ClientRequest, endpoint: str, outcome: AttemptOutcome) -> None:
        """Note the end of an attempt, before the request's final response or after."""

    def request_finished(self, request: ClientRequest, kind: str | None, took_ns: int) -> None:
        """Note a request's final response by its kind; None: its client has disconnected."""


class DecisionObservers(DecisionObserver):
    """Several observers, in order; a fault in one is logged and harms neither the others nor the request."""

    def __init__(self, observers: Iterable[DecisionObserver] = ()) -> None:
        self._observers = tuple(observers)

    def request_accepted(self, request: ClientRequest) -> None:
        """Pass the event on."""
        for observer in self._observers:
            try:
                observer.request_accepted(request)
            except Exception:
                log.exception("observer failed", extra=_fields(observer))

    def attempt_finished(self, request: ClientRequest, endpoint: str, outcome: AttemptOutcome) -> None:
        """Pass the event on."""
        for observer in self._observers:
            try:
                observer.attempt_finished(request, endpoint, outcome)
            except Exception:
                log.exception("observer failed", extra=_fields(observer))

    def request_finished(self, request: ClientRequest, kind: str | None, took_ns: int) -> None:
        """Pass the event on."""
        for observer in self._observers:
            try:
                observer.request_finished(request, kind, took_ns)
            except Exception:
                log.exception("observer failed", extra=_fields(observer))


def _fields(observer: DecisionObserver) -> dict[str, object]:
    return {"fields": {"observer": type(observer).__name__}}


@dataclass(slots=True)
class Decision:
    """One step of the balancer.

    Attributes:
        event: The event; None: its start.
        now_ns: The time of the event.
        actions: What it decided.
        error: What it raised instead.
        request: The request that the event is about.
    """

    event: api.Event | None
    now_ns: int
    actions: Sequence[api.Action]
    error: Exception | None = None
    request: ClientRequest | None = None


class DecisionRecorder:
    """Follows all that passes between the driver and the balancer."""

    def start(self, state: Callable[[], JsonObject], is_imported: bool = False) -> None:
        """Begin with a balancer, new or imported; `state` returns its state between two events."""

    def record(self, decision: Decision) -> None:
        """Record a decision, whose actions are not carried out yet."""
