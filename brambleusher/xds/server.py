"""The gRPC side: streams of subscribers and of load reports, and the calls between instances.

Messages pass as bytes.  A stream has a task that reads and one that writes; the writer takes the
newest response whenever the one before has been handed over, so that a slow stream holds one
response and nothing else.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import grpc.aio

from brambleusher.xds import instances
from brambleusher.xds.core import Core, Stream
from brambleusher.xds.faults import ProtocolError
from brambleusher.xds.tls import Certificates
from brambleusher.xds.wire import ADS, LRS, ask_for_loads, decode_loads, decode_request

log = logging.getLogger(__name__)

Context = Any  # grpc.aio.ServicerContext, which has no types of its own
WITHHELD_SECONDS = 5.0
LOADS_PER_SECOND = 20
UNAVAILABLE, INVALID = grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.INVALID_ARGUMENT
DENIED, EXHAUSTED = grpc.StatusCode.PERMISSION_DENIED, grpc.StatusCode.RESOURCE_EXHAUSTED


class Rate:
    """So many requests a second, with as many saved up."""

    def __init__(self, per_second: int) -> None:
        self._rate, self._level = float(per_second), float(per_second)
        self._seen = time.monotonic()

    def take(self) -> bool:
        """Whether one more is within the rate."""
        now = time.monotonic()
        self._level = min(self._level + (now - self._seen) * self._rate, self._rate)
        self._seen = now
        self._level -= 1
        return self._level >= 0


class _Open:
    """A stream and its tasks."""

    def __init__(self, stream: Stream, peer: str) -> None:
        self.stream, self.peer = stream, peer
        self.news = asyncio.Event()
        self.task = asyncio.current_task()
        self.writing_since: float | None = None
        self.stuck_since: float | None = None
        self.end: tuple[grpc.StatusCode, str] | None = None

    def stop(self, code: grpc.StatusCode, why: str) -> None:
        """End this stream, and nothing else."""
        if self.end is None and self.task is not None:
            self.end = (code, why)
            self.task.cancel()


class XdsServer:
    """Serves one core."""

    def __init__(self, core: Core, now: Callable[[], int], certificates: Certificates | None) -> None:
        self._core, self._now, self._certificates = core, now, certificates
        self._open: dict[int, _Open] = {}
        self._server: grpc.aio.Server | None = None
        self._withheld_since: float | None = None
        self.load_streams = self.ended_for_cause = 0
        core.on_change = self.wake

    async def start(self, address: tuple[str, int]) -> int:
        """Listen; says on which port.  Raises `OSError`."""
        bounds = self._core.config.bounds
        server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", bounds.message_kb * 1024),
                ("grpc.max_send_message_length", -1),
                ("grpc.max_concurrent_streams", bounds.streams),
                ("grpc.max_metadata_size", 16 * 1024),
                ("grpc.so_reuseport", 0),
                # A subscriber that is cut off is noticed, and its stream ends.
                ("grpc.keepalive_time_ms", 10_000),
                ("grpc.keepalive_timeout_ms", 10_000),
                ("grpc.keepalive_permit_without_calls", 1),
                ("grpc.http2.max_pings_without_data", 0),
                ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
            ]
        )
        streams = {
            ADS: {
                "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(self._whole),
                "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(self._incremental),
            },
            LRS: {"StreamLoadStats": grpc.stream_stream_rpc_method_handler(self._loads)},
            instances.SERVICE: {instances.METHOD: grpc.unary_unary_rpc_method_handler(self._tell)},
        }
        for service, methods in streams.items():
            server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(service, methods),))
        where = f"{address[0]}:{address[1]}"
        try:
            if self._certificates is None:
                port = server.add_insecure_port(where)
            else:
                port = server.add_secure_port(where, self._certificates.server_credentials())
        except RuntimeError:
            port = 0
        if not port:
            raise OSError(f"{where} can't be listened on")
        await server.start()
        self._server = server
        return int(port)

    async def stop(self) -> None:
        """End all streams and the listener."""
        for each in list(self._open.values()):
            each.stop(UNAVAILABLE, "this instance is ending")
        if self._server is not None:
            await self._server.stop(0.2)

    # --- waking and watching ----------------------------------------------------------------------

    def wake(self) -> None:
        """There is news: every stream looks for its next response."""
        for each in self._open.values():
            each.news.set()

    def watch(self) -> None:
        """Now and then: end streams that have stalled, and move all to an instance that is in touch."""
        now, core = time.monotonic(), self._core
        stall = core.config.bounds.stall_ms / 1000
        for each in list(self._open.values()):
            if each.stream.group is None and each.stream.responses:
                each.stop(DENIED, "it may not subscribe any more")
            if each.writing_since is not None and now - each.writing_since > stall:
                each.stop(EXHAUSTED, "nothing was read for too long")
            if not each.stream.subscriber.stuck:
                each.stuck_since = None
            elif each.stuck_since is None:
                each.stuck_since = now
            elif now - each.stuck_since > stall:
                each.stop(EXHAUSTED, "nothing was answered for too long")
        why = core.why_not(self._now())
        if why is None:
            self._withheld_since = None
        elif self._withheld_since is None:
            self._withheld_since = now
        elif now - self._withheld_since > WITHHELD_SECONDS and core.handout.is_any_peer_connected(
            self._now()
        ):
            for each in list(self._open.values()):
                each.stop(UNAVAILABLE, f"withheld: {why.value}")

    def streams(self) -> list[tuple[Stream, str, float | None]]:
        """All streams with the other end's address, and since when (monotonic) one waits to be written."""
        return [(each.stream, each.peer, each.writing_since) for each in self._open.values()]

    # --- subscribers ------------------------------------------------------------------------------

    def _identity(self, context: Context) -> str | None:
        """The name in the subscriber's certificate: the first that a group is for; None in plain text."""
        if self._certificates is None:
            return None
        held = context.auth_context()
        names: list[str] = [
            name.decode("utf-8", "replace")
            for key in ("x509_subject_alternative_name", "x509_common_name")
            for name in held.get(key, ())
        ]
        if not names:
            raise ProtocolError("the certificate names nobody")
        return next((name for name in names if self._core.config.group_of(name) is not None), names[0])

    async def _whole(self, requests: Any, context: Context) -> None:
        await self._guarded(context, lambda: self._subscribe(context, False))

    async def _incremental(self, requests: Any, context: Context) -> None:
        await self._guarded(context, lambda: self._subscribe(context, True))

    async def _guarded(self, context: Context, serve: Callable[[], Awaitable[None]]) -> None:
        """A stream that breaks a rule, or in which a fault shows, ends alone."""
        try:
            await serve()
        except ProtocolError as error:
            self.ended_for_cause += 1
            log.warning("stream ended", extra={"fields": {"peer": context.peer(), "reason": error}})
            await context.abort(DENIED if "may not subscribe" in str(error) else INVALID, str(error))
        except (grpc.aio.AbortError, asyncio.CancelledError, grpc.aio.UsageError):
            raise
        except Exception:
            log.exception("stream failed", extra={"fields": {"peer": context.peer()}})
            await context.abort(grpc.StatusCode.INTERNAL, "a fault here")

    async def _subscribe(self, context: Context, incremental: bool) -> None:
        core = self._core
        stream = core.open(self._identity(context), incremental, self._now())
        held = self._open[stream.id] = _Open(stream, context.peer())
        writer = asyncio.create_task(self._write(held, context))
        writer.add_done_callback(lambda task: self._writer_done(held, task))
        try:
            await self._read(held, context)
        except asyncio.CancelledError:
            if held.end is None:
                raise
            code, why = held.end
            self.ended_for_cause += code is not UNAVAILABLE
            log.warning("stream ended", extra={"fields": {"peer": held.peer, "reason": why}})
            await context.abort(code, why)
        finally:
            writer.cancel()
            self._open.pop(stream.id, None)
            core.close(stream)

    @staticmethod
    def _writer_done(held: _Open, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.error("writer failed", exc_info=task.exception(), extra={"fields": {"peer": held.peer}})
            held.stop(grpc.StatusCode.INTERNAL, "a fault here")

    async def _read(self, held: _Open, context: Context) -> None:
        core, rate = self._core, Rate(self._core.config.bounds.requests_per_s)
        incremental = held.stream.subscriber.incremental
        while (data := await context.read()) is not grpc.aio.EOF:
            if not rate.take():
                held.stop(EXHAUSTED, "too many requests a second")
                await asyncio.sleep(0)
            request, who = decode_request(data, incremental)
            core.request(held.stream, request, who, self._now())
            held.news.set()

    async def _write(self, held: _Open, context: Context) -> None:
        core, stream = self._core, held.stream
        while True:
            await held.news.wait()
            held.news.clear()
            while (response := core.next(stream, self._now())) is not None:
                held.writing_since = time.monotonic()
                try:
                    await context.write(response.data)
                except (grpc.aio.UsageError, grpc.aio.InternalError, grpc.RpcError):
                    return  # the stream is over: its reader ends it
                held.writing_since = None

    # --- load reports -----------------------------------------------------------------------------

    async def _loads(self, requests: Any, context: Context) -> None:
        await self._guarded(context, lambda: self._report(context))

    async def _report(self, context: Context) -> None:
        core, rate = self._core, Rate(LOADS_PER_SECOND)
        if self.load_streams >= core.config.bounds.streams:
            raise ProtocolError("too many streams of load reports")
        identity = self._identity(context)
        name, zone = identity, None
        self.load_streams += 1
        try:
            while (data := await context.read()) is not grpc.aio.EOF:
                if not rate.take():
                    raise ProtocolError("too many load reports a second")
                sums, who = decode_loads(data)
                name = name or who.id
                group = core.config.group_of(name)  # each time: the file may have been read again
                if group is None:
                    raise ProtocolError(f"{name[:100]!r} may not subscribe")
                if zone is None:
                    zone = group.zone or who.zone
                    if zone not in core.zones:
                        raise ProtocolError(f"zone {zone[:100]!r} is not served")
                    await context.write(ask_for_loads(core.config.reports_ms))
                core.load(zone, sums)
        finally:
            self.load_streams -= 1

    # --- other instances --------------------------------------------------------------------------

    async def _tell(self, data: bytes, context: Context) -> bytes:
        try:
            return instances.answer(
                self._core.seal, data, self._core.config.name, self._core.word(self._now())
            )
        except ProtocolError as error:
            await context.abort(DENIED, str(error))
            raise  # which abort has done


class Others:
    """Asks each other instance for its word, again and again."""

    def __init__(self, core: Core, now: Callable[[], int], certificates: Certificates | None) -> None:
        self._core, self._now, self._certificates = core, now, certificates
        self.problems: dict[str, str] = {}

    async def follow(self, name: str, address: tuple[str, int], every: float = 0.5) -> None:
        """The task for one of them; it never ends by itself."""
        target = f"{address[0]}:{address[1]}"
        while True:
            if self._certificates is None:
                channel = grpc.aio.insecure_channel(target, options=[("grpc.use_local_subchannel_pool", 1)])
            else:
                channel = grpc.aio.secure_channel(target, self._certificates.channel_credentials())
            material = self._certificates.material if self._certificates is not None else None
            async with channel:
                call = channel.unary_unary(f"/{instances.SERVICE}/{instances.METHOD}")
                while self._certificates is None or self._certificates.material is material:
                    await self._ask(name, call)
                    await asyncio.sleep(every)

    async def _ask(self, name: str, call: Any) -> None:
        core = self._core
        asked, number = instances.question(core.seal, core.config.name)
        at = self._now()  # what it answers may be as old as this
        try:
            word = instances.read_answer(core.seal, await call(asked, timeout=1.0), number)
        except (grpc.RpcError, ProtocolError) as error:
            reason = error.code().name if isinstance(error, grpc.aio.AioRpcError) else str(error)
            if self.problems.get(name) != reason:
                log.warning(
                    "instance does not answer", extra={"fields": {"instance": name, "reason": reason}}
                )
            self.problems[name] = reason
            return
        self.problems.pop(name, None)
        core.said(name, word, at)


async def cancel_all(tasks: list[asyncio.Task[Any]]) -> None:
    """End tasks and wait until they are over."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
