"""Renders an experiment as one self-contained HTML page without scripts, other files or external links."""

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

# Okabe and Ito's palette, whose colours can be told apart with colour-vision deficiency.
COLOURS = ("#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#000000", "#999999")
END_COLOURS = {
    "served": "#009E73", "refused": "#E69F00", "failed": "#D55E00", "broken": "#000000",
    "timed out": "#CC79A7", "unreachable": "#999999", "unsent": "#56B4E9",
}  # fmt: skip
CHART_STYLE: Any = {
    "svg.fonttype": "none", "svg.hashsalt": "brambleusher", "font.size": 9, "axes.spines.top": False,
    "axes.spines.right": False, "axes.grid": True, "grid.color": "#e6e6e6", "axes.axisbelow": True,
}  # fmt: skip
MAX_EVENT_MARKERS = 30  # maximum number of event markers in a chart
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
class CellGroup:
    """Cells that differ only in their seeds."""

    world: str
    demand: str
    settings: str
    where: str
    cells: tuple[tuple[StoredCell, CellResult], ...]

    def mean(self, name: str) -> float | None:
        """Return the mean of a metric over the seeds that have the metric, or None."""
        values = [result.figures[name] for _, result in self.cells if name in result.figures]
        return fmean(values) if values else None

    def maximum(self, name: str) -> float | None:
        """Return the maximum of a metric over the seeds, or None."""
        return max((each.figures[name] for _, each in self.cells if name in each.figures), default=None)

    @property
    def speed(self) -> float:
        """Return the factor by which the play is faster than the recorded demand."""
        return self.cells[0][0].plan.speed

    def series(self, name: str) -> tuple[list[float], list[float]]:
        """Return the mean of a time series over the seeds.

        Times are on the time scale of the demand, so that runs at different speeds can be compared.
        """
        rows: dict[float, list[float]] = defaultdict(list)
        for _, result in self.cells:
            for at_s, value in result.series.get(name, ()):
                rows[at_s * self.speed].append(value)
        times = sorted(rows)
        return times, [fmean(rows[at]) for at in times]


def render_report(store: Store) -> str:
    """Render the HTML page of an experiment."""
    cells = store.cells()
    done = [(cell, store.result(cell.id)) for cell in cells if cell.state == "done"]
    groups = group_cells(done)
    label = make_labeller(groups)
    name = store.experiment_property("name") or "experiment"
    sections = [f"<h1>{escape(name)}</h1>"]
    if description := store.experiment_property("note"):
        sections.append(f'<p class="note">{escape(description)}</p>')
    sections += _progress(cells)
    if groups:
        sections += ["<h2>Results</h2>", _summary(groups)]
        for (world, demand), members in _group_by(groups, lambda group: (group.world, group.demand)).items():
            sections += _charts(world, demand, members, label)
        sections += _rules_section(groups, label)
        sections += _fidelity_section(groups)
    sections += _settings_section(store, cells)
    body = "\n".join(sections)
    return (
        f'<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>{escape(name)}</title>'
        f'<meta name="viewport" content="width=device-width"><style>{STYLE}</style></head>'
        f"<body>\n{body}\n</body></html>\n"
    )


def group_cells(done: Sequence[tuple[StoredCell, CellResult]]) -> list[CellGroup]:
    """Group cells that differ only in their seeds, in the order of the matrix."""
    found: dict[tuple[str, str, str, str], list[tuple[StoredCell, CellResult]]] = {}
    for cell, result in done:
        found.setdefault((cell.world, cell.demand, cell.settings, cell.where), []).append((cell, result))
    return [CellGroup(*key, tuple(members)) for key, members in found.items()]


def make_labeller(groups: Sequence[CellGroup]) -> Callable[[CellGroup], str]:
    """Return a function that labels a group by only those of its settings and place that differ."""
    settings = len({group.settings for group in groups}) > 1
    where = len({group.where for group in groups}) > 1

    def label(group: CellGroup) -> str:
        words = ([group.settings] if settings or not where else []) + ([group.where] if where else [])
        return ", ".join(words)

    return label


def _group_by(groups: Iterable[CellGroup], key: Callable[[CellGroup], Any]) -> dict[Any, list[CellGroup]]:
    found: dict[Any, list[CellGroup]] = {}
    for group in groups:
        found.setdefault(key(group), []).append(group)
    return found


# --- tables ---------------------------------------------------------------------------------------


def render_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Render an HTML table; the contents of its cells are HTML."""
    top = "".join(f"<th>{each}</th>" for each in header)
    body = "".join("<tr>" + "".join(f"<td>{each}</td>" for each in row) + "</tr>" for row in rows)
    return f'<div class="wide"><table><thead><tr>{top}</tr></thead><tbody>{body}</tbody></table></div>'


def _percentage(value: float | None) -> str:
    return "" if value is None else f"{value:.2%}"


def _number(value: float | None, number_format: str = ",.0f") -> str:
    return "" if value is None else format(value, number_format)


def _progress(cells: Sequence[StoredCell]) -> list[str]:
    failed = [cell for cell in cells if cell.state == "failed"]
    waiting = sum(cell.state == "waiting" for cell in cells)
    done = len(cells) - len(failed) - waiting
    elapsed = sum(cell.seconds for cell in cells)
    sections = [f"<p>{done} of {len(cells)} runs are done; they took {elapsed:,.0f} s of run time.</p>"]
    if waiting:
        sections.append(f'<p class="bad">{waiting} runs are not done yet.</p>')
    if failed:
        items = "".join(f"<li>{escape(cell.title)}: {escape(cell.error[:500])}</li>" for cell in failed)
        sections.append(f'<p class="bad">{len(failed)} runs failed:</p><ul>{items}</ul>')
    return sections


def _summary(groups: Sequence[CellGroup]) -> str:
    classes = sorted(
        {
            name.split(".")[1]
            for group in groups
            for _, result in group.cells
            for name in result.figures
            if name.startswith("latency_ms.")
        }
    )
    header = [
        "world", "demand", "settings", "where", "seeds", "requests", "served", "on time", "worth", "refused",
        *(f"p99 {escape(name)}, ms" for name in classes), "attempts", "load", "spread", "rules broken",
        "own lateness p99, ms",
    ]  # fmt: skip
    rows = []
    for group in groups:
        has_violations, late = group.maximum("breaches"), group.maximum("was_late")
        breaches = "not checked" if has_violations is None else f"{sum(_rule_violations(group).values())}"
        lateness = _number(group.maximum("lateness_ms.p99"), ".2f")
        rows.append(
            [
                escape(group.world), escape(group.demand), escape(group.settings), escape(group.where),
                str(len(group.cells)), _number(group.mean("requests")),
                _percentage(group.mean("share.served")),
                _percentage(group.mean("share.on_time")), _percentage(group.mean("worth")),
                _percentage(group.mean("share.refused")),
                *(_number(group.mean(f"latency_ms.{name}.p99")) for name in classes),
                _number(group.mean("attempts"), ".3f"), _percentage(group.mean("load.mean")),
                _percentage(group.mean("load.spread")),
                f'<span class="bad">{breaches}</span>' if has_violations else breaches,
                f'<span class="bad">{lateness}: the generator was late</span>' if late else lateness,
            ]
        )  # fmt: skip
    return render_table(header, rows) + (
        '<p class="note">Means over the seeds. Worth: fraction of the maximum. Load: work done divided by '
        "the capacity of the nodes. Spread: difference of highest and lowest node load, divided by the mean."
        " Attempts: executions on nodes per request.</p>"
    )


def _rule_violations(group: CellGroup) -> dict[str, int]:
    found = dict.fromkeys(RULES, 0)
    for _, result in group.cells:
        for rule, count in result.documents.get("rules", {}).items():
            found[rule] = found.get(rule, 0) + count
    return found


def _rules_section(groups: Sequence[CellGroup], label: Callable[[CellGroup], str]) -> list[str]:
    checked = [group for group in groups if any("rules" in result.documents for _, result in group.cells)]
    if not checked:
        return []
    counts = [_rule_violations(group) for group in checked]
    total = sum(sum(each.values()) for each in counts)
    summary = (
        f'<span class="good">All {len(RULES)} rules were kept</span> in every checked run.'
        if not total
        else f'<span class="bad">{total} breaches</span>; replay them with the seed and world below.'
    )
    header = ["rule", "violation"] + [
        escape(f"{group.world} / {group.demand} / {label(group)}") for group in checked
    ]
    rows = [
        [escape(rule), f'<span class="text">{escape(what)}</span>']
        + [f'<span class="bad">{each[rule]}</span>' if each.get(rule) else "0" for each in counts]
        for rule, what in RULES.items()
    ]
    inner = f"<details><summary>rule by rule</summary>{render_table(header, rows)}</details>"
    return ["<h2>Rules</h2>", f"<p>{summary}</p>", inner]


def _fidelity_section(groups: Sequence[CellGroup]) -> list[str]:
    sections: list[str] = []
    for group in groups:
        for cell, result in group.cells:
            raw = result.documents.get("fidelity")
            if raw is not None:
                sections += _cell_fidelity(cell, Fidelity.restored(raw))
    return ["<h2>Fidelity of the play</h2>", *sections] if sections else []


def _cell_fidelity(cell: StoredCell, fidelity: Fidelity) -> list[str]:
    classes = sorted({name for window in fidelity.windows for name in window.due})
    rows = []
    for at, window in enumerate(fidelity.windows):
        due, received = sum(window.due.values()), sum(window.received.values())
        rows.append(
            [
                f"{at * fidelity.window_ns / 1e9:g} s", f"{due:,}", f"{received:,}",
                _percentage(window.rate_off),
                *(
                    f"{_percentage(window.due.get(name, 0) / due if due else 0)} / "
                    f"{_percentage(window.received.get(name, 0) / received if received else 0)}"
                    for name in classes
                ),
                _percentage(window.mix_off),
            ]
        )  # fmt: skip
    exact = (
        f'<span class="good">all {fidelity.requests:,} requests arrived exactly once, each with its class, '
        "tenant, hint, retry mark, target and size</span>"
        if fidelity.exact
        else f'<span class="bad">{fidelity.missing:,} missing, {fidelity.duplicates:,} duplicated, '
        f"{fidelity.unknown:,} unknown, {escape(str(fidelity.altered))} changed</span>"
    )
    header = [
        "window",
        "due",
        "came",
        "rate off",
        *(f"{escape(name)}, due / came" for name in classes),
        "mix off",
    ]
    return [
        f"<h3>{escape(cell.title)}, speed {cell.plan.speed:g}</h3>",
        f"<p>Worst window: rate off by {_percentage(fidelity.rate_off)}, share of a class by "
        f"{_percentage(fidelity.mix_off)}; {exact}.</p>",
        f"<details><summary>{len(rows)} windows</summary>{render_table(header, rows)}</details>",
    ]


def _settings_section(store: Store, cells: Sequence[StoredCell]) -> list[str]:
    sections = ["<h2>Settings</h2>"]
    file = store.experiment_property("experiment")
    if file is not None:
        sections += ["<h3>The experiment</h3>", _yaml(msgspec.json.decode(file))]
    shown: set[tuple[str, str]] = set()
    for cell in cells:
        key = cell.world, cell.settings
        if key not in shown:
            shown.add(key)
            title = escape(f"world {cell.world}, settings {cell.settings}")
            sections.append(
                f"<details><summary>{title}</summary>{_yaml(msgspec.to_builtins(cell.plan.figures))}</details>"
            )
    return sections


def _yaml(value: Any) -> str:
    return f"<pre>{escape(yaml.safe_dump(value, sort_keys=False, width=100, allow_unicode=True))}</pre>"


# --- charts ---------------------------------------------------------------------------------------


def render_svg(draw: Callable[[Figure], None], width: float, height: float) -> str:
    """Render a chart as SVG; the same data gives the same bytes."""
    with matplotlib.rc_context(CHART_STYLE):
        figure = Figure(figsize=(width, height), layout="constrained")
        draw(figure)
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _charts(world: str, demand: str, groups: list[CellGroup], label: Callable[[CellGroup], str]) -> list[str]:
    """Render the charts of one world and demand."""
    title = escape(f"{world} / {demand}")
    events = groups[0].cells[0][1].events
    sections = [f"<h2>{title}</h2>", "<h3>Requests asked and served per second</h3>"]
    sections.append(
        render_svg(lambda figure: _draw_rates(figure, groups, label, events), 10.5, 2.2 + 1.9 * len(groups))
    )
    if any(name.startswith("latency_ms.") for name in groups[0].cells[0][1].figures):
        sections.append("<h3>Latency by class</h3>")
        sections.append(render_svg(lambda figure: _draw_latencies(figure, groups, label), 10.5, 3.4))
        sections.append(
            '<p class="note">Latency of served requests, measured from the due time of each request.</p>'
        )
    sections.append("<h3>Load by node and zone</h3>")
    sections.append(
        render_svg(lambda figure: _draw_node_loads(figure, groups, label), 10.5, 1.0 + 1.8 * len(groups))
    )
    sections.append(
        render_svg(lambda figure: _draw_zone_loads(figure, groups, label), 10.5, 1.0 + 1.8 * len(groups))
    )
    sections.append("<h3>Events</h3>")
    for group in groups:
        for cell, result in group.cells:
            rows = [
                [f"{at_s:.3f} s", f'<span class="text">{escape(text)}</span>'] for at_s, text in result.events
            ]
            inner = render_table(["time", "what"], rows) if rows else "<p>No events.</p>"
            summary = f"{escape(cell.title)}: {len(rows)} events"
            sections.append(f"<details><summary>{summary}</summary>{inner}</details>")
    return sections


def _draw_rates(
    figure: Figure,
    groups: list[CellGroup],
    label: Callable[[CellGroup], str],
    events: Sequence[tuple[float, str]],
) -> None:
    rows = figure.subplots(len(groups), 1, sharex=True, sharey=True, squeeze=False)
    for axes, group in zip(rows[:, 0], groups, strict=True):
        times, asked = _demand_rate(group, "asked")
        bottom = [0.0] * len(times)
        for end in ENDS:
            rates_by_time = dict(zip(*_demand_rate(group, end), strict=True))
            if any(rates_by_time.values()):
                top = [low + rates_by_time.get(at, 0.0) for low, at in zip(bottom, times, strict=True)]
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
        for at_s, _ in events[:MAX_EVENT_MARKERS]:
            axes.axvline(at_s * group.speed, color="#888888", linewidth=0.5, linestyle=":")
        axes.set_ylabel("requests / s")
        axes.set_title(label(group), loc="left", fontsize=9)
    rows[0, 0].legend(loc="upper right", ncols=4, frameon=False)
    rows[-1, 0].set_xlabel("seconds of the demand")


def _demand_rate(group: CellGroup, name: str) -> tuple[list[float], list[float]]:
    """Return a series of rates in requests per second of demand time."""
    times, values = group.series(name)
    return times, [value / group.speed for value in values]


def _draw_latencies(figure: Figure, groups: list[CellGroup], label: Callable[[CellGroup], str]) -> None:
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
    positions = list(range(len(PERCENTILES)))
    for axes, name in zip(columns, classes, strict=True):
        for at, group in enumerate(groups):
            values = [group.mean(f"latency_ms.{name}.p{each:g}") for each in PERCENTILES]
            axes.plot(
                positions, [float("nan") if value is None else value for value in values], marker="o",
                markersize=4, color=COLOURS[at % len(COLOURS)], label=label(group),
            )  # fmt: skip
        axes.set_xticks(positions, [f"p{each:g}" for each in PERCENTILES])
        axes.set_yscale("log")
        axes.yaxis.set_major_locator(LogLocator(subs=(1.0, 2.0, 5.0)))
        axes.yaxis.set_major_formatter("{x:g}")
        axes.yaxis.set_minor_formatter(NullFormatter())
        axes.set_title(name, loc="left", fontsize=9)
    columns[0].set_ylabel("ms")
    columns[-1].legend(loc="upper left", frameon=False)


def _zone_colours(group: CellGroup) -> dict[str, str]:
    zones = group.cells[0][0].plan.figures.zones
    return {zone: COLOURS[at % len(COLOURS)] for at, zone in enumerate(zones)}


def _draw_node_loads(figure: Figure, groups: list[CellGroup], label: Callable[[CellGroup], str]) -> None:
    rows = figure.subplots(len(groups), 1, sharex=True, sharey=True, squeeze=False)
    for axes, group in zip(rows[:, 0], groups, strict=True):
        colours = _zone_colours(group)
        nodes = [node for node in group.cells[0][0].plan.figures.world_spec().nodes if not node.spare]
        nodes.sort(key=lambda node: (list(colours).index(node.zone), node.kind, node.id))
        loads = [group.mean(f"load.node.{node.id}") or 0.0 for node in nodes]
        positions = range(len(nodes))
        axes.bar(positions, [100 * load for load in loads], color=[colours[node.zone] for node in nodes])
        axes.set_xticks(positions, [f"{node.id}\n{node.kind}" for node in nodes], rotation=45, fontsize=7)
        axes.set_ylabel("load, %")
        axes.set_title(label(group), loc="left", fontsize=9)


def _draw_zone_loads(figure: Figure, groups: list[CellGroup], label: Callable[[CellGroup], str]) -> None:
    rows = figure.subplots(len(groups), 1, sharex=True, sharey=True, squeeze=False)
    for axes, group in zip(rows[:, 0], groups, strict=True):
        _draw_zone_lines(axes, group)
        axes.set_title(label(group), loc="left", fontsize=9)
    rows[0, 0].legend(loc="upper right", ncols=4, frameon=False)
    rows[-1, 0].set_xlabel("seconds of the demand")


def _draw_zone_lines(axes: Axes, group: CellGroup) -> None:
    for zone, colour in _zone_colours(group).items():
        times, values = group.series(f"load.zone.{zone}")
        axes.plot(times, [100 * value for value in values], color=colour, label=zone, linewidth=1.1)
    axes.set_ylabel("load, %")
