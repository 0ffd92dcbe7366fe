"""The reader of configurations: one text means the same to controllers, gateways, patches and stored data."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brambleusher.wire import configuration, configuration_patch
from brambleusher.wire.errors import InvalidConfigurationError
from tests.system.virtual_deployment import configuration as body_of
from tests.system.virtual_deployment import route

TEXT = body_of(3, route("/a/"), route("/b/")).decode()
DEPTH = 300
DEEP_TEXT = TEXT[:-1] + ', "x": ' + "[" * DEPTH + "]" * DEPTH + "}"
LONE_SURROGATE = TEXT.replace('"/b/"', '"/b\\ud83d/"', 1)


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"\xef\xbb\xbf" + TEXT.encode(), "body: byte 0: a byte order mark precedes the JSON text"),
        (TEXT.encode("utf-16"), "body: byte 0: it is not UTF-8"),
        (TEXT.encode("utf-32"), "body: byte 0: it is not UTF-8"),
        (TEXT.encode("utf-16-le"), "body: it can't be read whole"),
        (TEXT.replace("/b/", "/b\xe9/").encode("latin-1"), "it is not UTF-8"),
        (LONE_SURROGATE.encode(), "body: "),
        (DEEP_TEXT.encode(), "body: "),
        (b"", "body: it can't be read whole"),
    ],
)
def test_a_body_that_is_not_plain_utf_8_json_is_rejected(body: bytes, reason: str) -> None:
    """Guards against a configuration that a controller accepts and no gateway can read."""
    with pytest.raises(InvalidConfigurationError) as raised:
        configuration.read(body)
    assert reason in str(raised.value)
    with pytest.raises(InvalidConfigurationError):
        configuration_patch.read(body)


@pytest.mark.parametrize("encoding", ["utf-8", "utf-8-sig", "utf-16", "utf-16-le", "utf-16-be", "utf-32"])
def test_a_stored_text_of_an_earlier_version_is_read(encoding: str) -> None:
    body = TEXT.encode(encoding)
    assert configuration.parse_stored(body) == configuration.read(TEXT.encode())
    patch = configuration_patch.read(b'{"revision": 4, "remove": {"routes": ["/b/"]}}')
    assert [each.name for each in configuration.read(configuration_patch.merge(body, patch)).routes] == [
        "/a/"
    ]


def test_a_stored_lone_surrogate_is_read_as_the_replacement_character() -> None:
    body = LONE_SURROGATE.encode()
    assert [each.name for each in configuration.parse_stored(body).routes] == ["/a/", "/b\ufffd/"]
    patch = configuration_patch.read(b'{"revision": 4}')
    merged = configuration.read(configuration_patch.merge(body, patch))
    assert [each.name for each in merged.routes] == ["/a/", "/b\ufffd/"]
    with pytest.raises(InvalidConfigurationError):
        configuration_patch.read(b'{"revision": 4, "upsert": {"routes": [{"name": "\\ud83d"}]}}')


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)
PLACES: tuple[tuple[str | int, ...], ...] = (
    ("revision",),
    ("routes",),
    ("services",),
    ("limits",),
    ("unknown",),
    *(("routes", 0, key) for key in (*route(), "split", "priority", "gap_aim_ms", "home_regions", "unknown")),
    *(
        ("services", 0, key)
        for key in ("name", "conn_limit", "warmup_s", "cold_per_s", "engine", "probe_path")
    ),
    *(("limits", key) for key in ("header_bytes", "body_bytes", "header_ms", "idle_ms")),
)
ENCODINGS = ("utf-8", "utf-8", "utf-8", "utf-8-sig", "utf-16", "utf-16-le", "utf-32")


def with_value(place: tuple[str | int, ...], value: Any) -> Any:
    """Return a configuration with another value at one place."""
    data = json.loads(TEXT)
    inner = data
    for step in place[:-1]:
        inner = inner[step]
    inner[place[-1]] = value
    return data


@settings(max_examples=400, deadline=None)
@given(st.sampled_from(PLACES), JSON, st.sampled_from(ENCODINGS), st.booleans())
def test_what_a_controller_accepts_is_read_alike_everywhere(
    place: tuple[str | int, ...], value: Any, encoding: str, is_ascii: bool
) -> None:
    text = json.dumps(with_value(place, value), ensure_ascii=is_ascii)
    check_read_alike(text.encode(encoding, "surrogatepass"))


@settings(max_examples=400, deadline=None)
@given(st.integers(0, len(TEXT)), st.binary(max_size=4), st.integers(0, 4))
def test_what_a_controller_accepts_is_read_alike_after_any_bytes(at: int, added: bytes, removed: int) -> None:
    body = TEXT.encode()
    check_read_alike(body[:at] + added + body[at + removed :])


def check_read_alike(body: bytes) -> None:
    """Check that a body is rejected, or read by a gateway and after a patch as the controller read it."""
    try:
        accepted = configuration.read(body)
    except InvalidConfigurationError:
        return
    assert repr(configuration.parse_stored(body)) == repr(accepted)
    try:
        patch = configuration_patch.read(json.dumps({"revision": accepted.revision + 1}).encode())
        merged = configuration.read(configuration_patch.merge(body, patch))
    except InvalidConfigurationError:
        return
    expected = accepted.model_copy(update={"revision": accepted.revision + 1})
    assert repr(merged) == repr(expected)
