"""Mutations of the programs: planted faults that measure how well soaks find faults.

Each mutation patches classes in a process before its program starts.  A soak finds a mutation if it reports
at least one of the rules that the mutation names.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from brambleusher.controlplane.applied_index_history import AppliedIndexHistory
from brambleusher.controlplane.configuration.admin_api import AdminApi
from brambleusher.controlplane.configuration.commands import PutConfiguration, Verdict
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.dataplane.attempts import AttemptRunner
from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.dataplane.configuration_store import ConfigurationStore
from brambleusher.dataplane.connection_pool import ConnectionPool
from brambleusher.dataplane.event_stream import EventSplitter
from brambleusher.dataplane.instance import Instance, InstanceStatus
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.long_poll_messages import LongPollResponse
from brambleusher.dataplane.request_context import RequestContext
from brambleusher.dataplane.request_handler import RequestHandler
from brambleusher.dataplane.routing import RouteTable
from brambleusher.dataplane.streaming import StreamRelay
from brambleusher.dataplane.upstream_response import UpstreamResponse
from brambleusher.gateway.app import Gateway
from brambleusher.gateway.client_server import ClientServer
from brambleusher.gateway.graceful_shutdown import GracefulShutdown
from brambleusher.lab.faults.breakages import Patches
from brambleusher.loadbalancing.hosts import Request
from brambleusher.loadbalancing.instance_weights import InstanceWeights
from brambleusher.loadbalancing.retry_policy import RetryPolicy
from brambleusher.net.client_response import _BodyRelay
from brambleusher.net.request_lifecycle import ClientHandle
from brambleusher.runtime.disconnect_watch import DisconnectWatch
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Socket
from brambleusher.sidecar.lifecycle import Lifecycle

READ_AHEAD_BYTES = 16 * 1024
ONE_IN = 40  # an intermittent fault affects one call in this many
LEAKED_BYTES = 4 * 2**20  # the memory that leaks with each accepted connection


@dataclass(frozen=True, slots=True)
class SoakMutation:
    """One mutation, with the rules that a soak may report for it."""

    name: str
    program: str  # the program that the fault affects; the patch itself is applied in every process
    summary: str
    rules: tuple[str, ...]
    apply_to: Callable[[Patches], None]


MUTATIONS: dict[str, SoakMutation] = {}


class UnknownMutationError(ValueError):
    """No mutation has that name; the message lists all names."""

    def __init__(self, name: str) -> None:
        super().__init__(f"mutation: {name!r} is not one of {', '.join(sorted(MUTATIONS))}")


def mutation(
    name: str, program: str, summary: str, *rules: str
) -> Callable[[Callable[[Patches], None]], Callable[[Patches], None]]:
    """Return a decorator that registers a patch function as a mutation."""

    def add(apply_to: Callable[[Patches], None]) -> Callable[[Patches], None]:
        MUTATIONS[name] = SoakMutation(name, program, summary, rules, apply_to)
        return apply_to

    return add


def find_mutation(name: str) -> SoakMutation:
    """Return the mutation with this name; raises `UnknownMutationError`."""
    if name not in MUTATIONS:
        raise UnknownMutationError(name)
    return MUTATIONS[name]


# --- departed clients -------------------------------------------------------------------------------


@mutation(
    "departure-unseen", "gateway", "a client that closes is not noticed while its request waits", "departed"
)
def _departure_unseen(patches: Patches) -> None:
    patches.set(DisconnectWatch, "_on_readable", lambda self: self.suspend())


@mutation("stream-unwatched", "gateway", "the client is not watched while a stream is relayed", "departed")
def _stream_unwatched(patches: Patches) -> None:
    def run(self: StreamRelay, response: UpstreamResponse) -> bool:
        self._context.client.suspend()
        return bool(original(self, response))

    original = patches.set(StreamRelay, "run", run)


@mutation("body-unwatched", "gateway", "the client is not watched while a response is buffered", "departed")
def _body_unwatched(patches: Patches) -> None:
    def relay(
        self: RequestHandler, client: ClientConnection, context: RequestContext, response: UpstreamResponse
    ) -> None:
        context.client.suspend()
        original(self, client, context, response)

    original = patches.set(RequestHandler, "_relay_complete", relay)


@mutation("end-hidden", "gateway and sidecar", "a close behind 16 KB sent ahead is not seen", "departed")
def _end_hidden(patches: Patches) -> None:
    def reads_on(self: PeerPresence) -> bool:
        return self._buffer.buffered < READ_AHEAD_BYTES

    patches.set(PeerPresence, "_reads_on", property(reads_on))


@mutation("resumed-for-nobody", "gateway", "a broken stream is resumed without its client", "departed")
def _resumed_for_nobody(patches: Patches) -> None:
    def run(self: AttemptRunner, context: RequestContext) -> UpstreamResponse | None:
        watch, context.client = context.client, _NoClient()
        try:
            response: UpstreamResponse | None = original(self, context)
            return response
        finally:
            context.client = watch

    original = patches.set(AttemptRunner, "run", run)
    patches.set(DisconnectWatch, "_on_readable", lambda self: self.suspend())


class _NoClient:
    """A disconnect watch that never reports that the client has left."""

    def raise_if_left(self) -> None:
        """Never raise."""

    def suspend(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""


@mutation(
    "sidecar-stream-unwatched", "sidecar", "the client is not watched while a body is relayed", "departed"
)
def _sidecar_stream_unwatched(patches: Patches) -> None:
    patches.set(_BodyRelay, "presence", property(lambda self: None))


@mutation(
    "sidecar-departure-unseen", "sidecar", "a client that closes is not noticed while it waits", "departed"
)
def _sidecar_departure_unseen(patches: Patches) -> None:
    def init(self: ClientHandle, *_given: Any) -> None:
        original(self, lambda: None, lambda: False)

    original = patches.set(ClientHandle, "__init__", init)


# --- requests that may run once ---------------------------------------------------------------------


@mutation("run-again", "gateway", "a request that may run once is sent to another instance", "run-twice")
def _run_again(patches: Patches) -> None:
    patches.set(RequestContext, "may_run_again", property(lambda self: self.possible_runs < 3))


@mutation(
    "ran-and-rejected", "gateway", "503 for a request that may have run", "refused-after-run", "run-twice"
)
def _ran_and_rejected(patches: Patches) -> None:
    patches.set(RequestContext, "may_have_run", property(lambda self: False))


@mutation("sidecar-run-again", "sidecar", "a request that may run once is tried again", "run-twice")
def _sidecar_run_again(patches: Patches) -> None:
    def may_attempt_again(self: RetryPolicy, request: Request, now: int) -> bool:
        return len(request.attempts) < self._settings.max_attempts and request.deadline_ns > now

    patches.set(RetryPolicy, "may_attempt_again", may_attempt_again)


# --- responses --------------------------------------------------------------------------------------


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


# --- processes --------------------------------------------------------------------------------------


@mutation("sigterm-at-once", "gateway", "SIGTERM ends requests under way", "lost")
def _sigterm_at_once(patches: Patches) -> None:
    patches.set(GracefulShutdown, "_finish", lambda self, clients, started_at_s: self._scheduler.stop())


@mutation("sigterm-ignored", "gateway", "a shutdown does not end", "exit")
def _sigterm_ignored(patches: Patches) -> None:
    patches.set(GracefulShutdown, "_finish", lambda self, clients, started_at_s: self._scheduler.sleep(60.0))


@mutation("sidecar-sigterm-ignored", "sidecar", "a shutdown does not end", "exit")
def _sidecar_sigterm_ignored(patches: Patches) -> None:
    patches.set(Lifecycle, "begin_graceful_shutdown", lambda self: None)


@mutation("reload-ends", "gateway", "a reload ends the process", "exit")
def _reload_ends(patches: Patches) -> None:
    patches.set(Gateway, "_apply_settings", lambda self, settings: self.scheduler.stop())


@mutation("error-logged", "gateway", "a reload fails with an error", "log")
def _error_logged(patches: Patches) -> None:
    def apply(self: Gateway, settings: object) -> None:
        raise KeyError(str(type(settings)))

    patches.set(Gateway, "_apply_settings", apply)


# --- leaks ------------------------------------------------------------------------------------------


@mutation("attempts-kept", "gateway", "attempts whose client left stay counted", "left-over")
def _attempts_leak(patches: Patches) -> None:
    patches.set(InstanceWeights, "abandon_attempt", lambda self, name, attempt, now: None)


@mutation("requests-kept", "gateway", "requests whose client left stay counted", "left-over", "exit")
def _requests_leak(patches: Patches) -> None:
    def serve_next(self: ClientServer, client: ClientConnection) -> bool:
        may_go_on = bool(original(self, client))
        self.active_requests += client.presence.has_left
        return may_go_on

    original = patches.set(ClientServer, "_serve_next", serve_next)


@mutation("memory-kept", "all", "each accepted connection leaves 4 MB behind", "bounds")
def _memory_leaks(patches: Patches) -> None:
    leaked: list[bytearray] = []

    def accept(self: RealSystem, listener: Socket) -> tuple[Socket, str]:
        leaked.append(bytearray(b"\1" * LEAKED_BYTES))
        accepted: tuple[Socket, str] = original(self, listener)
        return accepted

    original = patches.set(RealSystem, "accept", accept)


@mutation("connections-kept", "gateway", "connections to instances are never closed", "bounds", "departed")
def _connections_leak(patches: Patches) -> None:
    leaked: list[Stream] = []

    def close(self: Stream) -> None:
        if self.open:
            self.open = False
            leaked.append(self)

    patches.set(ConnectionPool, "close_expired", lambda self, instances: None)
    patches.set(Stream, "close", close)


# --- the control plane ------------------------------------------------------------------------------


@mutation(
    "race-unnoticed", "controller", "a change on an old revision is accepted", "conflict", "change-lost"
)
def _race_unnoticed(patches: Patches) -> None:
    def put(self: SharedState, index: int, command: PutConfiguration) -> Verdict:
        self.index, self.revision, self.packed = index, command.revision, command.packed
        return Verdict.ACCEPTED

    patches.set(SharedState, "_put_configuration", put)


@mutation("stale-read", "controller", "a controller answers from its own state without asking", "change-lost")
def _stale_read(patches: Patches) -> None:
    first: list[Any] = []

    def get(self: AdminApi) -> Any:
        answer = original(self)
        if answer.status == HTTPStatus.OK and not first:
            first.append(answer)
        return first[0] if first else answer

    original = patches.set(AdminApi, "_get_configuration", get)


@mutation(
    "acknowledged-early", "controller", "a change is acknowledged that was not committed", "change-lost"
)
def _acknowledged_early(patches: Patches) -> None:
    calls = itertools.count(1)

    def put(self: AdminApi, request: Any) -> Any:
        answer = original(self, request)
        if next(calls) % 3 == 0 and answer.status != HTTPStatus.OK:
            answer = type(answer)(HTTPStatus.OK, b"{}")
        return answer

    original = patches.set(AdminApi, "_put_configuration", put)


# --- orders on zones, draining instances ------------------------------------------------------------


@mutation("evacuation-ignored", "gateway", "evacuated zones are used as any other", "evacuated-zone-used")
def _evacuation_ignored(patches: Patches) -> None:
    patches.set(InstanceTable, "set_evacuated_zones", lambda self, zones, now_s: None)


@mutation("draining-used", "gateway", "draining instances are used as any other", "draining-used")
def _draining_used(patches: Patches) -> None:
    def set_status(self: Instance, status: InstanceStatus) -> None:
        if status is not InstanceStatus.DRAINING:
            original(self, status)

    original = patches.set(Instance, "set_status", set_status)


@mutation("old-order-acts", "controller", "a held-up order acts after later ones", "evacuated-zone-used")
def _old_order_acts(patches: Patches) -> None:
    patches.set(AppliedIndexHistory, "index_at", lambda self, time: self._indexes[-1])


@mutation("list-not-applied", "gateway", "only the first instance list is applied", "draining-used")
def _list_not_applied(patches: Patches) -> None:
    def apply(
        self: ConfigurationStore, response: LongPollResponse, now_s: float, confirms_list: bool
    ) -> None:
        if not self._instances.has_list:
            original(self, response, now_s, confirms_list)

    original = patches.set(ConfigurationStore, "_apply_instances", apply)


@mutation("routes-kept", "gateway", "the first configuration stays in force", "route-missing")
def _routes_kept(patches: Patches) -> None:
    def read_routes(self: ConfigurationStore, body: bytes, index: int) -> RouteTable | None:
        return self.routes or original(self, body, index)

    original = patches.set(ConfigurationStore, "_read_routes", read_routes)


# --- gateways that do not recover -------------------------------------------------------------------


@mutation("no-recovery", "gateway", "after a reload a gateway rejects every request", "recovery")
def _no_recovery(patches: Patches) -> None:
    def apply(self: Gateway, _settings: object) -> None:
        patches.set(ClientServer, "_respond", reject)

    def reject(self: ClientServer, client: ClientConnection, _request: object) -> None:
        client.send_error(HTTPStatus.SERVICE_UNAVAILABLE, "planted")

    patches.set(Gateway, "_apply_settings", apply)
