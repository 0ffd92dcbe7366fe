"""Peer sampling: each process has a partial view of the other processes and exchanges samples of it; no I/O.

Each entry has an age. A process refreshes its own entry at the processes that it contacts, merging two views
keeps the entry with the lower age, and peers without contact for `CONTACT_TTL_S` are removed.

Source: M. Jelasity et al., "Gossip-based peer sampling", ACM Transactions on Computer Systems 25(3), 2007.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from brambleusher.wire.errors import InvalidMessageError

PEERS_MAX = 512
SAMPLE_SIZE = 64  # maximum number of entries in one sample
CONTACT_TTL_S = 12.0  # a peer without contact for this time is removed
ALIVE_WITHIN_S = 3.0  # a peer with a contact within this time counts as alive
MS_PER_S = 1000


class PeerKey(NamedTuple):
    """What tells processes apart: a machine's processes have its name, and each another role."""

    name: str
    role: str


class PeerState(Enum):
    """The state that a process reports of itself; the values are sent on the wire."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "leaving"


@dataclass(frozen=True, slots=True)
class Peer:
    """The description that a process gives of itself.

    Attributes:
        name: The name of the machine.
        role: The role of the process, such as gateway or controller.
        address: The address for clients (if the process is a gateway) or for peers (if it is a controller).
        zone: The zone of the process.
        region: The region of the process.
        state: Whether the process is starting, ready or draining.
        incarnation: The Unix time of the process's start in milliseconds; it orders overlapping processes
            with the same key.
    """

    name: str
    role: str
    address: str
    zone: str
    region: str
    state: PeerState
    incarnation: int

    @property
    def key(self) -> PeerKey:
        """What tells this process from others."""
        return PeerKey(self.name, self.role)

    def as_json(self) -> dict[str, object]:
        """Return the peer in its wire format."""
        return dict(zip(PEER_KEYS, self.as_values(), strict=True))

    def as_values(self) -> list[object]:
        """Return the values of the wire format, in the order of `PEER_KEYS`."""
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
    """Parse a peer from its wire format.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    if not isinstance(data, dict):
        raise InvalidMessageError(f"a peer is not an object: {data!r:.80}")
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
        raise InvalidMessageError(f"a peer is invalid: {error!r}") from error


class Contact(NamedTuple):
    """A peer, and the time of the last direct or indirect contact, in seconds of the local clock."""

    peer: Peer
    at_s: float


class PartialView:
    """The peers with which this process recently had contact, either directly or through other processes."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._contacts: dict[PeerKey, Contact] = {}

    def record_contact(self, peer: Peer, at_s: float) -> None:
        """Record a peer's description of itself at a time.

        A description is ignored if a later one of the same or a newer incarnation is known.
        """
        known = self._contacts.get(peer.key)
        if known is not None and (known.at_s >= at_s and known.peer.incarnation >= peer.incarnation):
            return
        self._contacts[peer.key] = Contact(peer, max(at_s, known.at_s) if known else at_s)
        if len(self._contacts) > PEERS_MAX:
            oldest = min(self._contacts, key=lambda key: self._contacts[key].at_s)
            del self._contacts[oldest]

    def expire(self, now: float) -> None:
        """Remove peers without a recent contact."""
        expired = [key for key, contact in self._contacts.items() if now - contact.at_s > CONTACT_TTL_S]
        for key in expired:
            del self._contacts[key]

    def sample(self, now: float) -> list[list[object]]:
        """Return random entries for another process: the values of each peer and its age in milliseconds."""
        contacts = list(self._contacts.values())
        chosen = self._rng.sample(contacts, min(SAMPLE_SIZE, len(contacts)))
        return [[*peer.as_values(), int((now - at_s) * MS_PER_S)] for peer, at_s in chosen]

    def merge(self, sample: object, now: float) -> None:
        """Merge another process's sample.

        Raises:
            InvalidMessageError: An entry is invalid; the entries before it have been merged.
        """
        if not isinstance(sample, list):
            raise InvalidMessageError(f"a sample is not a list: {sample!r:.80}")
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
    """Return the peer in an entry of a sample, and its age in milliseconds."""
    if not isinstance(entry, list) or len(entry) != len(PEER_KEYS) + 1:
        raise InvalidMessageError(f"a sample entry is not a list of {len(PEER_KEYS) + 1}: {entry!r:.80}")
    *values, age_ms = entry
    peer = peer_from_json(dict(zip(PEER_KEYS, values, strict=True)))
    if not isinstance(age_ms, int) or age_ms < 0:
        raise InvalidMessageError(f"an age is not a number of milliseconds: {age_ms!r}")
    return peer, age_ms
