"""Stand-in operators: staff who call sidecars' admin endpoints, and a front that asks whether it is ready."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.net.http import HttpError, MessageReader, write_request
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

CALL_SECONDS = 1.5  # that one waits for a yes or a no
AGAIN_SECONDS = 0.3  # between two calls that say the same
BACK_TRIES = 12  # of a call back: a sidecar that does not answer for so long has forgotten what was said
FRONT_SECONDS = 0.1  # between two questions of the front


@dataclass(eq=False, slots=True)
class Called:
    """One call, and what came back; the time is in monotonic nanoseconds."""

    address: Address
    target: str
    sent_ns: int
    status: int = 0  # 0: nothing that could be read


class Operators:
    """Staff and front of a fleet.  Each thing that is said is a task: it outlives a sidecar's restarts."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.book: list[Called] = []
        self._tasks: list[Task] = []

    def say(self, admin: Address, out: str, back: str) -> Callable[[], None]:
        """Call `out` again and again, as staff do who can't know what a sidecar remembers.

        What is returned ends that: `back` is called then, until there is a yes.
        """
        over: list[bool] = []

        def run() -> None:
            while not over:
                self.call(admin, "POST", out)
                self.scheduler.sleep(AGAIN_SECONDS)
            for _ in range(BACK_TRIES):
                if 200 <= self.call(admin, "POST", back).status < 300:
                    return
                self.scheduler.sleep(AGAIN_SECONDS)

        self._tasks.append(self.scheduler.spawn(run, name=f"operators say {out}"))
        return lambda: over.append(True)

    def front(self, clients: Address) -> None:
        """Ask at the clients' address whether clients may come, until `end`."""

        def run() -> None:
            while True:
                self.call(clients, "GET", "/ready")
                self.scheduler.sleep(FRONT_SECONDS)

        self._tasks.append(self.scheduler.spawn(run, name="front"))

    def end(self) -> None:
        """Go home."""
        for task in self._tasks:
            task.cancel()

    def call(self, address: Address, method: str, target: str) -> Called:
        """One call on a connection of its own."""
        scheduler = self.scheduler
        called = Called(address, target, scheduler.system.monotonic_ns())
        self.book.append(called)
        until, stream = scheduler.now() + CALL_SECONDS, None
        try:
            stream = Stream.connect(scheduler, address, until)
            fields = [("Host", f"{address[0]}:{address[1]}"), ("Connection", "close")]
            stream.send(write_request(method, target, fields, b""), until)
            reader = MessageReader.responses()
            while (answer := reader.take()) is None:
                data = stream.receive(until)
                if not data:
                    return called
                reader.feed(data)
            called.status = answer.status
        except (OSError, TaskTimeoutError, HttpError):
            pass
        finally:
            if stream is not None:
                stream.close()
        return called
