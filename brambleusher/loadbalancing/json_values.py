"""Converts plain values to JSON values and back, including infinities and tuples, which JSON lacks."""

from __future__ import annotations

import math
from typing import Final

_FLOAT, _TUPLE = "f", "t"  # single keys of the objects that encode values without a JSON equivalent
# Exceptions that reading a truncated or forged record may raise.
MALFORMED: Final = (ArithmeticError, AttributeError, LookupError, RuntimeError, TypeError, ValueError)


class StateError(ValueError):
    """A saved state, or saved settings, that this version cannot restore."""


def encode_plain(value: object) -> object:
    """Return the JSON value of a plain value, which must not contain hosts or requests.

    Raises:
        StateError: The value, or one nested in it, has a type that cannot be saved.
    """
    if value is None or type(value) in (str, int, bool):
        return value
    if type(value) is float:
        return value if math.isfinite(value) else {_FLOAT: str(value)}
    if type(value) is list:
        return [encode_plain(item) for item in value]
    if type(value) is tuple:
        return {_TUPLE: [encode_plain(item) for item in value]}
    raise StateError(f"cannot encode a value of type {type(value).__name__}: {value!r:.100}")


def decode_plain(value: object) -> object:
    """Return the value that was passed to `encode_plain`, from its result.

    Raises:
        StateError: The value contains an object of an unknown kind.
    """
    if isinstance(value, list):
        return [decode_plain(item) for item in value]
    if not isinstance(value, dict):
        return value
    ((key, content),) = value.items()
    if key == _FLOAT:
        return float(content)
    if key == _TUPLE:
        return tuple(decode_plain(item) for item in content)
    raise StateError(f"an encoded value of kind {key} is unknown")
