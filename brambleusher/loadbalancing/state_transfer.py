"""State transfer: what one process of a proxy hands to the next, all but the requests of its balancer.

The successor continues from the same estimates of hosts, classes and limits, with a random generator of its
own: two processes that draw the same numbers would march in step.
"""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.state_codec import JsonObject, restore, save

MOST_HOSTS = 512  # beyond, a successor starts from nothing: writing and reading it would take too long
_ATTEMPT_KEYS = ("out", "lost")  # of a host, as they are stored
_NO_ENTRIES: JsonObject = {"d": []}  # a stored dict


def export_state(balancer: Balancer) -> JsonObject | None:
    """Return the balancer's state without requests, as JSON values; None where it is too large."""
    if len(balancer.host_table.hosts) > MOST_HOSTS:
        return None
    state = save(balancer)
    names = state["host_names"]
    for row in state["hosts"]:
        for key in _ATTEMPT_KEYS:
            index = names.index(key)
            if "d" in row[index]:  # else it was never in use
                row[index] = dict(_NO_ENTRIES)
    state["requests"] = []
    state["own"] |= {"_requests": dict(_NO_ENTRIES), "_open": 0}
    return state


def import_state(settings: api.Settings, seed: int, state: object) -> Balancer:
    """Return a balancer that continues from an exported state.

    Raises:
        StateError: The state is not this version's, was cut, or has requests.
    """
    balancer = restore(settings, seed, state)
    if balancer.attempts.requests:
        raise StateError(
            f"{len(balancer.attempts.requests)} requests in a transferred state: none are expected"
        )
    balancer.rng.seed(seed)
    return balancer
