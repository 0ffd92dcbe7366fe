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
    received: dict[str, int] = field(default_factory=dict)

    @property
    def rate_off(self) -> float:
        """Difference between received and due requests, as a fraction of the due requests."""
        due, received = sum(self.due.values()), sum(self.received.values())
        return abs(received - due) / due if due else float(received > 0)

    @property
    def mix_off(self) -> float:
        """Largest difference between the due and the received share of any class."""
        due, received = sum(self.due.values()), sum(self.received.values())
        if not due or not received:
            return float(due != received)
        return max(
            abs(self.due.get(name, 0) / due - self.received.get(name, 0) / received)
            for name in self.due.keys() | self.received.keys()
        )


@dataclass
class Fidelity:
    """Time windows in order, with counts of missing, duplicate, unknown and altered requests."""

    window_ns: int
    windows: list[Window]
    requests: int = 0
    missing: int = 0
    duplicates: int = 0
    unknown: int = 0  # received requests that are not in the demand file
    altered: dict[str, int] = field(default_factory=dict)  # altered requests by differing attribute
    examples: list[str] = field(default_factory=list)  # descriptions of the first few altered requests

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
        return not (self.missing or self.duplicates or self.unknown or self.altered)

    def plain(self) -> dict[str, Any]:
        """Return the comparison as JSON values."""
        return {
            "requests": self.requests, "rate_off": self.rate_off, "mix_off": self.mix_off,
            "exact": self.exact, "missing": self.missing, "twice": self.duplicates, "strange": self.unknown,
            "other": self.altered, "first": self.examples, "window_s": self.window_ns / SECOND,
            "windows": [{"due": window.due, "came": window.received} for window in self.windows],
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
    received_by_id: dict[str, ReceivedRequest] = {}
    for each in received:
        if each.name in received_by_id:
            fidelity.duplicates += 1
        received_by_id[each.name] = each
        window = _window(windows, int(each.at_ns * speed) // window_ns)
        window.received[each.request_class] = window.received.get(each.request_class, 0) + 1
    start_ns: int | None = None
    for number, request in enumerate(requests):
        start_ns = request.at_ns if start_ns is None else start_ns
        fidelity.requests += 1
        window = _window(windows, (request.at_ns - start_ns) // window_ns)
        window.due[request.request_class] = window.due.get(request.request_class, 0) + 1
        actual = received_by_id.pop(name(number), None)
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
                fidelity.altered[attribute] = fidelity.altered.get(attribute, 0) + 1
                if len(fidelity.examples) < 5:
                    fidelity.examples.append(
                        f"request {number}: {attribute} is {found!r}, expected {expected!r}"
                    )
    fidelity.unknown = len(received_by_id)
    _merge_trailing_window(windows)
    return fidelity


def _merge_trailing_window(windows: list[Window]) -> None:
    """Merge the window that directly follows the end of the demand into the last window with demand.

    Otherwise a last request that arrives milliseconds late would be alone in a window without due requests,
    whose deviation would be 100%.  Requests that arrive later keep their own windows.
    """
    if len(windows) > 1 and not windows[-1].due and windows[-2].due:
        for name, count in windows.pop().received.items():
            windows[-1].received[name] = windows[-1].received.get(name, 0) + count


def _window(windows: list[Window], at: int) -> Window:
    while len(windows) <= at:
        windows.append(Window())
    return windows[max(0, at)]
