"""`brambleusher control`: hand the decisions out to other proxies over xDS."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request
from urllib.parse import quote

import click


@click.group(invoke_without_command=True, help="Serve the decisions to other proxies over xDS.")
@click.option("--config", "path", metavar="FILE", help="The control service's file, in YAML.")
@click.option("--json", "tell", is_flag=True, help="Print one line with its addresses once it serves.")
@click.pass_context
def command(ctx: click.Context, path: str | None, tell: bool) -> int | None:
    """Serve the decisions to other proxies over xDS."""
    if ctx.invoked_subcommand is not None:
        return None
    if path is None:
        raise click.UsageError("--config is missing", ctx)
    from brambleusher.xds.service import serve

    return serve(path, tell)


@command.command(help="Show what one subscriber has against the newest.")
@click.argument("subscriber")
@click.option(
    "--status", "address", required=True, metavar="HOST:PORT", help="The instance's status address."
)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def diff(subscriber: str, address: str, as_json: bool) -> int:
    """0 where the subscriber has the newest of everything, 1 where not, 2 where that can't be told."""
    try:
        url = f"http://{address}/diff/{quote(subscriber, safe='')}"
        with urllib.request.urlopen(url, timeout=5) as answer:
            found = json.load(answer)
    except urllib.error.HTTPError:
        print(f"brambleusher: {address} has no subscriber {subscriber}", file=sys.stderr)
        return 2
    except (OSError, ValueError) as error:
        print(f"brambleusher: {address}: {error}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(found, indent=1))
    behind = [each for each in found if each["changes"] or each["has"] is None or each["newest"] is None]
    for each in () if as_json else found:
        same = each not in behind
        print(f"{each['kind']} {each['name']}: {'newest' if same else 'differs'}")
        if not same:
            print(f"  has    {each['has'] or 'nothing'}\n  newest {each['newest'] or 'nothing'}")
            for line in each["changes"]:
                print(f"  {line}")
            if each["more"]:
                print(f"  and {each['more']} more lines")
    return 1 if behind else 0
