"""Prefix cache affinity: the shared prefix of a prompt and the instances that should cache it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from brambleusher.wire.digits import parse_digits

LARGE_PREFIX_TOKENS = 1000  # for shorter prefixes another prefill costs less than a worse choice of instance


def shared_prefix(header: str) -> tuple[str, int]:
    """Return the key and the length in tokens of the segments that a prompt shares with other prompts.

    The header lists `name:tokens` segments; all but the last one are shared.  Without shared segments the
    key is empty and the length is 0.
    """
    segments = [segment.strip() for segment in header.split(",") if segment.strip()]
    names: list[str] = []
    tokens = 0
    for segment in segments[:-1]:
        name, _, digits = segment.partition(":")
        count = parse_digits(digits)
        if count is None:
            break
        names.append(name)
        tokens += count
    return "/".join(names), tokens


def rank_by_affinity(prefix_key: str, instance_ids: Iterable[str]) -> list[str]:
    """Rank the instances that should cache a prefix; all gateways compute the same order.

    Source: rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998.
    """

    def digest(instance_id: str) -> bytes:
        return hashlib.blake2b(f"{prefix_key} {instance_id}".encode(), digest_size=8).digest()

    return sorted(instance_ids, key=digest)
