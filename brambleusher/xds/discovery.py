"""Follows discovery with the sidecar's own endpoint list, in a thread with its own scheduler."""

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

COUNTS = ("lists_taken", "lists_rejected", "watches_broken")


class Discovery:
    """The thread; what it hears is handed to the event loop in the order in which it came."""

    def __init__(
        self,
        address: tuple[str, int],
        seed: int,
        loop: asyncio.AbstractEventLoop,
        on_update: Callable[[EndpointListUpdate, int], None],
        on_heard: Callable[[int], None],
        on_lost: Callable[[int], None],
    ) -> None:
        self._address, self._seed, self._loop = address, seed, loop
        self._on_update, self._on_heard, self._on_lost = on_update, on_heard, on_lost
        system = RealSystem()
        self.clock = Clock(system)
        self.counters = Counters()
        self._system = system
        self._scheduler: Scheduler | None = None
        self._ended = False
        self._thread = threading.Thread(target=self._run, name="discovery", daemon=True)

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; it may take until its next round."""
        self._ended = True
        if self._scheduler is not None:
            self._scheduler.stop()

    def _hand(self, call: Callable[..., None], *args: object) -> None:
        if not self._ended and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(call, *args)

    def _run(self) -> None:
        scheduler = self._scheduler = Scheduler(self._system)
        watch = HttpWatch(scheduler, self._address)

        def feed(since: int | None) -> Generator[bytes, None, None]:
            """The watch, with a word for each empty line: discovery says that nothing has changed."""
            for text in watch(since):
                if text.strip():
                    yield text
                else:
                    self._hand(self._on_heard, self.clock.now_ns())

        endpoint_list = EndpointList(
            scheduler, feed, random.Random(self._seed), self.counters,
            lambda update: self._hand(self._on_update, update, self.clock.now_ns()),
            lambda: self._hand(self._on_lost, self.clock.now_ns()),
        )  # fmt: skip
        endpoint_list.start()
        endpoint_list.request_watch()
        scheduler.run(lambda: self._ended)
        scheduler.close()
