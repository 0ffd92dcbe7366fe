"""The balancer as a whole: the example in the README, and the tick interval."""

from __future__ import annotations

from pathlib import Path

from brambleusher.loadbalancing import api
from tests.loadbalancing.balancer_builders import build_balancer
from tests.rules import MS, SECOND


def test_readme_example_runs() -> None:
    text = (Path(__file__).parents[2] / "README.md").read_text(encoding="utf-8")
    code = text.split("```python\n", 1)[1].split("```", 1)[0]
    scope: dict[str, object] = {}
    exec(code, scope)
    assert isinstance(scope["send"], api.StartAttempt)


def test_ticks_are_no_oftener_than_traffic_warrants() -> None:
    """Fixed tick intervals would cost CPU time in proportion to hosts times proxies."""
    balancer = build_balancer(["h1"])
    (timer,) = balancer.handle(api.TimerFired(0), SECOND)
    assert isinstance(timer, api.SetTimer) and timer.at_ns == SECOND + 250 * MS
    for n in range(200):
        balancer.handle(api.RequestArrived(f"q{n}", "c", None, 2 * SECOND), SECOND)
    timer = balancer.handle(api.TimerFired(0), SECOND + MS)[-1]
    assert isinstance(timer, api.SetTimer) and timer.at_ns == SECOND + MS + balancer._tick_ns
