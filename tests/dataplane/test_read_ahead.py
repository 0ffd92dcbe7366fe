"""Tests that pipelined bytes are accounted for in the memory of request bodies, and released."""

from __future__ import annotations

import h11

from brambleusher.dataplane.memory_budget import MemoryBudget
from brambleusher.dataplane.read_ahead import UNRESERVED_BYTES, ReadAhead

KB = 1024


def read_ahead(memory: MemoryBudget) -> ReadAhead:
    """Create a buffer for a connection that has received its first request, so later bytes stay buffered."""
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert isinstance(protocol.next_event(), h11.Request)
    assert isinstance(protocol.next_event(), h11.EndOfMessage)
    return ReadAhead(protocol, memory)


def buffer_bytes(buffer: ReadAhead, size_bytes: int) -> bool:
    """Reserve memory for bytes and buffer them; return whether memory was available."""
    has_memory = buffer.reserve(size_bytes)
    if has_memory:
        buffer.feed(b"x" * size_bytes)
    return has_memory


def test_each_connection_keeps_a_little_without_shared_memory() -> None:
    memory = MemoryBudget(0)
    buffer = read_ahead(memory)
    assert buffer_bytes(buffer, UNRESERVED_BYTES)
    assert not buffer_bytes(buffer, 1)
    assert buffer.buffered == UNRESERVED_BYTES


def test_what_is_beyond_takes_shared_memory_and_gives_it_back() -> None:
    memory = MemoryBudget(100 * KB)
    buffer = read_ahead(memory)
    for _ in range(4):
        assert buffer_bytes(buffer, 16 * KB)
    assert memory.reserved_bytes == 48 * KB
    buffer.release_consumed()
    # The parser has consumed no bytes, so all of them are still buffered.
    assert memory.reserved_bytes == 48 * KB
    assert not buffer_bytes(buffer, 64 * KB)
    assert memory.reserved_bytes == 48 * KB
    buffer.release()
    assert memory.reserved_bytes == 0


def test_what_the_parser_has_taken_is_given_back() -> None:
    memory = MemoryBudget(100 * KB)
    protocol = h11.Connection(h11.SERVER)
    buffer = ReadAhead(protocol, memory)
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40960\r\n\r\n"
    assert buffer.reserve(len(head) + 40 * KB)
    buffer.feed(head + b"x" * 40 * KB)
    assert memory.reserved_bytes == len(head) + 24 * KB
    while not isinstance(protocol.next_event(), h11.EndOfMessage):
        pass
    buffer.release_consumed()
    assert memory.reserved_bytes == 0
