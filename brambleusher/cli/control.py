"""`brambleusher control`: serve the decisions to other proxies over xDS."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request
from typing import Any
from urllib.parse import quote

import click

STATUS_TIMEOUT_S = 5  # limit in seconds, short because a user waits for the response


@click.group(invoke_without_command=True, help="Serve the decisions to other proxies over xDS.")
@click.option("--config", "path", metavar="FILE", help="The control service's file, in YAML.")
@click.option(
    "--json",
    "should_print_addresses",
    is_flag=True,
    help="Print one line with the service's addresses once it serves.",
)
@click.pass_context
def command(ctx: click.Context, path: str | None, should_print_addresses: bool) -> int | None:
    """Serve the decisions to other proxies over xDS."""
    if ctx.invoked_subcommand is not None:
        return None
    if path is None:
        raise click.UsageError("--config is missing", ctx)
    from brambleusher.xds.service import serve

    return serve(path, should_print_addresses)


@command.command(help="Compare a subscriber's resources with the newest versions.")
@click.argument("subscriber")
@click.option(
    "--status", "address", required=True, metavar="HOST:PORT", help="The instance's status address."
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def diff(subscriber: str, address: str, as_json: bool) -> int:
    """Compare a subscriber's resources with the newest versions.

    Returns:
        Exit status 0 if all resources are the newest, 1 if some differ, 2 if the comparison failed.
    """
    try:
        url = f"http://{address}/diff/{quote(subscriber, safe='')}"
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as response:
            resources = json.load(response)
    except urllib.error.HTTPError:
        print(f"brambleusher: {address} has no subscriber {subscriber}", file=sys.stderr)
        return 2
    except (OSError, ValueError) as error:
        print(f"brambleusher: {address}: {error}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(resources, indent=1))
    behind = [each for each in resources if each["changes"] or each["has"] is None or each["newest"] is None]
    for each in () if as_json else resources:
        _print_resource(each, is_newest=each not in behind)
    return 1 if behind else 0


def _print_resource(resource: dict[str, Any], *, is_newest: bool) -> None:
    """Print a resource and the differences between the subscriber's version and the newest."""
    print(f"{resource['kind']} {resource['name']}: {'newest' if is_newest else 'differs'}")
    if is_newest:
        return
    print(f"  has    {resource['has'] or 'nothing'}\n  newest {resource['newest'] or 'nothing'}")
    for line in resource["changes"]:
        print(f"  {line}")
    if resource["more"]:
        print(f"  and {resource['more']} more lines")
