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

SMALL, SLICE = 128, 40  # endpoints: told as they come; told at once of a longer list (0.3 ms)

# Takes the version held (None for the whole list) and yields texts until the watch ends.
Feed = Callable[[int | None], Generator[bytes, None, None]]

T = TypeVar("T")


class EndpointList:
    """Follows discovery, and says when it can't."""

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
        """`sidecars` of them call discovery.

        With `slices`, a long list is told as updates of some endpoints each, drains and removals first.
        """
        self._scheduler, self._feed, self._rng, self._counters = scheduler, feed, rng, counters
        self._on_update, self._on_broken = on_update, on_broken
        self._sidecars = sidecars
        self._slices = EndpointListSlices(SMALL, SLICE) if slices else None
        self._of = 0  # the version of the list that slices come of
        self._more = Event()  # set when something waits in `_slices`
        self._telling: Task | None = None
        self._version: int | None = None
        self._asked = Event()
        self._task: Task | None = None
        self._change: Timer | None = None  # to another discovery, at its moment
        self.on_step: Callable[[], None] = lambda: None  # told of each step of a long list
        self.watching = False
        self.fresh = False  # discovery has answered since the start
        self.turned_away = False  # a watch has failed since the start: another may be long in coming

    def hold(self, known: EndpointListUpdate) -> None:
        """The list taken from the configuration, which was told; its version is 0 where there was none."""
        self._version = known.version or None
        if self._slices is not None:
            self._slices.told(known)

    def ask(self) -> None:
        """Watch now, unless a watch is on."""
        if not self.watching:
            self._asked.set()

    def start(self) -> None:
        """Start the task; its first watch waits until it is asked for."""
        self._task = self._scheduler.spawn(self._follow, name="endpoint list")
        if self._slices is not None and self._telling is None:
            self._telling = self._scheduler.spawn(self._tell, self._slices, name="list slices")

    def change_over(self, feed: Feed, within: float = 0.0) -> None:
        """Follow another discovery; the list held stays until the new one has told its own.

        Guards against a fleet that is told of it in one moment and calls for the whole list in one: each
        goes over at a moment of its own within so many seconds, and follows the old one until then.
        """
        if self._change is not None:
            self._change.cancel()
        moment = self._scheduler.now() + self._rng.random() * within
        self._change = self._scheduler.call_at(moment, lambda: self._change_now(feed))

    def _change_now(self, feed: Feed) -> None:
        """Its versions need not be those of the old one, so the whole list is asked for."""
        self._change = None
        if self._task is not None:
            self._task.cancel()  # which ends its watch
        self._feed, self._version, self.watching = feed, None, False
        self.start()
        self.ask()

    def _follow(self) -> None:
        """The task: watch after watch, with a pause after each that grows while they bring nothing."""
        self._scheduler.park(event=self._asked)
        backoff = Backoff(self._sidecars, self._rng)
        while True:
            began, heard, self.watching = self._scheduler.now(), False, True
            try:
                with closing(self._feed(self._version)) as texts:
                    for text in texts:
                        if text.strip():
                            self._take(text)
                        heard = True
                reason = "ended"
            except Exception as error:
                # Guards against a discovery that talks nonsense ending the watch for good.
                reason = f"{type(error).__name__}: {error}"
            self.watching = False
            self.turned_away = True
            self._counters.add("watches_broken")
            log.warning("watch broken", extra={"fields": {"reason": reason, "version": self._version}})
            self._on_broken()
            now = self._scheduler.now()
            try:
                self._scheduler.park(now + backoff.wait_s(heard, now - began), event=self._asked)
            except TaskTimeoutError:
                continue

    def _take(self, text: bytes) -> None:
        # Until it is taken, what is held is of no one version: after a break, all of it is asked for.
        self._version = None
        try:
            update = self._stepwise(decode_steps(text))
        except ValueError as error:
            # The last good list stays.  What this one changed is unknown now: ask for all of it.
            self._counters.add("lists_rejected")
            raise EndpointListError(f"bad endpoint list: {error}") from None
        slices = self._slices
        if slices is None or slices.is_small(update):
            if slices is not None:
                slices.told(update)
            self._version = update.version
            self.fresh = True
            self._counters.add("lists_taken")
            self._on_update(update)
            return
        self._of = update.version
        self._more.set()
        self._stepwise(slices.take(update))
        self._version = update.version
        self._counters.add("lists_taken")
        if not slices.waiting:  # that discovery answered is news even where nothing has changed
            self._on_update(EndpointListUpdate(update.version, False, ()))
        self._more.set()

    def _stepwise(self, steps: Generator[None, None, T]) -> T:
        """Go through steps, and let others run between them."""
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value  # type: ignore[no-any-return]
            self.on_step()
            self._more.set()  # what is urgent need not wait for the last step
            self._scheduler.breathe()

    def _tell(self, slices: EndpointListSlices) -> None:
        """The task: slice after slice, as long as any wait."""
        while True:
            self._scheduler.park(event=self._more)
            while some := slices.next():
                try:
                    self._on_update(EndpointListUpdate(self._of, False, some))
                except Exception:
                    # Guards against one fault keeping all that is still to be told.
                    self._counters.add("faults")
                    log.exception("a slice of the list failed")
                self.on_step()
                self._scheduler.breathe()
            self.fresh = self.fresh or self._version is not None
