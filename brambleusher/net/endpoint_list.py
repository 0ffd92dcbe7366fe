"""Keeps the endpoint list up to date by watching service discovery.

The feed hides the transport of a watch: it yields one JSON text for each change, and empty texts as
heartbeats while nothing changes.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Generator
from contextlib import closing
from typing import TypeVar

from brambleusher.loadbalancing.backoff import Backoff
from brambleusher.net.endpoint_entries import (
    Endpoint,
    EndpointListError,
    EndpointListUpdate,
    decode_update,
    state_name,
    state_of,
)
from brambleusher.net.endpoint_list_slices import EndpointListSlices, decode_steps
from brambleusher.observability.counters import Counters
from brambleusher.runtime.scheduler import Event, Scheduler, Task, TaskTimeoutError, Timer

__all__ = [
    "Endpoint",
    "EndpointList",
    "EndpointListError",
    "EndpointListUpdate",
    "Feed",
    "decode_update",
    "state_name",
    "state_of",
]  # fmt: skip

log = logging.getLogger(__name__)

SMALL_LIST = 128  # a list of at most this many endpoints is applied in one step
SLICE_SIZE = 40  # endpoints of a longer list applied in one step, which takes 0.3 ms

# A feed takes the last known version (None requests the full list) and yields texts until the watch ends.
Feed = Callable[[int | None], Generator[bytes, None, None]]

T = TypeVar("T")


def _do_nothing() -> None:
    """Do nothing."""


class EndpointList:
    """Watches service discovery, applies endpoint updates and reports failed watches.

    Attributes:
        on_step: Called after each step of applying a long list.
        is_watching: Whether a watch is open or being opened.
        has_discovery_answered: Whether discovery has answered since the start.
        has_watch_failed: Whether a watch has failed since the start; backoff may delay the next watch.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        feed: Feed,
        rng: random.Random,
        counters: Counters,
        on_update: Callable[[EndpointListUpdate], None],
        on_broken: Callable[[], None],
        slices: bool = False,
        sidecars: int = 1,
    ) -> None:
        """Create an endpoint list that does not watch discovery yet.

        Args:
            scheduler: Runs the tasks of the list.
            feed: Opens one watch at discovery.
            rng: Draws the pauses between watches.
            counters: Count watches and lists.
            on_update: Called with each update.
            on_broken: Called when a watch has failed or ended.
            slices: Whether to apply a long list in slices of a few endpoints, drains and removals first.
            sidecars: The number of sidecars that watch the same discovery.
        """
        self._scheduler, self._feed, self._rng, self._counters = scheduler, feed, rng, counters
        self._on_update, self._on_broken = on_update, on_broken
        self._sidecars = sidecars
        self._slices = EndpointListSlices(SMALL_LIST, SLICE_SIZE) if slices else None
        self._sliced_version = 0  # version of the list whose slices are being applied
        self._slices_waiting = Event()
        self._applying: Task | None = None
        self._version: int | None = None
        self._watch_requested = Event()
        self._following: Task | None = None
        self._switch: Timer | None = None  # fires when it is time to switch to another discovery
        self.on_step: Callable[[], None] = _do_nothing
        self.is_watching = self.has_discovery_answered = self.has_watch_failed = False

    def set_known(self, known: EndpointListUpdate) -> None:
        """Record the configured list, which is already applied; a version of 0 means that it has none."""
        self._version = known.version or None
        if self._slices is not None:
            self._slices.record_applied(known)

    def request_watch(self) -> None:
        """Open a watch immediately unless a watch is open."""
        if not self.is_watching:
            self._watch_requested.set()

    def start(self) -> None:
        """Start the watch task, which opens its first watch when one is requested."""
        self._following = self._scheduler.spawn(self._follow, name="endpoint list")
        if self._slices is not None and self._applying is None:
            self._applying = self._scheduler.spawn(self._apply_slices, self._slices, name="list slices")

    def switch_discovery(self, feed: Feed, within_s: float = 0.0) -> None:
        """Switch to another discovery, keeping the current list until the new discovery has sent its own.

        All sidecars of a fleet may be told to switch at once and must not request the full list at once. Each
        sidecar therefore switches at a random time within `within_s` seconds, and watches the old discovery
        until then.
        """
        if self._switch is not None:
            self._switch.cancel()
        moment = self._scheduler.now() + self._rng.random() * within_s
        self._switch = self._scheduler.call_at(moment, lambda: self._switch_now(feed))

    def _switch_now(self, feed: Feed) -> None:
        """Request the full list, as the two discoveries may number their versions differently."""
        self._switch = None
        if self._following is not None:
            self._following.cancel()  # cancelling the task ends its watch
        self._feed, self._version, self.is_watching = feed, None, False
        self.start()
        self.request_watch()

    # --- watches --------------------------------------------------------------------------------

    def _follow(self) -> None:
        """Open watches repeatedly, with an increasing pause while the watches deliver nothing."""
        self._scheduler.park(event=self._watch_requested)
        backoff = Backoff(self._sidecars, self._rng)
        while True:
            started_at = self._scheduler.now()
            has_received, reason = self._watch()
            self.is_watching = False
            self.has_watch_failed = True
            self._counters.add("watches_broken")
            fields = {"reason": reason, "version": self._version}
            log.warning("endpoint list watch failed", extra={"fields": fields})
            self._on_broken()
            now = self._scheduler.now()
            wait_s = backoff.wait_s(has_received, now - started_at)
            try:
                self._scheduler.park(now + wait_s, event=self._watch_requested)
            except TaskTimeoutError:
                continue

    def _watch(self) -> tuple[bool, str]:
        """Follow one watch until it ends; return whether it delivered anything, and why it ended."""
        has_received, self.is_watching = False, True
        try:
            with closing(self._feed(self._version)) as texts:
                for text in texts:
                    if text.strip():
                        self._apply(text)
                    has_received = True
        except Exception as error:
            # No input from discovery may stop the watch task permanently.
            return has_received, f"{type(error).__name__}: {error}"
        return has_received, "ended"

    # --- updates --------------------------------------------------------------------------------

    def _apply(self, text: bytes) -> None:
        # While an update is being applied, the list matches no single version. If the watch breaks
        # meanwhile, the next watch requests the full list.
        self._version = None
        try:
            update = self._run_steps(decode_steps(text))
        except ValueError as error:
            # Keep the last valid list. The changes of the rejected list are unknown, so the next watch
            # requests the full list.
            self._counters.add("lists_rejected")
            raise EndpointListError(f"bad endpoint list: {error}") from None
        if self._slices is None:
            self._apply_at_once(update)
        elif self._slices.is_small(update):
            self._slices.record_applied(update)
            self._apply_at_once(update)
        else:
            self._apply_in_slices(self._slices, update)

    def _apply_at_once(self, update: EndpointListUpdate) -> None:
        self._version = update.version
        self.has_discovery_answered = True
        self._counters.add("lists_taken")
        self._on_update(update)

    def _apply_in_slices(self, slices: EndpointListSlices, update: EndpointListUpdate) -> None:
        self._sliced_version = update.version
        self._slices_waiting.set()
        self._run_steps(slices.add(update))
        self._version = update.version
        self._counters.add("lists_taken")
        if not slices.waiting:  # report that discovery has answered, even if no endpoint changed
            self._on_update(EndpointListUpdate(update.version, False, ()))
        self._slices_waiting.set()

    def _run_steps(self, steps: Generator[None, None, T]) -> T:
        """Run the steps and return their result, yielding to other tasks between them."""
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value  # type: ignore[no-any-return]
            self.on_step()
            self._slices_waiting.set()  # urgent changes are applied before the last step
            self._scheduler.yield_until_idle()

    def _apply_slices(self, slices: EndpointListSlices) -> None:
        """Apply the waiting slices one after another; runs as a task."""
        while True:
            self._scheduler.park(event=self._slices_waiting)
            while endpoints := slices.next():
                try:
                    self._on_update(EndpointListUpdate(self._sliced_version, False, endpoints))
                except Exception:
                    # One failed slice must not block the remaining slices.
                    self._counters.add("faults")
                    log.exception("endpoint list slice failed")
                self.on_step()
                self._scheduler.yield_until_idle()
            self.has_discovery_answered = self.has_discovery_answered or self._version is not None
