"""Builders of balancers and hosts for tests."""

from __future__ import annotations

from brambleusher.loadbalancing import Balancer, api
from tests.rules import MS, SECOND

REQUEST_CLASS = api.RequestClass("c", 500 * MS, 2 * SECOND, 1.0)


def host_entry(name: str, zone: str = "a", started_ns: int = 0) -> api.HostEntry:
    """Return the list entry of a ready host."""
    return api.HostEntry(name, zone, "k", 0, api.HostState.READY, 1.0, started_ns)


def build_balancer(names: list[str], zone: str = "a", **changes: object) -> Balancer:
    """Return a started balancer with the given hosts."""
    settings = api.Settings(zone=zone, classes=(REQUEST_CLASS,), fleet_size=1, max_attempts=3, **changes)  # type: ignore[arg-type]
    balancer = Balancer(settings, 3)
    balancer.start(0)
    entries = [host_entry(name) for name in names]
    balancer.handle(api.HostListUpdated(api.ListKind.SAVED, entries), 0)
    return balancer


def serve_with_reports(balancer: Balancer, reports: dict[str, tuple[float, float]], rounds: int = 60) -> None:
    """Serve a request every 20 ms in 10 ms each, with load reports of the hosts."""
    now = 0
    for n in range(rounds):
        now += 20 * MS
        actions = balancer.handle(api.RequestArrived(f"q{n}", "c", None, SECOND), now)
        for action in actions:
            if isinstance(action, api.StartAttempt):
                util, qps = reports.get(action.host, (None, None))
                ended = api.AttemptEnded(
                    action.request,
                    0,
                    action.host,
                    api.AttemptStatus.OK,
                    10 * MS,
                    True,
                    api.LoadReport(util, qps),
                )
                balancer.handle(ended, now)
        if n % 4 == 3:
            balancer.handle(api.TimerFired(0), now)
