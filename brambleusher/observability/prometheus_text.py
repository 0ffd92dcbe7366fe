"""Metrics in the Prometheus text exposition format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricKind(StrEnum):
    """The type of a metric."""

    COUNTER = "counter"  # a counter starts at 0 with the process and only increases
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric; labels distinguish the values of the same metric."""

    value: float
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric; its name ends in its unit, or in `_total` for a counter."""

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
    """Render metrics as text, each with its description and type before its values."""
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
