"""Tests that a node that answers without end holds up no other request of a sidecar in service."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress

import pytest

from brambleusher.net.http import Message
from tests.rig import Node, Rig, answer
from tests.system.endless_instance import EndlessAnswer, EndlessForm

PLAY_S = 1.5
CALLERS = 3
ANSWERED_WITHIN_S = 1.0  # the latency target of the request's class


def endless_node(form: EndlessForm) -> Node:
    """Return a node that answers requests named `sound` at once, and all others without end."""

    def script(sock: socket.socket, request: Message) -> None:
        name = request.headers["request-id"]
        if name == "sound":
            return answer(b"mine")(sock, request)
        endless = EndlessAnswer(form, 200, name)
        sock.sendall(endless.head())
        while True:
            sock.sendall(endless.block())

    node = Node(script)
    node.start()
    return node


def receive_until(rig: Rig, until_s: float) -> None:
    """Ask again and again, and receive what comes."""
    while time.monotonic() < until_s:
        with suppress(OSError), rig.send("endless", wait_ms=int(PLAY_S * 1000)) as sock:
            sock.settimeout(max(0.01, until_s - time.monotonic()))
            while time.monotonic() < until_s and sock.recv(1 << 20):
                time.sleep(0.005)


@pytest.mark.parametrize("form", list(EndlessForm))
def test_a_node_that_answers_without_end_holds_up_nobody(form: EndlessForm) -> None:
    nodes = [endless_node(form), endless_node(form)]
    rig = Rig([node.entry(f"h{at}") for at, node in enumerate(nodes)])
    until_s = time.monotonic() + PLAY_S
    callers = [threading.Thread(target=receive_until, args=(rig, until_s)) for _ in range(CALLERS)]
    try:
        for caller in callers:
            caller.start()
        worst_s = 0.0
        while time.monotonic() < until_s:
            began_s = time.monotonic()
            assert rig.call("sound").body == b"mine"
            worst_s = max(worst_s, time.monotonic() - began_s)
            time.sleep(0.02)
        assert worst_s < ANSWERED_WITHIN_S
    finally:
        for caller in callers:
            caller.join()
        rig.end()
        for node in nodes:
            node.close()
