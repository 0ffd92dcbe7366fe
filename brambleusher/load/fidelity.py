"""How true a play was: what came against what stands in the demand, by window and by request."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from brambleusher.load.request import Request
from brambleusher.load.times import SECOND


class Heard(NamedTuple):
    """A request as it came to a server; `at_ns` is after the play's start."""

    at_ns: int
    name: str  # its id
    request_class: str
    tenant: str | None
    hint: str | None
    retry: bool
    target: str
    size: int  # of its body


@dataclass
class Window:
    """So many requests of each class, due and come."""

    due: dict[str, int] = field(default_factory=dict)
    came: dict[str, int] = field(default_factory=dict)

    @property
    def rate_off(self) -> float:
        """By how much the count differs, as a part of what was due."""
        due, came = sum(self.due.values()), sum(self.came.values())
        return abs(came - due) / due if due else float(came > 0)

    @property
    def mix_off(self) -> float:
        """By how much the share of any class differs at most."""
        due, came = sum(self.due.values()), sum(self.came.values())
        if not due or not came:
            return float(due != came)
        return max(
            abs(self.due.get(name, 0) / due - self.came.get(name, 0) / came)
            for name in self.due.keys() | self.came.keys()
        )


@dataclass
class Fidelity:
    """The windows in order, and what came otherwise than it stood."""

    window_ns: int
    windows: list[Window]
    requests: int = 0
    missing: int = 0
    twice: int = 0
    strange: int = 0  # that nobody sent
    other: dict[str, int] = field(default_factory=dict)  # by what differs
    first: list[str] = field(default_factory=list)  # a few of these, in words

    @property
    def rate_off(self) -> float:
        """Of the worst window."""
        return max((window.rate_off for window in self.windows), default=0.0)

    @property
    def mix_off(self) -> float:
        """Of the worst window."""
        return max((window.mix_off for window in self.windows), default=0.0)

    @property
    def exact(self) -> bool:
        """Whether every request came once and as it stood."""
        return not (self.missing or self.twice or self.strange or self.other)

    def plain(self) -> dict[str, Any]:
        """As JSON values."""
        return {
            "requests": self.requests, "rate_off": self.rate_off, "mix_off": self.mix_off,
            "exact": self.exact, "missing": self.missing, "twice": self.twice, "strange": self.strange,
            "other": self.other, "first": self.first, "window_s": self.window_ns / SECOND,
            "windows": [{"due": window.due, "came": window.came} for window in self.windows],
        }  # fmt: skip

    @classmethod
    def restored(cls, raw: dict[str, Any]) -> Fidelity:
        """What `plain` made."""
        return cls(
            round(raw["window_s"] * SECOND), [Window(each["due"], each["came"]) for each in raw["windows"]],
            raw["requests"], raw["missing"], raw["twice"], raw["strange"], raw["other"], raw["first"],
        )  # fmt: skip


def compared(
    requests: Iterable[Request],
    heard: Iterable[Heard],
    name: Callable[[int], str],
    target: Callable[[Request], str],
    speed: float = 1.0,
    window_ns: int = 10 * SECOND,
) -> Fidelity:
    """Hold what came against the demand; `name` tells a request's id by its number, `target` its target."""
    fidelity = Fidelity(window_ns, [])
    windows = fidelity.windows
    came: dict[str, Heard] = {}
    for each in heard:
        if each.name in came:
            fidelity.twice += 1
        came[each.name] = each
        window = _window(windows, int(each.at_ns * speed) // window_ns)
        window.came[each.request_class] = window.came.get(each.request_class, 0) + 1
    start_ns: int | None = None
    for number, request in enumerate(requests):
        start_ns = request.at_ns if start_ns is None else start_ns
        fidelity.requests += 1
        window = _window(windows, (request.at_ns - start_ns) // window_ns)
        window.due[request.request_class] = window.due.get(request.request_class, 0) + 1
        got = came.pop(name(number), None)
        if got is None:
            fidelity.missing += 1
            continue
        hint = None if request.hint_us is None else str(request.hint_us)
        for what, stood, is_now in (
            ("class", request.request_class, got.request_class), ("tenant", request.tenant, got.tenant),
            ("hint", hint, got.hint), ("retry", request.retry, got.retry),
            ("target", target(request), got.target), ("size", request.size, got.size),
        ):  # fmt: skip
            if stood != is_now:
                fidelity.other[what] = fidelity.other.get(what, 0) + 1
                if len(fidelity.first) < 5:
                    fidelity.first.append(f"request {number}: {what} is {is_now!r} in place of {stood!r}")
    fidelity.strange = len(came)
    _close_last(windows)
    return fidelity


def _close_last(windows: list[Window]) -> None:
    """Count what came within a window after the demand's end in the last one that has demand.

    Guards against a last request that is milliseconds late: alone in a window of its own it would be off by
    all of nothing.  What comes later still keeps its windows.
    """
    if len(windows) > 1 and not windows[-1].due and windows[-2].due:
        for name, count in windows.pop().came.items():
            windows[-1].came[name] = windows[-1].came.get(name, 0) + count


def _window(windows: list[Window], at: int) -> Window:
    while len(windows) <= at:
        windows.append(Window())
    return windows[max(0, at)]
