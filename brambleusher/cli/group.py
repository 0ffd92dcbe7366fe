"""The Click group that contains all commands."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

import click

from brambleusher.cli import COMMANDS

EXIT_INTERRUPTED = 130  # shell convention: 128 plus the number of SIGINT


class Commands(click.Group):
    """A group that imports each command on first use, and builds its help from `COMMANDS` alone."""

    def list_commands(self, _ctx: click.Context) -> list[str]:
        """Return the command names in the order of `COMMANDS`."""
        return list(COMMANDS)

    def get_command(self, _ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command by name, or return None for an unknown name."""
        if cmd_name not in COMMANDS:
            return None
        command = importlib.import_module(f"brambleusher.cli.{cmd_name.replace('-', '_')}").command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, _ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the command descriptions without importing the commands."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, text) for name, (text, _) in COMMANDS.items()])


@click.group(
    cls=Commands,
    invoke_without_command=True,
    help="A sidecar load balancer; without a command it serves.",
)
@click.option("--operator", metavar="FILE", help="The operator file in YAML, which enables features.")
@click.option(
    "--log-format", type=click.Choice(["logfmt", "json"]), default="logfmt", help="The format of log lines."
)
@click.pass_context
def everything(ctx: click.Context, operator: str | None, log_format: str) -> int | None:
    """Serve as a sidecar if no command is given."""
    if ctx.invoked_subcommand is not None:
        from brambleusher.observability.log_format import configure

        configure(form=log_format)
        return None
    from brambleusher.sidecar.main import run as serve

    return serve(operator, log_format)


def run(arguments: Sequence[str]) -> int:
    """Run one command; return the exit status, which is 2 for invalid arguments."""
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
