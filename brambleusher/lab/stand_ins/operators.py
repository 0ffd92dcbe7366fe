"""Stand-in operators, who call the sidecars' admin endpoints, and a load balancer that polls `/ready`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.net.http import HttpError, MessageReader, write_request
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

REQUEST_SECONDS = 1.5  # timeout of a request, in seconds
REPEAT_SECONDS = 0.3  # interval between repetitions of a request, in seconds
# Maximum number of requests that undo an action: a sidecar unavailable for longer has restarted, and so lost
# the action.
MAX_UNDO_ATTEMPTS = 12
POLL_SECONDS = 0.1  # interval between polls of `/ready`, in seconds


@dataclass(eq=False, slots=True)
class AdminCall:
    """A request of an operator and the status of its response; the time is in monotonic nanoseconds."""

    address: Address
    target: str
    sent_ns: int
    status: int = 0  # status code; 0 without a readable response


class Operators:
    """Operators and load balancer of a fleet; each action is a task that outlives sidecar restarts."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.records: list[AdminCall] = []
        self._tasks: list[Task] = []

    def repeat_action(self, admin: Address, out: str, back: str) -> Callable[[], None]:
        """Request `out` repeatedly, as operators do because a restart makes a sidecar lose the action.

        The returned function ends the repetition and requests `back` until a response reports success.
        """
        stopped: list[bool] = []

        def run() -> None:
            while not stopped:
                self.send_request(admin, "POST", out)
                self.scheduler.sleep(REPEAT_SECONDS)
            for _ in range(MAX_UNDO_ATTEMPTS):
                if 200 <= self.send_request(admin, "POST", back).status < 300:
                    return
                self.scheduler.sleep(REPEAT_SECONDS)

        self._tasks.append(self.scheduler.spawn(run, name=f"operators say {out}"))
        return lambda: stopped.append(True)

    def poll_ready(self, clients: Address) -> None:
        """Poll `/ready` at the address for clients, until `end` is called."""

        def run() -> None:
            while True:
                self.send_request(clients, "GET", "/ready")
                self.scheduler.sleep(POLL_SECONDS)

        self._tasks.append(self.scheduler.spawn(run, name="front"))

    def end(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def send_request(self, address: Address, method: str, target: str) -> AdminCall:
        """Send one request on a new connection."""
        scheduler = self.scheduler
        called = AdminCall(address, target, scheduler.system.monotonic_ns())
        self.records.append(called)
        until, stream = scheduler.now() + REQUEST_SECONDS, None
        try:
            stream = Stream.connect(scheduler, address, until)
            fields = [("Host", f"{address[0]}:{address[1]}"), ("Connection", "close")]
            stream.send(write_request(method, target, fields, b""), until)
            reader = MessageReader.responses()
            while (response := reader.take()) is None:
                data = stream.receive(until)
                if not data:
                    return called
                reader.feed(data)
            called.status = response.status
        except (OSError, TaskTimeoutError, HttpError):
            pass
        finally:
            if stream is not None:
                stream.close()
        return called
