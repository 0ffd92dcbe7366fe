"""Compare the requests that a server received with the demand file, by time window and by request."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from brambleusher.load.request import Request
from brambleusher.load.times import SECOND


class ReceivedRequest(NamedTuple):
    """A request as a server received it; `at_ns` counts nanoseconds from the start of the replay."""

    at_ns: int
    name: str  # value of Request-Id
    request_class: str
    tenant: str | None
    hint: str | None
    retry: bool
    target: str
    size: int  # size of the body in bytes


@dataclass
class Window:
    """Counts of due and of received requests by class in one time window."""

    due: dict[str, int] = field(default_factory=dict)
    came: dict[str, int] = field(default_factory=dict)

    @property
    def rate_off(self) -> float:
        """Difference between received and due requests, as a fraction of the due requests."""
        due, came = sum(self.due.values()), sum(self.came.values())
        return abs(came - due) / due if due else float(came > 0)

    @property
    def mix_off(self) -> float:
        """Largest difference between the due and the received share of any class."""
        due, came = sum(self.due.values()), sum(self.came.values())
        if not due or not came:
            return float(due != came)
        return max(
            abs(self.due.get(name, 0) / due - self.came.get(name, 0) / came)
            for name in self.due.keys() | self.came.keys()
        )


@dataclass
class Fidelity:
    """Time windows in order, with counts of missing, duplicate, unknown and altered requests."""

    window_ns: int
    windows: list[Window]
    requests: int = 0
    missing: int = 0
    twice: int = 0
    strange: int = 0  # received requests that are not in the demand file
    other: dict[str, int] = field(default_factory=dict)  # altered requests by differing attribute
    first: list[str] = field(default_factory=list)  # descriptions of the first few altered requests

    @property
    def rate_off(self) -> float:
        """Largest `rate_off` of any window."""
        return max((window.rate_off for window in self.windows), default=0.0)

    @property
    def mix_off(self) -> float:
        """Largest `mix_off` of any window."""
        return max((window.mix_off for window in self.windows), default=0.0)

    @property
    def exact(self) -> bool:
        """Whether every request was received exactly once and unaltered."""
        return not (self.missing or self.twice or self.strange or self.other)

    def plain(self) -> dict[str, Any]:
        """Return the comparison as JSON values."""
        return {
            "requests": self.requests, "rate_off": self.rate_off, "mix_off": self.mix_off,
            "exact": self.exact, "missing": self.missing, "twice": self.twice, "strange": self.strange,
            "other": self.other, "first": self.first, "window_s": self.window_ns / SECOND,
            "windows": [{"due": window.due, "came": window.came} for window in self.windows],
        }  # fmt: skip

    @classmethod
    def restored(cls, raw: dict[str, Any]) -> Fidelity:
        """Restore a comparison from the result of `plain`."""
        return cls(
            round(raw["window_s"] * SECOND), [Window(each["due"], each["came"]) for each in raw["windows"]],
            raw["requests"], raw["missing"], raw["twice"], raw["strange"], raw["other"], raw["first"],
        )  # fmt: skip


def compare_with_demand(
    requests: Iterable[Request],
    received: Iterable[ReceivedRequest],
    name: Callable[[int], str],
    target: Callable[[Request], str],
    speed: float = 1.0,
    window_ns: int = 10 * SECOND,
) -> Fidelity:
    """Compare received requests with the demand.

    Args:
        requests: the requests of the demand, in order.
        received: the received requests.
        name: returns the id of a request by its number.
        target: returns the target of a request as it is sent.
        speed: the speed factor of the replay.
        window_ns: the width of a window in nanoseconds of demand time.
    """
    fidelity = Fidelity(window_ns, [])
    windows = fidelity.windows
    came: dict[str, ReceivedRequest] = {}
    for each in received:
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
        actual = came.pop(name(number), None)
        if actual is None:
            fidelity.missing += 1
            continue
        hint = None if request.hint_us is None else str(request.hint_us)
        for attribute, expected, found in (
            ("class", request.request_class, actual.request_class), ("tenant", request.tenant, actual.tenant),
            ("hint", hint, actual.hint), ("retry", request.retry, actual.retry),
            ("target", target(request), actual.target), ("size", request.size, actual.size),
        ):  # fmt: skip
            if expected != found:
                fidelity.other[attribute] = fidelity.other.get(attribute, 0) + 1
                if len(fidelity.first) < 5:
                    fidelity.first.append(
                        f"request {number}: {attribute} is {found!r}, expected {expected!r}"
                    )
    fidelity.strange = len(came)
    _merge_trailing_window(windows)
    return fidelity


def _merge_trailing_window(windows: list[Window]) -> None:
    """Merge the window that directly follows the end of the demand into the last window with demand.

    Otherwise a last request that arrives milliseconds late would be alone in a window without due requests,
    whose deviation would be 100%.  Requests that arrive later keep their own windows.
    """
    if len(windows) > 1 and not windows[-1].due and windows[-2].due:
        for name, count in windows.pop().came.items():
            windows[-1].came[name] = windows[-1].came.get(name, 0) + count


def _window(windows: list[Window], at: int) -> Window:
    while len(windows) <= at:
        windows.append(Window())
    return windows[max(0, at)]
