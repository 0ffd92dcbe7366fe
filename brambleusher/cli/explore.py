"""`brambleusher explore`: simulate scenarios in virtual time and check all invariants."""

from __future__ import annotations

import gc
import multiprocessing
import os
import re
import signal
import sys
import time
from collections import Counter
from collections.abc import Generator, Iterator
from contextlib import AbstractContextManager, closing, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType

import click

from brambleusher.lab.faults.breakages import PROGRAM_MUTATIONS
from brambleusher.lab.faults.kinds import PROFILES
from brambleusher.lab.fleets.scenario import (
    Scenario,
    ScenarioError,
    draw_scenario,
    read_scenario,
    write_scenario,
)
from brambleusher.lab.virtual.explore import Result, RunTimeout, play, shrink
from brambleusher.lab.virtual.mass import DAYS, draw_mass

STATUS_PASSED, STATUS_BREACHED, STATUS_USAGE = 0, 1, 2
CHUNK_SEEDS = 16  # seeds that a worker process takes per task
PROGRESS_SEEDS = 200  # seeds between two updates of the progress line
MAX_SHOWN_SEEDS = 20  # broken seeds described in a summary
MAX_SHOWN_BREACHES = 3  # violations shown per seed
MAX_SEEDS = 10_000_000
SEED_END = 10**18  # seeds have up to 18 digits
SEED_CPU_S = 30.0  # CPU time limit of one run in seconds; a typical run takes 0.1 s
FLEET_DAY_CPU_S = 1800.0  # CPU time limit in seconds for a simulated day of a large fleet
REPEAT_CPU_S = 1.0  # interval in seconds at which the exception is raised again until the run ends
MAX_FILE_BYTES = 8 * 1024 * 1024


class ExploreUsageError(click.ClickException):
    """Raised for invalid arguments; reported as one line with exit status 2."""

    exit_code = STATUS_USAGE

    def show(self, file: object = None) -> None:
        """Print the message as one line on standard error."""
        del file  # parameter of Click's interface
        print(f"brambleusher: {self.message}", file=sys.stderr)


@dataclass
class RunTotals:
    """Totals over the results of many runs."""

    seeds: int = 0
    asked: int = 0
    taken: int = 0
    served: int = 0
    attempts: int = 0
    events: int = 0
    virtual_s: float = 0.0
    fewest_asked: int = -1
    fewest_taken: int = -1
    kinds_fewest: int = -1
    shortest_s: float = -1.0
    faults: Counter[str] = field(default_factory=Counter)
    rules: Counter[str] = field(default_factory=Counter)  # number of seeds that violated each invariant
    broken: list[Result] = field(default_factory=list)

    def add(self, result: Result) -> None:
        """Add the result of one run to the totals."""
        first = not self.seeds
        self.seeds += 1
        self.asked += result.asked
        self.taken += result.requests_received
        self.served += result.served
        self.attempts += result.attempts
        self.events += result.events
        self.virtual_s += result.virtual_s
        self.fewest_asked = result.asked if first else min(self.fewest_asked, result.asked)
        self.fewest_taken = (
            result.requests_received if first else min(self.fewest_taken, result.requests_received)
        )
        self.kinds_fewest = len(result.faults) if first else min(self.kinds_fewest, len(result.faults))
        self.shortest_s = result.virtual_s if first else min(self.shortest_s, result.virtual_s)
        self.faults.update(result.faults)
        self.rules.update(result.rules)
        if result.breaches:
            self.broken.append(result)

    def describe(self, profile: str, took_s: float, jobs: int) -> list[str]:
        """Format the lines of the summary."""
        return [
            f"{self.seeds} seeds of profile {profile} in {took_s:.1f} s with {jobs} jobs: "
            f"{self.seeds / took_s:.1f} seeds and {self.virtual_s / took_s:.1f} virtual seconds a second",
            f"{self.asked} requests asked ({self.asked / self.seeds:.0f} a seed, "
            f"{self.fewest_asked} at least), "
            f"{self.taken} tries taken by sidecars ({self.fewest_taken} at least), {self.served} served, "
            f"{self.attempts} attempts at nodes, {self.events} events on the wire, "
            f"{self.virtual_s:.0f} virtual seconds ({self.shortest_s:.1f} at least)",
            f"kinds of fault ({self.kinds_fewest} a seed at least): "
            + ", ".join(f"{kind} {count}" for kind, count in sorted(self.faults.items())),
        ]


def parse_seeds(text: str) -> range:
    """Parse `FIRST:END` into a range that excludes END.

    Raises:
        ExploreUsageError: The text has another form, or the range is empty or too large.
    """
    found = re.fullmatch(r"(\d{1,18}):(\d{1,18})", text)
    if found is None:
        raise ExploreUsageError(f"--seeds {text}: must be FIRST:END, two whole numbers")
    first, end = int(found[1]), int(found[2])
    if not 0 < end - first <= MAX_SEEDS:
        raise ExploreUsageError(f"--seeds {text}: END must exceed FIRST, by {MAX_SEEDS} at most")
    return range(first, end)


@dataclass(frozen=True, slots=True)
class Options:
    """The options shared by exploring, replaying and shrinking."""

    jobs: int
    profile: str
    mutation: str | None
    is_quiet: bool
    has_sums: bool

    def check(self) -> None:
        """Reject unknown names and a number of jobs below 1.

        Raises:
            ExploreUsageError: An option has an invalid value.
        """
        if self.mutation is not None and self.mutation not in PROGRAM_MUTATIONS:
            raise ExploreUsageError(
                f"--breakage {self.mutation}: unknown fault; --list-breakages prints the names"
            )
        profiles = [*PROFILES, *DAYS]
        if self.profile not in profiles:
            raise ExploreUsageError(
                f"--profile {self.profile}: unknown profile; the profiles are {', '.join(profiles)}"
            )
        if self.jobs < 1:
            raise ExploreUsageError(f"--jobs {self.jobs}: must be at least 1")

    def draw(self, seed: int) -> Scenario:
        """Generate the scenario of a seed.

        Raises:
            ExploreUsageError: The seed is out of range.
        """
        if not 0 <= seed < SEED_END:
            raise ExploreUsageError(
                f"seed {seed}: must be a whole number of at least 0 and at most 18 digits"
            )
        return draw_profile_scenario(seed, self.profile)

    @property
    def mutation_argument(self) -> str:
        """The command-line argument that repeats the mutation in a replay, preceded by a space."""
        return "" if self.mutation is None else f" --breakage {self.mutation}"

    def replay_command(self, seed: int, profile: str) -> str:
        """Return the command line that replays a seed."""
        return f"brambleusher explore --replay {seed} --profile {profile}{self.mutation_argument}"


def _activate(mutation_name: str | None) -> AbstractContextManager[object] | None:
    """Return the context manager that applies a mutation during a run, or None without a name."""
    return None if mutation_name is None else PROGRAM_MUTATIONS[mutation_name].activated()


def play_chunk(task: tuple[range, str, str | None]) -> list[Result]:
    """Run a few seeds in this process.

    The garbage collector is disabled during a run, as a simulated world has many reference cycles that live
    until the end of the run.
    """
    seeds, profile, mutation_name = task
    results = []
    with garbage_collection_disabled():
        for seed in seeds:
            mutation = _activate(mutation_name)
            scenario = draw_profile_scenario(seed, profile)
            with bounded(cpu_limit_s(scenario)):
                results.append(play(scenario, mutation))
            gc.collect()
    return results


def draw_profile_scenario(seed: int, profile: str) -> Scenario:
    """Generate a seed's scenario, either faults in a small fleet or a day of a large fleet."""
    return draw_mass(seed, profile) if profile in DAYS else draw_scenario(seed, profile)


def cpu_limit_s(scenario: Scenario) -> float:
    """Return the CPU time limit of a run in seconds."""
    return FLEET_DAY_CPU_S if scenario.profile in DAYS else SEED_CPU_S


@contextmanager
def bounded(cpu_s: float = SEED_CPU_S) -> Iterator[None]:
    """Raise `RunTimeout` in a block that uses more than `cpu_s` seconds of CPU time.

    Without this limit, an endless run would block a whole range of seeds and would not be reported.
    """

    def end(_number: int, _frame: FrameType | None) -> None:
        raise RunTimeout(f"no end after {cpu_s:g} s of CPU time")

    before = signal.signal(signal.SIGVTALRM, end)
    signal.setitimer(signal.ITIMER_VIRTUAL, cpu_s, REPEAT_CPU_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, before)


def _ignore_interrupts() -> None:
    """Ignore SIGINT, as a terminal sends Ctrl-C to every process and the parent ends its workers."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


@contextmanager
def _reporting_interrupt() -> Iterator[None]:
    """Convert Ctrl-C into Click's `Abort`, which is reported as one line."""
    try:
        yield
    except KeyboardInterrupt:
        raise click.Abort from None


@contextmanager
def garbage_collection_disabled() -> Iterator[None]:
    """Disable the garbage collector, which is called explicitly between two runs."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def play_seeds(
    seeds: range, profile: str, mutation_name: str | None, jobs: int
) -> Generator[Result, None, None]:
    """Yield the results in the order of the seeds for any number of processes."""
    tasks = [
        (seeds[at : at + CHUNK_SEEDS], profile, mutation_name) for at in range(0, len(seeds), CHUNK_SEEDS)
    ]
    if jobs == 1:
        for task in tasks:
            yield from play_chunk(task)
        return
    gc.collect()
    gc.freeze()
    # A Ctrl-C during the forks would leave processes behind that the pool does not know yet.
    before = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT})
    pool = multiprocessing.get_context("fork").Pool(min(jobs, len(tasks)), _ignore_interrupts)
    with pool:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
        for results in pool.imap(play_chunk, tasks):
            yield from results


def _load(path: str) -> Scenario:
    """Load and parse a scenario file."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ExploreUsageError(f"{path}: {error.strerror}") from None
    if len(text) > MAX_FILE_BYTES:
        raise ExploreUsageError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        return read_scenario(text)
    except ScenarioError as error:
        raise ExploreUsageError(f"{path}: {error}") from None


def _describe_breaches(result: Result, replay_command: str) -> list[str]:
    """Format one line for each violation of a result, and the command that replays them."""
    lines = [
        f"seed {result.seed}: {breach.rule} at {breach.at_ns / 1e9:.9f}: {breach.who}: {breach.what}"
        for breach in result.breaches[:MAX_SHOWN_BREACHES]
    ]
    if result.breach_count > len(lines):
        lines.append(f"seed {result.seed}: {result.breach_count} breaches in all")
    return [*lines, f"replay with: {replay_command}"]


def _explore(seeds: range, options: Options) -> int:
    """Run a range of seeds and print the summary and the violations."""
    should_print_progress = sys.stderr.isatty() and not options.is_quiet
    began, totals = time.monotonic(), RunTotals()
    with closing(play_seeds(seeds, options.profile, options.mutation, options.jobs)) as results:
        for result in results:
            totals.add(result)
            if should_print_progress and totals.seeds % PROGRESS_SEEDS == 0:
                print(
                    f"\r{totals.seeds} seeds, {len(totals.broken)} broken",
                    end="",
                    file=sys.stderr,
                    flush=True,
                )
    took_s = max(time.monotonic() - began, 1e-9)
    if should_print_progress:
        print("\r", end="", file=sys.stderr)
    for line in totals.describe(options.profile, took_s, options.jobs):
        print(line)
    if not totals.broken:
        print("no breach")
        return STATUS_PASSED
    _print_breaches(totals, options)
    return STATUS_BREACHED


def _print_breaches(totals: RunTotals, options: Options) -> None:
    """Print the violated invariants and the first seeds that violated them."""
    for rule, count in sorted(totals.rules.items()):
        print(f"broken in {count} seeds: {rule}")
    for result in totals.broken[:MAX_SHOWN_SEEDS]:
        for line in _describe_breaches(result, options.replay_command(result.seed, result.profile)):
            print(line)
    if len(totals.broken) > MAX_SHOWN_SEEDS:
        seeds = " ".join(str(result.seed) for result in totals.broken[MAX_SHOWN_SEEDS:])
        print(f"further seeds with a breach: {seeds}")


def _replay(scenario: Scenario, options: Options, replay_command: str) -> int:
    """Run one scenario in this process and print its time line and fleet totals as the options say."""
    mutation = _activate(options.mutation)
    with garbage_collection_disabled(), bounded(cpu_limit_s(scenario)):
        result = play(scenario, mutation, None if options.is_quiet else print, sums=options.has_sums)
    if result.breaches:
        for line in _describe_breaches(result, replay_command):
            print(line)
    else:
        print(f"{result.asked} requests asked, {result.requests_received} tries taken, "
              f"{result.served} served, {result.virtual_s:.1f} virtual seconds, no breach")  # fmt: skip
    print(f"digest {result.digest}")
    exceeded: list[str] = []
    if result.sums is not None:
        exceeded = result.sums.exceeded_limits()
        for line in [*result.sums.table(), *(f"passed {text}" for text in exceeded)]:
            print(line)
    return STATUS_BREACHED if result.breaches or exceeded else STATUS_PASSED


def _shrink(scenario: Scenario, mutation_name: str | None, out: str | None) -> int:
    """Shrink a scenario while its first violation still occurs, and write the result."""

    def run(each: Scenario) -> Result:
        mutation = _activate(mutation_name)
        with bounded(cpu_limit_s(each)):
            result = play(each, mutation, stop_at_breach=True)
        gc.collect()
        return result

    path = Path(out or f"scenario-{scenario.seed}.yaml")
    if path.is_dir() or not os.access(path if path.exists() else path.parent, os.W_OK):
        raise ExploreUsageError(f"{path}: not writable")
    with garbage_collection_disabled():
        first = run(scenario)
        if not first.breaches:
            raise ExploreUsageError(
                f"seed {scenario.seed} violates no invariant, so there is nothing to shrink"
            )
        rule = first.breaches[0].rule
        small = shrink(
            scenario, rule, lambda each: rule in run(each).rules, lambda text: print(text, file=sys.stderr)
        )
    text = write_scenario(small)
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise ExploreUsageError(f"{path}: {error.strerror}") from None
    print(f"{rule}: {len(scenario.faults)} faults and {len(scenario.asks)} requests became "
          f"{len(small.faults)} and {len(small.asks)}; written to {path}")  # fmt: skip
    return STATUS_BREACHED


def _print_mutations() -> int:
    """Print the name, description and violated invariants of every mutation."""
    for name, mutation in PROGRAM_MUTATIONS.items():
        print(f"{name}: {mutation.description} ({', '.join(mutation.rules)})")
    return STATUS_PASSED


def _print_profiles() -> int:
    """Print the names of all profiles."""
    for name in (*PROFILES, *DAYS):
        print(name)
    return STATUS_PASSED


@click.command(help="Simulate seeded scenarios with faults in virtual time, and check all invariants.")
@click.argument("file", required=False)
@click.option("--seeds", metavar="FIRST:END", help="The seeds to run, excluding END.")
@click.option(
    "--jobs", type=int, default=lambda: os.cpu_count() or 1, help="Worker processes.  [default: one per core]"
)
@click.option("--profile", default="default", help="The kinds of faults to generate.", show_default=True)
@click.option("--replay", type=int, metavar="SEED", help="Print the time line and the digest of one seed.")
@click.option("--shrink", "to_shrink", type=int, metavar="SEED", help="Find a smaller failing scenario.")
@click.option("-o", "--out", metavar="FILE", help="The file to which --shrink writes the scenario.")
@click.option("--write", "to_write", type=int, metavar="SEED", help="Print a seed's scenario as a file.")
@click.option("--breakage", "mutation", metavar="NAME", help="Inject a deliberate fault into the program.")
@click.option("--list-breakages", "should_list_mutations", is_flag=True, help="List the deliberate faults.")
@click.option("--list-profiles", "should_list_profiles", is_flag=True, help="List the profiles.")
@click.option("--quiet", "is_quiet", is_flag=True, help="Print no time line and no progress.")
@click.option("--sums", "has_sums", is_flag=True, help="Print totals over the fleet of FILE or --replay.")
def command(
    file: str | None, seeds: str | None, jobs: int, profile: str, replay: int | None, to_shrink: int | None,
    out: str | None, to_write: int | None, mutation: str | None, should_list_mutations: bool,
    should_list_profiles: bool, is_quiet: bool, has_sums: bool,
) -> int:  # fmt: skip
    """Explore seeds, or replay, shrink or print one scenario.

    Returns:
        Exit status 0 without a violation, 1 with at least one, 2 for a usage error.
    """
    options = Options(jobs, profile, mutation, is_quiet, has_sums)
    options.check()
    if should_list_mutations:
        return _print_mutations()
    if should_list_profiles:
        return _print_profiles()
    if sum(each is not None for each in (file, seeds, replay, to_shrink, to_write)) != 1:
        raise ExploreUsageError("say one of FILE, --seeds, --replay, --shrink, --write")
    if has_sums and file is None and replay is None:
        raise ExploreUsageError("--sums needs FILE or --replay, as totals are for one run")
    with _reporting_interrupt():
        if file is not None:
            return _replay(_load(file), options, f"brambleusher explore {file}{options.mutation_argument}")
        if seeds is not None:
            return _explore(parse_seeds(seeds), options)
        if replay is not None:
            return _replay(options.draw(replay), options, options.replay_command(replay, profile))
        if to_shrink is not None:
            return _shrink(options.draw(to_shrink), mutation, out)
        assert to_write is not None
        print(write_scenario(options.draw(to_write)), end="")
        return STATUS_PASSED
