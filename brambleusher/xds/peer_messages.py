"""Encode and decode the messages between instances of the control service.

Each call requests the status of another instance.  Both messages carry a MAC, and the response repeats a
random number from the request, which the caller checks.  The keys of the JSON objects
are part of the wire format and must not change.
"""

from __future__ import annotations

import json
import secrets
from collections.abc import Mapping

from brambleusher.loadbalancing.view_consistency import PeerStatus, ViewPosition
from brambleusher.xds.errors import ProtocolError
from brambleusher.xds.versions import MacSigner

SERVICE, METHOD = "brambleusher.xds.v1.Instances", "Tell"
MAX_BYTES = 4096  # a received message is cut off after this many bytes before it is parsed
MAX_NUMBER_CHARS = 64
NUMBER_BYTES = 16
_POSITION_LENGTH = len(ViewPosition._fields)


def _pack(signer: MacSigner, body: Mapping[str, object]) -> bytes:
    text = json.dumps(body, sort_keys=True)
    return json.dumps({"body": text, "mark": signer.sign(text)}).encode()


def _unpack(signer: MacSigner, data: bytes) -> Mapping[str, object]:
    try:
        outer = json.loads(data[:MAX_BYTES])
        body, signature = outer["body"], outer["mark"]
        if not isinstance(body, str) or not isinstance(signature, str) or not signer.verify(body, signature):
            raise ProtocolError("a peer message without a valid seal")
        inner = json.loads(body)
    except (ValueError, KeyError, TypeError) as error:
        if isinstance(error, ProtocolError):
            raise
        raise ProtocolError("a peer message that can't be read") from None
    if not isinstance(inner, dict):
        raise ProtocolError("a peer message that can't be read")
    return inner


def _parse_position(raw: object) -> ViewPosition | None:
    if raw is None:
        return None
    is_pair = isinstance(raw, list) and len(raw) == _POSITION_LENGTH
    if isinstance(raw, list) and is_pair and all(type(number) is int and number >= 0 for number in raw):
        return ViewPosition(*raw)
    raise ProtocolError("a peer message that can't be read")


def encode_request(signer: MacSigner, name: str) -> tuple[bytes, str]:
    """Encode a status request, and return it with the random number that its response must repeat."""
    number = secrets.token_hex(NUMBER_BYTES)
    return _pack(signer, {"from": name, "number": number}), number


def encode_response(signer: MacSigner, data: bytes, name: str, status: PeerStatus) -> bytes:
    """Encode the response to the status request in `data`.

    Raises:
        ProtocolError: The request has no valid MAC, so the caller does not know the secret.
    """
    request = _unpack(signer, data)
    return _pack(
        signer,
        {"name": name, "number": str(request.get("number", ""))[:MAX_NUMBER_CHARS],
         "place": status.position, "floor": status.floor, "in_touch": status.is_connected},
    )  # fmt: skip


def decode_response(signer: MacSigner, data: bytes, number: str) -> PeerStatus:
    """Decode the status in a response.

    Raises:
        ProtocolError: The message is not the response to the request with that number.
    """
    body = _unpack(signer, data)
    if body.get("number") != number:
        raise ProtocolError("a response to another request")
    position, floor = _parse_position(body.get("place")), _parse_position(body.get("floor"))
    return PeerStatus(position, floor, body.get("in_touch") is True)
