"""Mutations of the programs: planted faults that measure how well soaks find faults.

Each mutation patches classes in a process before its program starts.  A soak finds a mutation if it reports
at least one of the rules that the mutation names.
"""

from __future__ import annotations

# Each module registers its mutations when it is imported.
from brambleusher.lab.soak.mutations import (
    control_plane,
    departures,
    leaks,
    orders,
    processes,
    recovery,
    repeated_runs,
    responses,
)
from brambleusher.lab.soak.mutations.registry import (
    MUTATIONS,
    SoakMutation,
    UnknownMutationError,
    find_mutation,
)

__all__ = [
    "MUTATIONS",
    "SoakMutation",
    "UnknownMutationError",
    "control_plane",
    "departures",
    "find_mutation",
    "leaks",
    "orders",
    "processes",
    "recovery",
    "repeated_runs",
    "responses",
]
