"""Deliberate bugs (mutations) of the program, including those that only real processes can show."""

from __future__ import annotations

from contextlib import AbstractContextManager

from brambleusher.lab.faults.breakages import PROGRAM_MUTATIONS, Mutation, Patches
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Socket

STOPPED_SECONDS = 0.5  # a longer gap between two accepts means that the process had been stopped
LEAKED_DESCRIPTORS = 3  # the number of descriptors that leak after each stop
LEAKED_BYTES = 4 * 2**20  # the memory that leaks with each accepted connection


def _accept_blocks(patches: Patches) -> None:
    """Make accepted sockets block, so that a read from a silent client stops the whole process.

    Virtual sockets can't block.
    """

    def accept(self: RealSystem, listener: Socket) -> tuple[Socket, str]:
        accepted: tuple[Socket, str] = original(self, listener)
        accepted[0].setblocking(True)  # type: ignore[attr-defined]
        return accepted

    original = patches.set(RealSystem, "accept", accept)


def _accept_leaks_descriptors(patches: Patches) -> None:
    """Leak descriptors at the first accept after the process had been stopped."""

    def accept(self: RealSystem, listener: Socket) -> tuple[Socket, str]:
        before = self.__dict__.setdefault("accepted_at", self.monotonic())
        now = self.__dict__["accepted_at"] = self.monotonic()
        if now - before > STOPPED_SECONDS:
            leaked = self.__dict__.setdefault("lost", [])
            for _ in range(LEAKED_DESCRIPTORS):
                leaked.append(RealSystem.connection(self))
        accepted: tuple[Socket, str] = original(self, listener)
        return accepted

    original = patches.set(RealSystem, "accept", accept)


def _accept_leaks_memory(patches: Patches) -> None:
    """Leak memory with each accepted connection; only a separate process has memory that can be measured."""

    def accept(self: RealSystem, listener: Socket) -> tuple[Socket, str]:
        accepted: tuple[Socket, str] = original(self, listener)
        self.__dict__.setdefault("kept", []).append(bytearray(b"\1" * LEAKED_BYTES))
        return accepted

    original = patches.set(RealSystem, "accept", accept)


def _departed_clients_served(patches: Patches) -> None:
    """Treat requests that waited while the process was stopped as if they had just arrived.

    This removes two guards: the check of requests that are read late, and the check before each attempt
    whether the client has left.
    """
    patches.set(Scheduler, "lateness_s", property(lambda self: 0.0))
    patches.set(PeerPresence, "check_left", lambda self: False)


PROCESS_MUTATIONS = {
    "unread-ones-served": Mutation(
        "unread-ones-served", "requests of clients that have left are served first after a stop",
        ("for-nobody",), _departed_clients_served,
    ),
    "accept-blocks": Mutation(
        "accept-blocks", "an accepted connection is left to block", ("answer", "bad-client"), _accept_blocks
    ),
    "lost-in-accept": Mutation(
        "lost-in-accept", "descriptors are lost at the first accept after a stop", ("left-over",),
        _accept_leaks_descriptors,
    ),
    "memory-kept": Mutation(
        "memory-kept", "4 MB are kept for each connection", (), _accept_leaks_memory
    ),
}  # fmt: skip
ALL_MUTATIONS = {**PROGRAM_MUTATIONS, **PROCESS_MUTATIONS}


def apply_mutation(name: str) -> AbstractContextManager[None]:
    """Return a context in which the named mutation is applied; raises `KeyError` for an unknown name."""
    return ALL_MUTATIONS[name].activated()
