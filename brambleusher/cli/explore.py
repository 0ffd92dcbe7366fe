"""`brambleusher explore`: the program in virtual time, seed after seed, every rule checked."""

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
from contextlib import closing, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType

import click

from brambleusher.lab.faults.breakages import BREAKAGES
from brambleusher.lab.faults.kinds import PROFILES
from brambleusher.lab.fleets.scenario import (
    Scenario,
    ScenarioError,
    draw_scenario,
    read_scenario,
    write_scenario,
)
from brambleusher.lab.virtual.explore import Endless, Result, play, shrink
from brambleusher.lab.virtual.mass import DAYS, draw_mass

FINE, BROKEN, MISUSED = 0, 1, 2
CHUNK = 16  # seeds that a process takes at once
SHOWN = 20  # breaches that a summary words
MOST = 10_000_000
SEED_SECONDS = 30.0  # of processor time that one run may take; a usual one takes a tenth of one
MASS_SECONDS = 1800.0  # the same of a day of a whole fleet
AGAIN_SECONDS = 1.0  # then it is ended, and ended again as long as that does not help
MAX_FILE = 8 * 1024 * 1024


class Misuse(click.ClickException):
    """A call that can't be carried out: one line, status 2."""

    exit_code = MISUSED

    def show(self, file: object = None) -> None:
        """One line."""
        print(f"brambleusher: {self.message}", file=sys.stderr)


@dataclass
class Tally:
    """What many runs came to."""

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
    rules: Counter[str] = field(default_factory=Counter)  # seeds that broke each
    broken: list[Result] = field(default_factory=list)

    def add(self, result: Result) -> None:
        """One run more."""
        first = not self.seeds
        self.seeds += 1
        self.asked += result.asked
        self.taken += result.taken
        self.served += result.served
        self.attempts += result.attempts
        self.events += result.events
        self.virtual_s += result.virtual_s
        self.fewest_asked = result.asked if first else min(self.fewest_asked, result.asked)
        self.fewest_taken = result.taken if first else min(self.fewest_taken, result.taken)
        self.kinds_fewest = len(result.faults) if first else min(self.kinds_fewest, len(result.faults))
        self.shortest_s = result.virtual_s if first else min(self.shortest_s, result.virtual_s)
        self.faults.update(result.faults)
        self.rules.update(result.rules)
        if result.breaches:
            self.broken.append(result)

    def worded(self, profile: str, took_s: float, jobs: int) -> list[str]:
        """The summary's lines."""
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


def seeds_of(text: str) -> range:
    """`FIRST:END`, END left out; raises `Misuse`."""
    found = re.fullmatch(r"(\d{1,18}):(\d{1,18})", text)
    if found is None:
        raise Misuse(f"--seeds {text}: not FIRST:END, two whole numbers")
    first, end = int(found[1]), int(found[2])
    if not 0 < end - first <= MOST:
        raise Misuse(f"--seeds {text}: END must be past FIRST, by {MOST} at most")
    return range(first, end)


def _chunk(task: tuple[range, str, str | None]) -> list[Result]:
    """What one process does with a few seeds.

    The collector is kept out of the runs: a world is full of cycles that live as long as it does.
    """
    seeds, profile, breakage = task
    results = []
    with uncollected():
        for seed in seeds:
            broken = None if breakage is None else BREAKAGES[breakage].on()
            scenario = drawn(seed, profile)
            with bounded(allowed(scenario)):
                results.append(play(scenario, broken))
            gc.collect()
    return results


def drawn(seed: int, profile: str) -> Scenario:
    """The scenario of a seed in a profile, be it of faults on a small fleet or a day of a large one."""
    return draw_mass(seed, profile) if profile in DAYS else draw_scenario(seed, profile)


def allowed(scenario: Scenario) -> float:
    """Seconds of processor time that a run may take."""
    return MASS_SECONDS if scenario.profile in DAYS else SEED_SECONDS


@contextmanager
def bounded(seconds: float = SEED_SECONDS) -> Iterator[None]:
    """End what takes more processor time than that, and say where it was.

    Guards against one run without end holding up a whole range, and hiding itself.
    """

    def end(number: int, frame: FrameType | None) -> None:
        raise Endless(f"no end after {seconds:g} s of processor time")

    before = signal.signal(signal.SIGVTALRM, end)
    signal.setitimer(signal.ITIMER_VIRTUAL, seconds, AGAIN_SECONDS)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, before)


def _leave_stopping_to_the_parent() -> None:
    """A terminal's Ctrl-C reaches every process: one of them has to answer for all."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


@contextmanager
def _stoppable() -> Iterator[None]:
    """Ctrl-C ends the call with one line."""
    try:
        yield
    except KeyboardInterrupt:
        raise click.Abort from None


@contextmanager
def uncollected() -> Iterator[None]:
    """Without the collector, which is called by hand between two runs."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


def _all(seeds: range, profile: str, breakage: str | None, jobs: int) -> Generator[Result, None, None]:
    """The results in the order of the seeds, whatever the number of processes."""
    tasks = [(seeds[at : at + CHUNK], profile, breakage) for at in range(0, len(seeds), CHUNK)]
    if jobs == 1:
        for task in tasks:
            yield from _chunk(task)
        return
    gc.collect()
    gc.freeze()
    # A Ctrl-C amid the forks would leave behind those that the pool does not know of yet.
    before = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT})
    pool = multiprocessing.get_context("fork").Pool(min(jobs, len(tasks)), _leave_stopping_to_the_parent)
    with pool:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
        for results in pool.imap(_chunk, tasks):
            yield from results


def _load(path: str) -> Scenario:
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise Misuse(f"{path}: {error.strerror}") from None
    if len(text) > MAX_FILE:
        raise Misuse(f"{path}: larger than {MAX_FILE} bytes")
    try:
        return read_scenario(text)
    except ScenarioError as error:
        raise Misuse(f"{path}: {error}") from None


def _worded(result: Result, where: str) -> list[str]:
    """A result's breaches, a line each, and what replays them."""
    lines = [
        f"seed {result.seed}: {breach.rule} at {breach.at_ns / 1e9:.9f}: {breach.who}: {breach.what}"
        for breach in result.breaches[:3]
    ]
    if result.broken > len(lines):
        lines.append(f"seed {result.seed}: {result.broken} breaches in all")
    return [*lines, f"replay with: {where}"]


def _explore(seeds: range, profile: str, breakage: str | None, jobs: int, progress: bool) -> int:
    began, tally = time.monotonic(), Tally()
    with closing(_all(seeds, profile, breakage, jobs)) as results:
        for result in results:
            tally.add(result)
            if progress and tally.seeds % 200 == 0:
                print(
                    f"\r{tally.seeds} seeds, {len(tally.broken)} broken", end="", file=sys.stderr, flush=True
                )
    took = max(time.monotonic() - began, 1e-9)
    if progress:
        print("\r", end="", file=sys.stderr)
    for line in tally.worded(profile, took, jobs):
        print(line)
    if not tally.broken:
        print("no breach")
        return FINE
    for rule, count in sorted(tally.rules.items()):
        print(f"broken in {count} seeds: {rule}")
    told = "" if breakage is None else f" --breakage {breakage}"
    shown = 0
    for result in tally.broken[:SHOWN]:
        where = f"brambleusher explore --replay {result.seed} --profile {result.profile}{told}"
        for line in _worded(result, where):
            print(line)
        shown += 1
    if len(tally.broken) > shown:
        rest = " ".join(str(result.seed) for result in tally.broken[shown:])
        print(f"further seeds with a breach: {rest}")
    return BROKEN


def _one(scenario: Scenario, breakage: str | None, quiet: bool, where: str, sums: bool) -> int:
    """Play one scenario in this process, with its time line unless quiet, and the sums over its fleet."""
    broken = None if breakage is None else BREAKAGES[breakage].on()
    with uncollected(), bounded(allowed(scenario)):
        result = play(scenario, broken, None if quiet else print, sums=sums)
    if result.breaches:
        for line in _worded(result, where):
            print(line)
    else:
        print(f"{result.asked} requests asked, {result.taken} tries taken, {result.served} served, "
              f"{result.virtual_s:.1f} virtual seconds, no breach")  # fmt: skip
    print(f"digest {result.digest}")
    passed: list[str] = []
    if result.sums is not None:
        passed = result.sums.passed()
        for line in [*result.sums.table(), *(f"passed {text}" for text in passed)]:
            print(line)
    return BROKEN if result.breaches or passed else FINE


def _shrink(scenario: Scenario, breakage: str | None, out: str | None) -> int:
    """Make a scenario smaller while its first breach stays, and write it."""

    def run(each: Scenario) -> Result:
        broken = None if breakage is None else BREAKAGES[breakage].on()
        with bounded(allowed(each)):
            result = play(each, broken, stop_at_breach=True)
        gc.collect()
        return result

    path = Path(out or f"scenario-{scenario.seed}.yaml")
    if path.is_dir() or not os.access(path if path.exists() else path.parent, os.W_OK):
        raise Misuse(f"{path}: can't be written")
    with uncollected():
        first = run(scenario)
        if not first.breaches:
            raise Misuse(f"seed {scenario.seed} breaks no rule: there is nothing to shrink")
        rule = first.breaches[0].rule
        small = shrink(
            scenario, rule, lambda each: rule in run(each).rules, lambda text: print(text, file=sys.stderr)
        )
    text = write_scenario(small)
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise Misuse(f"{path}: {error.strerror}") from None
    print(f"{rule}: {len(scenario.faults)} faults and {len(scenario.asks)} requests became "
          f"{len(small.faults)} and {len(small.asks)}; written to {path}")  # fmt: skip
    return BROKEN


@click.command(help="Play seeded days with faults in virtual time, and check every rule.")
@click.argument("file", required=False)
@click.option("--seeds", metavar="FIRST:END", help="A range of seeds; END is left out.")
@click.option("--jobs", type=int, default=lambda: os.cpu_count() or 1, help="Processes; all cores.")
@click.option("--profile", default="default", help="Which kinds of faults are drawn.", show_default=True)
@click.option("--replay", type=int, metavar="SEED", help="Print the time line of one seed, and its digest.")
@click.option("--shrink", "smaller", type=int, metavar="SEED", help="Find a smaller scenario that breaks.")
@click.option("-o", "--out", metavar="FILE", help="Where --shrink writes the scenario.")
@click.option("--write", type=int, metavar="SEED", help="Print the scenario of a seed as a file.")
@click.option("--breakage", metavar="NAME", help="Put a deliberate fault into the program.")
@click.option("--list-breakages", is_flag=True, help="Name the deliberate faults.")
@click.option("--list-profiles", is_flag=True, help="Name the profiles.")
@click.option("--quiet", is_flag=True, help="No time line, no progress.")
@click.option("--sums", is_flag=True, help="Print the sums over the fleet of FILE or --replay.")
def command(
    file: str | None,
    seeds: str | None,
    jobs: int,
    profile: str,
    replay: int | None,
    smaller: int | None,
    out: str | None,
    write: int | None,
    breakage: str | None,
    list_breakages: bool,
    list_profiles: bool,
    quiet: bool,
    sums: bool,
) -> int:
    """Status 0 without a breach, 1 with one, 2 where the call can't be carried out."""
    if breakage is not None and breakage not in BREAKAGES:
        raise Misuse(f"--breakage {breakage}: there is none of that name; --list-breakages names them")
    profiles = [*PROFILES, *DAYS]
    if profile not in profiles:
        raise Misuse(f"--profile {profile}: there is none of that name; there are {', '.join(profiles)}")
    if jobs < 1:
        raise Misuse(f"--jobs {jobs}: at least 1")
    if list_breakages:
        for name, each in BREAKAGES.items():
            print(f"{name}: {each.text} ({', '.join(each.rules)})")
        return FINE
    if list_profiles:
        for name in profiles:
            print(name)
        return FINE
    wanted = [each is not None for each in (file, seeds, replay, smaller, write)]
    if sum(wanted) != 1:
        raise Misuse("say one of FILE, --seeds, --replay, --shrink, --write")
    if sums and file is None and replay is None:
        raise Misuse("--sums goes with FILE or --replay: sums are of one run")
    told = "" if breakage is None else f" --breakage {breakage}"
    with _stoppable():
        if file is not None:
            return _one(_load(file), breakage, quiet, f"brambleusher explore {file}{told}", sums)
        if seeds is not None:
            return _explore(seeds_of(seeds), profile, breakage, jobs, sys.stderr.isatty() and not quiet)
        for seed in (replay, smaller, write):
            if seed is not None and not 0 <= seed < 10**18:
                raise Misuse(f"seed {seed}: a whole number from 0 on")
        if replay is not None:
            where = f"brambleusher explore --replay {replay} --profile {profile}{told}"
            return _one(drawn(replay, profile), breakage, quiet, where, sums)
        if smaller is not None:
            return _shrink(drawn(smaller, profile), breakage, out)
        assert write is not None
        print(write_scenario(drawn(write, profile)), end="")
        return FINE
