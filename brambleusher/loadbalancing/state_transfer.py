"""State transfer: the balancer state, without requests, that a proxy process hands to its successor.

The successor continues with the same estimates of hosts, classes and limits, but reseeds the random
generator, since two processes that draw the same numbers would make the same choices.
"""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.state_codec import JsonObject, restore, save

MAX_TRANSFERRED_HOSTS = (
    512  # with more hosts a successor starts without state, since the transfer would take too long
)
_ATTEMPT_KEYS = ("out", "lost")  # stored keys of a host's attempts
_NO_ENTRIES: JsonObject = {"d": []}  # an empty dict in its stored form


def export_state(balancer: Balancer) -> JsonObject | None:
    """Return the balancer's state without requests as JSON values, or None if it is too large."""
    if len(balancer.host_table.hosts) > MAX_TRANSFERRED_HOSTS:
        return None
    state = save(balancer)
    names = state["host_names"]
    for row in state["hosts"]:
        for key in _ATTEMPT_KEYS:
            index = names.index(key)
            if "d" in row[index]:  # the host has been in use
                row[index] = dict(_NO_ENTRIES)
    state["requests"] = []
    state["own"] |= {"_requests": dict(_NO_ENTRIES), "_open": 0}
    return state


def import_state(settings: api.Settings, seed: int, state: object) -> Balancer:
    """Return a balancer that continues from an exported state.

    Raises:
        StateError: The state is of another version, is truncated, or contains requests.
    """
    balancer = restore(settings, seed, state)
    if balancer.attempts.requests:
        raise StateError(
            f"{len(balancer.attempts.requests)} requests in a transferred state, which must not contain any"
        )
    balancer.rng.seed(seed)
    return balancer
