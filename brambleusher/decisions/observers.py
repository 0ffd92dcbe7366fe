"""Interfaces for observing requests and for recording decisions in captures."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from brambleusher.decisions.requests import AttemptOutcome, ClientRequest
from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.state_codec import JsonObject

log = logging.getLogger(__name__)


class DecisionObserver:
    """Observes requests; its methods must return quickly and must not block the task."""

    def request_accepted(self, request: ClientRequest) -> None:
        """Handle the acceptance of a request."""

    def attempt_finished(self, request: ClientRequest, endpoint: str, outcome: AttemptOutcome) -> None:
        """Handle the end of an attempt, before or after the request's final response."""

    def request_finished(self, request: ClientRequest, kind: str | None, took_ns: int) -> None:
        """Handle a request's final response by its kind; None if the client has disconnected."""


class DecisionObservers(DecisionObserver):
    """Calls several observers in order; an exception in one is logged and does not affect the others."""

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
    """One call of the balancer.

    Attributes:
        event: The event; None for the start of the balancer.
        now_ns: The time of the event in nanoseconds.
        actions: The actions that the balancer returned.
        error: The exception that the balancer raised instead, if any.
        request: The request that the event refers to, if known.
    """

    event: api.Event | None
    now_ns: int
    actions: Sequence[api.Action]
    error: Exception | None = None
    request: ClientRequest | None = None


class DecisionRecorder:
    """Records all calls of the balancer by the driver."""

    def start(self, state: Callable[[], JsonObject], is_imported: bool = False) -> None:
        """Start recording a new or imported balancer; `state` returns its state between two events."""

    def record(self, decision: Decision) -> None:
        """Record a decision before its actions are executed."""
