"""The figures that operators fetch, as text: one `name=value` a line."""

from __future__ import annotations

from brambleusher.observability.request_counts import Tally


def render(tally: Tally, listed: int, avoided: int) -> bytes:
    """All of them as they stand; `listed` and `avoided` are endpoints."""
    lines = [
        f"edge_node.operations.{name}.{end}={count}"
        for name, ends in tally.ends.items()
        for end, count in ends.items()
    ]
    lines += [
        f"edge_node.relayed={tally.relayed}",
        f"edge_node.open_requests={tally.open}",
        f"edge_node.registry_entries={listed}",
        f"edge_node.out_of_rotation={avoided}",
    ]
    return ("\n".join(lines) + "\n").encode()
