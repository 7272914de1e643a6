"""What `trace summarise` prints and draws."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..trace.causes import BadStretch, count_destination_failures, slow_limit
from ..trace.stream import Trace
from ..trace.summary import TraceSummary
from .tables import rows

UNIT = 10_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
SHOWN = 12  # spans of time in a table of far ends


def tables(trace: Trace, summary: TraceSummary, stretches: list[BadStretch]) -> None:
    """Service, declines, set-up times, far ends' troubles, bad stretches."""
    began = trace.header.started
    names = [f"{source.instance}-{source.epoch}" for source in summary.sources]
    print(
        f"{trace.name}: {', '.join(names)}: {(summary.last_time - summary.first_time) / UNIT:.1f} s"
        + (f", {summary.gaps} gaps" if summary.gaps else "")
    )
    kinds = summary.sources[0].figures["types"]
    rows(
        "service by traffic type",
        [
            {
                "type": kind,
                "importance": kinds[kind][3],
                "came": many["came"],
                "stood": many["stood"],
                "in time": many["in time"],
                "declined": many["declined"],
                "aborted": many["aborted"],
                "given up": many["given up"],
                "cut": many["cut"],
                "service": round(many["in time"] / many["came"], 4) if many["came"] else "",
            }
            for kind, many in sorted(summary.by_traffic_type.items())
        ],
    )
    rows("what did not stand, by cause", [{"cause": cause, "dialogs": many} for cause, many in summary.causes.most_common()])
    times = [
        (name, histogram)
        for name, histogram in (
            ("set-up, direct", summary.setup_histograms[True]),
            ("set-up, over a tandem", summary.setup_histograms[False]),
            ("final answer of the rest", summary.failure_histogram),
        )
        if histogram.get_total_count()
    ]
    rows(
        "times in ms",
        [
            {
                "of": name,
                "many": histogram.get_total_count(),
                **{f"p{share:g}": round(histogram.get_value_at_percentile(share) / 1000, 1) for share in PERCENTILES},
                "most": round(histogram.get_max_value() / 1000, 1),
            }
            for name, histogram in times
        ],
    )
    _far_ends(summary, began)
    for stretch in stretches:
        print(
            f"bad stretch at {names[stretch.source]}, {(stretch.begin - began) / UNIT:.1f} s to "
            f"{(stretch.end - began) / UNIT:.1f} s: {stretch.arrived} dialogs, {stretch.lost} lost, {stretch.failures} troubles; "
            f"likeliest cause: {stretch.cause}"
        )
        for line in stretch.evidence:
            print(f"    {line}")
    if not stretches:
        print("no bad stretch")


def _far_ends(summary: TraceSummary, began: int) -> None:
    """Far ends with troubles, a column for each of a dozen spans of the whole time."""
    limit = slow_limit(summary.median_setup(), summary.shortest_objective())
    width = max(summary.interval, -(-(summary.last_time - summary.first_time + 1) // SHOWN))
    many: dict[int, dict[int, int]] = {}
    legs: dict[int, int] = {}
    for one in summary.all_slices():
        column = max(0, one.begin - summary.first_time) // width
        for number, far in one.destinations.items():
            legs[number] = legs.get(number, 0) + far.legs
            troubles = count_destination_failures(far, limit) + far.overtaken + far.lost_no_circuit
            if troubles:
                row = many.setdefault(number, {})
                row[column] = row.get(column, 0) + troubles
    columns = range(-(-(summary.last_time - summary.first_time + 1) // width))
    rows(
        "far ends' troubles over time (seconds)",
        [
            {
                "far end": number,
                "legs": legs[number],
                **{f"{(summary.first_time - began + column * width) / UNIT:.0f}": row.get(column, "") for column in columns},
            }
            for number, row in sorted(many.items())
        ],
    )


def draw(trace: Trace, summary: TraceSummary, stretches: list[BadStretch], path: Path) -> None:
    """Dialogs, troubles and set-up times over time, bad stretches shaded. Raises ValueError for a kind of file that
    can't be drawn, OSError where it can't be written."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    began, limit = trace.header.started, slow_limit(summary.median_setup(), summary.shortest_objective())
    figure, axes = pyplot.subplots(len(summary.sources), 1, figsize=(11, 3 * len(summary.sources)), squeeze=False, sharex=True)

    def seconds(when: float) -> float:
        return (when - began) / UNIT

    for source, axis in enumerate(axes[:, 0]):
        held = [one for one in summary.all_slices() if one.source == source]
        at = [seconds(one.begin) for one in held]
        width = summary.interval / UNIT

        def bars(
            value: Callable[[Any], float],
            colour: str,
            label: str,
            axis: Any = axis,
            held: Any = held,
            at: Any = at,
            width: float = width,
        ) -> None:
            axis.bar(at, [value(one) for one in held], width, align="edge", color=colour, label=label)

        bars(lambda one: one.arrived + one.turned_away, "#c8d3e0", "dialogs")
        bars(lambda one: one.lost, "#d1495b", "lost")
        for stretch in stretches:
            if stretch.source == source:
                axis.axvspan(seconds(stretch.begin), seconds(stretch.end), color="#edae49", alpha=0.25)
                axis.annotate(stretch.cause, (seconds(stretch.begin), axis.get_ylim()[1]), va="top", fontsize=8)
        other = axis.twinx()
        medians = [(one, sorted(took for far in one.destinations.values() for took in far.setup_durations)) for one in held]
        other.plot(
            [seconds(one.begin) + width / 2 for one, took in medians if took],
            [took[len(took) // 2] / 10 for _, took in medians if took],
            color="#00798c",
            linewidth=1,
            label="median set-up",
        )
        other.axhline(limit / 10, color="#00798c", linewidth=0.5, linestyle=":")
        other.set_ylabel("ms")
        axis.set_ylabel("dialogs")
        axis.set_title(f"{summary.sources[source].instance}-{summary.sources[source].epoch}", loc="left", fontsize=9)
    axes[0, 0].legend(loc="upper right", fontsize=8)
    axes[-1, 0].set_xlabel("seconds since the process began")
    figure.tight_layout()
    try:
        figure.savefig(path)
    finally:
        pyplot.close(figure)
