"""Typed access to fields of JSON objects: errors name the field that is missing or of the wrong type."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import pytest

from brambleusher.wire.errors import InvalidMessageError, WireError
from brambleusher.wire.json_fields import (
    as_object,
    require_bool,
    require_int,
    require_list,
    require_object,
    require_str,
)

DATA: dict[str, object] = {"int": 1, "str": "a", "bool": True, "list": [1], "object": {"a": 1}}
READERS: dict[str, Callable[[Mapping[str, object], str], object]] = {
    "int": require_int,
    "str": require_str,
    "bool": require_bool,
    "list": require_list,
    "object": require_object,
}


@pytest.mark.parametrize("key", READERS)
def test_a_field_of_its_type_is_returned(key: str) -> None:
    assert READERS[key](DATA, key) == DATA[key]


@pytest.mark.parametrize("key", READERS)
@pytest.mark.parametrize("value", [None, 1.5])
def test_a_field_that_is_missing_or_of_another_type_is_named(key: str, value: object) -> None:
    for data in ({}, {key: value}):
        with pytest.raises(InvalidMessageError, match=key):
            READERS[key](data, key)


def test_a_value_that_is_no_object_is_named() -> None:
    with pytest.raises(WireError, match="a command is not an object"):
        as_object([], "a command")
