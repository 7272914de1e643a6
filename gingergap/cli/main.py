"""All sub-commands. Heavy parts are imported where they are used, so that `--help` answers at once."""

import json
import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from ..settings.forms import BadSettingsError, Form
from .store import store
from .trace import trace

FILE = click.Path(path_type=Path)


def _fail(lines: list[str], code: int = 2) -> NoReturn:
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def _read(path: Path, **kinds: type[Form]) -> Any:
    from ..settings.forms import read

    try:
        return read(path, **kinds)
    except BadSettingsError as bad:
        _fail(bad.errors)


@click.group()
@click.version_option(package_name="gingergap")
def main() -> None:
    """A call router that sets calls up over trunk groups for private voice networks."""


@main.group()
def edge() -> None:
    """The signalling proxy."""


@edge.command("run")
@click.option("--settings", required=True, type=FILE, help="The (edge ...) file.")
def edge_run(settings: Path) -> None:
    """Run one signalling proxy until it is told to end; SIGTERM drains it."""
    from ..settings.edge import EdgeForm

    form = _read(settings, edge=EdgeForm)
    import gc

    from ..edge.serve import EdgeProcess
    from .logs import configure_logging

    gc.collect()
    gc.freeze()  # what is loaded stays: the collector needn't look at it again
    gc.set_threshold(5_000, 10, 1_000)  # short looks: calls leave no rings behind, and one at all costs tens of ms
    sys.exit(EdgeProcess(form, configure_logging(form.log_level)).run())


@main.command("serve")
@click.option("--belief", is_flag=True, help="Log once a second what the module believes beside what passed.")
def serve(belief: bool) -> None:
    """Run one proxy as a platform starts it, by LB_CONFIG; `python -m gingergap serve` loads less."""
    from ..service.process import main as run

    sys.exit(run(belief))


@main.group()
def settings() -> None:
    """Settings files."""


@settings.command("check")
@click.argument("file", type=FILE)
def settings_check(file: Path) -> None:
    """Check a settings file: exit 0, or 2 with a line for each fault."""
    from ..settings.day import DayForm, StandinForm
    from ..settings.edge import EdgeForm

    form = _read(file, edge=EdgeForm, day=DayForm, standin=StandinForm)
    click.echo(f"{file}: a whole ({type(form).__name__.removesuffix('Form').lower()} ...) form")


@main.group()
def standin() -> None:
    """Stand-ins for what a proxy meets on a scripted day."""


def _standin(path: Path) -> tuple[Any, Any]:
    from ..settings.day import DayForm, StandinForm
    from ..standins.script import Plan

    form = _read(path, standin=StandinForm)
    day = _read(Path(form.day), day=DayForm)
    return form, Plan(day, form.seed)


def _places(form: Any) -> tuple[list[tuple[str, int]], list[tuple[str, int]], dict[tuple[str, int], int]]:
    """Proxies, exchanges' addresses, and which exchange number an address belongs to."""
    from ..sip.fields import parse_host_port

    proxies = [parse_host_port(text) for text in form.places.proxy]
    exchanges = [parse_host_port(text) for text in form.places.exchange]
    homes = {address: number for number, address in enumerate(proxies)}
    homes |= {address: place // 2 for place, address in enumerate(exchanges)}
    return proxies, exchanges, homes


SETTINGS = click.option("--settings", required=True, type=FILE, help="The (standin ...) file.")


@standin.command("exchange")
@SETTINGS
def standin_exchange(settings: Path) -> None:
    """Play one exchange's machines through a day."""
    form, plan = _standin(settings)
    from ..standins import exchange

    proxies, exchanges, homes = _places(form)
    number = form.number
    exchange.play(
        plan,
        number,
        form.epoch,
        exchanges[2 * number : 2 * number + 2],
        proxies[number],
        {address: place for place, address in enumerate(proxies)},
        homes,
        Path(form.report),
        False,
    )


@standin.command("caller")
@SETTINGS
def standin_caller(settings: Path) -> None:
    """Call from one exchange through a day."""
    form, plan = _standin(settings)
    from ..sip.fields import parse_host_port
    from ..standins import caller

    proxies, _, _ = _places(form)
    caller.play(
        plan, form.number, parse_host_port(form.places.callers[form.number]), proxies[form.number], form.epoch, Path(form.report)
    )


@standin.command("list")
@SETTINGS
def standin_list(settings: Path) -> None:
    """Be the exchange list through a day."""
    form, plan = _standin(settings)
    from ..sip.fields import parse_host_port
    from ..standins import exchange_list

    proxies, _, _ = _places(form)
    addresses = {number: form.places.exchange[2 * number : 2 * number + 2] for number in range(plan.day.exchanges)}
    exchange_list.play(
        plan, parse_host_port(form.places.exchange_list), addresses, form.epoch, frozenset(proxies), Path(form.report)
    )


@main.group()
def day() -> None:
    """Scripted days over real SIP on loopback, with the rules judged from the traffic."""


@day.command("play")
@click.argument("file", type=FILE)
@click.option("--seed", type=int, default=None, help="Draws of the day; the file's own where left out.")
@click.option("--report", type=FILE, default=None, help="Folder for capture.jsonl and report.json.")
@click.option("--stores", type=FILE, default=None, help="Folder of store-N folders with which the proxies begin.")
def day_play(file: Path, seed: int | None, report: Path | None, stores: Path | None) -> None:
    """Play a day and judge it: exit 0 with all rules kept, 1 with one broken, 2 on bad input."""
    import tempfile

    from ..settings.day import DayForm
    from ..standins.player import DayFailedError, Player

    form = _read(file, day=DayForm)
    with tempfile.TemporaryDirectory(prefix="gingergap-day-") as scratch:
        folder = report if report is not None else Path(scratch)
        try:
            Player(form, file, form.seed if seed is None else seed, folder, stores).play()
        except DayFailedError as failed:
            _fail([f"{file}: {failed}"])
        except OSError as error:
            _fail([f"{folder}: {error.strerror or error}"])
        if not form.capture:
            click.echo(f"{folder}: traces written; the traffic was not kept, so no rule is judged")
            return
        sys.exit(_judge(folder))


@day.command("check")
@click.argument("folder", type=FILE)
def day_check(folder: Path) -> None:
    """Judge the capture in a day's folder anew: exits as `day play`."""
    sys.exit(_judge(folder))


@day.command("from-bench")
@click.argument("file", type=FILE)
@click.option("--seconds", type=click.FloatRange(5, 600), default=30, show_default=True, help="Length of the scripted day.")
def day_from_bench(file: Path, seconds: float) -> None:
    """Turn a bench day file into a scripted day on standard output; what is left out goes to standard error."""
    import msgspec

    from ..settings.day import DayForm
    from ..settings.forms import parse
    from ..standins.from_bench import BadDayFileError, scripted
    from ..standins.player import form

    try:
        parts, left = scripted(msgspec.json.decode(file.read_bytes()), seconds)
        text = form("day", **parts)
        parse(text, "the scripted day", day=DayForm)
    except OSError as error:
        _fail([f"{file}: {error.strerror}"])
    except msgspec.DecodeError as error:
        _fail([f"{file}: not JSON: {error}"])
    except BadDayFileError as bad:
        _fail([f"{file}: {bad}"])
    except BadSettingsError as bad:
        _fail([f"{file}: {fault}" for fault in bad.errors])
    for line in left:
        click.echo(f"left out: {line}", err=True)
    click.echo(text)


CONTROL = click.option("--control", required=True, help="The proxy's control socket.")


def _ask(path: str, what: str) -> Any:
    from ..control.client import NoAnswerError, ask

    try:
        return ask(path, what)
    except NoAnswerError as error:
        _fail([str(error)])


@main.group()
def members() -> None:
    """Proxies that coordinate."""


@members.command("show")
@CONTROL
def members_show(control: str) -> None:
    """Who is there, as one proxy sees it."""
    from .tables import print_table

    print_table("members", _ask(control, "members"))


@members.command("leave")
@CONTROL
def members_leave(control: str) -> None:
    """Let one proxy hand its duties over and leave; it goes on serving calls."""
    _ask(control, "leave")
    click.echo("left")


@main.group()
def duties() -> None:
    """Shared periodic duties."""


@duties.command("show")
@CONTROL
def duties_show(control: str) -> None:
    """Who does what under which counter, when it was last done, what is overdue, and what was learned."""
    from .tables import print_table

    print_table("duties", _ask(control, "duties"))
    print_table("learned", _ask(control, "learned"))


@main.command()
@CONTROL
@click.option("--every", type=click.FloatRange(0.1, 60), default=1.0, show_default=True, help="Seconds between looks.")
def watch(control: str, every: float) -> None:
    """Members, duties, far ends and calls a second of one proxy, in the terminal."""
    from .watch import WatchApp

    WatchApp(control, every).run()


@main.command("emulate")
@click.argument("file", type=FILE)
@click.option("--seed", "seeds", type=int, multiple=True, help="Draws of the day; the file's own where left out. May be repeated.")
@click.option(
    "--policy",
    default="module",
    show_default=True,
    help="module, direct, random tandem, reservation, or a version of call_controller.py.",
)
@click.option("--exchanges", type=click.IntRange(2, 2_000), default=None, help="As many exchanges instead of the file's.")
@click.option("--json", "as_json", is_flag=True, help="A JSON object a line.")
def emulate(file: Path, seeds: tuple[int, ...], policy: str, exchanges: int | None, as_json: bool) -> None:
    """Play a day in simulated time: exit 0 with all rules kept, 1 with one broken, 2 on bad input."""
    from ..emulator.day import Day
    from ..emulator.versions import UnknownPolicyError, maker
    from ..settings.day import DayForm
    from .tables import print_table

    form = _read(file, day=DayForm)
    if exchanges is not None:
        form = form.model_copy(update={"exchanges": exchanges})
    kept, lines = True, []
    for seed in seeds or (form.seed,):
        try:
            make = maker(policy, seed, form)
        except UnknownPolicyError as error:
            _fail([f"policy {policy}: {error}"])
        day = Day(form, seed, make).run()
        figures = {"seed": seed, "policy": policy, **day.figures()}
        kept = kept and (day.rules.kept or policy not in ("module",) and not policy.endswith(".py"))
        if as_json:
            click.echo(json.dumps(figures))
            continue
        lines.append(
            {
                "seed": seed,
                **{name: figures[name] for name in ("offered", "stood", "service", "legs_a_dialog", "seconds")},
                "p50 p90 p99 ms": " ".join(f"{value:g}" for value in figures["setup_ms"].values()),
                "rules broken": sum(rule["broken"] for rule in figures["rules"].values()),
            }
        )
        for rule, when, why in day.rules.breaches[:5]:
            click.echo(f"seed {seed}: rule {rule} at {when / 10_000:.3f} s: {why}")
    if lines:
        print_table(f"{form.name}, emulated, {policy}", lines)
    sys.exit(0 if kept else 1)


@main.group()
def experiment() -> None:
    """Many emulated days, compared."""


def _experiment(file: Path, folder: Path) -> Any:
    from ..experiments.cells import BadExperimentError
    from ..experiments.runner import Runner
    from ..settings.day import DayForm
    from ..settings.experiment import ExperimentForm

    form = _read(file, experiment=ExperimentForm)
    day = _read(file.parent / form.day, day=DayForm)
    try:
        runner = Runner(form, day, folder)
    except BadExperimentError as bad:
        _fail([f"{file}: {bad}"])
    except OSError as error:
        _fail([f"{error.filename or folder}: {error.strerror or error}"])
    for line in runner.results.damage:
        click.echo(f"left out, to be run again: {line}", err=True)
    return runner


RESULTS = click.option("--results", required=True, type=FILE, help="Folder of the results; what is there is gone on with.")


@experiment.command("run")
@click.argument("file", type=FILE)
@RESULTS
@click.option("--workers", type=click.IntRange(1, 256), default=None, help="Processes; one a core where left out.")
def experiment_run(file: Path, results: Path, workers: int | None) -> None:
    """Run an experiment, or go on with it: exit 0, 1 where the program's own module broke a rule."""
    import os

    from rich.progress import Progress

    from .tables import print_table

    runner = _experiment(file, results)
    with Progress(transient=True) as progress:
        task = progress.add_task(runner.form.name, total=None)
        runner.told = lambda done, wanted: progress.update(task, completed=done, total=wanted)
        runner.run(workers or os.cpu_count() or 1)
    from ..experiments.report import table

    print_table(runner.form.name, table(runner))
    sys.exit(_broken(runner))


@experiment.command("report")
@click.argument("file", type=FILE)
@RESULTS
@click.option("--out", type=FILE, required=True, help="The page (.html); the chart goes beside it as .png.")
def experiment_report(file: Path, results: Path, out: Path) -> None:
    """Write what an experiment came to as a page and a chart."""
    from ..experiments.report import chart, page

    runner = _experiment(file, results)
    try:
        out.write_text(page(runner))
        out.with_suffix(".png").write_bytes(chart(runner))
    except OSError as error:
        _fail([f"{out}: {error.strerror}"])
    click.echo(f"{out}: {len(runner.results.rows)} emulated days")


@experiment.command("compare")
@click.argument("file", type=FILE)
@RESULTS
def experiment_compare(file: Path, results: Path) -> None:
    """Print the comparisons as far as they are known: exit 0, 1 where the program's own module broke a rule."""
    from ..experiments.report import effects, table
    from .tables import print_table

    runner = _experiment(file, results)
    print_table(runner.form.name, table(runner))
    print_table("what the factors do", effects(runner))
    sys.exit(_broken(runner))


@experiment.command("search")
@click.argument("file", type=FILE)
@click.option("--days", type=click.IntRange(1, 100_000), default=60, show_default=True, help="Days to draw.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--faults", "most", type=click.IntRange(1, 12), default=4, show_default=True, help="Troubles a day, at most.")
@click.option("--out", type=FILE, required=True, help="The worst day, shrunk to the least that still shows it.")
def experiment_search(file: Path, days: int, seed: int, most: int, out: Path) -> None:
    """Draw troubles onto a day and keep the worst: where the module breaks a rule, or serves least against the best baseline.
    Exit 0, 1 where a rule was broken."""
    from ..experiments.search import BROKEN, searched, shrunk
    from ..settings.day import DayForm
    from ..standins.player import form as written
    from .tables import print_table

    day = _read(file, day=DayForm)
    found = sorted(searched(day, seed, days, most), key=lambda one: -one.badness)
    print_table(
        "worst days",
        [
            {
                "badness": round(one.badness, 4),
                "than": one.than or "a rule broken",
                "seed": one.seed,
                "faults": " ".join(fault.kind for fault in one.day.fault),
            }
            for one in found[:8]
        ],
    )
    least = shrunk(found[0], 0.8)
    values = least.day.model_copy(update={"seed": least.seed}).model_dump(by_alias=False)  # its name is part of its draws
    try:
        out.write_text(written("day", **values) + "\n")
    except OSError as error:
        _fail([f"{out}: {error.strerror}"])
    click.echo(
        f"{out}: seed {least.seed}, badness {least.badness:.4f}, {len(least.day.fault)} faults, "
        f"{least.day.exchanges} exchanges, {least.day.seconds:g} s"
    )
    sys.exit(1 if least.badness >= BROKEN else 0)


def _broken(runner: Any) -> int:
    """Whether a version of the module broke a rule on any day; baselines are not held to them."""
    own = {policy.name for policy in runner.form.policy if policy.module or policy.base == "module"}
    bad = [key for key, row in runner.results.rows.items() if row["broken"] and key[1] in own]
    for cell, policy, seed in bad[:5]:
        click.echo(f"{policy} broke a rule: cell {cell or 'the only one'}, seed {seed}", err=True)
    return 1 if bad else 0


def _judge(folder: Path) -> int:
    from ..standins.checker import BadCaptureError, check
    from ..standins.report import offers_in, whole
    from .tables import print_day_report

    try:
        verdict = check(folder / "capture.jsonl")
        report = whole(folder, verdict, offers_in(folder))
    except BadCaptureError as bad:
        _fail([str(bad)])
    (folder / "report.json").write_text(json.dumps(report, indent=1) + "\n")
    print_day_report(report)
    return 0 if verdict.kept else 1


main.add_command(trace)
main.add_command(store)
