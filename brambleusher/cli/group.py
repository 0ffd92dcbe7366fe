"""All commands under one name, through Click."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

import click

from brambleusher.cli import COMMANDS

EXIT_INTERRUPTED = 130  # as shells have it: 128 and SIGINT


class Commands(click.Group):
    """Commands by name, each imported when it is called for; help is worded from the table alone."""

    def list_commands(self, _ctx: click.Context) -> list[str]:
        """List the commands in the table's order."""
        return list(COMMANDS)

    def get_command(self, _ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of a name, importing it; None where there is none."""
        if cmd_name not in COMMANDS:
            return None
        command = importlib.import_module(f"brambleusher.cli.{cmd_name.replace('-', '_')}").command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, _ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the table, without importing what it names."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, text) for name, (text, _) in COMMANDS.items()])


@click.group(
    cls=Commands,
    invoke_without_command=True,
    help="A sidecar load balancer; without a command it serves.",
)
@click.option("--operator", metavar="FILE", help="The operator file, in YAML: features to switch on.")
@click.option(
    "--log-format", type=click.Choice(["logfmt", "json"]), default="logfmt", help="How log lines are written."
)
@click.pass_context
def everything(ctx: click.Context, operator: str | None, log_format: str) -> int | None:
    """Serve where no command is given."""
    if ctx.invoked_subcommand is not None:
        from brambleusher.observability.log_format import configure

        configure(form=log_format)
        return None
    from brambleusher.sidecar.main import run as serve

    return serve(operator, log_format)


def run(arguments: Sequence[str]) -> int:
    """Run one command; return the exit status, 2 where the arguments are wrong."""
    try:
        status = everything.main(list(arguments), prog_name="brambleusher", standalone_mode=False)
    except click.UsageError as error:
        print(f"brambleusher: {error.format_message()}", file=sys.stderr)
        return error.exit_code
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        print("brambleusher: stopped", file=sys.stderr)
        return EXIT_INTERRUPTED
    return status if isinstance(status, int) else 0
