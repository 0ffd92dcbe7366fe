"""What one process of a proxy hands on to the next: what its balancer has learnt, and none of its requests.

The successor goes on with the same figures of hosts, classes and limits, with a random generator of its own:
two processes that draw the same numbers would march in step.
"""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.state_codec import JsonObject, restore, save

MOST_HOSTS = 512  # beyond, a successor starts from nothing: writing and reading it would take too long


def export_state(balancer: Balancer) -> JsonObject | None:
    """The balancer's state without requests, as JSON values; None where it is too large."""
    if len(balancer.host_table.hosts) > MOST_HOSTS:
        return None
    state = save(balancer)
    names = state["host_names"]
    for row in state["hosts"]:
        for name in ("out", "lost"):
            at = names.index(name)
            if "d" in row[at]:  # else it was never in use
                row[at] = {"d": []}
    state["requests"] = []
    state["own"] |= {"_requests": {"d": []}, "_open": 0}
    return state


def import_state(settings: api.Settings, seed: int, state: object) -> Balancer:
    """A balancer that goes on from there; raises `StateError`."""
    balancer = restore(settings, seed, state)
    if balancer.attempts.requests:
        raise StateError("requests can't be handed on")
    balancer.rng.seed(seed)
    return balancer
