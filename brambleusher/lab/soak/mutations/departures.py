"""Mutations after which runs go on though their clients have left."""

from __future__ import annotations

from typing import Any

from brambleusher.dataplane.attempts import AttemptRunner
from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.dataplane.request_context import RequestContext
from brambleusher.dataplane.request_handler import RequestHandler
from brambleusher.dataplane.streaming import StreamRelay
from brambleusher.dataplane.upstream_response import UpstreamResponse
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak.mutations.registry import mutation
from brambleusher.net.client_response import _BodyRelay
from brambleusher.net.request_lifecycle import ClientHandle
from brambleusher.runtime.disconnect_watch import DisconnectWatch
from brambleusher.runtime.peer_presence import PeerPresence

READ_AHEAD_BYTES = 16 * 1024


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
