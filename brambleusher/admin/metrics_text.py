"""The metrics that operators fetch, as text: one `name=value` a line."""

from __future__ import annotations

from brambleusher.observability.request_counts import RequestCounts


def render(request_counts: RequestCounts, listed: int, avoided: int) -> bytes:
    """Render all metrics as they stand.

    Args:
        request_counts: Requests by class and outcome.
        listed: Endpoints that the list names.
        avoided: Endpoints that get no requests now.
    """
    lines = [
        f"edge_node.operations.{name}.{outcome}={count}"
        for name, outcomes in request_counts.finished.items()
        for outcome, count in outcomes.items()
    ]
    lines += [
        f"edge_node.relayed={request_counts.attempts_sent}",
        f"edge_node.open_requests={request_counts.in_flight}",
        f"edge_node.registry_entries={listed}",
        f"edge_node.out_of_rotation={avoided}",
    ]
    return ("\n".join(lines) + "\n").encode()
