"""Deliberate breakages of the program that take real processes to show, beside those of virtual time."""

from __future__ import annotations

from contextlib import AbstractContextManager

from brambleusher.lab.faults.breakages import BREAKAGES, Breakage, Patches
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Socket

STOPPED_SECONDS = 0.5  # a round that was so late: the process had been stopped
LOST_AT_ONCE = 3
KEPT_BYTES = 4 * 2**20  # for each connection, by one that forgets to let go


def _accept_blocks(patches: Patches) -> None:
    """What virtual sockets can't do: a read from one who says nothing stops the whole process."""

    def accept(self: RealSystem, listener: Socket) -> tuple[Socket, str]:
        taken: tuple[Socket, str] = old(self, listener)
        taken[0].setblocking(True)  # type: ignore[attr-defined]
        return taken

    old = patches.set(RealSystem, "accept", accept)


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


def _memory_kept(patches: Patches) -> None:
    """Each connection leaves something behind: only a process of its own has memory to be looked at."""

    def accept(self: RealSystem, listener: Socket) -> tuple[Socket, str]:
        taken: tuple[Socket, str] = old(self, listener)
        self.__dict__.setdefault("kept", []).append(bytearray(b"\1" * KEPT_BYTES))
        return taken

    old = patches.set(RealSystem, "accept", accept)


def _unread_ones_served(patches: Patches) -> None:
    """A process that was stopped takes what has waited for it as if it had just come.

    Two guards are taken out: the look at requests found late, and that before each attempt.
    """
    patches.set(Scheduler, "lateness_s", property(lambda self: 0.0))
    patches.set(PeerPresence, "check_left", lambda self: False)


OWN = {
    "unread-ones-served": Breakage(
        "unread-ones-served", "requests of clients that have left are served first after a stop",
        ("for-nobody",), _unread_ones_served,
    ),
    "accept-blocks": Breakage(
        "accept-blocks", "an accepted connection is left to block", ("answer", "bad-client"), _accept_blocks
    ),
    "lost-in-accept": Breakage(
        "lost-in-accept", "descriptors are lost at the first accept after a stop", ("left-over",),
        _lost_in_accept,
    ),
    "memory-kept": Breakage(
        "memory-kept", "4 MB are kept for each connection", (), _memory_kept
    ),
}  # fmt: skip
ALL = {**BREAKAGES, **OWN}


def on(name: str) -> AbstractContextManager[None]:
    """The program with one of them; raises `KeyError` where there is none of that name."""
    return ALL[name].activated()
