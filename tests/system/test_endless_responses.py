"""Tests with real processes that an instance that answers without end harms nobody."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.system.endless_deployment import endless_deployment, resident_mb, start_endless_instance
from tests.system.endless_instance import EndlessForm
from tests.system.real_processes import (
    MEMORY_LIMIT_MB,
    RoleMachine,
    free_ports,
    own_loopback_address,
    wait_until,
)

DEADLINE_S = 1.5
GRACE_S = 8.0  # `grace_s`
LATENESS_MAX_S = 0.25  # RULES.md, the score: a request held past its deadline by this costs


# Guards against gateways that run out of memory or stand still while an instance sends bytes without end.
@pytest.mark.parametrize(
    ("form", "kind", "status"),
    [
        (EndlessForm.HEADER_LINE, "mutating", 200),
        (EndlessForm.CHUNK_SIZE, "mutating", 200),
        (EndlessForm.ONE_CHUNK, "mutating", 200),
        (EndlessForm.ONE_CHUNK, "idempotent", 200),
        (EndlessForm.ONE_CHUNK, "streaming", 200),
        (EndlessForm.ONE_CHUNK, "streaming", 500),
        (EndlessForm.SMALL_CHUNKS, "mutating", 200),
        (EndlessForm.SMALL_CHUNKS, "streaming", 200),
        (EndlessForm.TOLD_LENGTH, "mutating", 200),
        (EndlessForm.TOLD_LENGTH, "streaming", 500),
        (EndlessForm.UNTIL_CLOSE, "mutating", 200),
        (EndlessForm.UNTIL_CLOSE, "idempotent", 500),
        (EndlessForm.EVENT_PIECES, "mutating", 500),
        (EndlessForm.EVENT_PIECES, "streaming", 200),
        (EndlessForm.EVENTS, "mutating", 200),
        (EndlessForm.EVENTS, "streaming", 200),
        (EndlessForm.MANY_EVENTS, "mutating", 200),
        (EndlessForm.MANY_EVENTS, "streaming", 200),
        (EndlessForm.INFORMATIONAL, "mutating", 200),
    ],
)
def test_an_endless_response_harms_nobody(form: EndlessForm, kind: str, status: int, tmp_path: Path) -> None:
    with endless_deployment(tmp_path) as deployment:
        play = deployment.play(form, kind, status, DEADLINE_S)
    assert play.peak_mb < MEMORY_LIMIT_MB
    assert play.sound_s
    assert not play.sound_failures
    for caller in play.callers:
        assert caller.status >= 400 or not caller.is_complete
        assert caller.seconds < DEADLINE_S + LATENESS_MAX_S


# Guards against callers that wait until their deadline for the end of bytes that nobody needs.
@pytest.mark.parametrize(
    ("form", "kind", "status"),
    [
        (EndlessForm.INFORMATIONAL, "mutating", 502),
        (EndlessForm.REJECTION, "mutating", 503),
        (EndlessForm.REJECTION, "streaming", 503),
        (EndlessForm.OTHER_ANSWER, "idempotent", 502),
    ],
)
def test_endless_bytes_that_nobody_needs_are_not_read_on(
    form: EndlessForm, kind: str, status: int, tmp_path: Path
) -> None:
    with endless_deployment(tmp_path) as deployment:
        play = deployment.play(form, kind, 200, DEADLINE_S)
    assert [caller.status for caller in play.callers] == [status] * len(play.callers)
    assert all(caller.is_complete and caller.seconds < DEADLINE_S for caller in play.callers)
    assert not play.sound_failures


# Guards against a bound for one response that many responses together exceed.
@pytest.mark.parametrize(
    ("form", "kind"),
    [
        (EndlessForm.ONE_CHUNK, "mutating"),
        (EndlessForm.ONE_CHUNK, "streaming"),
        (EndlessForm.EVENT_PIECES, "streaming"),
    ],
)
def test_many_endless_responses_stay_within_the_memory(form: EndlessForm, kind: str, tmp_path: Path) -> None:
    with endless_deployment(tmp_path) as deployment:
        play = deployment.play(form, kind, 200, DEADLINE_S, callers=80)
    assert play.peak_mb < MEMORY_LIMIT_MB
    assert not play.sound_failures


# Guards against a controller that stands still while the platform sends its list.
@pytest.mark.parametrize("form", [EndlessForm.SMALL_CHUNKS, EndlessForm.ONE_CHUNK, EndlessForm.HEADER_LINE])
def test_an_endless_list_of_the_platform_harms_no_controller(form: EndlessForm, tmp_path: Path) -> None:
    ip = own_loopback_address()
    (port,) = free_ports(ip, 1)
    platform = start_endless_instance(ip, port, form)
    controller = RoleMachine(tmp_path, "controller", platform=f"{ip}:{port}")
    try:
        controller.start()
        wait_until(lambda: get_configuration(controller) == 404, "a controller answers")
        until_s = time.monotonic() + 3.0
        while time.monotonic() < until_s:
            assert get_configuration(controller) == 404
            assert resident_mb(controller.process) < MEMORY_LIMIT_MB
    finally:
        controller.close()
        platform.kill()
        platform.wait()


def get_configuration(controller: RoleMachine) -> int:
    """Return the status of the operator's call, 0 if no answer comes within a second."""
    with suppress(OSError, http.client.HTTPException):
        connection = http.client.HTTPConnection(controller.ip, controller.ports["control"], 1.0)
        connection.request("GET", "/api/config")
        return connection.getresponse().status
    return 0


# Guards against a gateway that SIGKILL finds still busy with what an instance sends.
@pytest.mark.parametrize(
    ("form", "kind"), [(EndlessForm.SMALL_CHUNKS, "mutating"), (EndlessForm.EVENTS, "streaming")]
)
def test_a_gateway_ends_in_time_beside_endless_responses(
    form: EndlessForm, kind: str, tmp_path: Path
) -> None:
    with endless_deployment(tmp_path) as deployment:
        process = deployment.gateway.process
        assert process is not None
        terminate = threading.Timer(1.0, process.terminate)
        terminate.start()
        play = deployment.play(form, kind, 200, deadline_s=3.0)
        assert process.wait(GRACE_S) == 0
    assert all(caller.status >= 400 or not caller.is_complete for caller in play.callers)
    assert all(caller.seconds < 3.0 + LATENESS_MAX_S for caller in play.callers)


# Guards against an incomplete response that a client of HTTP/1.0 takes for a complete one.
def test_the_end_of_an_endless_response_is_a_reset_where_only_the_close_delimits_it(tmp_path: Path) -> None:
    with endless_deployment(tmp_path) as deployment:
        address = (deployment.gateway.ip, deployment.gateway.ports["front"])
        with socket.create_connection(address, 5.0) as client:
            client.sendall(
                b"POST /faulty/mutating/until_close/200 HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: old\r\n"
                b"X-Deadline-Remaining: 500\r\nContent-Length: 0\r\n\r\n"
            )
            assert client.recv(1 << 16).startswith(b"HTTP/1.1 200")
            with pytest.raises(ConnectionResetError):
                while client.recv(1 << 16):
                    pass
