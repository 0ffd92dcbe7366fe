"""Watch the discovery service with the sidecar's endpoint list code, in a thread with its own scheduler."""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Callable, Generator

from brambleusher.decisions.clock import Clock
from brambleusher.net.endpoint_list import EndpointList, EndpointListUpdate
from brambleusher.net.endpoint_watch import HttpWatch
from brambleusher.observability.counters import Counters
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler


class DiscoveryWatcher:
    """A thread that watches discovery and passes updates, in order, to callbacks in the event loop."""

    def __init__(
        self,
        address: tuple[str, int],
        seed: int,
        loop: asyncio.AbstractEventLoop,
        on_update: Callable[[EndpointListUpdate, int], None],
        on_contact: Callable[[int], None],
        on_disconnect: Callable[[], None],
    ) -> None:
        self._address, self._seed, self._loop = address, seed, loop
        self._on_update, self._on_contact, self._on_disconnect = on_update, on_contact, on_disconnect
        system = RealSystem()
        self.clock = Clock(system)
        self.counters = Counters()
        self._system = system
        self._scheduler: Scheduler | None = None
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="discovery", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to stop; it ends at its next event."""
        self._is_stopped = True
        if self._scheduler is not None:
            self._scheduler.stop()

    def _schedule_callback(self, callback: Callable[..., None], *args: object) -> None:
        if not self._is_stopped and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(callback, *args)

    def _run(self) -> None:
        scheduler = self._scheduler = Scheduler(self._system)
        watch = HttpWatch(scheduler, self._address)

        def updates(since: int | None) -> Generator[bytes, None, None]:
            """Yield the updates of the watch; an empty line means that nothing has changed."""
            for text in watch(since):
                if text.strip():
                    yield text
                else:
                    self._schedule_callback(self._on_contact, self.clock.now_ns())

        endpoint_list = EndpointList(
            scheduler, updates, random.Random(self._seed), self.counters,
            lambda update: self._schedule_callback(self._on_update, update, self.clock.now_ns()),
            lambda: self._schedule_callback(self._on_disconnect),
        )  # fmt: skip
        endpoint_list.start()
        endpoint_list.request_watch()
        scheduler.run(lambda: self._is_stopped)
        scheduler.close()
