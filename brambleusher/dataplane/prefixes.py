"""Cached prefixes: what a request says of its prompt, and which instances are to keep its shared part."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

LARGE_PREFIX_TOKENS = 1000  # below, reading it again costs less than a worse choice of instance


def shared_prefix(header: str) -> tuple[str, int]:
    """Key and tokens of the segments that a prompt shares with others: all but the last; empty for none."""
    segments = [part.strip() for part in header.split(",") if part.strip()]
    key, tokens = [], 0
    for segment in segments[:-1]:
        name, _, count = segment.partition(":")
        if not count.isdigit():
            break
        key.append(name)
        tokens += int(count)
    return "/".join(key), tokens


def keepers(key: str, instances: Iterable[str]) -> list[str]:
    """Instances in the order in which they should keep a prefix: rendezvous hashing, alike everywhere."""

    def rank(name: str) -> bytes:
        return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()

    return sorted(instances, key=rank)
