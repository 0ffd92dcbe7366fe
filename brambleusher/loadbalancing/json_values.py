"""Plain values as JSON values and back: infinities and tuples, which JSON does not have, included."""

from __future__ import annotations

import math
from typing import Final

_FLOAT, _TUPLE = "f", "t"  # the only keys of the objects that stand for what JSON does not have
# What reading a record that was cut or made up may lead to.
MALFORMED: Final = (ArithmeticError, AttributeError, LookupError, RuntimeError, TypeError, ValueError)


class StateError(ValueError):
    """A saved state, or saved settings, that this version cannot continue from."""


def plain(value: object) -> object:
    """Return a JSON value for a value without references.

    Raises:
        StateError: The value, or one in it, is of a type that cannot be saved.
    """
    if value is None or type(value) in (str, int, bool):
        return value
    if type(value) is float:
        return value if math.isfinite(value) else {_FLOAT: str(value)}
    if type(value) is list:
        return [plain(item) for item in value]
    if type(value) is tuple:
        return {_TUPLE: [plain(item) for item in value]}
    raise StateError(f"a {type(value).__name__} can't be saved: {value!r:.100}")


def unplain(value: object) -> object:
    """Return the value that `plain` was given.

    Raises:
        StateError: The value has an object of an unknown kind.
    """
    if isinstance(value, list):
        return [unplain(item) for item in value]
    if not isinstance(value, dict):
        return value
    ((key, content),) = value.items()
    if key == _FLOAT:
        return float(content)
    if key == _TUPLE:
        return tuple(unplain(item) for item in content)
    raise StateError(f"a value of kind {key} is unknown")
