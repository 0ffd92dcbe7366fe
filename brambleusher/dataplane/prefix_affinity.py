"""Prefix cache affinity: the shared prefix of a prompt, and which instances should cache it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

LARGE_PREFIX_TOKENS = 1000  # below, another prefill costs less than a worse choice of instance


def shared_prefix(header: str) -> tuple[str, int]:
    """Return key and length in tokens of the segments that a prompt shares with others.

    The header lists `name:tokens` segments; all but the last are shared.  Empty key and 0 where none are.
    """
    segments = [segment.strip() for segment in header.split(",") if segment.strip()]
    names: list[str] = []
    tokens = 0
    for segment in segments[:-1]:
        name, _, count = segment.partition(":")
        if not count.isdigit():
            break
        names.append(name)
        tokens += int(count)
    return "/".join(names), tokens


def rank_by_affinity(prefix_key: str, instance_ids: Iterable[str]) -> list[str]:
    """Order instances by who should cache a prefix, the same on all gateways.

    Source: rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998.
    """

    def digest(instance_id: str) -> bytes:
        return hashlib.blake2b(f"{prefix_key} {instance_id}".encode(), digest_size=8).digest()

    return sorted(instance_ids, key=digest)
