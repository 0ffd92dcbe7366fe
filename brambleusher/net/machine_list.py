"""The machine list: what discovery says of the execute nodes, kept up by a watch.

How a watch travels is the feed's affair: it yields one JSON text a change, and an empty one as
long as nothing changes.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Generator
from contextlib import closing
from dataclasses import dataclass
from typing import Any

import orjson

from brambleusher.counters import Counters
from brambleusher.runtime.scheduler import Bell, Scheduler, Task, Timeout
from brambleusher.runtime.streams import parse_address
from quillpass.api import HostEntry, HostState

log = logging.getLogger(__name__)

_STATES = {
    "Ready": HostState.READY,
    "Terminating": HostState.DRAINING,
    "Gone": HostState.GONE,
}
BACKOFF_FIRST, BACKOFF_MOST = 0.1, 2.0
MAX_SERVERS = 10_000

# Takes the version held (None for the whole list) and yields texts until the watch ends.
Feed = Callable[[int | None], Generator[bytes, None, None]]


class ListError(ValueError):
    """A machine list that makes no sense."""


@dataclass(frozen=True, slots=True)
class Machine:
    """An execute node as listed: what the module is told, and where it listens."""

    entry: HostEntry
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class MachineListUpdate:
    """A whole list, or the entries that changed."""

    version: int
    full: bool
    machines: tuple[Machine, ...]


def state_word(state: HostState) -> str:
    """A state in discovery's words."""
    return next(word for word, meant in _STATES.items() if meant is state)


def state_of(word: str) -> HostState:
    """The state that one of discovery's words means; raises `KeyError` where it means none."""
    return _STATES[word]


def _whole(raw: dict[str, Any], key: str, default: int) -> int:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ListError(f"{key} is not a whole number")
    return value


def _machine(raw: Any) -> Machine:
    if not isinstance(raw, dict):
        raise ListError("an entry is not an object")
    name, address, state = raw.get("id"), raw.get("addr"), _STATES.get(str(raw.get("state")))
    if not isinstance(name, str) or not name:
        raise ListError("an entry has no id")
    if state is None:
        raise ListError(f"the state of {name} is unknown")
    weight = raw.get("weight", 1.0)
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 <= weight < math.inf:
        raise ListError(f"the weight of {name} is not a number")
    try:
        where = parse_address(address) if isinstance(address, str) else None
    except ValueError:
        where = None
    if where is None:
        if state is not HostState.GONE:
            raise ListError(f"the addr of {name} is not host:port")
        where = ("", 0)
    entry = HostEntry(
        host=name,
        zone=str(raw.get("zone", "")),
        kind=str(raw.get("kind", "")),
        cell=_whole(raw, "cell", 0),
        state=state,
        nominal=float(weight),
        started_ns=_whole(raw, "started_ms", 0) * 1_000_000,
    )
    return Machine(entry, where)


def decode_update(raw: Any) -> MachineListUpdate:
    """One object from discovery, checked whole before any of it is used."""
    if not isinstance(raw, dict):
        raise ListError("the list is not an object")
    servers = raw.get("servers")
    if not isinstance(servers, list) or len(servers) > MAX_SERVERS:
        raise ListError("servers is missing or not a list")
    return MachineListUpdate(
        _whole(raw, "version", 0), raw.get("full") is True, tuple(_machine(entry) for entry in servers)
    )


class MachineList:
    """Follows discovery, and says when it can't."""

    def __init__(
        self,
        scheduler: Scheduler,
        feed: Feed,
        rng: random.Random,
        counters: Counters,
        on_update: Callable[[MachineListUpdate], None],
        on_broken: Callable[[], None],
    ) -> None:
        self._scheduler, self._feed, self._rng, self._counters = scheduler, feed, rng, counters
        self._on_update, self._on_broken = on_update, on_broken
        self._version: int | None = None
        self._asked = Bell()
        self._task: Task | None = None
        self.watching = False
        self.fresh = False  # discovery has answered since the start

    def hold(self, version: int) -> None:
        """The version of the list taken from the configuration; 0 where there was none."""
        self._version = version or None

    def ask(self) -> None:
        """Watch now, unless a watch is on."""
        if not self.watching:
            self._asked.ring()

    def start(self) -> None:
        """Start the task; its first watch waits until it is asked for."""
        self._task = self._scheduler.spawn(self._follow, name="machine list")

    def change_over(self, feed: Feed) -> None:
        """Follow another discovery from now on; the list held stays until the new one has told its own.

        Its versions need not be those of the old one, so the whole list is asked for.
        """
        if self._task is not None:
            self._task.cancel()  # which ends its watch
        self._feed, self._version, self.watching = feed, None, False
        self.start()
        self.ask()

    def _follow(self) -> None:
        """The task: watch after watch, with a pause after each that grows while they bring nothing."""
        self._scheduler.park(bell=self._asked)
        pause = BACKOFF_FIRST
        while True:
            before = self._counters.count("lists_taken")
            self.watching = True
            try:
                with closing(self._feed(self._version)) as texts:
                    for text in texts:
                        if text.strip():
                            self._take(text)
                reason = "ended"
            except Exception as error:
                # Guards against a discovery that talks nonsense ending the watch for good.
                reason = f"{type(error).__name__}: {error}"
            self.watching = False
            self._counters.add("watches_broken")
            log.warning("watch broken", extra={"fields": {"reason": reason, "version": self._version}})
            self._on_broken()
            pause = (
                BACKOFF_FIRST
                if self._counters.count("lists_taken") > before
                else min(pause * 2, BACKOFF_MOST)
            )
            try:
                self._scheduler.park(
                    self._scheduler.now() + pause * (0.5 + self._rng.random()), bell=self._asked
                )
            except Timeout:
                continue

    def _take(self, text: bytes) -> None:
        try:
            update = decode_update(orjson.loads(text))
        except ValueError as error:
            # The last good list stays.  What this one changed is unknown now: ask for all of it.
            self._counters.add("lists_rejected")
            self._version = None
            raise ListError(f"bad machine list: {error}") from None
        self._version = update.version
        self.fresh = True
        self._counters.add("lists_taken")
        self._on_update(update)
