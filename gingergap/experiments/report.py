"""Results of an experiment as tables, a chart and an HTML page."""

import base64
import html
import statistics
from io import BytesIO
from typing import Any

from .comparison import factor_effects
from .runner import Runner


def comparison_table(runner: Runner) -> list[dict[str, Any]]:
    """A row for each cell and policy: mean of the measure, difference to the first policy with its interval, verdict."""
    rows = []
    for key, cell in runner.cells.items():
        rounds = runner.completed_rounds(key)
        if rounds == 0:
            continue
        seeds = runner.seeds(rounds)
        differences = dict(runner.compare(key, rounds))
        for name in runner.policies:
            values = runner.results.values(key, name, runner.form.measure, seeds)
            difference = differences.get(name)
            rows.append(
                {
                    **{factor.field: level for factor, level in zip(runner.form.factor, cell.levels, strict=True)},
                    "policy": name,
                    "seeds": len(seeds),
                    runner.form.measure: round(statistics.fmean(values), 4),
                    "difference": "" if difference is None else f"{difference.mean:+.4f}",
                    "interval": "" if difference is None else f"{difference.low:+.4f} to {difference.high:+.4f}",
                    "verdict": "" if difference is None else difference.verdict,
                    "rules broken": round(sum(runner.results.values(key, name, "broken", seeds))),
                }
            )
    return rows


def effects_table(runner: Runner) -> list[dict[str, Any]]:
    """The effect of each factor's levels on the measure of the first policy."""
    rows = []
    first = next(iter(runner.policies))
    for index, factor in enumerate(runner.form.factor):
        by_level: dict[float, list[float]] = {}
        for key, cell in runner.cells.items():
            rounds = runner.completed_rounds(key)
            if rounds:
                by_level.setdefault(cell.levels[index], []).extend(
                    runner.results.values(key, first, runner.form.measure, runner.seeds(rounds))
                )
        if len(by_level) > 1:
            rows += [
                {"factor": factor.field, "level": level, "effect": f"{value:+.4f}"}
                for level, value in factor_effects(by_level).items()
            ]
    return rows


def draw_chart(runner: Runner) -> bytes:
    """The measure over the levels of the first factor, a line for each policy with two standard errors, as PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(8, 4.5))
    for name in runner.policies:
        points: dict[float, list[float]] = {}
        for key, cell in runner.cells.items():
            rounds = runner.completed_rounds(key)
            if rounds:
                points.setdefault(cell.levels[0] if cell.levels else 0.0, []).extend(
                    runner.results.values(key, name, runner.form.measure, runner.seeds(rounds))
                )
        levels = sorted(points)
        errors = [
            statistics.stdev(points[level]) / len(points[level]) ** 0.5 * 2 if len(points[level]) > 1 else 0 for level in levels
        ]
        axis.errorbar(
            range(len(levels)), [statistics.fmean(points[level]) for level in levels], errors, marker="o", capsize=3, label=name
        )
        axis.set_xticks(range(len(levels)), [f"{level:g}" for level in levels])
    axis.set_xlabel(runner.form.factor[0].field if runner.form.factor else "")
    axis.set_ylabel(runner.form.measure)
    axis.legend(fontsize=8)
    figure.tight_layout()
    buffer = BytesIO()
    figure.savefig(buffer, format="png", dpi=110)
    pyplot.close(figure)
    return buffer.getvalue()


def render_page(runner: Runner) -> str:
    """An HTML page in one file: the chart, the comparisons, the effects of the factors."""
    form = runner.form

    def html_table(rows: list[dict[str, Any]]) -> str:
        if not rows:
            return ""
        header = "".join(f"<th>{html.escape(str(name))}</th>" for name in rows[0])
        body = "".join("<tr>" + "".join(f"<td>{html.escape(str(value))}</td>" for value in row.values()) + "</tr>" for row in rows)
        return f"<table><tr>{header}</tr>{body}</table>"

    chart_data = base64.b64encode(draw_chart(runner)).decode()
    first = next(iter(runner.policies))
    broken = sum(row["broken"] for row in runner.results.rows.values())
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(form.name)}</title>"
        "<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
        "td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}</style>"
        f"<h1>{html.escape(form.name)}</h1><p>{len(runner.results.rows)} emulated days; differences to {html.escape(first)}, "
        f"seed by seed, intervals at {form.confidence:g} shared among {runner.comparisons} comparisons; rules broken: "
        f"{broken:g}.</p>"
        f"<img alt=chart src='data:image/png;base64,{chart_data}'><h2>Comparisons</h2>{html_table(comparison_table(runner))}"
        f"<h2>What the factors do</h2>{html_table(effects_table(runner))}"
    )
