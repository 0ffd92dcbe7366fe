"""What instances tell each other: a word a call, sealed, with the caller's own random number in it."""

from __future__ import annotations

import json
import secrets
from typing import Any

from brambleusher.loadbalancing.view_consistency import PeerStatus, ViewPosition
from brambleusher.xds.faults import ProtocolError
from brambleusher.xds.versions import Seal

SERVICE, METHOD = "brambleusher.xds.v1.Instances", "Tell"
MAX_BYTES = 4096


def _pack(seal: Seal, body: dict[str, Any]) -> bytes:
    text = json.dumps(body, sort_keys=True)
    return json.dumps({"body": text, "mark": seal.mark(text)}).encode()


def _unpack(seal: Seal, data: bytes) -> dict[str, Any]:
    try:
        outer = json.loads(data[:MAX_BYTES])
        body, mark = outer["body"], outer["mark"]
        if not isinstance(body, str) or not isinstance(mark, str) or not seal.good(body, mark):
            raise ProtocolError("a word without a good seal")
        inner = json.loads(body)
    except (ValueError, KeyError, TypeError) as error:
        if isinstance(error, ProtocolError):
            raise
        raise ProtocolError("a word that can't be read") from None
    if not isinstance(inner, dict):
        raise ProtocolError("a word that can't be read")
    return inner


def _place(raw: Any) -> ViewPosition | None:
    if raw is None:
        return None
    if isinstance(raw, list) and len(raw) == 2 and all(type(part) is int and part >= 0 for part in raw):
        return ViewPosition(*raw)
    raise ProtocolError("a word that can't be read")


def question(seal: Seal, name: str) -> tuple[bytes, str]:
    """A call's bytes and the number that its answer must repeat."""
    number = secrets.token_hex(16)
    return _pack(seal, {"from": name, "number": number}), number


def answer(seal: Seal, data: bytes, name: str, word: PeerStatus) -> bytes:
    """The answer to a call; raises `ProtocolError` where the caller does not know the secret."""
    asked = _unpack(seal, data)
    return _pack(
        seal,
        {"name": name, "number": str(asked.get("number", ""))[:64], "place": word.position,
         "floor": word.floor, "in_touch": word.is_connected},
    )  # fmt: skip


def read_answer(seal: Seal, data: bytes, number: str) -> PeerStatus:
    """The word in an answer; raises `ProtocolError` where it answers another call."""
    body = _unpack(seal, data)
    if body.get("number") != number:
        raise ProtocolError("an answer to another call")
    return PeerStatus(_place(body.get("place")), _place(body.get("floor")), body.get("in_touch") is True)
