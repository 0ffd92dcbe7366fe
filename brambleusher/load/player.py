"""An open-loop player that sends each request when it is due, regardless of earlier responses.

The player uses a scheduler and streams, so it runs on sockets or in virtual time.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from brambleusher.load.pacing import DueRequest, Pace
from brambleusher.load.results import Outcome
from brambleusher.load.wording import ResponseFormatError, ResponseReader, encode_replayed_request
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

CLOSE_RACE_SECONDS = 0.02  # time in seconds within which a close that crossed a request is noticed
ENDS_BY_STATUS = {200: "served", 429: "refused", 503: "refused"}


@dataclass(frozen=True)
class PlayOptions:
    """Options of a replay."""

    targets: Sequence[Address]  # request number modulo length selects the target
    pace: Pace
    timeout_ms: int = 2000  # timeout in milliseconds of requests without one
    most_open: int = 4096  # limit of open requests; further requests count as unsent
    most_idle: int = 512  # limit of idle connections per target
    methods: Mapping[str, str] = field(default_factory=dict)  # HTTP method by class
    seed: int = 1


class Connection:
    """A connection with its response reader."""

    __slots__ = ("reader", "stream")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.reader = stream, ResponseReader()


class Player:
    """Replays a demand or a partition of it; calls `on_outcome` for each finished request."""

    def __init__(
        self,
        scheduler: Scheduler,
        play: PlayOptions,
        requests: Iterable[object],
        on_outcome: Callable[[Outcome], object],
    ) -> None:
        self.scheduler, self.play = scheduler, play
        self._due = play.pace.due(requests)  # type: ignore[arg-type]
        self._on_outcome = on_outcome
        self._idle: dict[Address, list[Connection]] = {target: [] for target in play.targets}
        self._start_ns = 0
        self._sending: Task | None = None
        self.open = self.connects = self.sent = 0
        self.ended = False  # whether no further request will be sent

    @property
    def done(self) -> bool:
        """Whether all requests are sent and finished."""
        return self.ended and not self.open

    def start(self, at_ns: int) -> None:
        """Start the replay at a time of the monotonic clock, in nanoseconds."""
        self._start_ns = at_ns
        self._sending = self.scheduler.spawn(self._send_all, name="pace")

    def stop(self) -> None:
        """Stop sending requests; open requests run to their end."""
        self.ended = True
        if self._sending is not None:
            self._sending.cancel()

    def close(self) -> None:
        """Close the idle connections."""
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
                    self._on_outcome(Outcome(due.number, due.request, due.at_ns, now, now, "unsent", 0))
                    continue
                self.open += 1
                scheduler.spawn(self._play_request, due, name="play")
        finally:
            self.ended = True

    @staticmethod
    def name_of(seed: int, number: int) -> str:
        """Return the id of a request, which is a function of the seed and the request number."""
        return hashlib.blake2b(f"{seed}/{number}".encode(), digest_size=8).hexdigest()

    def _play_request(self, due: DueRequest) -> None:
        """Send one request and report its outcome."""
        begun_ns, end, status = self._now(), "failed", 0
        play, request = self.play, due.request
        timeout_ms = request.timeout_ms or play.timeout_ms
        # The deadline counts from the due time: a late player must not extend the time-out of the client.
        deadline = (self._start_ns + due.at_ns) / 1e9 + timeout_ms / 1e3
        target = play.targets[due.number % len(play.targets)]
        data = encode_replayed_request(request, self.name_of(play.seed, due.number), timeout_ms, play.methods)
        try:
            end, status = self._exchange(target, data, deadline)
        finally:
            self.open -= 1
            self._on_outcome(Outcome(due.number, request, due.at_ns, begun_ns, self._now(), end, status))

    def _exchange(self, target: Address, data: bytes, deadline: float) -> tuple[str, int]:
        scheduler, idle = self.scheduler, self._idle[target]
        while True:
            connection, fresh = self._take_idle_connection(idle), False
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
            started, has_received, keep_alive = scheduler.now(), False, False
            try:
                stream.send(data, deadline)
                while True:
                    received = stream.receive(deadline)
                    if not received:
                        if reader.end():
                            return self._end_of_status(reader.status)
                        raise ConnectionResetError
                    has_received = True
                    if reader.feed(received):
                        keep_alive = reader.keep
                        return self._end_of_status(reader.status)
            except TaskTimeoutError:
                return "timed out", 0
            except ResponseFormatError:
                return "failed", reader.status
            except OSError:
                # The server closed the idle connection as the request was sent; the protocol sends it again.
                if fresh or has_received or scheduler.now() - started > CLOSE_RACE_SECONDS:
                    return "broken", 0
            finally:
                if keep_alive and len(idle) < self.play.most_idle:
                    idle.append(connection)
                else:
                    stream.close()

    @staticmethod
    def _end_of_status(status: int) -> tuple[str, int]:
        return ENDS_BY_STATUS.get(status, "failed"), status

    @staticmethod
    def _take_idle_connection(idle: list[Connection]) -> Connection | None:
        while idle:
            connection = idle.pop()
            if connection.stream.is_idle():
                return connection
            connection.stream.close()
        return None
