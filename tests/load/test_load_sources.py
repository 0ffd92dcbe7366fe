"""Tests of demand sources: a table of cases, round trips, ordering and damaged inputs."""

from __future__ import annotations

import gzip
import io
import json
import random
import string
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import apachelogs
import msgspec
import pytest
import zstandard
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from brambleusher.load import har, synthetic
from brambleusher.load.access_log import FORMATS, LogLineParser
from brambleusher.load.build import Plan, build
from brambleusher.load.demand import DemandError, DemandFile, write
from brambleusher.load.mapping import Mapping, MappingError, parse_mapping
from brambleusher.load.report import Report
from brambleusher.load.request import REASONS, RejectedRow, Request, SourceError
from brambleusher.load.sources import ReadOptions, detect_format
from brambleusher.load.times import SECOND
from tests.rig import Node, Rig

NOON = synthetic.NOON_NS
LOG = (
    '192.0.2.7 - - [{time}] "{line}" {status} 5 "-" "a/1" 1500 "{cls}" "peach" "{hint}" "{wait}" "k1" "-" '
    '"{size}"\n'
)


def log(**overrides: Any) -> str:
    defaults = {
        "time": "01/Dec/2025:12:00:00 +0000",
        "line": "GET /look?a=1 HTTP/1.1",
        "status": 200,
        "cls": "look",
    }
    return LOG.format(**{**defaults, "hint": "-", "wait": "900", "size": "-", **overrides})


def entry(**overrides: Any) -> dict[str, Any]:
    """Build a HAR entry with default values; `request` and `response` override theirs."""
    request = {"method": "GET", "url": "http://h/look?a=1", "headers": [], "bodySize": 0}
    return {
        "startedDateTime": "2025-12-01T12:00:00.000Z",
        "time": 1.5,
        **overrides,
        "request": {**request, **overrides.get("request", {})},
        "response": {"status": 200, **overrides.get("response", {})},
    }


def post(text: str | None = None, size: int = -1, **overrides: Any) -> dict[str, Any]:
    data = {"mimeType": "text/plain", **({} if text is None else {"text": text}), **overrides}
    return {"method": "POST", "url": "http://h/move", "bodySize": size, "postData": data}


def build_demand(
    folder: Path, data: bytes, options: ReadOptions | None = None, **plan: Any
) -> tuple[list[Request], Report]:
    source, out = folder / "source", folder / "out.demand"
    source.write_bytes(data)
    report = build(Plan([source], options or ReadOptions(), **plan), out)
    with DemandFile(out) as file:
        file.verify()
        return list(file.requests()), report


def har_of(*entries: Any) -> bytes:
    return json.dumps({"log": {"version": "1.2", "entries": list(entries)}}).encode()


PLATFORM = ReadOptions(log_format="platform")
PARIS = ReadOptions(parse_mapping(b"time: {zone: Europe/Paris}"))
LOOK = '{{"time":{},"method":"GET","url":"/look"}}'
SHORT = synthetic.Recipe(seconds=1, burst=None)
OK: dict[str, Any] = {"target": "/look?a=1", "request_class": "look"}
BIG = "x" * 65537

# Each case has a name, the source, the options, and the rejection reason or the expected attributes.
CASES: list[tuple[str, bytes | str, ReadOptions, str | dict[str, Any]]] = [
    ("log", log(hint="1200"), PLATFORM,
     {**OK, "hint_us": 1200, "timeout_ms": 900, "tenant": "peach", "key": "k1"}),
    ("log-zone", log(time="01/Dec/2025:07:00:00 -0500"), PLATFORM, {"at_ns": NOON}),
    ("log-leap", log(time="31/Dec/2016:23:59:60 +0000"), PLATFORM, {"at_ns": 1_483_228_800 * SECOND}),
    ("log-32nd", log(time="32/Dec/2025:12:00:00 +0000"), PLATFORM, "bad-time"),
    ("log-no-line", log(line="-"), PLATFORM, "no-request"),
    ("log-tls-on-plain-port", log(line="\\x16\\x03\\x01"), PLATFORM, "no-request"),
    ("log-two-words", log(line="GET /look"), PLATFORM, "no-request"),
    ("log-absolute", log(line="GET http://h:8/look HTTP/1.1"), PLATFORM,
     {"origin": "http://h:8", "target": "/look"}),
    ("log-connect", log(line="CONNECT h:443 HTTP/1.1"), PLATFORM, "bad-target"),
    ("log-other-form", "hello\n", PLATFORM, "unreadable"),
    ("log-cut", log()[:-1] + "\n" + log()[:60], PLATFORM, "cut-line"),
    ("log-last-line-whole-without-end", log()[:-1], PLATFORM, OK),
    ("log-post-no-size", log(line="POST /look HTTP/1.1"), PLATFORM, "no-size"),
    ("log-post", log(line="POST /look HTTP/1.1", size="12"), PLATFORM, {"size": 12, "body": None}),
    ("log-bad-size", log(line="POST /look HTTP/1.1", size="1x"), PLATFORM, "bad-size"),
    ("log-too-large", log(line="POST /look HTTP/1.1", size="65537"), PLATFORM, "body-too-large"),
    ("log-class-differs", log(cls="move"), PLATFORM, "class-differs"),
    ("log-no-class", log(line="GET / HTTP/1.1"), PLATFORM, "no-class"),
    ("log-ready", log(line="GET /ready HTTP/1.1", cls="-"), PLATFORM, "ready"),
    ("log-bad-hint", log(hint="fast"), PLATFORM, "bad-hint"),
    ("log-bad-wait", log(wait="0"), PLATFORM, "bad-timeout"),
    ("log-bad-method", log(line="G@T /look HTTP/1.1"), PLATFORM, "bad-method"),
    ("log-upgraded", log(status=101), PLATFORM, "upgraded"),
    ("log-redirect", log(status=302), PLATFORM, {"status": 302}),
    ("log-no-zone", "2025-12-01 12:00:00 GET /look HTTP/1.1",
     ReadOptions(log_format="%{%Y-%m-%d %T}t %r"), "no-zone"),
    ("log-zone-stated", "2025-12-01 13:00:00 GET /look HTTP/1.1",
     ReadOptions(PARIS.mapping, log_format="%{%Y-%m-%d %T}t %r"), {"at_ns": NOON}),
    ("log-msec", "1764590400.250 GET /look HTTP/1.1", ReadOptions(log_format="%{sec}t.%{msec_frac}t %r"),
     {"at_ns": NOON + SECOND // 4}),
    ("log-end-and-took", "1764590401 1000000 GET /look HTTP/1.1", ReadOptions(log_format="%{end:sec}t %D %r"),
     {"at_ns": NOON}),
    ("log-end-alone", "1764590401 GET /look HTTP/1.1", ReadOptions(log_format="%{end:sec}t %r"), "no-time"),
    ("log-parts", "[01/Dec/2025:12:00:00 +0000] GET /look ?a=1", ReadOptions(log_format="%t %m %U %q"), OK),
    ("log-long-line", b"x" * 2**20 + b"yz\n" + log().encode(), PLATFORM, "too-long"),
    ("json", LOOK.format("1764590400"), ReadOptions(), {"at_ns": NOON}),
    ("json-no-time", '{"method":"GET","url":"/look"}', ReadOptions(), "no-time"),
    ("json-bad-time", LOOK.format('"noon"'), ReadOptions(), "bad-time"),
    ("json-true-time", LOOK.format("true"), ReadOptions(), "bad-time"),
    ("json-no-zone", LOOK.format('"2025-12-01T12:00:00"'), ReadOptions(), "no-zone"),
    ("json-clock-back", LOOK.format('"2025-10-26T02:30:00"'), PARIS, "ambiguous-time"),
    ("json-clock-forward", LOOK.format('"2025-03-30T02:30:00"'), PARIS, "no-such-time"),
    ("json-summer", LOOK.format('"2025-07-01T14:00:00.5"'), PARIS,
     {"at_ns": 1_751_371_200 * SECOND + SECOND // 2}),
    ("json-leap", LOOK.format('"2016-12-31T23:59:60Z"'), ReadOptions(), {"at_ns": 1_483_228_800 * SECOND}),
    ("json-not-utf8", b'{"time":1,"method":"GET","url":"/look\xff"}\n', ReadOptions(form="json"), "encoding"),
    ("json-list", "[1]\n", ReadOptions(form="json"), "unreadable"),
    ("json-non-ascii-path", '{"time":1,"method":"GET","url":"/loök"}', ReadOptions(), "bad-target"),
    ("json-line-break-in-header", '{"time":1,"method":"GET","url":"/look","headers":{"A":"b\\r\\nC: d"}}',
     ReadOptions(), "bad-header"),
    ("json-size-is-text", '{"time":1,"method":"POST","url":"/look","size":"7"}', ReadOptions(), "bad-size"),
    ("json-path-and-query", '{"time":1764590400,"method":"GET","path":"/look","query":"a=1"}',
     ReadOptions(), OK),
    ("har", har_of(entry()),
     ReadOptions(), {**OK, "origin": "http://h", "took_ns": 1_500_000, "status": 200}),
    ("har-fragment", har_of(entry(request={"url": "http://h/look?a=1#top"})), ReadOptions(), OK),
    ("har-zone", har_of(entry(startedDateTime="2025-12-01T17:30:00.000+05:30")),
     ReadOptions(), {"at_ns": NOON}),
    ("har-no-time", har_of(entry(startedDateTime=None)), ReadOptions(), "no-time"),
    ("har-local-time", har_of(entry(startedDateTime="2025-12-01T12:00:00")), ReadOptions(), "no-zone"),
    ("har-cache", har_of(entry(_fromCache="disk")), ReadOptions(), "from-cache"),
    ("har-aborted", har_of(entry(response={"status": 0})), ReadOptions(), "aborted"),
    ("har-redirect", har_of(entry(response={"status": 301})), ReadOptions(), {"status": 301}),
    ("har-not-modified", har_of(entry(response={"status": 304})), ReadOptions(), {"status": 304}),
    ("har-websocket", har_of(entry(response={"status": 101})), ReadOptions(), "upgraded"),
    ("har-data-url", har_of(entry(request={"url": "data:text/plain,x"})), ReadOptions(), "bad-target"),
    ("har-body", har_of(entry(request=post("päy", 4))), ReadOptions(), {"body": "päy".encode(), "size": 4}),
    ("har-body-cut", har_of(entry(request=post("pa", 3))), ReadOptions(), "body-not-kept"),
    ("har-base64", har_of(entry(request=post("//8=", 2, encoding="base64"))),
     ReadOptions(), {"body": b"\xff\xff"}),
    ("har-not-base64", har_of(entry(request=post("/?/8=", 2, encoding="base64"))),
     ReadOptions(), "body-not-kept"),
    ("har-half-character", har_of(entry(request=post("\ud800"))), ReadOptions(), "unreadable"),
    ("har-form", har_of(entry(request=post(size=7, mimeType="application/x-www-form-urlencoded",
                                          params=[{"name": "a", "value": "b c"}]) | {"bodySize": 5})),
     ReadOptions(),
     {"body": b"a=b+c"}),
    ("har-upload", har_of(entry(request=post(mimeType="multipart/form-data", params=[{"name": "a"}]))),
     ReadOptions(),
     "body-not-kept"),
    ("har-body-not-there", har_of(entry(request=post(size=77))), ReadOptions(), {"body": None, "size": 77}),
    ("har-no-size", har_of(entry(request={"method": "POST", "url": "http://h/move", "bodySize": -1})),
     ReadOptions(),
     "no-size"),
    ("har-large", har_of(entry(request=post(BIG))), ReadOptions(), "body-too-large"),
    ("har-wrong-type", har_of(entry(request={"method": 7})), ReadOptions(), "unreadable"),
    ("har-null", har_of(None), ReadOptions(), "unreadable"),
    ("har-http2", har_of(entry(request={"headers": [{"name": ":path", "value": "/look"}]})), ReadOptions(),
     {"headers": ((":path", "/look"),)}),
    ("har-retry", har_of(entry(request={"headers": [{"name": "client-retry", "value": "1"}]})), ReadOptions(),
     {"retry": True}),
]  # fmt: skip


@pytest.mark.parametrize(("name", "data", "options", "wanted"), CASES, ids=[case[0] for case in CASES])
def test_case(
    name: str, data: bytes | str, options: ReadOptions, wanted: str | dict[str, Any], tmp_path: Path
) -> None:
    requests, report = build_demand(tmp_path, data if isinstance(data, bytes) else data.encode(), options)
    assert report.rows == len(requests) + sum(left.count for left in report.left_out.values())
    if isinstance(wanted, str):
        left = report.left_out.pop(wanted)
        assert left.count == 1
        assert left.first[0].startswith(f"{tmp_path / 'source'}: {'entry' if name[:3] == 'har' else 'line'} ")
    else:
        assert len(requests) == 1
        assert {key: getattr(requests[0], key) for key in wanted} == wanted
    assert not report.left_out


def test_lines_are_read_as_the_library_reads_them() -> None:
    formats = [
        *FORMATS.values(),
        synthetic.EXACT_LOG_FORMAT,
        "%v:%p %h %{%d/%b/%Y %T}t.%{usec_frac}t %>s %s %I %{c}a",
    ]
    lines = [log(hint="7").rstrip(), "v:80 ::1 01/Dec/2025 12:00:00.000250 - 200 17 1.2.3.4"]
    lines += [line.decode().rstrip() for line in map(synthetic.log_line, synthetic.requests(SHORT, 3))]
    lines += [line.replace('"-"', '"\\x09\\"\\\\"', 1) for line in lines]
    compared = 0
    for log_format in formats:
        library, parser = apachelogs.LogParser(log_format), LogLineParser(log_format)
        for text in lines * 2:
            try:
                entry = library.parse(text)
            except apachelogs.InvalidEntryError:
                with pytest.raises(RejectedRow):
                    parser.parse(text)
                continue
            values, directives = parser.parse(text)
            assert directives == entry.directives
            wanted = {name: value for name, value in vars(entry).items() if name not in ("entry", "format")}
            wanted["headers_in"] = dict(wanted.get("headers_in", {}))
            assert values == {name: value for name, value in wanted.items() if name != "directives"}
            compared += 1
    assert compared > 100


def test_every_reason_has_a_case_here_or_a_test_of_its_own() -> None:
    elsewhere = {"out-of-order", "other-class", "bad-tenant", "by-mapping"}
    assert {wanted for *_, wanted in CASES if isinstance(wanted, str)} | elsewhere == set(REASONS)


CLASSES = b'{"classes":[{"name":"look","effect":"safe"},{"name":"move","effect":"unsafe"}]}'
CAPTURE = (
    b"""time=x level=info msg=listening
{"ev":"start","v":1,"settings":%s}
{"n":0,"ev":"request","t_ns":1764590400000000001,"id":"ab","class":"look","tenant":"p",\
"in":{"left_ns":90000001,"work_hint_ns":1500,"is_retry":true}}
{"n":1,"ev":"request","t_ns":1764590400000000002,"id":"ac","class":"move","tenant":null,\
"in":{"left_ns":9000000,"work_hint_ns":null,"is_retry":false}}
{"n":2,"ev":"timer","t_ns":1764590400000000003,"in":{}}
"""
    % CLASSES
)


def test_a_capture_has_what_the_module_was_told_and_no_sizes(tmp_path: Path) -> None:
    requests, report = build_demand(tmp_path, CAPTURE)
    (look,) = requests
    assert (look.method, look.target, look.tenant, look.hint_us) == ("GET", "/look", "p", 1.5)
    assert (look.timeout_ms, look.key, look.retry, look.at_ns) == (91, "ab", True, NOON + 1)
    assert report.left_out["no-size"].first == [f"{tmp_path / 'source'}: line 4: POST /move"]
    sized, _ = build_demand(tmp_path, CAPTURE, ReadOptions(parse_mapping(b"size: {default: 30}")))
    assert [request.size for request in sized] == [30, 30]
    with pytest.raises(SourceError, match="line 1: the header's v is 2"):
        build_demand(tmp_path, b'{"ev":"start","v":2}')


def test_a_running_sidecars_capture_is_demand(tmp_path: Path) -> None:
    node = Node()
    rig = Rig([node.entry("h0")], f"capture: {{dir: '{tmp_path / 'captures'}'}}")
    try:
        for number in range(3):
            assert rig.call(f"r{number}", wait_ms=900).status == 200
    finally:
        rig.end()
        node.close()
    (path,) = (tmp_path / "captures").iterdir()
    requests, report = build_demand(tmp_path, path.read_bytes())
    assert [(each.key, each.request_class, each.method, each.timeout_ms) for each in requests] == [
        (f"r{number}", "look", "GET", 890) for number in range(3)
    ]
    assert not report.left_out and detect_format(path) == "capture"


MAPPING = b"""
classes:
  - {leave_out: pictures, path: ^/static/}
  - class: price-check
    path: ^/api/v\\d/price
    query: {kind: full|part}
    status: [2xx, 503]
    send: {path: /price-check}
  - class: transfer-record
    method: [PUT, POST]
    headers: {X-App: web}
    send: {method: POST, path: /transfer-record}
tenant: {path: '^/api/v\\d/price/([a-z]+)', values: {a: peach, b: river}, default: none}
tenants: [peach, none]
hint_us: {query: ms, scale: 1000}
timeout_ms: {default: 700}
key: {header: X-Id}
retry: {header: X-Try, equals: [2, 3]}
size: {header: X-Size, default: 5}
"""


def test_a_mapping_says_what_rows_are(tmp_path: Path) -> None:
    def line(url: str, method: str = "GET", **headers: str) -> str:
        return json.dumps({"time": 1, "method": method, "url": url, "status": 200, "headers": headers}) + "\n"

    data = (
        line("/api/v1/price/a?kind=full&ms=2.5", **{"X-Id": "7", "X-Try": "2"})
        + line("/static/a.png") + line("/api/v1/price/c?kind=part") + line("/api/v1/price/b?kind=part")
        + line("/api/v1/price/a?kind=no")
        + line("/x?b=1", "PUT", **{"X-App": "web", "X-Size": "9"})
    )  # fmt: skip
    requests, report = build_demand(tmp_path, data.encode(), ReadOptions(parse_mapping(MAPPING)))
    assert [(each.request_class, each.method, each.target, each.tenant) for each in requests] == [
        ("price-check", "GET", "/price-check?kind=full&ms=2.5", "peach"),
        ("price-check", "GET", "/price-check?kind=part", "none"),
        ("transfer-record", "POST", "/transfer-record?b=1", "none"),
    ]
    first, second, third = requests
    assert (first.hint_us, first.timeout_ms, first.key, first.retry) == (2500, 700, "7", True)
    assert (second.hint_us, second.key, second.retry, third.size) == (None, None, False, 9)
    assert {name: left.count for name, left in report.left_out.items()} == {
        "by-mapping": 1, "bad-tenant": 1, "no-class": 1,
    }  # fmt: skip
    _, report = build_demand(tmp_path, data.encode(), ReadOptions(Mapping(only=["api"])))
    assert set(report.left_out) == {"other-class"}


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (b"tenat: {header: a}", "unknown field `tenat`"),
        (b"classes: [{class: a, pth: /}]", r"unknown field `pth` - at `\$.classes\[0\]`"),
        (b"classes: [{path: /}]", r"classes\[0\] has neither"),
        (b"classes: [{class: a, path: '('}]", r"classes\[0\].path: '\(' is no regular expression"),
        (b"classes: [{class: a, status: 9xxx}]", "is no status"),
        (b"tenant: {}", "tenant must have one of"),
        (b"hint_us: {header: a, query: b}", "hint_us must have one of"),
        (b"time: {zone: Nowhere/At}", "time.zone: 'Nowhere/At' is no time zone"),
        (b"a: [", "line 1, column"),
        (b"\xff\xff", "not YAML"),
        (b"7", "Expected `object`"),
        (b"version: 2", "only 1 can be read"),
    ],
)
def test_a_mapping_that_can_not_be_used_is_refused_by_name(text: bytes, message: str) -> None:
    with pytest.raises(MappingError, match=message):
        parse_mapping(text)


def json_lines(times: Iterable[float]) -> bytes:
    return b"".join(b'{"time":%s,"method":"GET","url":"/look"}\n' % repr(at).encode() for at in times)


def test_times_are_put_in_order_within_the_window_and_left_out_beyond_it(tmp_path: Path) -> None:
    requests, report = build_demand(
        tmp_path, json_lines([100, 103, 101, 106, 110, 104.5, 107, 111]), window_ns=5 * SECOND
    )
    assert [request.at_ns // SECOND for request in requests] == [100, 101, 103, 106, 107, 110, 111]
    assert report.left_out["out-of-order"].first == [f"{tmp_path / 'source'}: line 6"]
    assert report.notes["reordered"] == 2
    # A time far ahead of all others, also in the first row, causes the rejection of its own row only.
    requests, report = build_demand(tmp_path, json_lines([9e9, 100, 101, 8e9, 102, 103, 250, 251]))
    assert [request.at_ns // SECOND for request in requests] == [100, 101, 102, 103, 250, 251]
    assert report.left_out["out-of-order"].count == 2


def test_whole_seconds_stay_bunched_unless_a_spread_is_asked_for(tmp_path: Path) -> None:
    data = json_lines([100, 100, 100.25, 100, 100, 101])
    bunched, report = build_demand(tmp_path, data)
    assert [each.at_ns for each in bunched] == [100 * SECOND] * 4 + [100 * SECOND + SECOND // 4, 101 * SECOND]
    assert report.notes["whole-seconds"] == 5
    even, _ = build_demand(tmp_path, data, spread="even")
    assert [each.at_ns * 8 // SECOND for each in even] == [801, 802, 803, 805, 807, 812]
    poisson, _ = build_demand(tmp_path, data, spread="poisson", seed=3)
    assert poisson == build_demand(tmp_path, data, spread="poisson", seed=3)[0] != even
    assert [each.at_ns // SECOND for each in poisson] == [100] * 5 + [101]


def test_parts_of_a_log_that_was_turned_over_are_put_together(tmp_path: Path) -> None:
    lines = [log(time=f"01/Dec/2025:12:00:{at:02d} +0000").encode() for at in range(20)]
    (tmp_path / "log.1.gz").write_bytes(gzip.compress(b"".join(lines[:9] + lines[10:11])))
    (tmp_path / "log.1.zst").write_bytes(zstandard.compress(lines[9]) + zstandard.compress(lines[11][:50]))
    (tmp_path / "log").write_bytes(b"".join(lines[11:]))
    sources = [tmp_path / name for name in ("log", "log.1.gz", "log.1.zst")]
    report = build(Plan(sources, PLATFORM, processes=2), tmp_path / "out")
    with DemandFile(tmp_path / "out") as file:
        assert [(each.at_ns - NOON) // SECOND for each in file.requests()] == list(range(20))
    assert {name: left.first for name, left in report.left_out.items()} == {
        "cut-line": [f"{tmp_path / 'log.1.zst'}: line 2: {lines[11][:50].decode()}"]
    }


# --- round trips ----------------------------------------------------------------------------------

token = st.text(string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~", min_size=1, max_size=8).filter(
    lambda text: text != "-"  # an access log writes "-" for a missing value
)
value = st.text(st.characters(min_codepoint=32, max_codepoint=255, exclude_categories=["Cc"]), max_size=12)
path = st.text(string.ascii_letters + string.digits + "/?&=%.;,:@!$'()*+~_-[]|^{}\"\\<>`", max_size=20)
plain_header = st.tuples(token.map(lambda name: f"X-{name}"), value.map(str.strip))


@st.composite
def request_strategy(draw: st.DrawFn, in_har: bool = True) -> Request:
    name, rest = draw(token), draw(path)
    if in_har:  # a URL must not contain `#`, which begins the fragment
        name = name.replace("#", "-")
    body = draw(st.one_of(st.none(), st.binary(max_size=40))) if in_har else None
    size = len(body) if body is not None else draw(st.integers(0, 60_000))
    tenant, key = draw(st.one_of(st.none(), token)), draw(st.one_of(st.none(), token))
    hint = draw(
        st.one_of(st.none(), st.integers(0, 10**9), st.integers(0, 10**6).map(lambda each: each + 0.25))
    )
    timeout, retry = draw(st.one_of(st.none(), st.integers(1, 10**6))), draw(st.booleans())
    stated = (
        ("Tenant", tenant), ("Work-Hint", hint), ("Request-Timeout-Ms", timeout), ("Request-Id", key),
        ("Client-Retry", "1" if retry else None), ("Content-Length", size), ("Request-Class", name),
    )  # fmt: skip
    headers = [(field, str(each)) for field, each in stated if each is not None]
    if in_har:
        headers += draw(st.lists(plain_header, max_size=3))
    return Request(
        draw(st.integers(NOON, NOON + 3 * SECOND)), name, "POST", f"/{name}/{rest}", tenant, hint, timeout,
        key, retry, tuple(headers), body or None, size, "https://a.example:8443" if in_har else None,
        draw(st.sampled_from([200, 302, 429, 503])), draw(st.integers(0, 10**9)) * 1000,
    )  # fmt: skip


def sort_by_time(requests: list[Request]) -> list[Request]:
    return sorted(requests, key=lambda request: request.at_ns)


@settings(max_examples=80, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(request_strategy(), max_size=5))
def test_har_to_demand_file_to_har_changes_no_request(tmp_path: Path, requests: list[Request]) -> None:
    requests = sort_by_time(requests)
    first = io.StringIO()
    har.write(requests, first, "0")
    again, report = build_demand(tmp_path, first.getvalue().encode())
    assert again == requests
    assert not report.left_out
    second = io.StringIO()
    har.write(again, second, "0")
    assert second.getvalue() == first.getvalue()


@settings(max_examples=80, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(request_strategy(in_har=False), max_size=5))
def test_access_log_to_demand_file_changes_no_request(tmp_path: Path, requests: list[Request]) -> None:
    requests = [
        msgspec.structs.replace(each, at_ns=each.at_ns // 1000 * 1000) for each in sort_by_time(requests)
    ]
    data = b"".join(map(synthetic.log_line, requests))
    again, report = build_demand(tmp_path, data, ReadOptions(log_format=synthetic.EXACT_LOG_FORMAT))
    assert not report.left_out
    order = ("user-agent", *synthetic.LOGGED_HEADERS)
    for each, read in zip(requests, again, strict=True):
        headers = sorted(
            (("User-Agent", "market/1.0"), *each.headers), key=lambda pair: order.index(pair[0].lower())
        )
        assert read == msgspec.structs.replace(each, headers=tuple(headers))


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(request_strategy(), max_size=6), st.randoms(use_true_random=False))
def test_a_demand_file_gives_back_what_was_written_and_any_span(
    tmp_path: Path, requests: list[Request], rng: random.Random
) -> None:
    requests = sort_by_time(requests)
    write(tmp_path / "d", requests, {"by": "test"}, {"rows": 1})
    with DemandFile(tmp_path / "d") as file:
        file.verify()
        assert list(file.requests()) == requests
        low, high = sorted(rng.randrange(NOON, NOON + 3 * SECOND) for _ in range(2))
        assert list(file.requests(low, high)) == [each for each in requests if low <= each.at_ns < high]
        header = msgspec.msgpack.encode(file.header)
    stream = io.BytesIO((tmp_path / "d").read_bytes())
    plain = zstandard.ZstdDecompressor().stream_reader(stream, read_across_frames=True).read()
    assert plain.startswith(header), "any zstd tool reads it"


# --- damage ---------------------------------------------------------------------------------------


def damage(rng: random.Random, data: bytes) -> bytes:
    """Truncate data, flip bits, or insert bytes of another encoding or type."""
    out = bytearray(data)
    match rng.randrange(5):
        case 0:
            return bytes(out[: rng.randrange(len(out))])
        case 1:
            for _ in range(rng.randint(1, 4)):
                out[rng.randrange(len(out))] ^= 1 << rng.randrange(8)
        case 2:
            at = rng.randrange(len(out))
            out[at:at] = rng.choice(
                [b"\xff\xfe", b"\xc3\x28", "é".encode("utf-16"), b"\x00\x00", b"\r\n", b'"']
            )
        case 3:
            text = bytes(out)
            old = rng.choice([b"200", b'"GET"', b'"/', b"{", b"[", b": ", b"1764", b"null", b'"'])
            new = rng.choice([b"true", b"[]", b"{}", b"-1", b"1e999", b'""', b"null", b"[[[[", b'"\\ud800"'])
            return text.replace(old, new, rng.randint(1, 3))
        case _:
            at, size = rng.randrange(len(out)), rng.randrange(40)
            del out[at : at + size]
    return bytes(out)


def kinds() -> dict[str, tuple[bytes, ReadOptions]]:
    made = list(synthetic.requests(synthetic.Recipe(seconds=0.5, burst=None), 5))
    text = io.StringIO()
    har.write(made, text, "0")
    lines = b"".join(map(synthetic.log_line, made))
    records = b"".join(msgspec.json.encode(synthetic.json_record(each)) + b"\n" for each in made)
    exact = ReadOptions(form="access", log_format=synthetic.EXACT_LOG_FORMAT)
    return {
        "har": (text.getvalue().encode(), ReadOptions(form="har")),
        "access": (lines, exact),
        "json": (records, ReadOptions(form="json")),
        "capture": (CAPTURE, ReadOptions(form="capture")),
        "gzip": (gzip.compress(lines), exact),
        "zstd": (zstandard.ZstdCompressor(write_checksum=True).compress(lines), exact),
    }


@pytest.mark.parametrize("kind", list(kinds()))
def test_damaged_sources_give_a_message_with_a_place_and_no_request_that_was_not_there(
    kind: str, tmp_path: Path
) -> None:
    """Damage each of six formats with 150 seeds; the tests below bring the total to 1,100 inputs.

    Plain text has no checksum, so a damaged line may parse as another request.  Each request must therefore
    be an original request or come from a changed line.
    """
    data, options = kinds()[kind]
    original, _ = build_demand(tmp_path, data, options)
    plain = not data.startswith((b"\x1f", b"\x28"))
    original_lines = set(data.split(b"\n"))
    reported = 0
    for seed in range(150):
        damaged_data = damage(random.Random(f"{kind} {seed}"), data)
        (tmp_path / "out.demand").unlink(missing_ok=True)
        try:
            requests, report = build_demand(tmp_path, damaged_data, options)
        except SourceError as error:
            reported += 1
            assert str(error).startswith(f"{tmp_path / 'source'}: "), seed
            assert any(word in str(error) for word in ("byte ", "line ")), (seed, str(error))
            assert [each.name for each in tmp_path.iterdir()] == ["source"], seed
            continue
        assert report.rows == len(requests) + sum(left.count for left in report.left_out.values())
        for left in report.left_out.values():
            reported += left.count
            assert all(": line " in place or ": entry " in place for place in left.first)
        others = sum(request not in original for request in requests)
        assert others <= (
            sum(line not in original_lines for line in damaged_data.split(b"\n")) if plain else 0
        ), seed
    assert reported > 40


def test_damaged_mappings_give_a_message_that_names_the_place() -> None:
    refused = 0
    for seed in range(100):
        try:
            parse_mapping(damage(random.Random(f"mapping {seed}"), MAPPING))
        except MappingError as error:
            refused += 1
            assert str(error), seed
    assert refused > 40


def test_damage_to_a_demand_file_is_always_told(tmp_path: Path) -> None:
    path = tmp_path / "d"
    write(path, synthetic.requests(synthetic.Recipe(seconds=120, burst=None), 5))
    data = path.read_bytes()
    with DemandFile(path) as file:
        original = list(file.requests())
        assert len(file.footer.index) > 1
    for seed in range(100):
        damaged_data = damage(random.Random(f"demand {seed}"), data)
        path.write_bytes(damaged_data)
        read_requests: list[Request] = []
        try:
            with DemandFile(path) as file:
                read_requests.extend(file.requests())
                file.verify()
            assert damaged_data == data, f"seed {seed}: damage was not told"
        except DemandError as error:
            assert str(error).startswith(f"{path}: byte "), seed
        assert read_requests == original[: len(read_requests)], seed
