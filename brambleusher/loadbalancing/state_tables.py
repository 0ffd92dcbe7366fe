"""The stored form of a balancer's state: for each kind of record, its attributes and their stored keys.

Captures and state transfers outlive a version of the code, so that stored keys never change: an attribute
that is renamed keeps its key here.  The order of a table is the order in which its record is written, and
that in which hosts and requests are numbered; it does not change either.
"""

from __future__ import annotations

from collections.abc import Mapping

# Attribute -> stored key.  An attribute may be a dotted path to where the value lives now.
FieldTable = Mapping[str, str]


def _unchanged(*names: str) -> FieldTable:
    return {name: name for name in names}


BALANCER: FieldTable = _unchanged(
    "_hosts",
    "_requests",
    "_turn",
    "_unlinked",
    "_peak",
    "_rate",
    "_lately",
    "_silent",
    "_trust",
    "_open",
    "_ready",
    "_part",
    "_closing",
    "_ticked_ns",
    "_mean_capacity",
    "_mean_util",
    "_remote",
    "_kind_capacity",
    "_sized",
    "_size_used",
    "_size_asked",
    "_size_rate",
    "_lat_n",
    "_lat_sum",
    "_quiet_ns",
    "_index_n",
    "_served_rate",
    "_span",
    "_retries",
    "_limit",
    "_offered",
    "_logged_ns",
    "_full_sum",
    "_turned",
    "_best_rate",
    "_tight",
    "_late",
    "_ranked",
    "_mean_open",
    "_came_ns",
    "_densities",
    "_tenant_level",
    "_tenant_seen",
    "_my_share",
    "_used",
    "_ask_at",
    "_ask_wait_ns",
)
ZONE_AWARE_BALANCER: FieldTable = {**BALANCER, **_unchanged("_zones", "_probing", "_due_ns", "_ahead")}
HOST: FieldTable = _unchanged(
    "rank",
    "name",
    "zone",
    "kind",
    "cell",
    "local",
    "ready",
    "out",
    "lost",
    "weight",
    "room",
    "credit",
    "tokens",
    "started_ns",
    "sum_qps",
    "sum_util",
    "throughput",
    "util",
    "util_ns",
    "late_n",
    "late_sum",
    "served",
    "failed",
    "turned",
    "pi",
    "passed",
    "shut_ns",
    "used_ns",
    "closing_ns",
    "draining",
    "linked",
    "cold_level",
    "cold_seen_ns",
    "size",
)
REQUEST: FieldTable = _unchanged(
    "id",
    "cls",
    "deadline_ns",
    "half_ns",
    "reached",
    "attempts",
    "out",
    "lost",
    "closed",
    "ran",
    "passing",
    "origin",
    "first_ran_ns",
)
TOKEN_ROUND_ROBIN: FieldTable = _unchanged("ring", "_at", "scale")
RETRY_BUDGET: FieldTable = _unchanged("spare", "unserved", "first_left")
IDLE_TIMEOUT: FieldTable = _unchanged(
    "limit_ns", "least_ns", "trust_ns", "kept", "lost", "reset", "proven_ns"
)
ZONE_ROUTER: FieldTable = _unchanged(
    "rules",
    "own",
    "unit_ns",
    "fleet_size",
    "zones",
    "panic",
    "beyond",
    "pressed_ns",
    "short_ns",
    "said",
    "open",
    "weights",
    "blind_ns",
    "_ranked_ns",
    "_ticked_ns",
)
ZONE: FieldTable = _unchanged(
    "name",
    "state",
    "since_ns",
    "reason",
    "nodes",
    "ready",
    "ended",
    "wrong_ns",
    "heard_ns",
    "missed",
    "unreached",
    "penalty",
    "losses",
    "held",
    "listed_out",
    "probe_ns",
    "tried_ns",
    "probe_pause_ns",
    "probe_at",
    "wanted_ns",
    "leaving_ns",
    "answered",
    "own_part",
    "grant",
    "grown",
    "limit",
    "level",
    "level_ns",
    "part",
    "calm",
    "cost_ns",
    "cost_n",
    "tier",
)
ZONE_NODE: FieldTable = _unchanged("heard_ns", "streak", "since_ns", "gone_wrong")
