"""`gingergap trace ...`: what operators do with traces."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from .lines import Group, fail

FILE = click.Path(path_type=Path)
FILES = click.argument("files", type=FILE, nargs=-1, required=True)
UNIT = 10_000


@click.group(cls=Group)
def trace() -> None:
    """Traces of what proxies' decision modules saw and decided. FILES are parts, or folders of them."""


def _opened(files: tuple[Path, ...]) -> list[Any]:
    from ..trace.stream import opened

    return opened(files)


def _one(files: tuple[Path, ...]) -> Any:
    """One process's parts, or one merged or cut file."""
    traces = _opened(files)
    if len(traces) > 1:
        fail(
            f"the files are of more than one process ({', '.join(one.name for one in traces)}): give the parts of one, "
            "or merge them"
        )
    return traces[0]


def _breaks(traces: list[Any]) -> None:
    for one in traces:
        for line in one.breaks():
            click.echo(line)


def _since(one: Any, seconds: float | None) -> int | None:
    return None if seconds is None else one.header.started + round(seconds * UNIT)


FROM = click.option("--from", "since", type=float, default=None, help="Seconds since the process began.")
TO = click.option("--to", "until", type=float, default=None, help="Seconds since the process began.")


@trace.command("info")
@FILES
def info(files: tuple[Path, ...]) -> None:
    """Whose traces, which module, how long, and whether they are whole."""
    from .tables import rows

    lines = []
    for one in _opened(files):
        for reader in one.readers:
            stretches = reader.stretches()
            for source in one.sources:
                lines.append(
                    {
                        "file": reader.path.name,
                        "instance": source.instance,
                        "epoch": source.epoch,
                        "module": source.module[:8],
                        "from_s": round((stretches[0][1].first - one.header.started) / UNIT, 1) if stretches else 0,
                        "to_s": round((stretches[-1][1].last - one.header.started) / UNIT, 1) if stretches else 0,
                        "records": sum(frame.records for _, frame in stretches),
                        "states": sum(frame.snapshots for _, frame in stretches),
                        "clock": f"{source.offset} +-{source.uncertain:g}" if one.merged else "",
                        "ends": f"byte {reader.broken.at}: {reader.broken.why}" if reader.broken else "in order",
                    }
                )
        one.close()
    rows("trace", lines)


@trace.command("show")
@FILES
@FROM
@TO
@click.option("--dialog", type=int, default=None, help="One dialog's records alone.")
@click.option("--at", "place", type=int, default=None, help="The records about this place of one file, as spans name it.")
@click.option("--around", type=click.IntRange(0, 10_000), default=15, show_default=True, help="How many, with --at.")
def show(
    files: tuple[Path, ...], since: float | None, until: float | None, dialog: int | None, place: int | None, around: int
) -> None:
    """Events and what was decided, one line each. Blocks outside the window or without the dialog are not unpacked."""
    from ..trace.replay import words
    from ..trace.window import at_place, select

    for one in _opened(files):
        began, names = one.header.started, [f"{source.instance} " if one.merged else "" for source in one.sources]
        if place is not None:
            for where, entry in at_place(one, place, around):
                mark = ">" if where == place else " "
                click.echo(f"{mark}{where:8d} {(entry.now - began) / UNIT:10.4f}  {names[entry.source]}{words(entry.record)}")
            continue
        for entry in select(one, _since(one, since), _since(one, until), dialog):
            click.echo(f"{(entry.now - began) / UNIT:10.4f}  {names[entry.source]}{words(entry.record)}")
        _breaks([one])


@trace.command("cut")
@FILES
@click.option("--out", type=FILE, required=True, help="The new file.")
@FROM
@TO
@click.option("--dialog", "dialogs", type=int, multiple=True, help="The lives of these dialogs.")
@click.option("--far", type=int, default=None, help="The lives of dialogs that went or tried to go to this exchange.")
@click.option("--bare", is_flag=True, help="Without what a replay needs: smaller, to be read only.")
def cut_(
    files: tuple[Path, ...],
    out: Path,
    since: float | None,
    until: float | None,
    dialogs: tuple[int, ...],
    far: int | None,
    bare: bool,
) -> None:
    """A part of a trace, by time, dialog or far end, that can be replayed by itself."""
    from ..trace.cut import cut, span_of

    one = _one(files)
    span = span_of(one, _since(one, since), _since(one, until), frozenset(dialogs), far)
    copy = cut(one, span, out, bare)
    _breaks([one])
    click.echo(f"{out}: {copy.records} records, {copy.writer.size} bytes" + (f", {len(span.focus)} dialogs" if span.focus else ""))


@trace.command("merge")
@FILES
@click.option("--out", type=FILE, required=True, help="The new file.")
def merge_(files: tuple[Path, ...], out: Path) -> None:
    """Several proxies' traces in one, by one clock: offsets are estimated from what passed between them."""
    from ..trace.merge import merge, order
    from ..trace.stream import opened
    from .tables import rows

    traces = _opened(files)
    done = merge(traces, out)
    _breaks(traces)
    base = min(source.wall for source in done.sources)
    rows(
        "clocks against the first one",
        [
            {
                "instance": source.instance,
                "epoch": source.epoch,
                "offset_ms": round((source.offset + source.started - (source.wall - base) * UNIT) / 10, 2),
                "drift_ppm": round(source.drift * 100, 2),
                "within_ms": round(source.uncertain / 10, 2) if source.uncertain >= 0 else "unknown",
            }
            for source in done.sources
        ],
    )
    many, turned = order(opened([out])[0])
    click.echo(f"{out}: {done.records} records, {many} crossings, {turned} turned round, {done.held_back} held back")
    if done.given_up:
        click.echo(f"no steady clocks fit: one was off by {done.given_up / 10:.1f} ms more than it may; was it set?")
    if done.forced:
        click.echo(f"{done.forced} records could not wait for what they say they came after: the traces contradict themselves")
    sys.exit(1 if turned else 0)


@trace.command("anonymise")
@FILES
@click.option("--key", type=FILE, required=True, help="A file with the run's key, 16 bytes or more; keep it or lose it.")
@click.option("--out", type=FILE, required=True, help="Folder for the new files.")
def anonymise_(files: tuple[Path, ...], key: Path, out: Path) -> None:
    """Callers' and called numbers replaced by others of the same form, the same ones always by the same."""
    from ..trace.anonymise import Numbers, anonymise

    try:
        numbers = Numbers(key.read_bytes().strip())
    except ValueError as error:
        fail(f"{key}: {error}")
    traces = _opened(files)
    for one in traces:
        if any(reader.path.resolve().parent == out.resolve() for reader in one.readers):
            fail(f"{out}: the originals are there; name another folder")
    for one in traces:
        for copy in anonymise(one, numbers, out):
            click.echo(f"{copy.path}: {copy.records} records")
        _breaks([one])


@trace.command("replay")
@FILES
@click.option("--module", type=FILE, default=None, help="Another version of call_controller.py: count where it decides otherwise.")
def replay_(files: tuple[Path, ...], module: Path | None) -> None:
    """Feed the events to this program's module and compare each decision: exit 0 with all alike, 1 with a difference."""
    import time

    from ..trace.replay import replay

    traces = _opened(files)
    for one in traces:
        if one.header.bare:
            fail(f"{one.name}: a bare cut can't be replayed")
    if module is not None:
        sys.exit(_compared(traces, module))
    began = time.perf_counter()
    different = False
    events = decisions = 0
    for one in traces:
        for done in replay(one.sources, one.entries(), one.whole):
            events, decisions = events + done.events, decisions + done.actions
            click.echo(
                f"{done.source.instance}-{done.source.epoch}: {done.events} events, {done.actions} decisions compared, "
                f"{done.span / UNIT:.1f} s"
                + (
                    f", {done.gaps} gaps, {done.passed_over} events passed over, {done.resumed} states taken up"
                    if done.gaps or done.resumed
                    else ""
                )
            )
            if done.difference is not None:
                different = True
                _show(done.difference, one.header.started)
        _breaks([one])
    click.echo(
        f"{events} events, {decisions} decisions compared in {time.perf_counter() - began:.2f} s: "
        + ("a difference" if different else "all alike")
    )
    sys.exit(1 if different else 0)


def _show(difference: Any, began: int) -> None:
    from ..trace.replay import words

    def bare(record: list[Any] | None) -> str:
        return words(record).strip().removeprefix("-> ") if record else "nothing"

    click.echo(f"record {difference.place} differs")
    for record in difference.before:
        click.echo(f"  {words(record)}")
    click.echo(f"  noted: {bare(difference.noted)}")
    click.echo(f"  asked: {bare(difference.asked)}")


def _compared(traces: list[Any], path: Path) -> int:
    from ..trace.compare import compare, module_at
    from ..trace.replay import words
    from .tables import rows

    other = module_at(path)
    different = False
    for one in traces:
        found = compare(one.sources, one.entries(), one.whole, other)
        click.echo(f"{one.name}: {found.events} events, {found.decisions} decisions, importance {found.stood:g} stood in time")
        _breaks([one])
        if not found.kinds:
            click.echo("  all alike")
            continue
        different = True
        kinds = sorted(found.kinds.items(), key=lambda item: -item[1].many)
        rows(
            "differences",
            [
                {
                    "noted -> other": name,
                    "many": kind.many,
                    "lost": round(kind.lost, 2),
                    "at_most_gained": round(kind.at_most_gained, 2),
                    "as noted": ", ".join(f"{many} {what}" for what, many in kind.outcomes.most_common()),
                }
                for name, kind in kinds
            ],
        )
        for name, kind in kinds:
            for example in kind.examples[:1]:
                click.echo(
                    f"  {name}: record {example.place}, {(example.now - one.header.started) / UNIT:.4f} s: "
                    + "; ".join(
                        f"{who} {words(action).strip().removeprefix('-> ') if action else 'nothing'}"
                        for who, action in (("noted", example.noted), ("other", example.asked))
                    )
                )
    return 1 if different else 0


@trace.command("diff")
@click.argument("left", type=FILE)
@click.argument("right", type=FILE)
def diff(left: Path, right: Path) -> None:
    """Whether two traces say the same: exit 0, or 1 with the first record that differs."""
    from ..trace.difference import difference
    from ..trace.replay import words

    found = difference(_one((left,)), _one((right,)))
    for line in found.headers:
        click.echo(f"header: {line}")
    if found.place < 0:
        click.echo(f"{found.records} records, all alike")
        return
    click.echo(f"record {found.place} of {found.records} differs")
    for record in found.before:
        click.echo(f"  {words(record)}")
    click.echo(f"  {left}: {words(found.left).strip() if found.left else 'is over'}")
    click.echo(f"  {right}: {words(found.right).strip() if found.right else 'is over'}")
    for name, here, there in found.counts:
        click.echo(f"  {name}: {here} and {there}")
    sys.exit(1)


@trace.command("summarise")
@FILES
@click.option("--span", type=click.FloatRange(0.1, 3_600), default=1.0, show_default=True, help="Seconds counted together.")
@click.option("--chart", type=FILE, default=None, help="Also draw it into this .svg, .png or .pdf file.")
def summarise(files: tuple[Path, ...], span: float, chart: Path | None) -> None:
    """Service, declines by cause, set-up times, far ends' troubles over time, and the likeliest cause of each bad stretch."""
    from ..trace.causes import bad_stretches
    from ..trace.tally import Tally
    from .trace_tables import draw, tables

    for one in _opened(files):
        tally = Tally(one.sources, round(span * UNIT))
        for entry in one.entries():
            tally.take(entry)
        tally.end()
        stretches = bad_stretches(tally.all_slices(), tally.span, tally.usual(), tally.objective())
        tables(one, tally, stretches)
        _breaks([one])
        if chart is not None:
            name = chart if len(files) == 1 and not chart.is_dir() else chart.with_name(f"{chart.stem}-{one.name}{chart.suffix}")
            try:
                draw(one, tally, stretches, name)
            except ValueError as error:
                fail(f"{name}: {error}")
            click.echo(f"{name}: drawn")


@trace.command("spans")
@FILES
@click.option("--out", type=FILE, required=True, help="File for the spans, a JSON object a line.")
@click.option("--slower", type=float, default=None, help="Only dialogs whose final answer took more than so many ms.")
def spans(files: tuple[Path, ...], out: Path, slower: float | None) -> None:
    """Every dialog as a tree of spans (dialog, legs, waits), in OpenTelemetry's form, each with its place in the trace."""
    from ..spans.export import FileSpans
    from ..spans.tree import trees

    with FileSpans(out) as exporter:
        for one in _opened(files):
            for tree in trees(one):
                if slower is None or tree.length >= slower * 10:
                    exporter.put(tree)
            _breaks([one])
    click.echo(f"{out}: {exporter.dialogs} dialogs, {exporter.spans} spans")


@trace.command("from-tap")
@click.argument("tap", type=FILE)
@click.option("--out", type=FILE, required=True, help="Folder for a trace of each proxy.")
def from_tap(tap: Path, out: Path) -> None:
    """Turn the recorded wire of a bench run into traces: exit 0, or 1 where this module's replies differ from those recorded."""
    from ..trace.tap import converted

    done = converted(tap, out)
    for path, records in done.written:
        click.echo(f"{path}: {records} records")
    click.echo(f"{done.batches} batches, {done.replies} replies compared, {done.differ} differ")
    if done.first:
        click.echo(done.first)
    sys.exit(1 if done.differ else 0)


def _ask(path: str, what: str) -> Any:
    from ..control.client import NoAnswerError, ask

    try:
        return ask(path, what)
    except NoAnswerError as error:
        fail(str(error))


CONTROL = click.option("--control", required=True, help="The proxy's control socket.")


def _switch(name: str, what: str, text: str) -> Callable[..., None]:
    @trace.command(name, help=text)
    @CONTROL
    def command(control: str) -> None:
        from .tables import rows

        rows("recording", [_ask(control, what)])

    return command


_switch("on", "trace on", "Record from now on: the next event is preceded by the module's state.")
_switch("off", "trace off", "Stop recording; what passes is a gap in the trace.")
_switch("state", "trace", "Whether a running proxy records, where, and how much.")


@trace.command("metrics")
@CONTROL
def metrics(control: str) -> None:
    """Counts and set-up times of a running proxy, in Prometheus's text form."""
    click.echo(_ask(control, "metrics"), nl=False)


@trace.command("remark")
@CONTROL
@click.argument("text")
def remark(control: str, text: str) -> None:
    """Note TEXT in a running proxy's trace, to be found again among what happened."""
    click.echo(_ask(control, f"remark {text}"))
