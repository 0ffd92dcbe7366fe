"""The checks of an operator's changes and of draining instances, by the records of instances and clients.

The bounds are those of the deployment sheets (SYSTEM.md). They hold for gateways in touch with the control
plane: those that have run for `CONTACT_S`.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from http import HTTPStatus

from brambleusher.lab.soak.records import (
    ProcessEventKind,
    RequestRecord,
    RunRecord,
    SoakRecord,
    ZoneOrder,
)
from brambleusher.lab.soak.violations import Violation

EVACUATE_S = 5.0  # from the acknowledgement of an evacuation until no request may reach the zone
STRETCH_S = 6.0  # extra time while controllers end or start
APPLY_S = 2.5  # from the acknowledgement of a configuration until gateways have to know it
DRAIN_S = 4.0  # from the list that shows an instance as draining until it may get nothing new
CONTACT_S = 4.0  # how long a process has to run to be in touch, and controllers to be stable
CONTROLLER, SIDECAR = "controller", "sidecar"  # prefixes of the names of processes


def check_orders(record: SoakRecord) -> Iterator[Violation]:
    """Yield all violations by orders on zones and by draining instances."""
    for at_s, what in record.refused_orders:
        yield Violation("order-refused", at_s, what)
    checks = _OrderChecks(record)
    for order in record.zone_orders:
        if order.is_evacuated and order.is_acknowledged:
            yield from checks.evacuation(order)
    yield from checks.drains()
    yield from checks.routes()


class _OrderChecks:
    def __init__(self, record: SoakRecord) -> None:
        self._record = record
        self._requests = {request.attempt: request for request in record.requests}
        self._starts: dict[str, list[float]] = defaultdict(list)
        self._controller_events: list[float] = []
        for event in record.processes:
            if event.kind is ProcessEventKind.STARTED:
                self._starts[event.process].append(event.at_s)
            if event.process.startswith(CONTROLLER):
                self._controller_events.append(event.at_s)

    def evacuation(self, order: ZoneOrder) -> Iterator[Violation]:
        """Yield the runs in an evacuated zone after the bound, until the operator takes the zone back."""
        acknowledged_s = order.ended_s if order.ended_s is not None else math.inf
        until_s = self._taken_back_s(order, acknowledged_s)
        for run in self._record.runs:
            if run.zone != order.zone or not acknowledged_s + EVACUATE_S < run.begun_s < until_s:
                continue
            allowed_s = EVACUATE_S + self._stretch_s(acknowledged_s, run.begun_s)
            request = self._judged_request(run)
            if request is not None and run.begun_s > acknowledged_s + allowed_s:
                after_s = run.begun_s - acknowledged_s
                where = f"in {run.zone}, {after_s:.3f} s after its evacuation"
                what = f"{run.attempt} by {request.gateway} ran {where}"
                yield Violation("evacuated-zone-used", run.begun_s, what)

    def _taken_back_s(self, order: ZoneOrder, acknowledged_s: float) -> float:
        """Return when the zone may be used again: minus infinity if that was ordered at the same time."""
        until_s = math.inf
        for other in self._record.zone_orders:
            is_over = other.ended_s is not None and other.ended_s <= order.sent_s
            if other.zone != order.zone or other.is_evacuated or is_over:
                continue
            until_s = min(until_s, other.sent_s if other.sent_s > acknowledged_s else -math.inf)
        return until_s

    def drains(self) -> Iterator[Violation]:
        """Yield the runs at instances that have been draining for longer than the bound."""
        since: dict[str, float] = {}
        for drain in self._record.drains:
            since.setdefault(drain.incarnation, drain.at_s)
        for run in self._record.runs:
            since_s = since.get(run.incarnation, math.inf)
            draining_s = run.begun_s - since_s
            if draining_s <= DRAIN_S or draining_s <= DRAIN_S + self._stalled_s(since_s, run.begun_s):
                continue
            request = self._judged_request(run)
            if request is not None:
                where = f"at {run.incarnation}, draining for {draining_s:.3f} s"
                what = f"{run.attempt} by {request.gateway} ran {where}"
                yield Violation("draining-used", run.begun_s, what)

    def routes(self) -> Iterator[Violation]:
        """Yield the requests on a route of an acknowledged revision that a gateway does not know in time."""
        acknowledged = {change.revision: change.at_s for change in self._record.changes}
        for request in self._record.requests:
            if request.status != HTTPStatus.NOT_FOUND or request.sent_s is None:
                continue
            acknowledged_s = acknowledged.get(request.route_revision, math.inf)
            after_s = request.sent_s - acknowledged_s
            if after_s <= APPLY_S or not self._is_in_touch(request.gateway, request.sent_s):
                continue
            if after_s > APPLY_S + self._stretch_s(acknowledged_s, request.sent_s):
                what = f"{request.gateway} has no route of revision {request.route_revision}"
                yield Violation(
                    "route-missing", request.sent_s, f"{what}, acknowledged {after_s:.3f} s before"
                )

    def _is_in_touch(self, gateway: str, at_s: float) -> bool:
        started_s = max((start for start in self._starts[gateway] if start <= at_s), default=-math.inf)
        return at_s - started_s >= CONTACT_S

    def _judged_request(self, run: RunRecord) -> RequestRecord | None:
        """Return the request of a run if its gateway was in touch with the control plane."""
        request = self._requests.get(run.attempt)
        if run.is_misdirected or request is None or request.gateway.startswith(SIDECAR):
            return None
        return request if self._is_in_touch(request.gateway, run.begun_s) else None

    def _stretch_s(self, since_s: float, until_s: float) -> float:
        is_unstable = any(since_s - CONTACT_S <= at <= until_s for at in self._controller_events)
        return self._stalled_s(since_s, until_s) + (STRETCH_S if is_unstable else 0.0)

    def _stalled_s(self, since_s: float, until_s: float) -> float:
        """Return for how long the soak itself stalled in an interval, since it recorded events late then."""
        stalls = self._record.own_stalls
        return sum(max(0.0, min(end, until_s) - max(begin, since_s)) for begin, end in stalls)
