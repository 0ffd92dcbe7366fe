"""The open-loop player: sends each request when it is due, whatever became of those before.

It stands on a scheduler and streams, so it plays on sockets or in virtual time, as its system is.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from brambleusher.load.pacing import Due, Pace
from brambleusher.load.results import Outcome
from brambleusher.load.wording import AnswerError, AnswerReader, worded
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

CROSSING_SECONDS = 0.02  # a close that crosses a request shows within so long
ENDS_BY_STATUS = {200: "served", 429: "refused", 503: "refused"}


@dataclass(frozen=True)
class Play:
    """How demand is played."""

    targets: Sequence[Address]  # a request's number says which one is asked
    pace: Pace
    timeout_ms: int = 2000  # of requests that have none
    most_open: int = 4096  # requests; beyond, they are counted as unsent
    most_idle: int = 512  # connections kept to each target
    methods: Mapping[str, str] = field(default_factory=dict)  # by class
    seed: int = 1


class Connection:
    """One connection with its reader."""

    __slots__ = ("reader", "stream")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.reader = stream, AnswerReader()


class Player:
    """Plays a demand, or a part of it; `told` hears of each request that is over."""

    def __init__(
        self, scheduler: Scheduler, play: Play, requests: Iterable[object], told: Callable[[Outcome], object]
    ) -> None:
        self.scheduler, self.play = scheduler, play
        self._due = play.pace.due(requests)  # type: ignore[arg-type]
        self._told = told
        self._idle: dict[Address, list[Connection]] = {target: [] for target in play.targets}
        self._start_ns = 0
        self._sending: Task | None = None
        self.open = self.connects = self.sent = 0
        self.ended = False  # nothing more is to be sent

    @property
    def done(self) -> bool:
        """Whether all is sent and over."""
        return self.ended and not self.open

    def start(self, at_ns: int) -> None:
        """Play from a moment on, on the system's monotonic clock."""
        self._start_ns = at_ns
        self._sending = self.scheduler.spawn(self._send_all, name="pace")

    def stop(self) -> None:
        """Send nothing more; what is open goes on to its end."""
        self.ended = True
        if self._sending is not None:
            self._sending.cancel()

    def close(self) -> None:
        """Close the connections that are kept."""
        for idle in self._idle.values():
            while idle:
                idle.pop().stream.close()

    def _now(self) -> int:
        return self.scheduler.system.monotonic_ns() - self._start_ns

    def _send_all(self) -> None:
        scheduler = self.scheduler
        try:
            for due in self._due:
                wait_ns = due.at_ns - self._now()
                if wait_ns > 0:
                    scheduler.sleep(wait_ns / 1e9)
                self.sent += 1
                if self.open >= self.play.most_open:
                    now = self._now()
                    self._told(Outcome(due.number, due.request, due.at_ns, now, now, "unsent", 0))
                    continue
                self.open += 1
                scheduler.spawn(self._live, due, name="play")
        finally:
            self.ended = True

    @staticmethod
    def name_of(seed: int, number: int) -> str:
        """The id of a request: the same in each play with the same seed, and in no other."""
        return hashlib.blake2b(f"{seed}/{number}".encode(), digest_size=8).hexdigest()

    def _live(self, due: Due) -> None:
        """One request to its end."""
        begun_ns, end, status = self._now(), "failed", 0
        play, request = self.play, due.request
        timeout_ms = request.timeout_ms or play.timeout_ms
        # What was lost before it was begun is the player's fault; the client of then would not wait longer.
        deadline = (self._start_ns + due.at_ns) / 1e9 + timeout_ms / 1e3
        target = play.targets[due.number % len(play.targets)]
        data = worded(request, self.name_of(play.seed, due.number), timeout_ms, play.methods)
        try:
            end, status = self._ask(target, data, deadline)
        finally:
            self.open -= 1
            self._told(Outcome(due.number, request, due.at_ns, begun_ns, self._now(), end, status))

    def _ask(self, target: Address, data: bytes, deadline: float) -> tuple[str, int]:
        scheduler, idle = self.scheduler, self._idle[target]
        while True:
            connection, fresh = self._kept(idle), False
            if connection is None:
                fresh = True
                try:
                    connection = Connection(Stream.connect(scheduler, target, deadline))
                except TaskTimeoutError:
                    return "timed out", 0
                except OSError:
                    return "unreachable", 0
                self.connects += 1
            stream, reader = connection.stream, connection.reader
            begun, got, keep = scheduler.now(), False, False
            try:
                stream.send(data, deadline)
                while True:
                    part = stream.receive(deadline)
                    if not part:
                        if reader.end():
                            return self._by_status(reader.status)
                        raise ConnectionResetError
                    got = True
                    if reader.feed(part):
                        keep = reader.keep
                        return self._by_status(reader.status)
            except TaskTimeoutError:
                return "timed out", 0
            except AnswerError:
                return "failed", reader.status
            except OSError:
                # A close between requests that crossed this one: the protocol has it sent once more.
                if fresh or got or scheduler.now() - begun > CROSSING_SECONDS:
                    return "broken", 0
            finally:
                if keep and len(idle) < self.play.most_idle:
                    idle.append(connection)
                else:
                    stream.close()

    @staticmethod
    def _by_status(status: int) -> tuple[str, int]:
        return ENDS_BY_STATUS.get(status, "failed"), status

    @staticmethod
    def _kept(idle: list[Connection]) -> Connection | None:
        while idle:
            connection = idle.pop()
            if connection.stream.is_idle():
                return connection
            connection.stream.close()
        return None
