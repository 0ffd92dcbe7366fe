"""Typed access to the fields of JSON objects, for codecs at the border of the process."""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.wire.errors import InvalidMessageError

JsonObject = Mapping[str, object]


def require_int(data: JsonObject, key: str) -> int:
    """Return an integer field.

    Raises:
        InvalidMessageError: The field is missing or no integer.
    """
    value = data.get(key)
    if not isinstance(value, int):
        raise InvalidMessageError(f"{key} is no integer: {value!r}")
    return value


def require_str(data: JsonObject, key: str) -> str:
    """Return a text field.

    Raises:
        InvalidMessageError: The field is missing or no text.
    """
    value = data.get(key)
    if not isinstance(value, str):
        raise InvalidMessageError(f"{key} is no text: {value!r}")
    return value


def require_bool(data: JsonObject, key: str) -> bool:
    """Return a boolean field.

    Raises:
        InvalidMessageError: The field is missing or no boolean.
    """
    value = data.get(key)
    if not isinstance(value, bool):
        raise InvalidMessageError(f"{key} is no boolean: {value!r}")
    return value


def require_list(data: JsonObject, key: str) -> list[object]:
    """Return a list field.

    Raises:
        InvalidMessageError: The field is missing or no list.
    """
    value = data.get(key)
    if not isinstance(value, list):
        raise InvalidMessageError(f"{key} is no list: {value!r:.80}")
    return value


def require_object(data: JsonObject, key: str) -> dict[str, object]:
    """Return a field that is an object.

    Raises:
        InvalidMessageError: The field is missing or no object.
    """
    return as_object(data.get(key), key)


def as_object(value: object, name: str) -> dict[str, object]:
    """Return a value that has to be a JSON object; `name` tells the reader of the error which one.

    Raises:
        InvalidMessageError: The value is no object.
    """
    if not isinstance(value, dict):
        raise InvalidMessageError(f"{name} is no object: {value!r:.80}")
    return value
