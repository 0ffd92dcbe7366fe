"""One HTML page on an experiment, with all that it shows in it: no script, no other file, no address."""

from __future__ import annotations

import io
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from html import escape
from statistics import fmean
from typing import Any

import matplotlib
import msgspec
import yaml
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import LogLocator, NullFormatter

from brambleusher.lab.checker.rules import RULES
from brambleusher.lab.experiments.store import CellResult, Store, StoredCell
from brambleusher.load.fidelity import Fidelity
from brambleusher.load.results import ENDS, PERCENTILES

# Okabe and Ito's colours, which people who see few colours can tell apart.
COLOURS = ("#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#000000", "#999999")
END_COLOURS = {
    "served": "#009E73", "refused": "#E69F00", "failed": "#D55E00", "broken": "#000000",
    "timed out": "#CC79A7", "unreachable": "#999999", "unsent": "#56B4E9",
}  # fmt: skip
DRAWN: Any = {
    "svg.fonttype": "none", "svg.hashsalt": "brambleusher", "font.size": 9, "axes.spines.top": False,
    "axes.spines.right": False, "axes.grid": True, "grid.color": "#e6e6e6", "axes.axisbelow": True,
}  # fmt: skip
MOST_MARKS = 30  # of events in a picture
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 1080px; margin: 2em auto; padding: 0 1em }
body { color: #1a1a1a }
h1 { font-size: 1.7em; margin-bottom: .2em } h2 { margin-top: 2em; border-bottom: 1px solid #ccc }
table { border-collapse: collapse; margin: 1em 0; font-size: 13.5px }
th, td { padding: .25em .7em; text-align: right; border-bottom: 1px solid #e3e3e3; white-space: nowrap }
th { white-space: normal; vertical-align: bottom }
th:first-child, td:first-child { text-align: left } thead th { border-bottom: 2px solid #888 }
td.text { text-align: left; white-space: normal } .bad { color: #b00020; font-weight: 600 }
.good { color: #00734d } .wide { overflow-x: auto } .note { color: #555 }
pre { background: #f5f5f5; padding: 1em; overflow-x: auto; font-size: 12.5px }
svg { max-width: 100%; height: auto }
summary { cursor: pointer; margin: .6em 0 }
"""


@dataclass(frozen=True)
class Group:
    """Cells that differ in their seeds alone."""

    world: str
    demand: str
    settings: str
    where: str
    cells: tuple[tuple[StoredCell, CellResult], ...]

    def mean(self, name: str) -> float | None:
        """A figure's mean over the seeds that have it."""
        values = [result.figures[name] for _, result in self.cells if name in result.figures]
        return fmean(values) if values else None

    def most(self, name: str) -> float | None:
        """The largest."""
        return max((each.figures[name] for _, each in self.cells if name in each.figures), default=None)

    @property
    def speed(self) -> float:
        """Times as fast as the demand."""
        return self.cells[0][0].plan.speed

    def series(self, name: str) -> tuple[list[float], list[float]]:
        """A series' mean over the seeds; times are the demand's own, so that speeds can be compared."""
        rows: dict[float, list[float]] = defaultdict(list)
        for _, result in self.cells:
            for at_s, value in result.series.get(name, ()):
                rows[at_s * self.speed].append(value)
        times = sorted(rows)
        return times, [fmean(rows[at]) for at in times]


def page(store: Store) -> str:
    """The page."""
    cells = store.cells()
    done = [(cell, store.result(cell.id)) for cell in cells if cell.state == "done"]
    groups = grouped(done)
    label = labeller(groups)
    name = store.about("name") or "experiment"
    parts = [f"<h1>{escape(name)}</h1>"]
    if note := store.about("note"):
        parts.append(f'<p class="note">{escape(note)}</p>')
    parts += _state(cells)
    if groups:
        parts += ["<h2>What came of it</h2>", _summary(groups)]
        for (world, demand), some in _by(groups, lambda group: (group.world, group.demand)).items():
            parts += _scene(world, demand, some, label)
        parts += _rules(groups, label)
        parts += _fidelities(groups)
    parts += _settings(store, cells)
    body = "\n".join(parts)
    return (
        f'<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>{escape(name)}</title>'
        f'<meta name="viewport" content="width=device-width"><style>{STYLE}</style></head>'
        f"<body>\n{body}\n</body></html>\n"
    )


def grouped(done: Sequence[tuple[StoredCell, CellResult]]) -> list[Group]:
    """Cells in groups, in the order of the matrix."""
    found: dict[tuple[str, str, str, str], list[tuple[StoredCell, CellResult]]] = {}
    for cell, result in done:
        found.setdefault((cell.world, cell.demand, cell.settings, cell.where), []).append((cell, result))
    return [Group(*key, tuple(some)) for key, some in found.items()]


def labeller(groups: Sequence[Group]) -> Callable[[Group], str]:
    """Names groups by no more than what differs between those of one world and demand."""
    settings = len({group.settings for group in groups}) > 1
    where = len({group.where for group in groups}) > 1

    def label(group: Group) -> str:
        words = ([group.settings] if settings or not where else []) + ([group.where] if where else [])
        return ", ".join(words)

    return label


def _by(groups: Iterable[Group], key: Callable[[Group], Any]) -> dict[Any, list[Group]]:
    found: dict[Any, list[Group]] = {}
    for group in groups:
        found.setdefault(key(group), []).append(group)
    return found


# --- tables ---------------------------------------------------------------------------------------


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table; cells are HTML."""
    top = "".join(f"<th>{each}</th>" for each in head)
    body = "".join("<tr>" + "".join(f"<td>{each}</td>" for each in row) + "</tr>" for row in rows)
    return f'<div class="wide"><table><thead><tr>{top}</tr></thead><tbody>{body}</tbody></table></div>'


def _share(value: float | None) -> str:
    return "" if value is None else f"{value:.2%}"


def _number(value: float | None, form: str = ",.0f") -> str:
    return "" if value is None else format(value, form)


def _state(cells: Sequence[StoredCell]) -> list[str]:
    failed = [cell for cell in cells if cell.state == "failed"]
    waiting = sum(cell.state == "waiting" for cell in cells)
    done = len(cells) - len(failed) - waiting
    taken = sum(cell.seconds for cell in cells)
    parts = [f"<p>{done} of {len(cells)} runs are done; they took {taken:,.0f} s of machine time.</p>"]
    if waiting:
        parts.append(f'<p class="bad">{waiting} runs are still to be done.</p>')
    if failed:
        items = "".join(f"<li>{escape(cell.title)}: {escape(cell.error[:500])}</li>" for cell in failed)
        parts.append(f'<p class="bad">{len(failed)} runs failed:</p><ul>{items}</ul>')
    return parts


def _summary(groups: Sequence[Group]) -> str:
    classes = sorted(
        {
            name.split(".")[1]
            for group in groups
            for _, result in group.cells
            for name in result.figures
            if name.startswith("latency_ms.")
        }
    )
    head = [
        "world", "demand", "settings", "where", "seeds", "requests", "served", "on time", "worth", "refused",
        *(f"p99 {escape(name)}, ms" for name in classes), "attempts", "load", "spread", "rules broken",
        "own lateness p99, ms",
    ]  # fmt: skip
    rows = []
    for group in groups:
        broken, late = group.most("breaches"), group.most("was_late")
        breaches = "not checked" if broken is None else f"{sum(_breaches(group).values())}"
        lateness = _number(group.most("lateness_ms.p99"), ".2f")
        rows.append(
            [
                escape(group.world), escape(group.demand), escape(group.settings), escape(group.where),
                str(len(group.cells)), _number(group.mean("requests")), _share(group.mean("share.served")),
                _share(group.mean("share.on_time")), _share(group.mean("worth")),
                _share(group.mean("share.refused")),
                *(_number(group.mean(f"latency_ms.{name}.p99")) for name in classes),
                _number(group.mean("attempts"), ".3f"), _share(group.mean("load.mean")),
                _share(group.mean("load.spread")),
                f'<span class="bad">{breaches}</span>' if broken else breaches,
                f'<span class="bad">{lateness}: the generator was late</span>' if late else lateness,
            ]
        )  # fmt: skip
    return table(head, rows) + (
        '<p class="note">Means over the seeds. Worth: of all that could be had. Load: work done, as a part '
        "of what the nodes can do. Spread: between the most and the least loaded node, as a part of the mean."
        " Attempts: on nodes, for each request.</p>"
    )


def _breaches(group: Group) -> dict[str, int]:
    found = dict.fromkeys(RULES, 0)
    for _, result in group.cells:
        for rule, count in result.documents.get("rules", {}).items():
            found[rule] = found.get(rule, 0) + count
    return found


def _rules(groups: Sequence[Group], label: Callable[[Group], str]) -> list[str]:
    checked = [group for group in groups if any("rules" in result.documents for _, result in group.cells)]
    if not checked:
        return []
    counts = [_breaches(group) for group in checked]
    total = sum(sum(each.values()) for each in counts)
    word = (
        f'<span class="good">All {len(RULES)} rules were kept</span> in every run that was checked.'
        if not total
        else f'<span class="bad">{total} breaches</span>; replay them with the seed and world below.'
    )
    head = ["rule", "what breaks it"] + [
        escape(f"{group.world} / {group.demand} / {label(group)}") for group in checked
    ]
    rows = [
        [escape(rule), f'<span class="text">{escape(what)}</span>']
        + [f'<span class="bad">{each[rule]}</span>' if each.get(rule) else "0" for each in counts]
        for rule, what in RULES.items()
    ]
    inner = f"<details><summary>rule by rule</summary>{table(head, rows)}</details>"
    return ["<h2>Rules</h2>", f"<p>{word}</p>", inner]


def _fidelities(groups: Sequence[Group]) -> list[str]:
    parts: list[str] = []
    for group in groups:
        for cell, result in group.cells:
            raw = result.documents.get("fidelity")
            if raw is not None:
                parts += _fidelity(cell, Fidelity.restored(raw))
    return ["<h2>How true the play was</h2>", *parts] if parts else []


def _fidelity(cell: StoredCell, fidelity: Fidelity) -> list[str]:
    classes = sorted({name for window in fidelity.windows for name in window.due})
    rows = []
    for at, window in enumerate(fidelity.windows):
        due, came = sum(window.due.values()), sum(window.came.values())
        rows.append(
            [
                f"{at * fidelity.window_ns / 1e9:g} s", f"{due:,}", f"{came:,}", _share(window.rate_off),
                *(
                    f"{_share(window.due.get(name, 0) / due if due else 0)} / "
                    f"{_share(window.came.get(name, 0) / came if came else 0)}"
                    for name in classes
                ),
                _share(window.mix_off),
            ]
        )  # fmt: skip
    exact = (
        f'<span class="good">all {fidelity.requests:,} requests came once, each with its class, tenant, '
        "hint, retry mark, target and size</span>"
        if fidelity.exact
        else f'<span class="bad">{fidelity.missing:,} missing, {fidelity.twice:,} twice, '
        f"{fidelity.strange:,} strange, {escape(str(fidelity.other))} otherwise than they stood</span>"
    )
    head = [
        "window",
        "due",
        "came",
        "rate off",
        *(f"{escape(name)}, due / came" for name in classes),
        "mix off",
    ]
    return [
        f"<h3>{escape(cell.title)}, speed {cell.plan.speed:g}</h3>",
        f"<p>Worst window: rate off by {_share(fidelity.rate_off)}, share of a class by "
        f"{_share(fidelity.mix_off)}; {exact}.</p>",
        f"<details><summary>{len(rows)} windows</summary>{table(head, rows)}</details>",
    ]


def _settings(store: Store, cells: Sequence[StoredCell]) -> list[str]:
    parts = ["<h2>Settings that led here</h2>"]
    file = store.about("experiment")
    if file is not None:
        parts += ["<h3>The experiment</h3>", _yaml(msgspec.json.decode(file))]
    shown: set[tuple[str, str]] = set()
    for cell in cells:
        key = cell.world, cell.settings
        if key not in shown:
            shown.add(key)
            title = escape(f"world {cell.world}, settings {cell.settings}")
            parts.append(
                f"<details><summary>{title}</summary>{_yaml(msgspec.to_builtins(cell.plan.figures))}</details>"
            )
    return parts


def _yaml(value: Any) -> str:
    return f"<pre>{escape(yaml.safe_dump(value, sort_keys=False, width=100, allow_unicode=True))}</pre>"


# --- pictures -------------------------------------------------------------------------------------


def svg(draw: Callable[[Figure], None], width: float, height: float) -> str:
    """A picture as SVG, the same for the same figures."""
    with matplotlib.rc_context(DRAWN):
        figure = Figure(figsize=(width, height), layout="constrained")
        draw(figure)
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _scene(world: str, demand: str, groups: list[Group], label: Callable[[Group], str]) -> list[str]:
    """The pictures of one world and demand."""
    title = escape(f"{world} / {demand}")
    events = groups[0].cells[0][1].events
    parts = [f"<h2>{title}</h2>", "<h3>Asked and served, a second</h3>"]
    parts.append(svg(lambda figure: _rates(figure, groups, label, events), 10.5, 2.2 + 1.9 * len(groups)))
    if any(name.startswith("latency_ms.") for name in groups[0].cells[0][1].figures):
        parts.append("<h3>Latency by class</h3>")
        parts.append(svg(lambda figure: _latencies(figure, groups, label), 10.5, 3.4))
        parts.append('<p class="note">Of what was served, from the moment a request was due.</p>')
    parts.append("<h3>Load by node and zone</h3>")
    parts.append(svg(lambda figure: _nodes(figure, groups, label), 10.5, 1.0 + 1.8 * len(groups)))
    parts.append(svg(lambda figure: _zones(figure, groups, label), 10.5, 1.0 + 1.8 * len(groups)))
    parts.append("<h3>What happened when</h3>")
    for group in groups:
        for cell, result in group.cells:
            rows = [
                [f"{at_s:.3f} s", f'<span class="text">{escape(text)}</span>'] for at_s, text in result.events
            ]
            inner = table(["time", "what"], rows) if rows else "<p>Nothing beside requests and answers.</p>"
            summary = f"{escape(cell.title)}: {len(rows)} events"
            parts.append(f"<details><summary>{summary}</summary>{inner}</details>")
    return parts


def _rates(
    figure: Figure,
    groups: list[Group],
    label: Callable[[Group], str],
    events: Sequence[tuple[float, str]],
) -> None:
    rows = figure.subplots(len(groups), 1, sharex=True, sharey=True, squeeze=False)
    for axes, group in zip(rows[:, 0], groups, strict=True):
        times, asked = _slowed(group, "asked")
        bottom = [0.0] * len(times)
        for end in ENDS:
            had = dict(zip(*_slowed(group, end), strict=True))
            if any(had.values()):
                top = [low + had.get(at, 0.0) for low, at in zip(bottom, times, strict=True)]
                axes.fill_between(
                    times,
                    bottom,
                    top,
                    step="post",
                    color=END_COLOURS[end],
                    label=end,
                    alpha=0.85,
                    linewidth=0,
                )
                bottom = top
        axes.step(times, asked, where="post", color="#333333", linewidth=0.9, label="asked")
        for at_s, _ in events[:MOST_MARKS]:
            axes.axvline(at_s * group.speed, color="#888888", linewidth=0.5, linestyle=":")
        axes.set_ylabel("requests / s")
        axes.set_title(label(group), loc="left", fontsize=9)
    rows[0, 0].legend(loc="upper right", ncols=4, frameon=False)
    rows[-1, 0].set_xlabel("seconds of the demand")


def _slowed(group: Group, name: str) -> tuple[list[float], list[float]]:
    """A series of counts a second, as seconds of the demand have them."""
    times, values = group.series(name)
    return times, [value / group.speed for value in values]


def _latencies(figure: Figure, groups: list[Group], label: Callable[[Group], str]) -> None:
    classes = sorted(
        {
            name.split(".")[1]
            for group in groups
            for _, result in group.cells
            for name in result.figures
            if name.startswith("latency_ms.")
        }
    )
    columns = figure.subplots(1, len(classes), sharey=True, squeeze=False)[0]
    places = list(range(len(PERCENTILES)))
    for axes, name in zip(columns, classes, strict=True):
        for at, group in enumerate(groups):
            values = [group.mean(f"latency_ms.{name}.p{each:g}") for each in PERCENTILES]
            axes.plot(
                places, [float("nan") if value is None else value for value in values], marker="o",
                markersize=4, color=COLOURS[at % len(COLOURS)], label=label(group),
            )  # fmt: skip
        axes.set_xticks(places, [f"p{each:g}" for each in PERCENTILES])
        axes.set_yscale("log")
        axes.yaxis.set_major_locator(LogLocator(subs=(1.0, 2.0, 5.0)))
        axes.yaxis.set_major_formatter("{x:g}")
        axes.yaxis.set_minor_formatter(NullFormatter())
        axes.set_title(name, loc="left", fontsize=9)
    columns[0].set_ylabel("ms")
    columns[-1].legend(loc="upper left", frameon=False)


def _zone_colours(group: Group) -> dict[str, str]:
    zones = group.cells[0][0].plan.figures.zones
    return {zone: COLOURS[at % len(COLOURS)] for at, zone in enumerate(zones)}


def _nodes(figure: Figure, groups: list[Group], label: Callable[[Group], str]) -> None:
    rows = figure.subplots(len(groups), 1, sharex=True, sharey=True, squeeze=False)
    for axes, group in zip(rows[:, 0], groups, strict=True):
        colours = _zone_colours(group)
        nodes = [node for node in group.cells[0][0].plan.figures.world_spec().nodes if not node.spare]
        nodes.sort(key=lambda node: (list(colours).index(node.zone), node.kind, node.id))
        loads = [group.mean(f"load.node.{node.id}") or 0.0 for node in nodes]
        places = range(len(nodes))
        axes.bar(places, [100 * load for load in loads], color=[colours[node.zone] for node in nodes])
        axes.set_xticks(places, [f"{node.id}\n{node.kind}" for node in nodes], rotation=45, fontsize=7)
        axes.set_ylabel("load, %")
        axes.set_title(label(group), loc="left", fontsize=9)


def _zones(figure: Figure, groups: list[Group], label: Callable[[Group], str]) -> None:
    rows = figure.subplots(len(groups), 1, sharex=True, sharey=True, squeeze=False)
    for axes, group in zip(rows[:, 0], groups, strict=True):
        _zone_lines(axes, group)
        axes.set_title(label(group), loc="left", fontsize=9)
    rows[0, 0].legend(loc="upper right", ncols=4, frameon=False)
    rows[-1, 0].set_xlabel("seconds of the demand")


def _zone_lines(axes: Axes, group: Group) -> None:
    for zone, colour in _zone_colours(group).items():
        times, values = group.series(f"load.zone.{zone}")
        axes.plot(times, [100 * value for value in values], color=colour, label=zone, linewidth=1.1)
    axes.set_ylabel("load, %")
