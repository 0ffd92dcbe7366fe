"""Typed access to the fields of JSON objects, for codecs of messages and records."""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.wire.errors import InvalidMessageError

JsonObject = Mapping[str, object]


def require_int(data: JsonObject, key: str) -> int:
    """Return an integer field.

    Raises:
        InvalidMessageError: The field is missing or is not an integer.
    """
    value = data.get(key)
    if not isinstance(value, int):
        raise InvalidMessageError(f"{key} is not an integer: {value!r}")
    return value


def require_str(data: JsonObject, key: str) -> str:
    """Return a string field.

    Raises:
        InvalidMessageError: The field is missing or is not a string.
    """
    value = data.get(key)
    if not isinstance(value, str):
        raise InvalidMessageError(f"{key} is not a string: {value!r}")
    return value


def require_bool(data: JsonObject, key: str) -> bool:
    """Return a boolean field.

    Raises:
        InvalidMessageError: The field is missing or is not a boolean.
    """
    value = data.get(key)
    if not isinstance(value, bool):
        raise InvalidMessageError(f"{key} is not a boolean: {value!r}")
    return value


def require_list(data: JsonObject, key: str) -> list[object]:
    """Return a list field.

    Raises:
        InvalidMessageError: The field is missing or is not a list.
    """
    value = data.get(key)
    if not isinstance(value, list):
        raise InvalidMessageError(f"{key} is not a list: {value!r:.80}")
    return value


def require_object(data: JsonObject, key: str) -> dict[str, object]:
    """Return a field that is an object.

    Raises:
        InvalidMessageError: The field is missing or is not an object.
    """
    return as_object(data.get(key), key)


def as_object(value: object, name: str) -> dict[str, object]:
    """Return a value that must be a JSON object; error messages call it `name`.

    Raises:
        InvalidMessageError: The value is not an object.
    """
    if not isinstance(value, dict):
        raise InvalidMessageError(f"{name} is not an object: {value!r:.80}")
    return value
