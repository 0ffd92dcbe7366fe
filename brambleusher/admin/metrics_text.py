"""The metrics that operators fetch as text, with one `name=value` per line."""

from __future__ import annotations

from brambleusher.observability.request_counts import RequestCounts


def render(request_counts: RequestCounts, listed: int, avoided: int) -> bytes:
    """Render the current values of all metrics.

    Args:
        request_counts: Counts of requests by class and outcome.
        listed: The number of endpoints in the endpoint list.
        avoided: The number of endpoints that currently get no requests.
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
