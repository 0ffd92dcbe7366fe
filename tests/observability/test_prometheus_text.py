"""Tests of the Prometheus text format, including the escaping of labels."""

from __future__ import annotations

from brambleusher.observability.prometheus_text import counter, gauge, render


def test_each_metric_has_its_description_its_kind_and_its_values() -> None:
    text = render([gauge("active", "Now.", 3), counter("seen_total", "All.", "kind", {"b": 2, "a": 1.5})])
    assert text.decode().splitlines() == [
        "# HELP active Now.",
        "# TYPE active gauge",
        "active 3",
        "# HELP seen_total All.",
        "# TYPE seen_total counter",
        'seen_total{kind="a"} 1.5',
        'seen_total{kind="b"} 2',
    ]
    assert text.endswith(b"\n")


def test_labels_are_escaped() -> None:
    text = render([counter("t", "T.", "l", {'a"b\\c\nd': 1})])
    assert b't{l="a\\"b\\\\c\\nd"} 1' in text
