"""Prints and draws the summary of `trace summarise`."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..trace.causes import BadStretch, count_destination_failures, slow_limit
from ..trace.stream import Trace
from ..trace.summary import TraceSummary
from .tables import print_table

UNITS_PER_SECOND = 10_000  # times in a trace are in tenths of a millisecond
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_TIME_COLUMNS = 12  # of the table of destinations


def print_summary(trace: Trace, summary: TraceSummary, stretches: list[BadStretch]) -> None:
    """Print service by traffic type, failures by cause, set-up times, failures by destination and the bad stretches."""
    started = trace.header.started
    names = [f"{source.instance}-{source.epoch}" for source in summary.sources]
    print(
        f"{trace.name}: {', '.join(names)}: {(summary.last_time - summary.first_time) / UNITS_PER_SECOND:.1f} s"
        + (f", {summary.gaps} gaps" if summary.gaps else "")
    )
    traffic_types = summary.sources[0].figures["types"]
    print_table(
        "service by traffic type",
        [
            {
                "type": traffic_type,
                "importance": traffic_types[traffic_type][3],
                "came": counts["came"],
                "stood": counts["stood"],
                "in time": counts["in time"],
                "declined": counts["declined"],
                "aborted": counts["aborted"],
                "given up": counts["given up"],
                "cut": counts["cut"],
                "service": round(counts["in time"] / counts["came"], 4) if counts["came"] else "",
            }
            for traffic_type, counts in sorted(summary.by_traffic_type.items())
        ],
    )
    print_table("failed dialogs by cause", [{"cause": cause, "dialogs": count} for cause, count in summary.causes.most_common()])
    histograms = [
        (name, histogram)
        for name, histogram in (
            ("set-up, direct", summary.setup_histograms[True]),
            ("set-up, over a tandem", summary.setup_histograms[False]),
            ("final answer of failed dialogs", summary.failure_histogram),
        )
        if histogram.get_total_count()
    ]
    print_table(
        "times in ms",
        [
            {
                "of": name,
                "many": histogram.get_total_count(),
                **{
                    f"p{percentile:g}": round(histogram.get_value_at_percentile(percentile) / 1000, 1) for percentile in PERCENTILES
                },
                "most": round(histogram.get_max_value() / 1000, 1),
            }
            for name, histogram in histograms
        ],
    )
    _print_destinations(summary, started)
    for stretch in stretches:
        print(
            f"bad stretch at {names[stretch.source]}, {(stretch.begin - started) / UNITS_PER_SECOND:.1f} s to "
            f"{(stretch.end - started) / UNITS_PER_SECOND:.1f} s: {stretch.arrived} dialogs, "
            f"{stretch.lost} lost, {stretch.failures} failures; "
            f"likeliest cause: {stretch.cause}"
        )
        for line in stretch.evidence:
            print(f"    {line}")
    if not stretches:
        print("no bad stretch")


def _print_destinations(summary: TraceSummary, started: int) -> None:
    """Print the destinations with failures; the columns split the whole time into at most a dozen intervals."""
    limit = slow_limit(summary.median_setup(), summary.shortest_objective())
    width = max(summary.interval, -(-(summary.last_time - summary.first_time + 1) // MAX_TIME_COLUMNS))
    failures: dict[int, dict[int, int]] = {}  # by destination and column
    legs: dict[int, int] = {}
    for time_slice in summary.all_slices():
        column = max(0, time_slice.begin - summary.first_time) // width
        for number, stats in time_slice.destinations.items():
            legs[number] = legs.get(number, 0) + stats.legs
            count = count_destination_failures(stats, limit) + stats.overtaken + stats.lost_no_circuit
            if count:
                row = failures.setdefault(number, {})
                row[column] = row.get(column, 0) + count
    columns = range(-(-(summary.last_time - summary.first_time + 1) // width))
    print_table(
        "failures by far end over time (seconds)",
        [
            {
                "far end": number,
                "legs": legs[number],
                **{
                    f"{(summary.first_time - started + column * width) / UNITS_PER_SECOND:.0f}": row.get(column, "")
                    for column in columns
                },
            }
            for number, row in sorted(failures.items())
        ],
    )


def draw_chart(trace: Trace, summary: TraceSummary, stretches: list[BadStretch], path: Path) -> None:
    """Draw dialogs, lost dialogs and median set-up times over time, with bad stretches shaded.

    Raises ValueError for an unsupported file type, OSError if the file cannot be written.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    started, limit = trace.header.started, slow_limit(summary.median_setup(), summary.shortest_objective())
    figure, axes = pyplot.subplots(len(summary.sources), 1, figsize=(11, 3 * len(summary.sources)), squeeze=False, sharex=True)

    def seconds(time: float) -> float:
        return (time - started) / UNITS_PER_SECOND

    for source, axis in enumerate(axes[:, 0]):
        slices = [time_slice for time_slice in summary.all_slices() if time_slice.source == source]
        begins = [seconds(time_slice.begin) for time_slice in slices]
        width = summary.interval / UNITS_PER_SECOND

        def bars(
            value: Callable[[Any], float],
            colour: str,
            label: str,
            axis: Any = axis,
            slices: Any = slices,
            begins: Any = begins,
            width: float = width,
        ) -> None:
            axis.bar(begins, [value(time_slice) for time_slice in slices], width, align="edge", color=colour, label=label)

        bars(lambda time_slice: time_slice.arrived + time_slice.turned_away, "#c8d3e0", "dialogs")
        bars(lambda time_slice: time_slice.lost, "#d1495b", "lost")
        for stretch in stretches:
            if stretch.source == source:
                axis.axvspan(seconds(stretch.begin), seconds(stretch.end), color="#edae49", alpha=0.25)
                axis.annotate(stretch.cause, (seconds(stretch.begin), axis.get_ylim()[1]), va="top", fontsize=8)
        time_axis = axis.twinx()
        durations_by_slice = [
            (time_slice, sorted(duration for stats in time_slice.destinations.values() for duration in stats.setup_durations))
            for time_slice in slices
        ]
        time_axis.plot(
            [seconds(time_slice.begin) + width / 2 for time_slice, durations in durations_by_slice if durations],
            [durations[len(durations) // 2] / 10 for _, durations in durations_by_slice if durations],
            color="#00798c",
            linewidth=1,
            label="median set-up",
        )
        time_axis.axhline(limit / 10, color="#00798c", linewidth=0.5, linestyle=":")
        time_axis.set_ylabel("ms")
        axis.set_ylabel("dialogs")
        axis.set_title(f"{summary.sources[source].instance}-{summary.sources[source].epoch}", loc="left", fontsize=9)
    axes[0, 0].legend(loc="upper right", fontsize=8)
    axes[-1, 0].set_xlabel("seconds since the process started")
    figure.tight_layout()
    try:
        figure.savefig(path)
    finally:
        pyplot.close(figure)
