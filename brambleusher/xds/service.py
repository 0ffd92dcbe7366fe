"""The service as a program: its parts put together, started, reloaded and ended."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import random
import signal
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.net.endpoint_list import EndpointListUpdate
from brambleusher.xds.config import ControlConfig, load_control, reload_control
from brambleusher.xds.core import Core
from brambleusher.xds.discovery import Discovery
from brambleusher.xds.faults import ControlError
from brambleusher.xds.server import PeerPoller, XdsServer, cancel_all
from brambleusher.xds.status import Status
from brambleusher.xds.store import Store, StoreError
from brambleusher.xds.tls import Certificates
from brambleusher.xds.versions import Seal

log = logging.getLogger(__name__)

TICK_SECONDS = 0.25
WRITE_SECONDS = 0.1  # so long a drain waits for the disk; the rest of its time is the proxies'
RETRY_SECONDS = 0.5
LOOK_SECONDS = 1.0


class Service:
    """One instance."""

    def __init__(self, config: ControlConfig, path: str | None = None, seed: int | None = None) -> None:
        """Opens the store and reads the certificates; raises `ControlError`."""
        self.config, self._path = config, path
        self.store = Store(config.store, Seal(config.secret))
        floor = self.store.floor
        if floor is not None and floor.epoch > config.epoch:
            self.store.close()
            raise ControlError(f"epoch is {config.epoch}, and views of epoch {floor.epoch} were handed out")
        self.certificates = None if config.tls is None else Certificates(config.tls)
        self._seed = random.SystemRandom().getrandbits(64) if seed is None else seed
        self._ending = asyncio.Event()
        self._to_write = asyncio.Event()
        self._pool = ThreadPoolExecutor(1, "store")
        self._tasks: list[asyncio.Task[Any]] = []
        self.store_problem: str | None = None
        self.write_ms = 0.0
        self._viewers: asyncio.Server | None = None

    async def start(self) -> dict[str, Any]:
        """Serve; says on which addresses.  Raises `OSError` where one can't be listened on."""
        config, loop = self.config, asyncio.get_running_loop()
        self.discovery = Discovery(config.discovery, self._seed, loop, self._listed, self._heard, self._lost)
        self.now = self.discovery.clock.now_ns
        self.core = Core(config, self.store.floor, self.now(), self._seed)
        self.server = XdsServer(self.core, self.now, self.certificates)
        self.peers = PeerPoller(self.core, self.now, self.certificates)
        self.status = Status(self.core, self.now, self._more)
        try:
            self.store.record_start()
        except StoreError as error:
            self._store_failed(error)
        port = await self.server.start(config.listen)
        addresses: dict[str, Any] = {"instance": config.name, "xds": f"{config.listen[0]}:{port}"}
        if config.status is not None:
            self._viewers = await self.status.serve(config.status)
            where = self._viewers.sockets[0].getsockname()
            addresses["status"] = f"{where[0]}:{where[1]}"
        self._tasks = [loop.create_task(each) for each in (self._tick(), self._write(), self._look())]
        self._tasks += [loop.create_task(self.peers.poll(each.name, each.address)) for each in config.peers]
        self.discovery.start()
        log.info(
            "serving", extra={"fields": {**addresses, "floor": self.store.floor, "starts": self.store.starts}}
        )
        return addresses

    async def stop(self) -> None:
        """End everything."""
        self.discovery.stop()
        await cancel_all(self._tasks)
        await self.server.stop()
        if self._viewers is not None:
            self._viewers.close()
        self._pool.shutdown(wait=True)
        self.store.close()

    def end(self) -> None:
        """Begin to end."""
        self._ending.set()

    def reload(self) -> None:
        """Read the file again; one that can't be used changes nothing."""
        if self._path is None:
            return
        try:
            config, differs = reload_control(self.config, self._path)
        except ControlError as error:
            log.error("bad configuration, the running one stays", extra={"fields": {"reason": error}})
            return
        for key in differs:
            log.warning("can't change in a running service", extra={"fields": {"key": key}})
        self.config = config
        self.core.reconfigure(config, self.now())
        log.info("configuration read again")

    async def run(self, tell: bool) -> None:
        """Serve until told to end by SIGTERM or SIGINT; SIGHUP has the file read again."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.end)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        try:
            addresses = await self.start()
        except OSError:
            await self.stop()
            raise
        if tell:
            print(json.dumps(addresses), flush=True)
        await self._ending.wait()
        await self.stop()

    # --- what happens -------------------------------------------------------------------------------

    def _listed(self, update: EndpointListUpdate, at: int) -> None:
        self.core.record_endpoint_list(update, at)
        self._to_write.set()

    def _heard(self, at: int) -> None:
        self.core.record_discovery_contact(at)
        self.server.wake()
        self._to_write.set()

    def _lost(self, at: int) -> None:
        self.core.record_discovery_lost()

    async def _tick(self) -> None:
        """Reports, weights and time."""
        withheld = None
        while True:
            await asyncio.sleep(TICK_SECONDS)
            try:
                now = self.now()
                self.core.tick(now)
                self.server.supervise()
                why = self.core.withheld_reason(now)
                if why is not withheld:
                    if why is None:
                        self.server.wake()
                    log.warning(
                        "handing out" if why is None else "withheld",
                        extra={"fields": {"reason": why and why.value}},
                    )
                    withheld = why
            except Exception:
                log.exception("tick failed")

    async def _write(self) -> None:
        """Keep the store up with the view, and the view waiting for the store."""
        loop = asyncio.get_running_loop()
        while True:
            await self._to_write.wait()
            self._to_write.clear()
            while (place := self.core.position_to_write()) is not None:
                if not await self._write_one(loop, place):
                    await asyncio.sleep(RETRY_SECONDS)

    async def _write_one(self, loop: asyncio.AbstractEventLoop, place: ViewPosition) -> bool:
        began = loop.time()
        job = loop.run_in_executor(self._pool, self.store.write, place)
        try:
            try:
                await asyncio.wait_for(asyncio.shield(job), WRITE_SECONDS)
            except TimeoutError:
                # Guards against a disk that hangs holding a drain back.
                self.core.record_write_failure(self.now())
                await job
        except StoreError as error:
            self._store_failed(error)
            self.core.record_write_failure(self.now())
            return False
        if self.store_problem is not None:
            log.info("store written again")
        self.store_problem, self.write_ms = None, (loop.time() - began) * 1000
        self.core.record_written(place, self.now())
        return True

    def _store_failed(self, error: StoreError) -> None:
        if self.store_problem is None:
            log.error("store can't be written: only drains go out", extra={"fields": {"reason": error}})
        self.store_problem = str(error)

    async def _look(self) -> None:
        """Now and then: changed certificates."""
        loop = asyncio.get_running_loop()
        while self.certificates is not None:
            await asyncio.sleep(LOOK_SECONDS)
            await loop.run_in_executor(None, self.certificates.look)

    def _more(self) -> dict[str, Any]:
        tls = self.certificates
        return {
            "store": {
                "starts": self.store.starts,
                "lost_at_start": self.store.was_lost,
                "problem": self.store_problem,
                "last_write_ms": round(self.write_ms, 2),
            },
            "instances": {
                "peers": [peer.name for peer in self.config.peers],
                "problems": self.peers.problems,
            },
            "tls": None
            if tls is None
            else {
                "valid_until": tls.material.not_after.isoformat(),
                "problem": tls.problem,
                "expires_soon": tls.expires_soon(),
                "taken": tls.taken,
            },
            "load_streams": self.server.load_streams,
            "streams_ended_for_cause": self.server.ended_for_cause,
        }


def serve(path: str, tell: bool) -> int:
    """Run one instance as this process's main program; 2 where its file can't be used."""
    # Most of what is made lives for one push, and reference counts free it; a full collection takes as
    # long as a push and would fall into one.
    gc.set_threshold(50_000, 20, 50)
    try:
        asyncio.run(_serve(path, tell))
    except ControlError as error:
        print(f"brambleusher: bad control configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 2
    return 0


async def _serve(path: str, tell: bool) -> None:
    await Service(load_control(path), path).run(tell)
