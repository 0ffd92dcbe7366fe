"""The endpoint list: what discovery says of the endpoints, kept up by a watch.

How a watch travels is the feed's affair: it yields one JSON text a change, and an empty one as
long as nothing changes.
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
    state_of,
    state_word,
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
    "state_of",
    "state_word",
]  # fmt: skip

log = logging.getLogger(__name__)

SMALL_LIST = 128  # endpoints; a list of no more is applied at once
SLICE_SIZE = 40  # endpoints of a longer list that are applied at once: 0.3 ms

# Takes the version held (None for the whole list) and yields texts until the watch ends.
Feed = Callable[[int | None], Generator[bytes, None, None]]

T = TypeVar("T")


def _do_nothing() -> None:
    """Do nothing."""


class EndpointList:
    """Follows discovery, and says when it can't.

    Attributes:
        on_step: Called after each step of a long list.
        is_watching: A watch is open, or being opened.
        has_discovery_answered: Discovery has answered since the start.
        has_watch_failed: A watch has failed since the start: another may be long in coming.
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
        """Make a list that follows nothing yet.

        Args:
            scheduler: Runs its tasks.
            feed: One watch at discovery.
            rng: Draws the pauses between watches.
            counters: Count watches and lists.
            on_update: Called with each change.
            on_broken: Called when a watch has failed or ended.
            slices: Apply a long list as updates of some endpoints each, drains and removals first.
            sidecars: How many call discovery.
        """
        self._scheduler, self._feed, self._rng, self._counters = scheduler, feed, rng, counters
        self._on_update, self._on_broken = on_update, on_broken
        self._sidecars = sidecars
        self._slices = EndpointListSlices(SMALL_LIST, SLICE_SIZE) if slices else None
        self._sliced_version = 0  # of the list that slices come of
        self._slices_waiting = Event()
        self._applying: Task | None = None
        self._version: int | None = None
        self._watch_requested = Event()
        self._following: Task | None = None
        self._switch: Timer | None = None  # to another discovery, at its moment
        self.on_step: Callable[[], None] = _do_nothing
        self.is_watching = self.has_discovery_answered = self.has_watch_failed = False

    def set_known(self, known: EndpointListUpdate) -> None:
        """Take over the list of the configuration, which was applied; its version is 0 where it has none."""
        self._version = known.version or None
        if self._slices is not None:
            self._slices.mark_applied(known)

    def request_watch(self) -> None:
        """Watch now, unless a watch is open."""
        if not self.is_watching:
            self._watch_requested.set()

    def start(self) -> None:
        """Start the task; its first watch waits until it is requested."""
        self._following = self._scheduler.spawn(self._follow, name="endpoint list")
        if self._slices is not None and self._applying is None:
            self._applying = self._scheduler.spawn(self._apply_slices, self._slices, name="list slices")

    def switch_discovery(self, feed: Feed, within_s: float = 0.0) -> None:
        """Follow another discovery; the list held stays until the new one has sent its own.

        A fleet that is told of it in one moment must not call for the whole list in one: each switches at a
        moment of its own within so many seconds, and follows the old one until then.
        """
        if self._switch is not None:
            self._switch.cancel()
        moment = self._scheduler.now() + self._rng.random() * within_s
        self._switch = self._scheduler.call_at(moment, lambda: self._switch_now(feed))

    def _switch_now(self, feed: Feed) -> None:
        """Ask for the whole list, as versions of the new discovery need not be those of the old one."""
        self._switch = None
        if self._following is not None:
            self._following.cancel()  # which ends its watch
        self._feed, self._version, self.is_watching = feed, None, False
        self.start()
        self.request_watch()

    # --- watches --------------------------------------------------------------------------------

    def _follow(self) -> None:
        """Open watch after watch, with a pause after each that grows while they bring nothing."""
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
        """Follow one watch until it ends; returns whether it brought anything, and why it ended."""
        has_received, self.is_watching = False, True
        try:
            with closing(self._feed(self._version)) as texts:
                for text in texts:
                    if text.strip():
                        self._apply(text)
                    has_received = True
        except Exception as error:
            # Whatever discovery sends must not end the watch for good.
            return has_received, f"{type(error).__name__}: {error}"
        return has_received, "ended"

    # --- updates --------------------------------------------------------------------------------

    def _apply(self, text: bytes) -> None:
        # Until it is applied, what is held is of no one version: after a break, all of it is asked for.
        self._version = None
        try:
            update = self._run_steps(decode_steps(text))
        except ValueError as error:
            # The last good list stays.  What this one changed is unknown now: ask for all of it.
            self._counters.add("lists_rejected")
            raise EndpointListError(f"bad endpoint list: {error}") from None
        if self._slices is None:
            self._apply_at_once(update)
        elif self._slices.is_small(update):
            self._slices.mark_applied(update)
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
        if not slices.waiting:  # that discovery answered is news even where nothing has changed
            self._on_update(EndpointListUpdate(update.version, False, ()))
        self._slices_waiting.set()

    def _run_steps(self, steps: Generator[None, None, T]) -> T:
        """Go through steps, and let others run between them."""
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value  # type: ignore[no-any-return]
            self.on_step()
            self._slices_waiting.set()  # what is urgent need not wait for the last step
            self._scheduler.yield_until_idle()

    def _apply_slices(self, slices: EndpointListSlices) -> None:
        """Apply slice after slice, as long as any wait; a task."""
        while True:
            self._scheduler.park(event=self._slices_waiting)
            while endpoints := slices.next():
                try:
                    self._on_update(EndpointListUpdate(self._sliced_version, False, endpoints))
                except Exception:
                    # One fault must not hold up all that is still to be applied.
                    self._counters.add("faults")
                    log.exception("endpoint list slice failed")
                self.on_step()
                self._scheduler.yield_until_idle()
            self.has_discovery_answered = self.has_discovery_answered or self._version is not None
