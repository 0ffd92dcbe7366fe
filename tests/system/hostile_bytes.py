"""Hostile and mistaken bytes for every port of the control plane, drawn by hypothesis, in virtual time.

    PYTHONPATH=. .venv/bin/python -m tests.system.hostile_bytes EXAMPLES [SEED]

A complete HTTP request gets a response, any other input ends its connection, and no task or process of the
system ends by either. Peer messages need no reply.
"""

from __future__ import annotations

import json
import logging
import sys
from dataclasses import dataclass, field
from typing import Any

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import SHUTDOWN_WRITE
from tests.recorded.conversation import QUESTIONS
from tests.system.virtual_deployment import CONTROL, DIRECTORY, PEER, VirtualDeployment, configuration, route

MACHINES = ("c1", "c2", "o1")
ANSWERED_WITHIN_S = 1.0  # PROTOCOL.md, the operator's API: a second of silence
INPUTS_PER_EXAMPLE = 30
HELD_MAX_BYTES = 64 * 1024

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | st.text(max_size=12),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)
PATHS = (
    *("/api/config", "/api/status", "/api/evacuations/n1", "/api/evacuations/", "/api/resolution"),
    *(
        "/api/resolution?name=h&region=north&zone=n1",
        "*",
        "//",
        "http://h/api/config",
        "/api/evacuations/%ff",
    ),
)
METHODS = ("GET", "PUT", "PATCH", "POST", "DELETE", "HEAD", "OPTIONS", "get", "")
HEADERS = (
    *("If-Match: 1", "If-Match: -1", "If-Match: 99999999999999999999", 'If-Match: "1"', "Host: h", "Host:"),
    *("Content-Length: 0", "Content-Length: 5", "Content-Length: -1", "Content-Length: 99999999999"),
    *("Transfer-Encoding: chunked", "Transfer-Encoding: gzip", "Connection: close", "Expect: 100-continue"),
    *("X: \x00", "no colon", " folded: line", "Content-Type: application/json"),
)
CONFIGURATION = json.loads(configuration(2, route(), route("/t/")))
MESSAGES = [json.loads(line) for _, line in QUESTIONS.values() if line.startswith(b'{"')]


@dataclass(frozen=True)
class Input:
    """Bytes for one port, in pieces."""

    machine: str
    port: int
    pieces: tuple[bytes, ...]


def replaced(value: Any, draw: st.DrawFn) -> Any:
    """Return a JSON value with one part of it replaced, at any depth."""
    if isinstance(value, dict) and value and draw(st.integers(0, 3)):
        key = draw(st.sampled_from(sorted(value)))
        others = {name: each for name, each in value.items() if name != key}
        return others if draw(st.integers(0, 5)) == 0 else {**others, key: replaced(value[key], draw)}
    if isinstance(value, list) and value and draw(st.integers(0, 3)):
        at = draw(st.integers(0, len(value) - 1))
        return [*value[:at], replaced(value[at], draw), *value[at + 1 :]]
    return draw(JSON_VALUES)


@st.composite
def changed_bytes(draw: st.DrawFn, data: bytes) -> bytes:
    """Return bytes as they are, cut off, or with some of them replaced."""
    kind = draw(st.integers(0, 5))
    if kind == 0 and data:
        return data[: draw(st.integers(0, len(data) - 1))]
    if kind == 1:
        at = draw(st.integers(0, len(data)))
        return data[:at] + draw(st.binary(max_size=6)) + data[at + draw(st.integers(0, 4)) :]
    return data


def encoded(value: Any) -> bytes:
    return json.dumps(value).encode()


@st.composite
def http_inputs(draw: st.DrawFn) -> bytes:
    """Draw bytes that are an HTTP request or nearly one."""
    body = encoded(replaced(CONFIGURATION, draw)) if draw(st.booleans()) else draw(st.binary(max_size=40))
    headers = draw(st.lists(st.sampled_from(HEADERS), max_size=4))
    if draw(st.integers(0, 3)):
        headers.append(f"Content-Length: {len(body)}")
    line = f"{draw(st.sampled_from(METHODS))} {draw(st.sampled_from(PATHS))} HTTP/1.1"
    request = "\r\n".join([line, *headers, "", ""]).encode("latin-1") + body
    return draw(changed_bytes(request))


@st.composite
def line_inputs(draw: st.DrawFn) -> bytes:
    """Draw bytes that are messages between processes or nearly so."""
    count = draw(st.integers(1, 3))
    messages = [encoded(replaced(draw(st.sampled_from(MESSAGES)), draw)) + b"\n" for _ in range(count)]
    return draw(changed_bytes(b"".join(messages)))


@st.composite
def inputs(draw: st.DrawFn) -> Input:
    """Draw one input for any port."""
    port = draw(st.sampled_from((CONTROL, DIRECTORY, PEER)))
    data = draw(st.binary(max_size=60) | (line_inputs() if port == PEER else http_inputs()))
    at = draw(st.integers(0, len(data)))
    pieces = tuple(piece for piece in (data[:at], data[at:]) if piece)
    return Input(draw(st.sampled_from(MACHINES)), port, pieces)


class ErrorLog(logging.Handler):
    """Keeps the log records of level ERROR, each of which is a fault of the program."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.texts: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record with its traceback."""
        self.texts.append(self.format(record))

    def take(self) -> list[str]:
        """Return the records since the last call."""
        texts, self.texts = self.texts, []
        return texts


@dataclass
class Target:
    """A system that gets inputs, and what came of them."""

    deployment: VirtualDeployment = field(default_factory=lambda: VirtualDeployment(gateways=1, observers=1))
    errors: ErrorLog = field(default_factory=ErrorLog)
    sent: int = 0

    def __post_init__(self) -> None:
        logging.getLogger("brambleusher").addHandler(self.errors)
        self.deployment.served()
        self.deployment.sleep(3.0)

    def close(self) -> None:
        """End the system."""
        logging.getLogger("brambleusher").removeHandler(self.errors)
        self.deployment.close()

    def play(self, batch: list[Input]) -> None:
        """Send a batch of inputs at once; raises `AssertionError` if one breaks a rule."""
        open_inputs = dict(enumerate(batch))

        def send(scheduler: Scheduler, number: int, drawn: Input) -> None:
            address = (self.deployment.world.machines[drawn.machine].ip, drawn.port)
            stream = Stream.connect(scheduler, address, scheduler.now() + 1.0)
            try:
                for piece in drawn.pieces:
                    stream.send(piece, scheduler.now() + 1.0)
                    scheduler.sleep(0.01)
                try:
                    stream.receive(scheduler.now() + ANSWERED_WITHIN_S)
                except TaskTimeoutError:
                    # No complete request: the connection has to end once nothing more can come.
                    stream.sock.shutdown(SHUTDOWN_WRITE)
                    stream.receive(scheduler.now() + ANSWERED_WITHIN_S)
                del open_inputs[number]
            except ConnectionResetError:
                del open_inputs[number]
            finally:
                stream.close()

        def begin(scheduler: Scheduler) -> None:
            for number, drawn in enumerate(batch):
                scheduler.spawn(send, scheduler, number, drawn)

        self.deployment.caller.serve(begin, "caller")
        self.deployment.sleep(2 * ANSWERED_WITHIN_S + 0.1)
        self.sent += len(batch)
        assert not open_inputs, f"unanswered: {list(open_inputs.values())}"
        errors = self.errors.take()
        assert not errors, "\n".join(errors)
        for name in MACHINES:
            assert self.deployment.control(name, "GET", "/api/status").status == 200, (
                f"{name} does not answer"
            )


def main() -> None:
    """Play examples until one breaks a rule, and print how many inputs were sent."""
    examples, first_seed = int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0
    target = Target()

    @seed(first_seed)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(inputs(), min_size=INPUTS_PER_EXAMPLE // 2, max_size=INPUTS_PER_EXAMPLE))
    def play(batch: list[Input]) -> None:
        target.play(batch)

    try:
        play()
    finally:
        print(f"{target.sent} inputs")
        target.close()


if __name__ == "__main__":
    main()
