"""Run the control service as a program: assemble, start, reload and stop its components."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import random
import signal
import sys
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from brambleusher.loadbalancing.view_consistency import ViewPosition, WithheldReason
from brambleusher.net.endpoint_list import EndpointListUpdate
from brambleusher.runtime.signal_holding import take_held_signal
from brambleusher.xds.config import ControlConfig, load_control_config, reload_control_config
from brambleusher.xds.core import Core
from brambleusher.xds.discovery import DiscoveryWatcher
from brambleusher.xds.errors import ControlError
from brambleusher.xds.server import PeerPoller, XdsServer, cancel_and_wait
from brambleusher.xds.status import StatusServer
from brambleusher.xds.store import Store, StoreError
from brambleusher.xds.tls import Certificates
from brambleusher.xds.versions import MacSigner

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.25
MAX_WRITE_WAIT_S = 0.1  # longest wait of a drain for the disk; the rest of its 500 ms is left to the proxies
WRITE_RETRY_S = 0.5
CERTIFICATE_POLL_INTERVAL_S = 1.0
SEED_BITS = 64
# Most objects live for one push and are freed by reference counting.  A full garbage collection takes as
# long as a push and would delay it, so collections are made rare.
GC_THRESHOLDS = (50_000, 20, 50)
EXIT_UNUSABLE = 2  # exit status if the configuration is not valid or an address can't be listened on


class Service:
    """One instance of the control service."""

    def __init__(self, config: ControlConfig, path: str | None = None, seed: int | None = None) -> None:
        """Open the store and read the certificates.

        Raises:
            ControlError: The store or a certificate can't be used, or the configured epoch is lower than
                that of a published view.
        """
        self.config, self._path = config, path
        self.store = Store(config.store, MacSigner(config.secret))
        floor = self.store.floor
        if floor is not None and floor.epoch > config.epoch:
            self.store.close()
            raise ControlError(f"epoch is {config.epoch}, but views of epoch {floor.epoch} were published")
        self.certificates = None if config.tls is None else Certificates(config.tls)
        self._seed = random.SystemRandom().getrandbits(SEED_BITS) if seed is None else seed
        self._stop_requested = asyncio.Event()
        self._write_requested = asyncio.Event()
        self._pool = ThreadPoolExecutor(1, "store")
        self._tasks: list[asyncio.Task[None]] = []
        self.store_problem: str | None = None
        self.last_write_ms = 0.0
        self._status_listener: asyncio.Server | None = None

    async def start(self) -> dict[str, str]:
        """Start all components.

        Returns:
            The instance's name and the addresses in use.

        Raises:
            OSError: The service can't listen on one of its addresses.
        """
        config, loop = self.config, asyncio.get_running_loop()
        self._assemble(loop)
        try:
            self.store.record_start()
        except StoreError as error:
            self._report_store_problem(error)
        port = await self.server.start(config.listen)
        addresses = {"instance": config.name, "xds": f"{config.listen[0]}:{port}"}
        if config.status is not None:
            self._status_listener = await self.status.serve(config.status)
            host, status_port = self._status_listener.sockets[0].getsockname()[:2]
            addresses["status"] = f"{host}:{status_port}"
        loops = (self._run_ticks(), self._run_writes(), self._run_certificate_checks())
        self._tasks = [loop.create_task(coroutine) for coroutine in loops]
        self._tasks += [loop.create_task(self.peers.poll(peer.name, peer.address)) for peer in config.peers]
        self.discovery.start()
        fields = {**addresses, "floor": self.store.floor, "starts": self.store.starts}
        log.info("serving", extra={"fields": fields})
        return addresses

    def _assemble(self, loop: asyncio.AbstractEventLoop) -> None:
        config = self.config
        self.discovery = DiscoveryWatcher(
            config.discovery,
            self._seed,
            loop,
            on_update=self._on_endpoint_list,
            on_contact=self._on_discovery_contact,
            on_disconnect=self._on_discovery_disconnect,
        )
        self.now_ns = self.discovery.clock.now_ns
        self.core = Core(config, self.store.floor, self.now_ns(), self._seed)
        self.server = XdsServer(self.core, self.now_ns, self.certificates)
        self.peers = PeerPoller(self.core, self.now_ns, self.certificates)
        self.status = StatusServer(self.core, self.now_ns, self._extra_status)

    async def stop(self) -> None:
        """Stop all components and close the store."""
        self.discovery.stop()
        await cancel_and_wait(self._tasks)
        await self.server.stop()
        if self._status_listener is not None:
            self._status_listener.close()
        self._pool.shutdown(wait=True)
        self.store.close()

    def request_stop(self) -> None:
        """Make `run` stop the service and return."""
        self._stop_requested.set()

    def reload(self) -> None:
        """Read the configuration file again; if it is not valid, keep the current configuration."""
        if self._path is None:
            return
        try:
            config, keys_needing_restart = reload_control_config(self.config, self._path)
        except ControlError as error:
            self._report_reload_failure(error)
            return
        for key in keys_needing_restart:
            log.warning("configuration key needs a restart", extra={"fields": {"key": key}})
        self.config = config
        self.core.reconfigure(config, self.now_ns())
        log.info("configuration reloaded")

    @staticmethod
    def _report_reload_failure(error: ControlError) -> None:
        log.error("configuration reload failed", extra={"fields": {"reason": error}})

    async def run(self, print_addresses: bool) -> None:
        """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration file."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if take_held_signal(signal.SIGHUP):
            loop.call_soon(self.reload)
        try:
            addresses = await self.start()
        except OSError:
            await self.stop()
            raise
        if print_addresses:
            print(json.dumps(addresses), flush=True)
        await self._stop_requested.wait()
        await self.stop()

    # --- events -----------------------------------------------------------------------------------

    def _on_endpoint_list(self, update: EndpointListUpdate, at_ns: int) -> None:
        self.core.record_endpoint_list(update, at_ns)
        self._write_requested.set()

    def _on_discovery_contact(self, at_ns: int) -> None:
        self.core.record_discovery_contact(at_ns)
        self.server.wake()
        self._write_requested.set()

    def _on_discovery_disconnect(self) -> None:
        self.core.record_discovery_disconnect()

    async def _run_ticks(self) -> None:
        """Advance the core's timers, supervise streams, and log when publishing is withheld or resumes."""
        last_reason = None
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                last_reason = self._tick(last_reason)
            except Exception:
                log.exception("tick failed")

    def _tick(self, last_reason: WithheldReason | None) -> WithheldReason | None:
        now_ns = self.now_ns()
        self.core.tick(now_ns)
        self.server.supervise()
        reason = self.core.withheld_reason(now_ns)
        if reason is not last_reason:
            if reason is None:
                self.server.wake()
            log.warning(
                "publishing resumed" if reason is None else "publishing withheld",
                extra={"fields": {"reason": reason and reason.value}},
            )
        return reason

    async def _run_writes(self) -> None:
        """Write each position that the core needs to durable storage, and retry until the write succeeds."""
        loop = asyncio.get_running_loop()
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            while (position := self.core.position_to_write()) is not None:
                if not await self._write(loop, position):
                    await asyncio.sleep(WRITE_RETRY_S)

    async def _write(self, loop: asyncio.AbstractEventLoop, position: ViewPosition) -> bool:
        start_s = loop.time()
        write = loop.run_in_executor(self._pool, self.store.write, position)
        try:
            try:
                await asyncio.wait_for(asyncio.shield(write), MAX_WRITE_WAIT_S)
            except TimeoutError:
                # Removals are published after a failed write, so report a slow write as failed: a slow disk
                # must not delay a drain.
                self.core.record_write_failure(self.now_ns())
                await write
        except StoreError as error:
            self._report_store_problem(error)
            self.core.record_write_failure(self.now_ns())
            return False
        if self.store_problem is not None:
            log.info("store write recovered")
        self.store_problem, self.last_write_ms = None, (loop.time() - start_s) * 1000
        self.core.record_written(position, self.now_ns())
        return True

    def _report_store_problem(self, error: StoreError) -> None:
        if self.store_problem is None:
            log.error("store write failed", extra={"fields": {"reason": error}})
        self.store_problem = str(error)

    async def _run_certificate_checks(self) -> None:
        loop = asyncio.get_running_loop()
        while self.certificates is not None:
            await asyncio.sleep(CERTIFICATE_POLL_INTERVAL_S)
            await loop.run_in_executor(None, self.certificates.reload_if_changed)

    def _extra_status(self) -> Mapping[str, object]:
        """Return the status fields that come from the service rather than from the core."""
        return {
            "store": {
                "starts": self.store.starts,
                "lost_at_start": self.store.had_corrupt_file,
                "problem": self.store_problem,
                "last_write_ms": round(self.last_write_ms, 2),
            },
            "instances": {
                "peers": [peer.name for peer in self.config.peers],
                "problems": self.peers.problems,
            },
            "tls": None if self.certificates is None else self.certificates.status(),
            "load_streams": self.server.load_streams,
            "streams_ended_for_cause": self.server.ended_for_cause,
        }


def serve(path: str, print_addresses: bool) -> int:
    """Run one instance as this process's main program.

    Returns:
        The exit status: 2 if the configuration is not valid or an address can't be listened on, else 0.
    """
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        asyncio.run(_serve(path, print_addresses))
    except ControlError as error:
        print(f"brambleusher: bad control configuration: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    except OSError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return 0


async def _serve(path: str, print_addresses: bool) -> None:
    await Service(load_control_config(path), path).run(print_addresses)
