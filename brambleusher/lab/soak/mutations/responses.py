"""Mutations that spoil, swap or drop responses."""

from __future__ import annotations

import itertools
from http import HTTPStatus
from typing import Any

from brambleusher.dataplane.attempts import AttemptRunner
from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.dataplane.event_stream import EventSplitter
from brambleusher.dataplane.request_context import RequestContext
from brambleusher.dataplane.streaming import StreamRelay
from brambleusher.dataplane.upstream_response import UpstreamResponse
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak.mutations.registry import mutation

ONE_IN = 40  # an intermittent fault affects one call in this many


@mutation("cut-ends-whole", "gateway", "a stream that broke off is ended as if it were whole", "incomplete")
def _broken_stream_ended_as_complete(patches: Patches) -> None:
    def run(self: StreamRelay, response: UpstreamResponse) -> bool:
        is_complete = bool(original(self, response))
        if not is_complete and self._client.has_response_begun:
            self._client.end_response()
            return True
        return is_complete

    original = patches.set(StreamRelay, "run", run)


@mutation("resumed-from-start", "gateway", "a resumed stream repeats its events", "incomplete")
def _resumed_from_start(patches: Patches) -> None:
    """Remove two guards: instances are told the last event sent, and events already sent are dropped."""

    def init(self: EventSplitter, _after_id: int | None = None) -> None:
        old_init(self, None)

    old_init = patches.set(EventSplitter, "__init__", init)

    def resume(
        self: AttemptRunner, context: RequestContext, _last_event_id: int | None
    ) -> UpstreamResponse | None:
        response: UpstreamResponse | None = original(self, context, None)
        return response

    original = patches.set(AttemptRunner, "resume", resume)


@mutation("resumed-too-late", "gateway", "a resumed stream lacks an event", "incomplete")
def _resumed_too_late(patches: Patches) -> None:
    def resume(
        self: AttemptRunner, context: RequestContext, last_event_id: int | None
    ) -> UpstreamResponse | None:
        response: UpstreamResponse | None = original(self, context, (last_event_id or 0) + 1)
        return response

    original = patches.set(AttemptRunner, "resume", resume)


@mutation("other-answer", "gateway", "now and then a response of another request is sent", "wrong-answer")
def _other_answer(patches: Patches) -> None:
    calls = itertools.count(1)
    last: list[tuple[Any, ...]] = []

    def send_response(self: ClientConnection, *given: Any) -> None:
        is_swapped = next(calls) % ONE_IN == 0 and last and given[0] == HTTPStatus.OK
        sent = last[0] if is_swapped else given
        if given[0] == HTTPStatus.OK:
            last[:] = [given]
        original(self, *sent)

    original = patches.set(ClientConnection, "send_response", send_response)


@mutation("dropped", "gateway", "now and then a connection closes in place of a response", "lost")
def _dropped(patches: Patches) -> None:
    calls = itertools.count(1)

    def send_response(self: ClientConnection, *given: Any) -> None:
        if next(calls) % ONE_IN == 0:
            self.stream.close()
            return
        original(self, *given)

    original = patches.set(ClientConnection, "send_response", send_response)
