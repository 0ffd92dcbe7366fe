"""Builders of a small virtual world for the lab's tests: machines, programs on them, and raw connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brambleusher.lab.stand_ins.settings import PlannedRequest
from brambleusher.lab.virtual.world import VirtualSystem, World, WorldSettings
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

SECOND = 10**9
SERVER: Address = ("10.0.0.1", 9000)
PLAIN = WorldSettings(split=0.0, short_send=0.0, short_receive=0.0)


def ask(name: str = "a1", **given: Any) -> PlannedRequest:
    return PlannedRequest(**{"id": name, "at_s": 0.0, "request_class": "look", "work_s": 0.05, **given})


class Lab:
    """A world with a `server` and a `client` machine, whose programs run as tasks of a scheduler."""

    def __init__(self, seed: int = 1, settings: WorldSettings = PLAIN) -> None:
        self.world = World(seed, settings)
        self.server = self.world.machine("server", SERVER[0])
        self.client = self.world.machine("client", "10.0.0.2")

    def start_on(self, where: str, build: Callable[[Scheduler], Any]) -> Any:
        """Start a process that calls `build` with its scheduler, and return the result."""
        made: list[Any] = []

        def main(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            made.append(build(scheduler))
            scheduler.run()

        process = self.world.machines[where].start(main)
        self.world.run(until=lambda: bool(made) or process.dead)
        assert made, process.stderr.decode()
        return made[0]

    def call_on(self, scheduler: Scheduler, call: Callable[[], object]) -> None:
        """Run a call in a scheduler's process, as a fault plan does."""
        done: list[int] = []

        def both() -> None:
            call()
            done.append(1)

        scheduler.call_soon(both)
        self.world.run(until=lambda: bool(done))

    def run_on_client(self, task: Callable[[Scheduler], Any], seconds: float = 60.0) -> Any:
        """Run a task on the client machine, and return its result or raise its exception."""
        ended: list[Any] = []

        def main(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)

            def run() -> None:
                try:
                    ended.append(task(scheduler))
                except Exception as error:
                    ended.append(error)
                scheduler.stop()

            scheduler.spawn(run)
            scheduler.run()

        self.client.start(main)
        self.world.run(self.world.now_ns + int(seconds * SECOND), lambda: bool(ended))
        assert ended, "the task on the client machine did not end in time"
        if isinstance(ended[0], Exception):
            raise ended[0]
        return ended[0]

    def send_raw(self, *parts: bytes, wait: float = 5.0, pause: float = 0.0) -> tuple[bytes, str]:
        """Send bytes to the server, and return the response with how it ended.

        The response ends with the connection's end, an error, or a silence of `wait` seconds.
        """

        def task(scheduler: Scheduler) -> tuple[bytes, str]:
            got = bytearray()
            try:
                stream = Stream.connect(scheduler, SERVER, scheduler.now() + 1)
            except OSError as error:
                return b"", type(error).__name__
            try:
                for part in parts:
                    stream.send(part, scheduler.now() + wait)
                    if pause:
                        scheduler.sleep(pause)
                while data := stream.receive(scheduler.now() + wait):
                    got += data
                return bytes(got), "end"
            except TaskTimeoutError:
                return bytes(got), "silence"
            except OSError as error:
                return bytes(got), type(error).__name__
            finally:
                stream.close()

        answer: tuple[bytes, str] = self.run_on_client(task)
        return answer

    def sleep(self, seconds: float) -> None:
        self.world.run(self.world.now_ns + int(seconds * SECOND))
