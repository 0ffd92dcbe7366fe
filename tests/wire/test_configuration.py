"""The reader of configurations: one text means the same to controllers, gateways, patches and stored data."""

from __future__ import annotations

import json
import re
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


NUMBERS: tuple[tuple[str | int, ...], ...] = (
    *(
        ("routes", 0, key)
        for key in ("deadline_ms", "setpoint_ms", "priority", "tries", "gap_aim_ms", "unknown")
    ),
    ("routes", 0, "split", 0, "gain"),
    *(("services", 0, key) for key in ("conn_limit", "warmup_s", "cold_per_s")),
    *(("services", 0, "engine", key) for key in ("capacity", "cache_tokens", "stride")),
    *(("limits", key) for key in ("header_bytes", "body_bytes", "header_ms", "idle_ms")),
    ("unknown",),
)
NUMBER_MARK = 123454321


def with_number(place: tuple[str | int, ...], number: str) -> bytes:
    """Return a configuration with the text of a number at a place."""
    data = json.loads(body_of(3, route("/a/", split=[{"service": "llm", "gain": 1}])))
    data["services"][0]["engine"] = {}
    inner = data
    for step in place[:-1]:
        inner = inner[step]
    inner[place[-1]] = NUMBER_MARK
    return json.dumps(data).replace(str(NUMBER_MARK), number).encode()


@pytest.mark.parametrize("place", NUMBERS, ids=str)
@pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity", "1e400", "-1e400"])
def test_a_number_that_is_not_finite_is_rejected(place: tuple[str | int, ...], number: str) -> None:
    """Guards against an acknowledged configuration that ends all gateways: NaN is no JSON."""
    assert configuration.read(with_number(place, "7")).revision == 3
    with pytest.raises(InvalidConfigurationError, match=re.escape(f"{number} is")):
        configuration.read(with_number(place, number))
    with pytest.raises(InvalidConfigurationError, match=re.escape(f"{number} is")):
        configuration_patch.read(
            b'{"revision": 4, "upsert": {"routes": [{"name": "r", "x": %s}]}}' % number.encode()
        )


@pytest.mark.parametrize("place", [place for place in NUMBERS if place[-1] != "unknown"], ids=str)
@pytest.mark.parametrize("number", ["1e300", "1" + "0" * 400, str(2**53 + 2)])
def test_a_number_beyond_what_parsers_read_alike_is_rejected(
    place: tuple[str | int, ...], number: str
) -> None:
    """Guards against figures that overflow where a gateway computes with them."""
    assert configuration.read(with_number(place, str(2**53))).revision == 3
    with pytest.raises(InvalidConfigurationError) as raised:
        configuration.read(with_number(place, number))
    assert str(place[-1]) in raised.value.key


def test_each_service_that_a_route_names_has_to_exist() -> None:
    """Guards against an unknown service in a split that `service` takes the place of."""
    split = [{"service": "llm", "gain": 90}, {"service": "gone", "gain": 10}]
    for names in ({"service": "llm", "split": split}, {"service": None, "split": split}):
        with pytest.raises(InvalidConfigurationError, match="routes.0: service gone is unknown"):
            configuration.read(body_of(3, route("/a/", **names)))
    weightless = [{"service": "llm", "gain": 0}]
    with pytest.raises(InvalidConfigurationError, match="routes.0: the weights of its services sum to 0"):
        configuration.read(body_of(3, route("/a/", service="llm", split=weightless)))


def test_a_stored_number_of_an_earlier_version_is_replaced() -> None:
    """A configuration that an earlier version acknowledged stays in force where it can."""
    not_a_number = configuration.parse_stored(with_number(("limits", "idle_ms"), "NaN"))
    assert not_a_number.limits.idle_ms == configuration.Limits().idle_ms
    endless = configuration.parse_stored(with_number(("routes", 0, "deadline_ms"), "Infinity"))
    assert endless.routes[0].deadline_ms == configuration.NUMBER_MAX
    huge = configuration.parse_stored(with_number(("services", 0, "conn_limit"), "1" + "0" * 400))
    assert huge.services[0].connection_limit == configuration.NUMBER_MAX
    patch = configuration_patch.read(b'{"revision": 4}')
    merged = configuration_patch.merge(with_number(("limits", "idle_ms"), "NaN"), patch)
    assert configuration.read(merged).limits.idle_ms == configuration.Limits().idle_ms
    assert configuration.load(configuration_patch.merge(with_number(("unknown",), str(2**60)), patch))


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
