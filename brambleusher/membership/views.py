"""Peer sampling: who serves, as a partial view that processes shuffle among each other; pure.

Each entry has an age.  A process refreshes its own entry where it calls, views are merged by the younger age,
and a peer without any contact for a while is removed.

Source: M. Jelasity et al., "Gossip-based peer sampling", ACM Transactions on Computer Systems 25(3), 2007.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from brambleusher.wire.errors import InvalidMessageError

PEERS_MAX = 512
SAMPLE_SIZE = 64  # entries in one shuffle
CONTACT_TTL_S = 12.0  # a peer without a contact for so long is removed
ALIVE_WITHIN_S = 3.0  # a peer with a contact so recent counts as alive
MS_PER_S = 1000


class PeerState(Enum):
    """What a process says of itself; the values are the form on the wire."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "leaving"


@dataclass(frozen=True, slots=True)
class Peer:
    """One process as it described itself."""

    name: str
    role: str
    address: str  # where clients (of a gateway) or peers (of a controller) reach it
    zone: str
    region: str
    state: PeerState
    incarnation: int  # Unix time of its start in ms; orders two starts of one name that overlap

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
        return dict(zip(PEER_KEYS, self.as_values(), strict=True))

    def as_values(self) -> list[object]:
        """Return the values of the form on the wire, in the order of `PEER_KEYS`."""
        return [
            self.name,
            self.role,
            self.address,
            self.zone,
            self.region,
            self.state.value,
            self.incarnation,
        ]


PEER_KEYS = ("name", "role", "address", "zone", "region", "state", "incarnation")


def peer_from_json(data: object) -> Peer:
    """Return a peer from its form on the wire.

    Raises:
        InvalidMessageError: A field is missing or can't be read.
    """
    if not isinstance(data, dict):
        raise InvalidMessageError(f"a peer is no object: {data!r:.80}")
    try:
        return Peer(
            str(data["name"]),
            str(data["role"]),
            str(data["address"]),
            str(data["zone"]),
            str(data["region"]),
            PeerState(data["state"]),
            int(data["incarnation"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidMessageError(f"a peer can't be read: {error!r}") from error


class Contact(NamedTuple):
    """A peer, and when this process last heard of it, on the local clock."""

    peer: Peer
    at_s: float


class PartialView:
    """The peers that this process has heard of recently, itself or through others."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._contacts: dict[str, Contact] = {}

    def record_contact(self, peer: Peer, at_s: float) -> None:
        """Record what a peer said of itself at a moment; an older incarnation never replaces a newer one."""
        known = self._contacts.get(peer.name)
        if known is not None and (known.at_s >= at_s and known.peer.incarnation >= peer.incarnation):
            return
        self._contacts[peer.name] = Contact(peer, max(at_s, known.at_s) if known else at_s)
        if len(self._contacts) > PEERS_MAX:
            oldest = min(self._contacts, key=lambda name: self._contacts[name].at_s)
            del self._contacts[oldest]

    def expire(self, now: float) -> None:
        """Remove peers without a recent contact."""
        expired = [name for name, contact in self._contacts.items() if now - contact.at_s > CONTACT_TTL_S]
        for name in expired:
            del self._contacts[name]

    def sample(self, now: float) -> list[list[object]]:
        """Return a random part of the view for another process: values of peers, each with its age in ms."""
        contacts = list(self._contacts.values())
        chosen = self._rng.sample(contacts, min(SAMPLE_SIZE, len(contacts)))
        return [[*peer.as_values(), int((now - at_s) * MS_PER_S)] for peer, at_s in chosen]

    def merge(self, sample: object, now: float) -> None:
        """Merge another process's sample.

        Raises:
            InvalidMessageError: An entry can't be read; those before it have been merged.
        """
        if not isinstance(sample, list):
            raise InvalidMessageError(f"a sample is no list: {sample!r:.80}")
        for entry in sample[:SAMPLE_SIZE]:
            peer, age_ms = _entry_from_json(entry)
            if age_ms < CONTACT_TTL_S * MS_PER_S:
                self.record_contact(peer, now - age_ms / MS_PER_S)

    def alive(self, role: str, now: float, within_s: float = ALIVE_WITHIN_S) -> list[Peer]:
        """Return the peers of a role with a recent contact, in the order of their names."""
        peers = [
            peer for peer, at_s in self._contacts.values() if peer.role == role and now - at_s <= within_s
        ]
        return sorted(peers, key=lambda peer: peer.name)


def _entry_from_json(entry: object) -> tuple[Peer, int]:
    """Return the peer of a sample's entry, and its age in ms."""
    if not isinstance(entry, list) or len(entry) != len(PEER_KEYS) + 1:
        raise InvalidMessageError(f"an entry of a sample is no list of {len(PEER_KEYS) + 1}: {entry!r:.80}")
    *values, age_ms = entry
    peer = peer_from_json(dict(zip(PEER_KEYS, values, strict=True)))
    if not isinstance(age_ms, int) or age_ms < 0:
        raise InvalidMessageError(f"an age is no count of ms: {age_ms!r}")
    return peer, age_ms
