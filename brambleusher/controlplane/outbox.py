"""Consensus messages on their way out: what must be durable first, and where replicas are reached."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

from brambleusher.controlplane.consensus.outputs import Outgoing
from brambleusher.wire.consensus_messages import Member

ADDRESSES_MAX = 256


class ReplicaAddresses:
    """Addresses of replicas by identity, also of such that are no members yet."""

    def __init__(self) -> None:
        self._by_identity: dict[str, str] = {}

    def record(self, identity: str, address: str) -> None:
        """Record from where a replica sent a message."""
        self._by_identity[identity] = address
        if len(self._by_identity) > ADDRESSES_MAX:
            del self._by_identity[next(iter(self._by_identity))]

    def address_of(self, member: Member) -> str:
        """Return where a replica is reached; empty where that is unknown."""
        return member.address or self._by_identity.get(member.id, "")

    def addresses(self) -> Collection[str]:
        """Return all addresses that were recorded."""
        return self._by_identity.values()


class Outbox:
    """Holds messages back until the records that they promise are durable (Raft's persistence rule)."""

    def __init__(self, deliver: Callable[[Outgoing], None]) -> None:
        self._deliver = deliver
        self._pending: deque[Outgoing] = deque()

    def post(self, message: Outgoing, synced_number: int) -> None:
        """Deliver a message, or hold it back until its record is synced."""
        if message.after_record > synced_number:
            self._pending.append(message)
        else:
            self._deliver(message)

    def records_synced(self, synced_number: int) -> None:
        """Deliver, in order, the messages whose records are durable now."""
        while self._pending and self._pending[0].after_record <= synced_number:
            self._deliver(self._pending.popleft())
