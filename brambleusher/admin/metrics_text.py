"""The figures that operators fetch, as text: one `name=value` a line."""

from __future__ import annotations

from brambleusher.observability.request_counts import RequestCounts


def render(request_counts: RequestCounts, listed: int, avoided: int) -> bytes:
    """All of them as they stand; `listed` and `avoided` are endpoints."""
    lines = [
        f"edge_node.operations.{name}.{end}={count}"
        for name, ends in request_counts.finished.items()
        for end, count in ends.items()
    ]
    lines += [
        f"edge_node.relayed={request_counts.attempts_sent}",
        f"edge_node.open_requests={request_counts.in_flight}",
        f"edge_node.registry_entries={listed}",
        f"edge_node.out_of_rotation={avoided}",
    ]
    return ("\n".join(lines) + "\n").encode()
