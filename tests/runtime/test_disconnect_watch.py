"""Tests that any wait of a task ends when the peer that the task serves disconnects."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress

import pytest

from brambleusher.runtime.disconnect_watch import DisconnectWatch, PeerDisconnectedError
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream

WAIT_S = 2.0  # seconds after which a test without the expected end fails
SOON_S = 0.05


class Buffer:
    """A buffer for bytes that are read ahead."""

    def __init__(self) -> None:
        self.data = b""

    @property
    def buffered(self) -> int:
        return len(self.data)

    def feed(self, data: bytes) -> None:
        self.data += data


class Pair:
    """A scheduler, a stream on it, and the socket of the stream's peer."""

    def __init__(self) -> None:
        self.scheduler = Scheduler(RealSystem())
        mine, self.peer = socket.socketpair()
        mine.setblocking(False)
        self.stream = Stream(self.scheduler, mine)
        self.buffer = Buffer()
        self.outcome: str = ""

    def run(self, work: Callable[[DisconnectWatch], None], max_discarded: int = 1 << 20) -> str:
        """Run work under a watch and return how it ended."""

        def task() -> None:
            presence = PeerPresence(self.stream, self.buffer, 1000, max_discarded)
            try:
                with DisconnectWatch(self.scheduler, presence) as watch:
                    work(watch)
                self.outcome = "done"
            except (PeerDisconnectedError, TaskTimeoutError) as error:
                self.outcome = type(error).__name__
            self.scheduler.stop()

        self.scheduler.spawn(task)
        self.scheduler.run()
        return self.outcome

    def sleep(self, _watch: DisconnectWatch) -> None:
        self.scheduler.sleep(WAIT_S)

    def park_shortly(self, _watch: DisconnectWatch) -> None:
        self.scheduler.park(self.scheduler.now() + SOON_S)


@pytest.fixture
def pair() -> Iterator[Pair]:
    made = Pair()
    yield made
    made.stream.close()
    made.peer.close()
    made.scheduler.close()


def test_a_wait_for_an_event_ends_when_the_peer_closes(pair: Pair) -> None:
    pair.scheduler.call_at(pair.scheduler.now() + SOON_S, pair.peer.close)

    def work(_watch: DisconnectWatch) -> None:
        pair.scheduler.park(event=Event())

    assert pair.run(work) == "PeerDisconnectedError"


def test_a_sleep_ends_when_the_peer_ends_its_sending_side(pair: Pair) -> None:
    pair.scheduler.call_at(pair.scheduler.now() + SOON_S, lambda: pair.peer.shutdown(socket.SHUT_WR))
    assert pair.run(pair.sleep) == "PeerDisconnectedError"


def test_a_close_is_seen_behind_bytes_that_are_kept(pair: Pair) -> None:
    pair.peer.sendall(b"next request")
    pair.peer.close()
    assert pair.run(pair.sleep) == "PeerDisconnectedError"
    assert pair.buffer.data == b"next request"


def test_a_close_is_seen_behind_more_bytes_than_are_kept(pair: Pair) -> None:
    pair.peer.sendall(b"x" * 20_000)
    pair.peer.close()
    assert pair.run(pair.sleep) == "PeerDisconnectedError"
    assert pair.buffer.buffered <= 2000


def test_what_must_not_be_discarded_stays_unread(pair: Pair) -> None:
    pair.peer.sendall(b"x" * 20_000)
    assert pair.run(pair.park_shortly, max_discarded=0) == "TaskTimeoutError"
    rest = b""
    while len(pair.buffer.data + rest) < 20_000:
        rest += pair.stream.sock.recv(65536)
    assert pair.stream.peek() is None


def test_work_goes_on_while_the_watch_is_suspended(pair: Pair) -> None:
    pair.peer.close()

    def work(watch: DisconnectWatch) -> None:
        watch.suspend()
        with pytest.raises(TaskTimeoutError):
            pair.park_shortly(watch)
        watch.resume()
        pair.sleep(watch)

    assert pair.run(work) == "PeerDisconnectedError"


def test_a_look_ahead_of_work_needs_no_wait(pair: Pair) -> None:
    pair.peer.close()
    assert pair.run(DisconnectWatch.raise_if_left) == "PeerDisconnectedError"


def test_the_task_may_send_to_its_peer_meanwhile(pair: Pair) -> None:
    data = b"y" * 4_000_000  # exceeds the socket buffers, so that the send blocks
    got = bytearray()

    def read() -> None:
        with suppress(BlockingIOError):  # the process may have rested, so that the sender had no step yet
            got.extend(pair.peer.recv(1 << 20, socket.MSG_DONTWAIT))
        if len(got) < len(data):
            pair.scheduler.call_at(pair.scheduler.now() + 0.001, read)

    pair.scheduler.call_at(pair.scheduler.now() + SOON_S, read)
    assert pair.run(lambda _watch: pair.stream.send(data, pair.scheduler.now() + WAIT_S)) == "done"
    while len(got) < len(data):
        got.extend(pair.peer.recv(1 << 20))
    assert bytes(got) == data


def test_a_send_that_waits_ends_when_the_peer_ends_its_sending_side(pair: Pair) -> None:
    pair.scheduler.call_at(pair.scheduler.now() + SOON_S, lambda: pair.peer.shutdown(socket.SHUT_WR))
    data = b"y" * 4_000_000
    deadline = pair.scheduler.now() + WAIT_S
    assert pair.run(lambda _watch: pair.stream.send(data, deadline)) == "PeerDisconnectedError"


def test_to_receive_from_a_watched_peer_is_an_error(pair: Pair) -> None:
    def work(_watch: DisconnectWatch) -> None:
        with pytest.raises(RuntimeError, match="watched"):
            pair.stream.receive(None)

    assert pair.run(work) == "done"


def test_after_the_watch_nothing_of_it_is_left(pair: Pair) -> None:
    assert pair.run(lambda _watch: None) == "done"
    pair.peer.close()
    pair.scheduler.call_at(pair.scheduler.now() + SOON_S, pair.scheduler.stop)
    pair.scheduler.run()
    assert pair.outcome == "done"


def test_a_peer_leaves_in_the_round_in_which_another_socket_has_what_the_task_waits_for(pair: Pair) -> None:
    """The watch's wake-up unregisters a descriptor whose event is in the same list of poll results."""
    mine, other = socket.socketpair()
    mine.setblocking(False)
    upstream = Stream(pair.scheduler, mine)

    def work(_watch: DisconnectWatch) -> None:
        pair.peer.close()
        other.sendall(b"data")
        pair.scheduler.park(sock=upstream.sock)

    assert pair.run(work) == "PeerDisconnectedError"
    upstream.close()
    other.close()
