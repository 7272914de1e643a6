"""`gingergap trace ...`: inspect, convert and replay traces."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from .errors import SingleLineErrorGroup, fail

PATH = click.Path(path_type=Path)
files_argument = click.argument("files", type=PATH, nargs=-1, required=True)
UNITS_PER_SECOND = 10_000  # times in a trace are in tenths of a millisecond


@click.group(cls=SingleLineErrorGroup)
def trace() -> None:
    """Traces of the events and decisions of proxies' decision modules. FILES are parts of traces, or folders of them."""


def _open(files: tuple[Path, ...]) -> list[Any]:
    from ..trace.stream import open_traces

    return open_traces(files)


def _open_single(files: tuple[Path, ...]) -> Any:
    """The only trace in the files: the parts of one process, or one merged or cut file."""
    traces = _open(files)
    if len(traces) > 1:
        fail(
            f"the files are of more than one process ({', '.join(trace.name for trace in traces)}): give the parts of one, "
            "or merge them"
        )
    return traces[0]


def _print_corruption(traces: list[Any]) -> None:
    for trace in traces:
        for line in trace.corruption_messages():
            click.echo(line)


def _trace_time(trace: Any, seconds: float | None) -> int | None:
    """Seconds since the start of the process as a time of the trace."""
    return None if seconds is None else trace.header.started + round(seconds * UNITS_PER_SECOND)


from_option = click.option("--from", "since", type=float, default=None, help="Seconds since the process started.")
to_option = click.option("--to", "until", type=float, default=None, help="Seconds since the process started.")


@trace.command("info")
@files_argument
def info(files: tuple[Path, ...]) -> None:
    """Show the source of each trace, its module, its time range, and whether it is intact."""
    from .tables import print_table

    rows = []
    for trace in _open(files):
        for reader in trace.readers:
            summaries = reader.block_summaries()
            for source in trace.sources:
                rows.append(
                    {
                        "file": reader.path.name,
                        "instance": source.instance,
                        "epoch": source.epoch,
                        "module": source.module[:8],
                        "from_s": round((summaries[0][1].first_time - trace.header.started) / UNITS_PER_SECOND, 1)
                        if summaries
                        else 0,
                        "to_s": round((summaries[-1][1].last_time - trace.header.started) / UNITS_PER_SECOND, 1)
                        if summaries
                        else 0,
                        "records": sum(summary.record_count for _, summary in summaries),
                        "states": sum(summary.snapshot_count for _, summary in summaries),
                        "clock": f"{source.offset} +-{source.uncertain:g}" if trace.merged else "",
                        "ends": f"byte {reader.corruption.offset}: {reader.corruption.reason}" if reader.corruption else "in order",
                    }
                )
        trace.close()
    print_table("trace", rows)


@trace.command("show")
@files_argument
@from_option
@to_option
@click.option("--dialog", type=int, default=None, help="Only the records of this dialog.")
@click.option("--at", "position", type=int, default=None, help="The records around this position of one file, as given in spans.")
@click.option(
    "--around",
    type=click.IntRange(0, 10_000),
    default=15,
    show_default=True,
    help="With --at: the number of records before and after.",
)
def show(
    files: tuple[Path, ...], since: float | None, until: float | None, dialog: int | None, position: int | None, around: int
) -> None:
    """Show events and decisions, one line each. Blocks outside the time range or without the dialog are not unpacked."""
    from ..trace.query import records_around, select
    from ..trace.replay import format_record

    for trace in _open(files):
        started, names = trace.header.started, [f"{source.instance} " if trace.merged else "" for source in trace.sources]
        if position is not None:
            for index, entry in records_around(trace, position, around):
                mark = ">" if index == position else " "
                click.echo(
                    f"{mark}{index:8d} {(entry.time - started) / UNITS_PER_SECOND:10.4f}  "
                    f"{names[entry.source]}{format_record(entry.record)}"
                )
            continue
        for entry in select(trace, _trace_time(trace, since), _trace_time(trace, until), dialog):
            click.echo(f"{(entry.time - started) / UNITS_PER_SECOND:10.4f}  {names[entry.source]}{format_record(entry.record)}")
        _print_corruption([trace])


@trace.command("cut")
@files_argument
@click.option("--out", type=PATH, required=True, help="The new file.")
@from_option
@to_option
@click.option("--dialog", "dialogs", type=int, multiple=True, help="Only the records of these dialogs.")
@click.option("--far", type=int, default=None, help="Only the records of dialogs with this destination, or with a leg to it.")
@click.option("--bare", is_flag=True, help="Leave out what only a replay needs: smaller, but it cannot be replayed.")
def cut_(
    files: tuple[Path, ...],
    out: Path,
    since: float | None,
    until: float | None,
    dialogs: tuple[int, ...],
    far: int | None,
    bare: bool,
) -> None:
    """Write a part of a trace, selected by time, dialog or destination, that can be replayed by itself."""
    from ..trace.cut import cut, resolve_selection

    trace = _open_single(files)
    selection = resolve_selection(trace, _trace_time(trace, since), _trace_time(trace, until), frozenset(dialogs), far)
    writer = cut(trace, selection, out, bare)
    _print_corruption([trace])
    click.echo(
        f"{out}: {writer.record_count} records, {writer.writer.size} bytes"
        + (f", {len(selection.focus)} dialogs" if selection.focus else "")
    )


@trace.command("merge")
@files_argument
@click.option("--out", type=PATH, required=True, help="The new file.")
def merge_(files: tuple[Path, ...], out: Path) -> None:
    """Merge the traces of several proxies on a common clock; clock offsets are estimated from the messages between them."""
    from ..trace.merge import count_reordered, merge
    from ..trace.stream import open_traces
    from .tables import print_table

    traces = _open(files)
    merged = merge(traces, out)
    _print_corruption(traces)
    base = min(source.wall for source in merged.sources)
    print_table(
        "clocks against the first one",
        [
            {
                "instance": source.instance,
                "epoch": source.epoch,
                "offset_ms": round((source.offset + source.started - (source.wall - base) * UNITS_PER_SECOND) / 10, 2),
                "drift_ppm": round(source.drift * 100, 2),
                "within_ms": round(source.uncertain / 10, 2) if source.uncertain >= 0 else "unknown",
            }
            for source in merged.sources
        ],
    )
    messages, reordered = count_reordered(open_traces([out])[0])
    click.echo(
        f"{out}: {merged.records} records, {messages} messages between proxies, {reordered} received before sent, "
        f"{merged.held_back} held back"
    )
    if merged.relaxed_by:
        click.echo(
            f"no steady clocks fit: one deviates by {merged.relaxed_by / 10:.1f} ms more than allowed; was it set meanwhile?"
        )
    if merged.forced:
        click.echo(
            f"{merged.forced} records could not be placed after the records that they follow: the traces contradict themselves"
        )
    sys.exit(1 if reordered else 0)


@trace.command("anonymise")
@files_argument
@click.option(
    "--key",
    type=PATH,
    required=True,
    help="A file with the run's key, at least 16 bytes. Whoever has it can map numbers the same way again.",
)
@click.option("--out", type=PATH, required=True, help="Folder for the new files.")
def anonymise_(files: tuple[Path, ...], key: Path, out: Path) -> None:
    """Replace calling and called numbers by others of the same form, equal numbers by equal ones."""
    from ..trace.anonymise import NumberCipher, anonymise

    try:
        numbers = NumberCipher(key.read_bytes().strip())
    except ValueError as error:
        fail(f"{key}: {error}")
    traces = _open(files)
    for trace in traces:
        if any(reader.path.resolve().parent == out.resolve() for reader in trace.readers):
            fail(f"{out}: the folder holds the originals; give another one")
    for trace in traces:
        for writer in anonymise(trace, numbers, out):
            click.echo(f"{writer.path}: {writer.record_count} records")
        _print_corruption([trace])


@trace.command("replay")
@files_argument
@click.option("--module", type=PATH, default=None, help="Another version of call_controller.py: count the decisions that differ.")
def replay_(files: tuple[Path, ...], module: Path | None) -> None:
    """Feed the events to this program's module and compare each decision: exit 0 if all are equal, 1 if any differs."""
    import time

    from ..trace.replay import replay

    traces = _open(files)
    for trace in traces:
        if trace.header.bare:
            fail(f"{trace.name}: a bare cut can't be replayed")
    if module is not None:
        sys.exit(_compare(traces, module))
    begin = time.perf_counter()
    different = False
    events = decisions = 0
    for trace in traces:
        for result in replay(trace.sources, trace.entries(), trace.from_start):
            events, decisions = events + result.events, decisions + result.actions
            click.echo(
                f"{result.source.instance}-{result.source.epoch}: {result.events} events, {result.actions} decisions compared, "
                f"{result.duration / UNITS_PER_SECOND:.1f} s"
                + (
                    f", {result.gaps} gaps, {result.skipped_events} events skipped, {result.resumed} states restored"
                    if result.gaps or result.resumed
                    else ""
                )
            )
            if result.difference is not None:
                different = True
                _print_difference(result.difference, trace.header.started)
        _print_corruption([trace])
    click.echo(
        f"{events} events, {decisions} decisions compared in {time.perf_counter() - begin:.2f} s: "
        + ("a difference" if different else "all alike")
    )
    sys.exit(1 if different else 0)


def _print_difference(difference: Any, started: int) -> None:
    from ..trace.replay import format_record

    def format_action(record: list[Any] | None) -> str:
        return format_record(record).strip().removeprefix("-> ") if record else "nothing"

    click.echo(f"record {difference.record_index} differs")
    for record in difference.before:
        click.echo(f"  {format_record(record)}")
    click.echo(f"  noted: {format_action(difference.recorded)}")
    click.echo(f"  replayed: {format_action(difference.replayed)}")


def _compare(traces: list[Any], path: Path) -> int:
    """Print where the module at `path` decides differently from the recorded decisions; returns the exit status."""
    from ..trace.compare import compare, module_at
    from ..trace.replay import format_record
    from .tables import print_table

    other = module_at(path)
    different = False
    for trace in traces:
        found = compare(trace.sources, trace.entries(), trace.from_start, other)
        click.echo(
            f"{trace.name}: {found.events} events, {found.decisions} decisions, "
            f"importance {found.established_importance:g} stood in time"
        )
        _print_corruption([trace])
        if not found.kinds:
            click.echo("  all alike")
            continue
        different = True
        kinds = sorted(found.kinds.items(), key=lambda item: -item[1].count)
        print_table(
            "differences",
            [
                {
                    "noted -> other": name,
                    "many": kind.count,
                    "lost": round(kind.lost_importance, 2),
                    "at_most_gained": round(kind.max_gained_importance, 2),
                    "as noted": ", ".join(f"{count} {outcome}" for outcome, count in kind.outcomes.most_common()),
                }
                for name, kind in kinds
            ],
        )
        for name, kind in kinds:
            for example in kind.examples[:1]:
                click.echo(
                    f"  {name}: record {example.record_index}, {(example.time - trace.header.started) / UNITS_PER_SECOND:.4f} s: "
                    + "; ".join(
                        f"{label} {format_record(action).strip().removeprefix('-> ') if action else 'nothing'}"
                        for label, action in (("noted", example.recorded), ("other", example.other))
                    )
                )
    return 1 if different else 0


@trace.command("diff")
@click.argument("left", type=PATH)
@click.argument("right", type=PATH)
def diff(left: Path, right: Path) -> None:
    """Compare two traces: exit 0 if they are equal, or 1 with the first record that differs."""
    from ..trace.diff import diff_traces
    from ..trace.replay import format_record

    found = diff_traces(_open_single((left,)), _open_single((right,)))
    for line in found.headers:
        click.echo(f"header: {line}")
    if found.record_index < 0:
        click.echo(f"{found.records} records, all alike")
        return
    click.echo(f"record {found.record_index} of {found.records} differs")
    for record in found.before:
        click.echo(f"  {format_record(record)}")
    click.echo(f"  {left}: {format_record(found.left).strip() if found.left else 'ends here'}")
    click.echo(f"  {right}: {format_record(found.right).strip() if found.right else 'ends here'}")
    for name, left_count, right_count in found.counts:
        click.echo(f"  {name}: {left_count} and {right_count}")
    sys.exit(1)


@trace.command("summarise")
@files_argument
@click.option("--span", type=click.FloatRange(0.1, 3_600), default=1.0, show_default=True, help="Length of an interval in seconds.")
@click.option("--chart", type=PATH, default=None, help="Also draw a chart into this .svg, .png or .pdf file.")
def summarise(files: tuple[Path, ...], span: float, chart: Path | None) -> None:
    """Show service, failures by cause, set-up times, failures by far end over time, and the likeliest cause of each bad stretch."""
    from ..trace.causes import find_bad_stretches
    from ..trace.summary import TraceSummary
    from .trace_tables import draw_chart, print_summary

    for trace in _open(files):
        summary = TraceSummary(trace.sources, round(span * UNITS_PER_SECOND))
        for entry in trace.entries():
            summary.add(entry)
        summary.finish()
        stretches = find_bad_stretches(summary.all_slices(), summary.interval, summary.median_setup(), summary.shortest_objective())
        print_summary(trace, summary, stretches)
        _print_corruption([trace])
        if chart is not None:
            chart_path = (
                chart if len(files) == 1 and not chart.is_dir() else chart.with_name(f"{chart.stem}-{trace.name}{chart.suffix}")
            )
            try:
                draw_chart(trace, summary, stretches, chart_path)
            except ValueError as error:
                fail(f"{chart_path}: {error}")
            click.echo(f"{chart_path}: drawn")


@trace.command("spans")
@files_argument
@click.option("--out", type=PATH, required=True, help="File for the spans, with one JSON object per line.")
@click.option("--slower", type=float, default=None, help="Only dialogs whose final answer took at least this many ms.")
def spans(files: tuple[Path, ...], out: Path, slower: float | None) -> None:
    """Write every dialog as a tree of OpenTelemetry spans (dialog, legs, waits), each with its position in the trace."""
    from ..spans.export import SpanFileWriter
    from ..spans.tree import span_trees

    with SpanFileWriter(out) as exporter:
        for trace in _open(files):
            for tree in span_trees(trace):
                if slower is None or tree.duration >= slower * 10:
                    exporter.write(tree)
            _print_corruption([trace])
    click.echo(f"{out}: {exporter.dialogs} dialogs, {exporter.spans} spans")


@trace.command("from-tap")
@click.argument("tap", type=PATH)
@click.option("--out", type=PATH, required=True, help="Folder for a trace of each proxy.")
def from_tap(tap: Path, out: Path) -> None:
    """Convert a wire capture of a bench run into traces: exit 0, or 1 if this module's replies differ from the recorded ones."""
    from ..trace.wire_capture import convert_wire_capture

    conversion = convert_wire_capture(tap, out)
    for path, records in conversion.written:
        click.echo(f"{path}: {records} records")
    click.echo(f"{conversion.batches} batches, {conversion.replies} replies compared, {conversion.different} differ")
    if conversion.first_difference:
        click.echo(conversion.first_difference)
    sys.exit(1 if conversion.different else 0)


def _query(path: str, question: str) -> Any:
    from ..control.client import NoAnswerError, ask

    try:
        return ask(path, question)
    except NoAnswerError as error:
        fail(str(error))


control_option = click.option("--control", required=True, help="Path of the proxy's control socket.")


def _add_recording_command(name: str, question: str, help_text: str) -> Callable[..., None]:
    @trace.command(name, help=help_text)
    @control_option
    def command(control: str) -> None:
        from .tables import print_table

        print_table("recording", [_query(control, question)])

    return command


_add_recording_command("on", "trace on", "Start recording; a snapshot of the module's state precedes the next event.")
_add_recording_command("off", "trace off", "Stop recording; the trace has a gap until recording is started again.")
_add_recording_command("state", "trace", "Show whether a running proxy records, where, and how much.")


@trace.command("metrics")
@control_option
def metrics(control: str) -> None:
    """Print counts and set-up times of a running proxy, in Prometheus text format."""
    click.echo(_query(control, "metrics"), nl=False)


@trace.command("remark")
@control_option
@click.argument("text")
def remark(control: str, text: str) -> None:
    """Write TEXT into the trace of a running proxy, as a marker between the events."""
    click.echo(_query(control, f"remark {text}"))
