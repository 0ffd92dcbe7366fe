"""Measure the value of each mechanism of a gateway's policy, by standard days with one key switched off.

Each variant is a copy of the newest commit of this repository with its own `deploy/policy.toml`.  A bench
program replays the standard days of a site on the copy, with the seed of the day, so that two variants are
compared day by day.  Results are appended to a file of JSON lines, one per site and variant; replays that
are already in the file are skipped.
Run: python -m benchmarks.ablation plan --bench PATH --sites A.toml,B.toml --out FOLDER [--keys health]
Then: python -m benchmarks.ablation table --out FOLDER
"""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import mean, stdev

from rich.progress import Progress

from brambleusher.wire import policy

ROOT = Path(__file__).resolve().parent.parent
RESULTS = "plays.jsonl"
DEFAULT = "all on"
PLAY_S = 1500.0  # time of one site with one variant, in seconds
NOISE = 0.03  # score differences below this value are not significant


class AblationError(Exception):
    """The arguments are invalid, or the bench failed."""


@dataclass(frozen=True)
class Play:
    """Result of a day with a variant; `worth` is the bench's value minus prices, not clamped to [0, 1]."""

    variant: str
    site: str
    day: str
    round: int
    worth: float
    broken: str
    journal: str

    @property
    def key(self) -> tuple[str, str, int]:
        """Key that matches the plays of two variants."""
        return self.site, self.day, self.round


def _split_words(given: object) -> list[str]:
    """Split comma-separated words; the `fire` library passes such words as a tuple."""
    if isinstance(given, list | tuple):
        return [str(each) for each in given]
    return [word for word in str(given).split(",") if word]


def _variants(keys: list[str]) -> list[str]:
    unknown = sorted(set(keys) - set(policy.key_names()))
    if unknown:
        raise AblationError(f"--keys: {', '.join(unknown)}: no key of the policy")
    return [DEFAULT, *(keys or policy.key_names())]


def read_plays(folder: Path) -> list[Play]:
    """Return the plays of a folder, in the order in which they ran."""
    path = folder / RESULTS
    if not path.exists():
        return []
    return [Play(**json.loads(line)) for line in path.read_text(encoding="utf-8").splitlines()]


def _copy(folder: Path, variant: str) -> Path:
    """Check out the newest commit of the repository with one key switched off."""
    copy = folder / f"copy-{variant.replace(' ', '-')}"
    if copy.exists():
        shutil.rmtree(copy)
    subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    text = "" if variant == DEFAULT else f"{variant} = false\n"
    (copy / "deploy" / "policy.toml").write_text(text, encoding="utf-8")
    return copy


def _score(bench: Path, copy: Path, site: Path, jobs: int, small: bool, why: str) -> dict[str, object]:
    """Score a site on a copy and return the journal entry."""
    journal = copy / "journal"
    before = set(journal.glob("*.json"))
    command = [
        str(bench),
        "score",
        str(site),
        "--jobs",
        str(jobs),
        "--why",
        why,
        *(["--small"] if small else []),
    ]
    done = subprocess.run(command, cwd=copy, capture_output=True, text=True, timeout=PLAY_S, check=False)
    made = sorted(set(journal.glob("*.json")) - before)
    if not made:
        raise AblationError(f"{site.name}: the bench left no entry: {done.stdout[-300:]}{done.stderr[-300:]}")
    entry: dict[str, object] = json.loads(made[-1].read_text(encoding="utf-8"))
    entry_path = ROOT / "journal" / made[-1].name
    shutil.copy(made[-1], entry_path)
    return entry


def _plays_of(entry: dict[str, object], variant: str, number: int) -> Iterator[Play]:
    days = entry["days"]
    assert isinstance(days, list)
    for day in days:
        if str(day["name"]).startswith("fresh"):
            continue  # drawn anew for each score, so the day has no counterpart
        broken = ", ".join(day["rules"] or ())
        yield Play(variant, str(entry["site"]), day["name"], number, day["G"], broken, str(entry["id"]))


def plan(
    bench: str,
    sites: object,
    out: str,
    keys: object = "",
    rounds: int = 1,
    jobs: int = 4,
    small: bool = False,
) -> str:
    """Play every variant on every site for `rounds` rounds, one bench at a time."""
    variants = _variants(_split_words(keys))
    folder = Path(out).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    paths = [Path(site).resolve() for site in _split_words(sites)]
    for path in [Path(bench), *paths]:
        if not path.is_file():
            raise AblationError(f"{path}: no such file")
    finished = {(play.variant, play.site, play.round) for play in read_plays(folder)}
    with Progress() as progress:
        bar = progress.add_task("plays", total=rounds * len(variants) * len(paths))
        for number in range(1, rounds + 1):
            for variant in variants:
                for site in paths:
                    progress.update(bar, advance=1, description=f"{variant}, {site.stem}")
                    if (variant, site.stem, number) in finished:
                        continue
                    copy = _copy(folder, variant)
                    why = f"Ablation, round {number}: {variant} {'' if variant == DEFAULT else 'off'}".strip()
                    entry = _score(Path(bench).resolve(), copy, site, jobs, small, why)
                    with (folder / RESULTS).open("a", encoding="utf-8") as results:
                        for play in _plays_of(entry, variant, number):
                            results.write(json.dumps(asdict(play)) + "\n")
                    shutil.rmtree(copy)
    return table(out)


def differences(plays: list[Play], variant: str, site: str) -> list[float]:
    """Return the worth without the mechanism minus the worth with all mechanisms, by pair."""
    base = {play.key: play.worth for play in plays if play.variant == DEFAULT and play.site == site}
    mine = [play for play in plays if play.variant == variant and play.site == site]
    return [play.worth - base[play.key] for play in mine if play.key in base]


def _row(plays: list[Play], variant: str, site: str) -> str:
    found = differences(plays, variant, site)
    if not found:
        return f"| {variant} | {site} | no pair | | 0 | |"
    spread = stdev(found) if len(found) > 1 else 0.0
    broken = sorted({play.broken for play in plays if (play.variant, play.site) == (variant, site)} - {""})
    return f"| {variant} | {site} | {mean(found):+.3f} | {spread:.3f} | {len(found)} | {', '.join(broken)} |"


def table(out: str) -> str:
    """Return the paired differences as a Markdown table."""
    plays = read_plays(Path(out))
    sites = sorted({play.site for play in plays})
    variants = [name for name in policy.key_names() if any(play.variant == name for play in plays)]
    lines = [
        "| switched off | site | worth, difference | spread | pairs | rules broken |",
        "| --- " * 6 + "|",
    ]
    lines += [_row(plays, variant, site) for variant in variants for site in sites]
    return "\n".join(lines)


def plot(out: str, path: str) -> str:
    """Plot the paired differences, with one point per pair and one row per mechanism."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plays = read_plays(Path(out))
    sites = sorted({play.site for play in plays})
    variants = [name for name in policy.key_names() if any(play.variant == name for play in plays)]
    figure, axes = pyplot.subplots(figsize=(9, 1 + 0.4 * max(1, len(variants))))
    for at, site in enumerate(sites):
        pairs = [
            (value, row) for row, name in enumerate(variants) for value in differences(plays, name, site)
        ]
        rows = [row + (at - len(sites) / 2) * 0.15 for _, row in pairs]
        axes.plot([value for value, _ in pairs], rows, "o", label=site)
    axes.axvspan(-NOISE, NOISE, alpha=0.15)
    axes.set_yticks(range(len(variants)), variants)
    axes.set_xlabel("worth without the mechanism, less worth with all")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    return path


def main() -> int:
    """Run `plan`, `table` or `plot`; returns 2 for invalid arguments."""
    import fire

    try:
        fire.Fire({"plan": plan, "table": table, "plot": plot}, name="ablation")
    except AblationError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
