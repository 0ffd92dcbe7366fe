"""Tests with real processes that an instance that answers without end harms nobody."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from tests.system.endless_deployment import endless_deployment
from tests.system.endless_instance import EndlessForm
from tests.system.real_processes import MEMORY_LIMIT_MB

DEADLINE_S = 1.5
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
