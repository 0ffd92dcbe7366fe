"""`brambleusher load`: build, inspect, transform and play demand files."""

from __future__ import annotations

import random
import socket
import sys
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from functools import wraps
from pathlib import Path
from typing import Any, ParamSpec

import click
import msgspec

from brambleusher import __version__
from brambleusher.cli.ranges import DURATION_S, FACTOR, MAX_FACTOR, SPEED
from brambleusher.load import demand, shape, synthetic
from brambleusher.load.build import Plan, build
from brambleusher.load.demand import DemandError, DemandFile, atomic_write
from brambleusher.load.mapping import Mapping as RowMapping
from brambleusher.load.mapping import MappingError, read_mapping
from brambleusher.load.opening import Progress, file_size
from brambleusher.load.ordering import SPREADS
from brambleusher.load.report import format_report
from brambleusher.load.request import Request, SourceError
from brambleusher.load.sources import FORMS, ReadOptions
from brambleusher.load.summary import Summary, plot
from brambleusher.load.times import SECOND

FILE_PATH = click.Path(path_type=Path)
PLOT_SUFFIXES = (".svg", ".png", ".pdf")
OUT_OPTION = click.option(
    "-o", "--out", type=FILE_PATH, required=True, metavar="FILE", help="The file to write."
)
SEED_OPTION = click.option("--seed", default=1, show_default=True, help="The seed of all random choices.")
Parameters = ParamSpec("Parameters")


def reports_errors(run: Callable[Parameters, int]) -> Callable[Parameters, int]:
    """Wrap a command so that its errors become one line on standard error and exit status 1."""

    @wraps(run)
    def run_reporting_errors(*args: Parameters.args, **kwargs: Parameters.kwargs) -> int:
        try:
            return run(*args, **kwargs)
        except (
            SourceError, DemandError, MappingError, shape.ShapeError, synthetic.RecipeError,
        ) as error:  # fmt: skip
            print(f"brambleusher: {error}", file=sys.stderr)
        except OSError as error:
            print(f"brambleusher: {error.filename or 'output'}: {error.strerror}", file=sys.stderr)
        return 1

    return run_reporting_errors


@click.group(help="Build and replay load from HAR files, access logs, JSON lines and captures.")
def command() -> None:
    """Group the commands on demand files."""


@contextmanager
def progress_bar(total: int) -> Iterator[Progress | None]:
    """Show a progress bar if standard error is a terminal; `total` is in bytes or in requests."""
    if not sys.stderr.isatty():
        yield None
        return
    from rich.console import Console
    from rich.progress import BarColumn, DownloadColumn, Progress, TimeRemainingColumn, TransferSpeedColumn

    columns = (BarColumn(), DownloadColumn(), TransferSpeedColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True)) as bar:
        task = bar.add_task("read", total=total)
        yield lambda size: bar.advance(task, size)


def check_not_overwritten(out: Path, *sources: Path) -> None:
    """Reject an output file that is one of its own sources.

    Raises:
        SourceError: The output is one of the sources.
    """
    for source in sources:
        try:
            if source.samefile(out):
                raise SourceError(f"{out}: the output would take the place of what it is made of")
        except OSError:
            continue  # one file does not exist; opening a missing source reports it later


@command.command("build", help="Build a demand file from sources, merged by time.")
@click.argument("sources", nargs=-1, required=True, type=FILE_PATH, metavar="SOURCE...")
@OUT_OPTION
@click.option("--form", type=click.Choice(FORMS), help="The format of the sources.  [default: detected]")
@click.option(
    "--log-format",
    metavar="FORMAT",
    help="The format of access logs: a LogFormat, common, combined, platform.",
)
@click.option("--mapping", type=FILE_PATH, metavar="FILE", help="The meaning of rows, in YAML.")
@click.option(
    "--window",
    type=DURATION_S,
    default=5.0,
    show_default=True,
    help="The seconds over which rows are sorted.",
)
@click.option(
    "--spread",
    type=click.Choice(SPREADS),
    default="none",
    show_default=True,
    help="How to spread times in whole seconds.",
)
@click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=2,
    show_default=True,
    help="The processes that parse lines.",
)
@SEED_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@reports_errors
def build_command(
    sources: tuple[Path, ...], out: Path, form: str | None, log_format: str | None, mapping: Path | None,
    window: float, spread: str, processes: int, seed: int, as_json: bool,
) -> int:  # fmt: skip
    """Build a demand file; return status 1 and leave no file if a source is invalid."""
    check_not_overwritten(out, *sources, *([mapping] if mapping else []))
    rules = RowMapping() if mapping is None else read_mapping(mapping)
    plan = Plan(
        sources, ReadOptions(rules, form, log_format), round(window * SECOND), spread, seed, processes,
    )  # fmt: skip
    with progress_bar(sum(map(file_size, sources))) as progress:
        report = build(plan, out, progress)
    plain = report.plain()
    if as_json:
        print(msgspec.json.encode({**plain, "spread": spread, "window_s": window}).decode())
        return 0
    print("\n".join(format_report(plain)))
    if plain["notes"].get("whole-seconds"):
        how = "left bunched as they are" if spread == "none" else f"spread over their second: {spread}"
        print(f"times in whole seconds were {how}")
    return 0


@command.command("inspect", help="Print rate, mix, bursts and tenants of a demand file.")
@click.argument("file", type=FILE_PATH)
@click.option(
    "--plot", "plot_path", type=FILE_PATH, metavar="FILE", help="Draw the rate by class (.svg, .png, .pdf)."
)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@reports_errors
def inspect_command(file: Path, plot_path: Path | None, as_json: bool) -> int:
    """Read and verify a complete demand file, and print its metrics."""
    if plot_path is not None and plot_path.suffix.lower() not in PLOT_SUFFIXES:
        raise click.BadParameter(
            f"{str(plot_path)!r} ends in none of {', '.join(PLOT_SUFFIXES)}", param_hint="--plot"
        )
    with DemandFile(file) as source:
        source.verify()
        summary = Summary(source.requests())
        report, made = source.footer.report, source.header.made
    if plot_path is not None:
        plot(summary, str(plot_path), file.name)
    if as_json:
        print(msgspec.json.encode({**summary.plain(report), "report": report, "made": made}).decode())
        return 0
    print("\n".join(summary.texts()))
    if report:
        print("\nwhen it was built:")
        print("\n".join(format_report(report)))
        if report.get("notes", {}).get("whole-seconds"):
            print(f"times in whole seconds: spread {original_provenance(made).get('spread', 'none')}")
    return 0


def original_provenance(made: dict[str, Any]) -> dict[str, Any]:
    """Return how demand was originally built, before it was cut, scaled or mixed."""
    while isinstance(made.get("made"), dict):
        made = made["made"]
    return made


def write_derived(
    source: DemandFile, out: Path, requests: Iterator[Request], by: str, parameters: Mapping[str, object]
) -> int:
    """Write demand derived from a file, and print the number of requests."""
    check_not_overwritten(out, source.path)
    made = {"by": by, "of": source.path.name, **parameters, "made": source.header.made}
    count = demand.write(out, requests, made, source.footer.report)
    print(f"{count:,} requests")
    return 0


@command.command("cut", help="Extract a time span of a demand file.")
@click.argument("file", type=FILE_PATH)
@OUT_OPTION
@click.option(
    "--from", "start", metavar="TIME", help="Seconds from the start, or ISO 8601.  [default: the start]"
)
@click.option("--to", "end", metavar="TIME", help="The end, in the same form, excluded.  [default: the end]")
@reports_errors
def extract_span(file: Path, out: Path, start: str | None, end: str | None) -> int:
    """Extract a time span of a demand file."""
    with DemandFile(file) as source:
        first_ns = source.span_ns[0]
        start_ns = None if start is None else shape.parse_demand_time(start, first_ns)
        end_ns = None if end is None else shape.parse_demand_time(end, first_ns)
        if start_ns is not None and end_ns is not None and end_ns <= start_ns:
            raise shape.ShapeError(f"the span ends at {end}, which is not after its start at {start}")
        requests = source.requests(start_ns, end_ns)
        return write_derived(source, out, requests, "cut", {"from_ns": start_ns, "to_ns": end_ns})


def parse_factors(pairs: tuple[str, ...], option: str) -> dict[str, float]:
    """Parse `NAME=FACTOR` pairs into a mapping."""
    found: dict[str, float] = {}
    for pair in pairs:
        name, equals, text = pair.rpartition("=")
        found[name] = parse_factor(text, option) if equals else parse_factor("", option)
    return found


def parse_factor(text: str, option: str) -> float:
    """Parse a factor of at least 0."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < MAX_FACTOR:
        raise click.BadParameter(f"{text!r} is not a number of at least 0", param_hint=option)
    return value


def parse_bursts(texts: tuple[str, ...], start_ns: int) -> tuple[shape.Burst, ...]:
    """Parse `FROM..TO=FACTOR` texts into bursts."""
    found = []
    for burst in texts:
        span, _, text = burst.rpartition("=")
        first, dots, last = span.partition("..")
        if not dots:
            raise click.BadParameter(f"{burst!r} is not FROM..TO=FACTOR", param_hint="--burst")
        edges = [shape.parse_demand_time(each, start_ns) - start_ns for each in (first, last)]
        if edges[1] <= edges[0]:
            raise click.BadParameter(f"{burst!r} ends before it begins", param_hint="--burst")
        found.append(shape.Burst(edges[0], edges[1], parse_factor(text, "--burst")))
    return tuple(found)


@command.command("scale", help="Change speed, rate, mix or bursts.")
@click.argument("file", type=FILE_PATH)
@OUT_OPTION
@click.option("--speed", type=SPEED, default=1.0, help="Factor on the speed.")
@click.option("--rate", type=FACTOR, default=1.0, help="Factor on the rate.")
@click.option(
    "--class", "classes", multiple=True, metavar="NAME=FACTOR", help="Factor on the rate of a class."
)
@click.option(
    "--tenant", "tenants", multiple=True, metavar="NAME=FACTOR", help="Factor on the rate of a tenant."
)
@click.option(
    "--burst", "spans", multiple=True, metavar="FROM..TO=FACTOR", help="Factor on the rate in a span."
)
@click.option(
    "--jitter",
    type=DURATION_S,
    default=1.0,
    show_default=True,
    help="Time offset of copied requests in seconds.",
)
@SEED_OPTION
@reports_errors
def scale_command(
    file: Path, out: Path, speed: float, rate: float, classes: tuple[str, ...], tenants: tuple[str, ...],
    spans: tuple[str, ...], jitter: float, seed: int,
) -> int:  # fmt: skip
    """Change the speed, rate, mix and bursts of demand."""
    with DemandFile(file) as source:
        start_ns = source.span_ns[0]
        scale = shape.Scale(
            speed, rate, parse_factors(classes, "--class"), parse_factors(tenants, "--tenant"),
            parse_bursts(spans, start_ns), round(jitter * SECOND), seed,
        )  # fmt: skip
        parameters = {
            "speed": speed, "rate": rate, "classes": dict(scale.classes), "tenants": dict(scale.tenants),
            "bursts": [[burst.start_ns, burst.end_ns, burst.times] for burst in scale.bursts], "seed": seed,
        }  # fmt: skip
        requests = shape.scale_demand(source.requests(), start_ns, scale)
        return write_derived(source, out, requests, "scale", parameters)


@command.command("mix", help="Merge several demand files.")
@click.argument("files", nargs=-1, required=True, type=FILE_PATH, metavar="FILE...")
@OUT_OPTION
@click.option("--align", type=click.Choice(["start", "clock"]), default="start", show_default=True,
              help="All start with the first file, or each at its own time.")  # fmt: skip
@reports_errors
def mix_command(files: tuple[Path, ...], out: Path, align: str) -> int:
    """Merge several demand files into one."""
    check_not_overwritten(out, *files)
    sources = [DemandFile(file) for file in files]
    try:
        starts = [source.span_ns[0] for source in sources]
        shifts = [starts[0] - start if align == "start" else 0 for start in starts]
        requests = shape.merge_demands([source.requests() for source in sources], shifts)
        made = {
            "by": "mix", "align": align,
            "of": [{"name": source.path.name, "made": source.header.made} for source in sources],
        }  # fmt: skip
        print(f"{demand.write(out, requests, made):,} requests")
    finally:
        for source in sources:
            source.close()
    return 0


@command.command("export", help="Export a demand file as a HAR file.")
@click.argument("file", type=FILE_PATH)
@OUT_OPTION
@reports_errors
def export_command(file: Path, out: Path) -> int:
    """Export a demand file as a HAR file."""
    from brambleusher.load.har import write

    check_not_overwritten(out, file)
    with (
        DemandFile(file) as source,
        atomic_write(out) as unfinished,
        unfinished.open("w", encoding="utf-8") as har,
    ):
        print(f"{write(source.requests(), har, __version__):,} requests")
    return 0


@command.command("make", help="Generate synthetic demand: marketplaces, an on-sale burst, retries.")
@click.argument("recipe", required=False, type=FILE_PATH)
@OUT_OPTION
@click.option(
    "--form", type=click.Choice(["demand", "har", "access", "json"]), default="demand", show_default=True
)
@click.option(
    "--whole-seconds", "has_full_seconds", is_flag=True, help="Write access log times in whole seconds."
)
@SEED_OPTION
@reports_errors
def make_command(recipe: Path | None, out: Path, form: str, has_full_seconds: bool, seed: int) -> int:
    """Generate demand from a YAML recipe, or from the default recipe."""
    if recipe is not None:
        check_not_overwritten(out, recipe)
    plan = synthetic.Recipe() if recipe is None else synthetic.read_recipe(recipe)
    made = synthetic.requests(plan, seed)
    if form == "demand":
        count = demand.write(out, made, {"by": "make", "recipe": msgspec.to_builtins(plan), "seed": seed})
    elif form == "har":
        from brambleusher.load.har import write

        with atomic_write(out) as unfinished, unfinished.open("w", encoding="utf-8") as har:
            count = write(made, har, __version__)
    else:
        count = 0
        with atomic_write(out) as unfinished, unfinished.open("wb") as log:
            for request in made:
                if form == "access":
                    log.write(synthetic.log_line(request, has_full_seconds))
                else:
                    log.write(msgspec.json.encode(synthetic.json_record(request)) + b"\n")
                count += 1
    print(f"{count:,} requests")
    return 0


def resolve_addresses(targets: tuple[str, ...]) -> list[tuple[str, int]]:
    """Parse and resolve comma-separated `host:port` addresses."""
    from brambleusher.runtime.streams import parse_address

    try:
        found = [parse_address(address) for target in targets for address in target.split(",")]
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--target") from None
    # Each name is resolved once, as resolving it for every connection would delay all other requests.
    try:
        return [(socket.gethostbyname(host), port) for host, port in found]
    except (OSError, UnicodeError) as error:
        names = ",".join(host for host, _ in found)
        raise click.BadParameter(f"{names}: {error}", param_hint="--target") from None


@command.command("play", help="Play a demand file, sending each request on time regardless of responses.")
@click.argument("file", type=FILE_PATH)
@click.option(
    "--target",
    "targets",
    multiple=True,
    required=True,
    metavar="HOST:PORT,...",
    help="The targets, used in turn.",
)
@click.option("--speed", type=SPEED, default=1.0, help="Factor on the speed.")
@click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=2,
    show_default=True,
    help="The processes that send requests.",
)
@click.option("--timeout-ms", type=click.IntRange(min=1), default=2000, show_default=True,
              help="The timeout of requests that have none.")  # fmt: skip
@click.option("--most-open", type=click.IntRange(min=1), default=4096, show_default=True,
              help="Open requests per process; requests beyond this are counted as unsent.")  # fmt: skip
@click.option("--seed", type=int, help="The seed of the request ids.  [default: random]")
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
@reports_errors
def play_command(
    file: Path, targets: tuple[str, ...], speed: float, processes: int, timeout_ms: int, most_open: int,
    seed: int | None, as_json: bool,
) -> int:  # fmt: skip
    """Send requests on sockets; return status 1 if the generator was late or left requests unsent."""
    from brambleusher.load.pacing import Pace
    from brambleusher.load.player import PlayOptions
    from brambleusher.load.processes import PlayError, play

    with DemandFile(file) as source:
        source.verify()
        total, start_ns = len(source), source.span_ns[0]
    if not total:
        raise SourceError(f"{file}: the file has no requests")
    # Two concurrent runs must not use the same request ids.
    ids = random.SystemRandom().getrandbits(63) if seed is None else seed
    plan = PlayOptions(resolve_addresses(targets), Pace(start_ns, speed), timeout_ms, most_open, seed=ids)
    try:
        with progress_bar(total) as advance:
            before = 0

            def sent(count: int) -> None:
                nonlocal before
                if advance is not None:
                    advance(count - before)
                before = count

            results = play(file, plan, processes, sent)
    except PlayError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return 1
    print(msgspec.json.encode(results.plain()).decode() if as_json else "\n".join(results.texts()))
    if results.sent < total:
        print(f"brambleusher: {results.sent:,} of {total:,} requests were played", file=sys.stderr)
        return 1
    return 1 if results.late or results.total("unsent") else 0
