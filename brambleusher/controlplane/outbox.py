"""Delivery of consensus messages: delays them until their records are durable, and resolves addresses."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

from brambleusher.controlplane.consensus.outputs import Outgoing
from brambleusher.wire.consensus_messages import Member

ADDRESSES_MAX = 256


class ReplicaAddresses:
    """Addresses of replicas by identity, including replicas that are not members yet."""

    def __init__(self) -> None:
        self._by_identity: dict[str, str] = {}

    def record(self, identity: str, address: str) -> None:
        """Record the address that a replica sent a message from."""
        self._by_identity[identity] = address
        if len(self._by_identity) > ADDRESSES_MAX:
            del self._by_identity[next(iter(self._by_identity))]

    def address_of(self, member: Member) -> str:
        """Return the address of a replica, or "" if it is unknown."""
        return member.address or self._by_identity.get(member.id, "")

    def addresses(self) -> Collection[str]:
        """Return all recorded addresses."""
        return self._by_identity.values()


class Outbox:
    """Delays messages until the records they depend on are durable, as Raft requires."""

    def __init__(self, deliver: Callable[[Outgoing], None]) -> None:
        self._deliver = deliver
        self._pending: deque[Outgoing] = deque()

    def post(self, message: Outgoing, synced_number: int) -> None:
        """Deliver a message now, or queue it until the record it depends on is synced."""
        if message.after_record > synced_number:
            self._pending.append(message)
        else:
            self._deliver(message)

    def deliver_synced(self, synced_number: int) -> None:
        """Deliver, in order, the queued messages whose records are now durable."""
        while self._pending and self._pending[0].after_record <= synced_number:
            self._deliver(self._pending.popleft())
