"""Peer sampling: who serves, as a partial view that processes shuffle among each other; pure.

Each entry has an age.  A process refreshes its own entry where it calls, views are merged by the younger
age, and what nobody has heard of for a while falls out.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from brambleusher.wire.errors import InvalidMessageError

VIEW_MAX = 512
SAMPLE = 64  # entries in one shuffle
FORGET_S = 12.0
ALIVE_S = 3.0  # a process that was heard of this lately is taken for alive


class PeerState(Enum):
    """What a process says of itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "leaving"


@dataclass(frozen=True, slots=True)
class Peer:
    """One process as it described itself."""

    name: str
    role: str
    address: str  # where clients (gateway) or peers (controller) reach it
    zone: str
    region: str
    state: PeerState
    incarnation: int  # Unix time of its start in ms; orders two starts of one name that overlap

    def as_json(self) -> dict[str, Any]:
        """The form on the wire."""
        return {
            "name": self.name,
            "role": self.role,
            "address": self.address,
            "zone": self.zone,
            "region": self.region,
            "state": self.state.value,
            "incarnation": self.incarnation,
        }


# The wire's keys, in the order in which a sample has their values.
KEYS = ("name", "role", "address", "zone", "region", "state", "incarnation")


def peer_from_json(data: Any) -> Peer:
    """A peer from its form on the wire; raises `InvalidMessageError`."""
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
        raise InvalidMessageError(f"no peer: {error}") from error


class PartialView:
    """The peers that this process has heard of lately, and when."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._heard: dict[str, tuple[Peer, float]] = {}

    def record_contact(self, peer: Peer, at: float) -> None:
        """A peer was heard of, itself or through others, as of a moment on the local clock."""
        known = self._heard.get(peer.name)
        if known is not None and (known[1] >= at and known[0].incarnation >= peer.incarnation):
            return
        self._heard[peer.name] = (peer, max(at, known[1]) if known else at)
        if len(self._heard) > VIEW_MAX:
            oldest = min(self._heard, key=lambda name: self._heard[name][1])
            del self._heard[oldest]

    def expire(self, now: float) -> None:
        """Forget those that nobody has heard of for long."""
        for name in [name for name, (_, at) in self._heard.items() if now - at > FORGET_S]:
            del self._heard[name]

    def sample(self, now: float) -> list[list[Any]]:
        """A shuffled part of the view for another process: peers as lists, with ages in ms."""
        known = list(self._heard.values())
        chosen = self._rng.sample(known, min(SAMPLE, len(known)))
        forms = [(peer.as_json(), int((now - at) * 1000)) for peer, at in chosen]
        return [[*(form[key] for key in KEYS), age_ms] for form, age_ms in forms]

    def merge(self, sample: Any, now: float) -> None:
        """Take in another process's sample; raises `InvalidMessageError`."""
        if not isinstance(sample, list):
            raise InvalidMessageError("a sample is no list")
        for part in sample[:SAMPLE]:
            if not isinstance(part, list) or len(part) != len(KEYS) + 1:
                raise InvalidMessageError("a part of a sample is no list of its length")
            peer = peer_from_json(dict(zip(KEYS, part, strict=False)))
            age_ms = part[-1]
            if not isinstance(age_ms, int) or age_ms < 0:
                raise InvalidMessageError("an age is no count of ms")
            if age_ms < FORGET_S * 1000:
                self.record_contact(peer, now - age_ms / 1000)

    def alive(self, role: str, now: float, within_s: float = ALIVE_S) -> list[Peer]:
        """Peers of a role that were heard of lately, in the order of their names."""
        known = [peer for peer, at in self._heard.values() if peer.role == role and now - at <= within_s]
        return sorted(known, key=lambda peer: peer.name)
