"""How long an accepted connection took to open, as the operating system tells it."""

from __future__ import annotations

import socket
import time

from brambleusher.runtime.operating_system import SYN_ACK_RETRANSMIT_S, RealSystem


def opening_seconds(defer_accept_s: int, first_bytes_after_s: float) -> float:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, defer_accept_s)
        listener.listen()
        with socket.create_connection(listener.getsockname()) as client:
            time.sleep(first_bytes_after_s)
            client.send(b"x")
            accepted, _ = listener.accept()
            with accepted:
                return RealSystem().seconds_to_open(accepted)


def test_an_opening_that_is_acknowledged_late_is_told() -> None:
    """Guards against an order that acts late as the acknowledgement before it was held up with it.

    The system ignores acknowledgements without data here, as if a link held them up.
    """
    assert opening_seconds(1, 1.5) >= SYN_ACK_RETRANSMIT_S


def test_an_opening_without_delay_is_short() -> None:
    assert opening_seconds(0, 0.5) < 0.2
