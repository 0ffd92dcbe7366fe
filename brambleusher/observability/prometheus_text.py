"""Metrics in the text format that Prometheus scrapes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricKind(StrEnum):
    """How a metric's value moves."""

    COUNTER = "counter"  # only rises, from 0 at the start of the process
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric, told from its others by labels."""

    value: float
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric: its name ends in its unit, or in `_total` where it counts."""

    name: str
    kind: MetricKind
    description: str
    samples: tuple[Sample, ...]


def gauge(name: str, description: str, value: float) -> Metric:
    """Return a gauge with a single value."""
    return Metric(name, MetricKind.GAUGE, description, (Sample(value),))


def counter(name: str, description: str, label: str, values: Mapping[str, float]) -> Metric:
    """Return a counter with a value for each value of one label."""
    samples = tuple(Sample(value, {label: name}) for name, value in sorted(values.items()))
    return Metric(name, MetricKind.COUNTER, description, samples)


def render(metrics: Iterable[Metric]) -> bytes:
    """Return metrics as text, each with its description and kind ahead of its values."""
    lines: list[str] = []
    for metric in metrics:
        lines.append(f"# HELP {metric.name} {metric.description}")
        lines.append(f"# TYPE {metric.name} {metric.kind.value}")
        lines += [f"{metric.name}{_labels(sample.labels)} {sample.value:.12g}" for sample in metric.samples]
    return "\n".join([*lines, ""]).encode()


def _labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    pairs = [f'{name}="{_escape(value)}"' for name, value in labels.items()]
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
