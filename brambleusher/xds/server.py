"""Serve xDS subscribers, load reports and the calls between instances over gRPC.

Messages are passed to gRPC as bytes.  Each stream has one task that reads and one that writes.  The writer
takes the newest response when gRPC has accepted the previous one, so a slow stream holds at most one
response in memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import NoReturn, Protocol

import grpc
import grpc.aio

from brambleusher.xds import peer_messages
from brambleusher.xds.core import Core, Stream
from brambleusher.xds.errors import ProtocolError, SubscriptionDeniedError
from brambleusher.xds.tls import Certificates
from brambleusher.xds.wire import ADS, LRS, decode_load_report, decode_request, encode_load_report_settings

log = logging.getLogger(__name__)

MAX_WITHHELD_S = 5.0  # then streams are ended, so that proxies move to an instance that may publish
MAX_LOAD_REPORTS_PER_S = 20  # limit for one stream; proxies are asked for one report per second by default
STOP_GRACE_S = 0.2
PEER_POLL_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 1.0
MAX_METADATA_BYTES = 16 * 1024
KEEPALIVE_MS = 10_000  # a broken connection to a subscriber is detected within twice this time
MIN_PING_INTERVAL_MS = 5_000

UNAVAILABLE, INVALID = grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.INVALID_ARGUMENT
DENIED, EXHAUSTED = grpc.StatusCode.PERMISSION_DENIED, grpc.StatusCode.RESOURCE_EXHAUSTED


class ServicerContext(Protocol):
    """The methods of `grpc.aio.ServicerContext` that this module uses; gRPC ships no type annotations."""

    def peer(self) -> str:
        """Return the client's address."""

    def auth_context(self) -> Mapping[str, Iterable[bytes]]:
        """Return the properties of the client's certificate."""

    async def read(self) -> bytes:
        """Return the next message, or `grpc.aio.EOF` at the end of the stream."""

    async def write(self, message: bytes) -> None:
        """Send a message to the client."""

    async def abort(self, code: grpc.StatusCode, details: str) -> NoReturn:
        """End the call with a status; raises `grpc.aio.AbortError`."""


class UnaryMethod(Protocol):
    """A gRPC method with one request and one response."""

    def __call__(self, request: bytes, *, timeout: float) -> Awaitable[bytes]:
        """Call the method; `timeout` is in seconds."""


class RateLimiter:
    """A token bucket that allows `per_second` requests per second, and a burst of the same size."""

    def __init__(self, per_second: int) -> None:
        self._per_second = self._tokens = float(per_second)
        self._updated_s = time.monotonic()

    def acquire(self) -> bool:
        """Take a token, and return whether one was available."""
        now_s = time.monotonic()
        self._tokens = min(self._tokens + (now_s - self._updated_s) * self._per_second, self._per_second)
        self._updated_s = now_s
        self._tokens -= 1
        return self._tokens >= 0


class _OpenStream:
    """A subscriber's open stream and its state; must be created in the task that reads requests."""

    def __init__(self, stream: Stream, peer: str) -> None:
        self.stream, self.peer = stream, peer
        self.changed = asyncio.Event()
        self.task = asyncio.current_task()
        self.writing_since_s: float | None = None
        self.unacknowledged_since_s: float | None = None
        self.end_status: tuple[grpc.StatusCode, str] | None = None

    def stop(self, code: grpc.StatusCode, reason: str) -> None:
        """End only this stream, with a gRPC status."""
        if self.end_status is None and self.task is not None:
            self.end_status = (code, reason)
            self.task.cancel()

    def check_progress(self, now_s: float, max_stall_s: float) -> None:
        """End the stream if its subscriber lost its permission, or stopped reading or acknowledging."""
        if self.stream.group is None and self.stream.responses:
            self.stop(DENIED, "it may not subscribe any more")
        if self.writing_since_s is not None and now_s - self.writing_since_s > max_stall_s:
            self.stop(EXHAUSTED, "nothing was read for too long")
        if not self.stream.subscriber.is_blocked:
            self.unacknowledged_since_s = None
        elif self.unacknowledged_since_s is None:
            self.unacknowledged_since_s = now_s
        elif now_s - self.unacknowledged_since_s > max_stall_s:
            self.stop(EXHAUSTED, "nothing was answered for too long")


class XdsServer:
    """The gRPC server of one instance."""

    def __init__(self, core: Core, now_ns: Callable[[], int], certificates: Certificates | None) -> None:
        self._core, self._now_ns, self._certificates = core, now_ns, certificates
        self._streams: dict[int, _OpenStream] = {}
        self._server: grpc.aio.Server | None = None
        self._withheld_since_s: float | None = None
        self.load_streams = self.ended_for_cause = 0
        core.on_change = self.wake

    async def start(self, address: tuple[str, int]) -> int:
        """Start the server and listen on an address.

        Returns:
            The port in use.

        Raises:
            OSError: The server can't listen on the address.
        """
        server = grpc.aio.server(options=self._server_options())
        for service, methods in self._method_handlers().items():
            server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(service, methods),))
        target = f"{address[0]}:{address[1]}"
        try:
            if self._certificates is None:
                port = server.add_insecure_port(target)
            else:
                port = server.add_secure_port(target, self._certificates.server_credentials())
        except RuntimeError:
            port = 0
        if not port:
            raise OSError(f"{target} can't be listened on")
        await server.start()
        self._server = server
        return int(port)

    def _server_options(self) -> list[tuple[str, int]]:
        bounds = self._core.config.bounds
        return [
            ("grpc.max_receive_message_length", bounds.message_kb * 1024),
            ("grpc.max_send_message_length", -1),
            ("grpc.max_concurrent_streams", bounds.streams),
            ("grpc.max_metadata_size", MAX_METADATA_BYTES),
            ("grpc.so_reuseport", 0),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
            ("grpc.keepalive_timeout_ms", KEEPALIVE_MS),
            ("grpc.keepalive_permit_without_calls", 1),
            ("grpc.http2.max_pings_without_data", 0),
            ("grpc.http2.min_ping_interval_without_data_ms", MIN_PING_INTERVAL_MS),
        ]

    def _method_handlers(self) -> dict[str, dict[str, grpc.RpcMethodHandler]]:
        return {
            ADS: {
                "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(
                    self._stream_aggregated_resources
                ),
                "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(
                    self._delta_aggregated_resources
                ),
            },
            LRS: {"StreamLoadStats": grpc.stream_stream_rpc_method_handler(self._stream_load_stats)},
            peer_messages.SERVICE: {
                peer_messages.METHOD: grpc.unary_unary_rpc_method_handler(self._report_peer_status)
            },
        }

    async def stop(self) -> None:
        """End all streams and stop listening."""
        for open_stream in list(self._streams.values()):
            open_stream.stop(UNAVAILABLE, "this instance is ending")
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)

    # --- wake-ups and supervision -----------------------------------------------------------------

    def wake(self) -> None:
        """Make every stream check for its next response."""
        for open_stream in self._streams.values():
            open_stream.changed.set()

    def supervise(self) -> None:
        """End streams without progress, and all streams if publishing has been withheld for too long."""
        now_s = time.monotonic()
        max_stall_s = self._core.config.bounds.stall_ms / 1000
        for open_stream in list(self._streams.values()):
            open_stream.check_progress(now_s, max_stall_s)
        self._end_withheld_streams(now_s)

    def _end_withheld_streams(self, now_s: float) -> None:
        reason = self._core.withheld_reason(self._now_ns())
        if reason is None:
            self._withheld_since_s = None
        elif self._withheld_since_s is None:
            self._withheld_since_s = now_s
        elif now_s - self._withheld_since_s > MAX_WITHHELD_S and self._is_any_peer_connected():
            for open_stream in list(self._streams.values()):
                open_stream.stop(UNAVAILABLE, f"withheld: {reason.value}")

    def _is_any_peer_connected(self) -> bool:
        return self._core.view_consistency.is_any_peer_connected(self._now_ns())

    # --- subscribers ------------------------------------------------------------------------------

    def _identity(self, context: ServicerContext) -> str | None:
        """Return the first name in the subscriber's certificate that has a group; None without TLS."""
        if self._certificates is None:
            return None
        properties = context.auth_context()
        names: list[str] = [
            name.decode("utf-8", "replace")
            for key in ("x509_subject_alternative_name", "x509_common_name")
            for name in properties.get(key, ())
        ]
        if not names:
            raise ProtocolError("the certificate names nobody")
        return next((name for name in names if self._core.config.group_of(name) is not None), names[0])

    async def _stream_aggregated_resources(self, _requests: object, context: ServicerContext) -> None:
        await self._contain_errors(context, lambda: self._serve_subscriber(context, incremental=False))

    async def _delta_aggregated_resources(self, _requests: object, context: ServicerContext) -> None:
        await self._contain_errors(context, lambda: self._serve_subscriber(context, incremental=True))

    async def _contain_errors(self, context: ServicerContext, serve: Callable[[], Awaitable[None]]) -> None:
        """Serve a stream; on a protocol or internal error end only this stream."""
        try:
            await serve()
        except ProtocolError as error:
            self.ended_for_cause += 1
            log.warning("stream ended", extra={"fields": {"peer": context.peer(), "reason": error}})
            code = DENIED if isinstance(error, SubscriptionDeniedError) else INVALID
            await context.abort(code, str(error))
        except (grpc.aio.AbortError, asyncio.CancelledError, grpc.aio.UsageError):
            raise
        except Exception:
            log.exception("stream failed", extra={"fields": {"peer": context.peer()}})
            await context.abort(grpc.StatusCode.INTERNAL, "a fault here")

    async def _serve_subscriber(self, context: ServicerContext, incremental: bool) -> None:
        core = self._core
        stream = core.open_stream(self._identity(context), incremental, self._now_ns())
        open_stream = self._streams[stream.id] = _OpenStream(stream, context.peer())
        writer = asyncio.create_task(self._write_responses(open_stream, context))
        writer.add_done_callback(lambda task: self._on_writer_done(open_stream, task))
        try:
            await self._read_requests(open_stream, context)
        except asyncio.CancelledError:
            if open_stream.end_status is None:
                raise
            code, reason = open_stream.end_status
            self.ended_for_cause += code is not UNAVAILABLE
            log.warning("stream ended", extra={"fields": {"peer": open_stream.peer, "reason": reason}})
            await context.abort(code, reason)
        finally:
            writer.cancel()
            self._streams.pop(stream.id, None)
            core.close_stream(stream)

    @staticmethod
    def _on_writer_done(open_stream: _OpenStream, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            fields = {"peer": open_stream.peer}
            log.error("stream writer failed", exc_info=task.exception(), extra={"fields": fields})
            open_stream.stop(grpc.StatusCode.INTERNAL, "a fault here")

    async def _read_requests(self, open_stream: _OpenStream, context: ServicerContext) -> None:
        core, limiter = self._core, RateLimiter(self._core.config.bounds.requests_per_s)
        incremental = open_stream.stream.subscriber.incremental
        while (data := await context.read()) is not grpc.aio.EOF:
            if not limiter.acquire():
                open_stream.stop(EXHAUSTED, "too many requests a second")
                await asyncio.sleep(0)  # the cancellation by `stop` is raised here
            request, node = decode_request(data, incremental)
            core.handle_request(open_stream.stream, request, node, self._now_ns())
            open_stream.changed.set()

    async def _write_responses(self, open_stream: _OpenStream, context: ServicerContext) -> None:
        core, stream = self._core, open_stream.stream
        while True:
            await open_stream.changed.wait()
            open_stream.changed.clear()
            while (response := core.next_response(stream, self._now_ns())) is not None:
                open_stream.writing_since_s = time.monotonic()
                try:
                    await context.write(response.data)
                except (grpc.aio.UsageError, grpc.aio.InternalError, grpc.RpcError):
                    return  # the stream has ended, and the reading task cleans it up
                open_stream.writing_since_s = None

    # --- load reports -----------------------------------------------------------------------------

    async def _stream_load_stats(self, _requests: object, context: ServicerContext) -> None:
        await self._contain_errors(context, lambda: self._serve_load_reports(context))

    async def _serve_load_reports(self, context: ServicerContext) -> None:
        core, limiter = self._core, RateLimiter(MAX_LOAD_REPORTS_PER_S)
        if self.load_streams >= core.config.bounds.streams:
            raise ProtocolError("too many streams of load reports")
        identity, zone = self._identity(context), None
        self.load_streams += 1
        try:
            while (data := await context.read()) is not grpc.aio.EOF:
                if not limiter.acquire():
                    raise ProtocolError("too many load reports a second")
                samples, node = decode_load_report(data)
                identity = identity or node.id
                group = core.config.group_of(identity)  # looked up each time, since a reload may change it
                if group is None:
                    raise SubscriptionDeniedError(f"{identity[:100]!r} may not subscribe")
                if zone is None:
                    zone = group.zone or node.zone
                    if zone not in core.zones:
                        raise ProtocolError(f"zone {zone[:100]!r} is not served")
                    await context.write(encode_load_report_settings(core.config.reports_ms))
                core.record_load_report(zone, samples)
        finally:
            self.load_streams -= 1

    # --- other instances --------------------------------------------------------------------------

    async def _report_peer_status(self, data: bytes, context: ServicerContext) -> bytes:
        core = self._core
        try:
            return peer_messages.encode_response(
                core.signer, data, core.config.name, core.peer_status(self._now_ns())
            )
        except ProtocolError as error:
            await context.abort(DENIED, str(error))


class PeerPoller:
    """Polls the status of the other instances."""

    def __init__(self, core: Core, now_ns: Callable[[], int], certificates: Certificates | None) -> None:
        self._core, self._now_ns, self._certificates = core, now_ns, certificates
        self.problems: dict[str, str] = {}

    async def poll(
        self, name: str, address: tuple[str, int], interval_s: float = PEER_POLL_INTERVAL_S
    ) -> None:
        """Poll one instance until cancelled, and open a new channel whenever the certificates change."""
        target = f"{address[0]}:{address[1]}"
        while True:
            if self._certificates is None:
                channel = grpc.aio.insecure_channel(target, options=[("grpc.use_local_subchannel_pool", 1)])
            else:
                channel = grpc.aio.secure_channel(target, self._certificates.channel_credentials())
            material = self._certificates.material if self._certificates is not None else None
            async with channel:
                status_method = channel.unary_unary(f"/{peer_messages.SERVICE}/{peer_messages.METHOD}")
                while self._certificates is None or self._certificates.material is material:
                    await self._request_status(name, status_method)
                    await asyncio.sleep(interval_s)

    async def _request_status(self, name: str, status_method: UnaryMethod) -> None:
        core = self._core
        request, number = peer_messages.encode_request(core.signer, core.config.name)
        request_sent_ns = self._now_ns()  # the status in the response may have been valid at this time only
        try:
            status = peer_messages.decode_response(
                core.signer, await status_method(request, timeout=PEER_TIMEOUT_S), number
            )
        except (grpc.RpcError, ProtocolError) as error:
            reason = error.code().name if isinstance(error, grpc.aio.AioRpcError) else str(error)
            if self.problems.get(name) != reason:
                log.warning(
                    "peer status request failed", extra={"fields": {"instance": name, "reason": reason}}
                )
            self.problems[name] = reason
            return
        self.problems.pop(name, None)
        core.record_peer_status(name, status, request_sent_ns)


async def cancel_and_wait(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
