"""The memory of what clients send ahead: taken from the bodies' memory, and given back."""

from __future__ import annotations

import h11

from brambleusher.dataplane.body_memory import BodyMemory
from brambleusher.dataplane.read_ahead import UNRESERVED_BYTES, ReadAhead

KB = 1024


def read_ahead(memory: BodyMemory) -> ReadAhead:
    """Of a connection whose first request has come, so that all else is kept as it is."""
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert isinstance(protocol.next_event(), h11.Request)
    assert isinstance(protocol.next_event(), h11.EndOfMessage)
    return ReadAhead(protocol, memory)


def keep(buffer: ReadAhead, size_bytes: int) -> bool:
    """Offer bytes as they come; whether they were kept."""
    has_memory = buffer.reserve(size_bytes)
    if has_memory:
        buffer.feed(b"x" * size_bytes)
    return has_memory


def test_each_connection_keeps_a_little_without_shared_memory() -> None:
    memory = BodyMemory(0)
    buffer = read_ahead(memory)
    assert keep(buffer, UNRESERVED_BYTES)
    assert not keep(buffer, 1)
    assert buffer.buffered == UNRESERVED_BYTES


def test_what_is_beyond_takes_shared_memory_and_gives_it_back() -> None:
    memory = BodyMemory(100 * KB)
    buffer = read_ahead(memory)
    for _ in range(4):
        assert keep(buffer, 16 * KB)
    assert memory.reserved_bytes == 48 * KB
    buffer.settle()
    assert memory.reserved_bytes == 48 * KB  # all of it is kept still
    assert not keep(buffer, 64 * KB)
    assert memory.reserved_bytes == 48 * KB
    buffer.release()
    assert memory.reserved_bytes == 0


def test_what_the_parser_has_taken_is_given_back() -> None:
    memory = BodyMemory(100 * KB)
    protocol = h11.Connection(h11.SERVER)
    buffer = ReadAhead(protocol, memory)
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40960\r\n\r\n"
    assert buffer.reserve(len(head) + 40 * KB)
    buffer.feed(head + b"x" * 40 * KB)
    assert memory.reserved_bytes == len(head) + 24 * KB
    while not isinstance(protocol.next_event(), h11.EndOfMessage):
        pass
    buffer.settle()
    assert memory.reserved_bytes == 0
