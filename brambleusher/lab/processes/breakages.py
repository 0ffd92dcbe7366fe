"""Deliberate breakages of the program that take real processes to show, beside those of virtual time."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager

from brambleusher.lab.breakages import BREAKAGES, Breakage, Patches
from brambleusher.runtime.real import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Socket

STOPPED_SECONDS = 0.5  # a round that was so late: the process had been stopped
LOST_AT_ONCE = 3


def _stands_still(patches: Patches) -> None:
    """After a stop the clock goes on from where it was, so that no deadline ever passes meanwhile."""

    def now_of(scheduler: Scheduler) -> Callable[[], float]:
        real, behind, last = scheduler.system.monotonic, 0.0, scheduler.system.monotonic()

        def now() -> float:
            nonlocal behind, last
            at = real()
            if at - last > STOPPED_SECONDS:
                behind += at - last
            last = at
            return at - behind

        return now

    def __init__(self: Scheduler, system: RealSystem) -> None:
        old(self, system)
        self.now = now_of(self)

    def call_at(self: Scheduler, when: float, call: Callable[[], object]) -> object:
        return old_call_at(self, when, call)

    old = patches.set(Scheduler, "__init__", __init__)
    old_call_at = patches.set(Scheduler, "call_at", call_at)


def _lost_in_accept(patches: Patches) -> None:
    """A process that was stopped accepts twice what waited first, and forgets it."""

    def accept(self: RealSystem, listener: Socket) -> tuple[Socket, str]:
        before = self.__dict__.setdefault("accepted_at", self.monotonic())
        now = self.__dict__["accepted_at"] = self.monotonic()
        if now - before > STOPPED_SECONDS:
            kept = self.__dict__.setdefault("lost", [])
            for _ in range(LOST_AT_ONCE):
                kept.append(RealSystem.connection(self))
        taken: tuple[Socket, str] = old(self, listener)
        return taken

    old = patches.set(RealSystem, "accept", accept)


OWN = {
    "stands-still": Breakage(
        "stands-still", "the clock stands still while the process is stopped", ("answer",), _stands_still
    ),
    "lost-in-accept": Breakage(
        "lost-in-accept", "descriptors are lost at the first accept after a stop", ("left-over",),
        _lost_in_accept,
    ),
}  # fmt: skip


def on(name: str) -> AbstractContextManager[None]:
    """The program with one of them; raises `KeyError` where there is none of that name."""
    return (OWN.get(name) or BREAKAGES[name]).on()
