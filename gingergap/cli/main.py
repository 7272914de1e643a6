"""The sub-commands. Each imports what it needs when it is called, so that `--help` is fast."""

import json
import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from ..settings.forms import BadSettingsError, Form
from .store import store
from .trace import trace

PATH = click.Path(path_type=Path)


def _exit_with(lines: list[str], code: int = 2) -> NoReturn:
    """Print lines to standard error and exit."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def _read_settings(path: Path, **models: type[Form]) -> Any:
    from ..settings.forms import read

    try:
        return read(path, **models)
    except BadSettingsError as error:
        _exit_with(error.errors)


@click.group()
@click.version_option(package_name="gingergap")
def main() -> None:
    """A call router that sets calls up over trunk groups for private voice networks."""


@main.group()
def edge() -> None:
    """The signalling proxy."""


@edge.command("run")
@click.option("--settings", required=True, type=PATH, help="The (edge ...) file.")
def edge_run(settings: Path) -> None:
    """Run one signalling proxy until SIGTERM or SIGINT, which drains it."""
    from ..settings.edge import EdgeForm

    form = _read_settings(settings, edge=EdgeForm)
    import gc

    from ..edge.serve import EdgeProcess
    from .logs import configure_logging

    gc.collect()
    gc.freeze()  # loaded modules are never freed: exclude them from collections
    gc.set_threshold(5_000, 10, 1_000)  # calls create no cycles; a full collection takes tens of milliseconds
    sys.exit(EdgeProcess(form, configure_logging(form.log_level)).run())


@main.command("serve")
@click.option("--belief", is_flag=True, help="Log the module's estimates beside the measured values once a second.")
def serve(belief: bool) -> None:
    """Run one proxy configured by LB_CONFIG, as a platform starts it. `python -m gingergap serve` loads fewer modules."""
    from ..service.process import main as run

    sys.exit(run(belief))


@main.group()
def settings() -> None:
    """Settings files."""


@settings.command("check")
@click.argument("file", type=PATH)
def settings_check(file: Path) -> None:
    """Check a settings file: exit 0, or 2 with a line for each error."""
    from ..settings.day import DayForm, StandinForm
    from ..settings.edge import EdgeForm

    form = _read_settings(file, edge=EdgeForm, day=DayForm, standin=StandinForm)
    click.echo(f"{file}: a valid ({type(form).__name__.removesuffix('Form').lower()} ...) form")


@main.group()
def standin() -> None:
    """Stand-ins for the peers of a proxy on a scripted day."""


def _read_standin(path: Path) -> tuple[Any, Any]:
    """The stand-in's settings and the plan of its day."""
    from ..settings.day import DayForm, StandinForm
    from ..standins.day_plan import DayPlan

    form = _read_settings(path, standin=StandinForm)
    day = _read_settings(Path(form.day), day=DayForm)
    return form, DayPlan(day, form.seed)


def _addresses(form: Any) -> tuple[list[tuple[str, int]], list[tuple[str, int]], dict[tuple[str, int], int]]:
    """The addresses of the proxies, those of the exchanges, and the exchange number of each address."""
    from ..sip.fields import parse_host_port

    proxies = [parse_host_port(text) for text in form.places.proxy]
    exchanges = [parse_host_port(text) for text in form.places.exchange]
    number_by_address = {address: number for number, address in enumerate(proxies)}
    number_by_address |= {address: index // 2 for index, address in enumerate(exchanges)}
    return proxies, exchanges, number_by_address


settings_option = click.option("--settings", required=True, type=PATH, help="The (standin ...) file.")


@standin.command("exchange")
@settings_option
def standin_exchange(settings: Path) -> None:
    """Run the machines of one exchange through a day."""
    form, plan = _read_standin(settings)
    from ..standins import exchange

    proxies, exchanges, number_by_address = _addresses(form)
    number = form.number
    exchange.play(
        plan,
        number,
        form.epoch,
        exchanges[2 * number : 2 * number + 2],
        proxies[number],
        {address: number for number, address in enumerate(proxies)},
        number_by_address,
        Path(form.report),
        False,
    )


@standin.command("caller")
@settings_option
def standin_caller(settings: Path) -> None:
    """Run the callers of one exchange through a day."""
    form, plan = _read_standin(settings)
    from ..sip.fields import parse_host_port
    from ..standins import caller

    proxies, _, _ = _addresses(form)
    caller.play(
        plan, form.number, parse_host_port(form.places.callers[form.number]), proxies[form.number], form.epoch, Path(form.report)
    )


@standin.command("list")
@settings_option
def standin_list(settings: Path) -> None:
    """Run the exchange list through a day."""
    form, plan = _read_standin(settings)
    from ..sip.fields import parse_host_port
    from ..standins import exchange_list

    proxies, _, _ = _addresses(form)
    addresses = {number: form.places.exchange[2 * number : 2 * number + 2] for number in range(plan.day.exchanges)}
    exchange_list.play(
        plan, parse_host_port(form.places.exchange_list), addresses, form.epoch, frozenset(proxies), Path(form.report)
    )


@main.group()
def day() -> None:
    """Scripted days over real SIP on loopback. The rules are checked on the captured traffic."""


@day.command("play")
@click.argument("file", type=PATH)
@click.option("--seed", type=int, default=None, help="Seed of the day; default: the seed in the file.")
@click.option("--report", type=PATH, default=None, help="Folder for capture.jsonl and report.json.")
@click.option("--stores", type=PATH, default=None, help="Folder of store-N folders with the initial state of the proxies.")
def day_play(file: Path, seed: int | None, report: Path | None, stores: Path | None) -> None:
    """Play a day and check the rules: exit 0 if all were kept, 1 if one was broken, 2 on invalid input."""
    import tempfile

    from ..settings.day import DayForm
    from ..standins.player import DayFailedError, DayPlayer

    form = _read_settings(file, day=DayForm)
    with tempfile.TemporaryDirectory(prefix="gingergap-day-") as scratch:
        folder = report if report is not None else Path(scratch)
        try:
            DayPlayer(form, file, form.seed if seed is None else seed, folder, stores).play()
        except DayFailedError as failed:
            _exit_with([f"{file}: {failed}"])
        except OSError as error:
            _exit_with([f"{folder}: {error.strerror or error}"])
        if not form.capture:
            click.echo(f"{folder}: traces written; the traffic was not captured, so no rule is checked")
            return
        sys.exit(_check_rules(folder))


@day.command("check")
@click.argument("folder", type=PATH)
def day_check(folder: Path) -> None:
    """Check the rules on the capture in a day's folder again. Exits as `day play` does."""
    sys.exit(_check_rules(folder))


@day.command("from-bench")
@click.argument("file", type=PATH)
@click.option("--seconds", type=click.FloatRange(5, 600), default=30, show_default=True, help="Length of the scripted day.")
def day_from_bench(file: Path, seconds: float) -> None:
    """Convert a bench day file to a scripted day on standard output. What cannot be converted is listed on standard error."""
    import msgspec

    from ..settings.day import DayForm
    from ..settings.forms import parse
    from ..standins.from_bench import BadDayFileError, convert_bench_day
    from ..standins.player import format_settings

    try:
        parts, omitted = convert_bench_day(msgspec.json.decode(file.read_bytes()), seconds)
        text = format_settings("day", **parts)
        parse(text, "the scripted day", day=DayForm)
    except OSError as error:
        _exit_with([f"{file}: {error.strerror}"])
    except msgspec.DecodeError as error:
        _exit_with([f"{file}: not JSON: {error}"])
    except BadDayFileError as error:
        _exit_with([f"{file}: {error}"])
    except BadSettingsError as error:
        _exit_with([f"{file}: {line}" for line in error.errors])
    for line in omitted:
        click.echo(f"left out: {line}", err=True)
    click.echo(text)


control_option = click.option("--control", required=True, help="Path of the proxy's control socket.")


def _query(path: str, question: str) -> Any:
    from ..control.client import NoAnswerError, ask

    try:
        return ask(path, question)
    except NoAnswerError as error:
        _exit_with([str(error)])


@main.group()
def members() -> None:
    """The members of the cluster of proxies."""


@members.command("show")
@control_option
def members_show(control: str) -> None:
    """Show the members and their states, as one proxy sees them."""
    from .tables import print_table

    print_table("members", _query(control, "members"))


@members.command("leave")
@control_option
def members_leave(control: str) -> None:
    """Make one proxy hand over its duties and leave the cluster. It continues to serve calls."""
    _query(control, "leave")
    click.echo("left")


@main.group()
def duties() -> None:
    """Shared periodic duties."""


@duties.command("show")
@control_option
def duties_show(control: str) -> None:
    """Show the holder and fencing token of each duty, when it was last done, which are overdue, and their results."""
    from .tables import print_table

    print_table("duties", _query(control, "duties"))
    print_table("learned", _query(control, "learned"))


@main.command()
@control_option
@click.option("--every", type=click.FloatRange(0.1, 60), default=1.0, show_default=True, help="Polling interval in seconds.")
def watch(control: str, every: float) -> None:
    """Show members, duties, far ends and calls per second of one proxy live in the terminal."""
    from .watch import WatchApp

    WatchApp(control, every).run()


@main.command("emulate")
@click.argument("file", type=PATH)
@click.option("--seed", "seeds", type=int, multiple=True, help="Seed of the day; default: the seed in the file. May be repeated.")
@click.option(
    "--policy",
    default="module",
    show_default=True,
    help="module, direct, random tandem, reservation, or a version of call_controller.py.",
)
@click.option(
    "--exchanges", type=click.IntRange(2, 2_000), default=None, help="Number of exchanges; default: the number in the file."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def emulate(file: Path, seeds: tuple[int, ...], policy: str, exchanges: int | None, as_json: bool) -> None:
    """Play a day in simulated time: exit 0 if all rules were kept, 1 if one was broken, 2 on invalid input."""
    from ..emulator.controller_factory import UnknownPolicyError, controller_factory
    from ..emulator.day import Day
    from ..settings.day import DayForm
    from .tables import print_table

    form = _read_settings(file, day=DayForm)
    if exchanges is not None:
        form = form.model_copy(update={"exchanges": exchanges})
    all_kept, rows = True, []
    for seed in seeds or (form.seed,):
        try:
            create_controller = controller_factory(policy, seed, form)
        except UnknownPolicyError as error:
            _exit_with([f"policy {policy}: {error}"])
        day = Day(form, seed, create_controller).run()
        figures = {"seed": seed, "policy": policy, **day.summary()}
        all_kept = all_kept and (day.rules.all_kept or policy not in ("module",) and not policy.endswith(".py"))
        if as_json:
            click.echo(json.dumps(figures))
            continue
        rows.append(
            {
                "seed": seed,
                **{name: figures[name] for name in ("offered", "stood", "service", "legs_a_dialog", "seconds")},
                "p50 p90 p99 ms": " ".join(f"{value:g}" for value in figures["setup_ms"].values()),
                "rules broken": sum(rule["broken"] for rule in figures["rules"].values()),
            }
        )
        for rule, time, reason in day.rules.breaches[:5]:
            click.echo(f"seed {seed}: rule {rule} at {time / 10_000:.3f} s: {reason}")
    if rows:
        print_table(f"{form.name}, emulated, {policy}", rows)
    sys.exit(0 if all_kept else 1)


@main.group()
def experiment() -> None:
    """Compare policies over many emulated days."""


def _open_experiment(file: Path, folder: Path) -> Any:
    from ..experiments.design import BadExperimentError
    from ..experiments.runner import Runner
    from ..settings.day import DayForm
    from ..settings.experiment import ExperimentForm

    form = _read_settings(file, experiment=ExperimentForm)
    day = _read_settings(file.parent / form.day, day=DayForm)
    try:
        runner = Runner(form, day, folder)
    except BadExperimentError as error:
        _exit_with([f"{file}: {error}"])
    except OSError as error:
        _exit_with([f"{error.filename or folder}: {error.strerror or error}"])
    for line in runner.results.damage:
        click.echo(f"damaged, will be run again: {line}", err=True)
    return runner


results_option = click.option(
    "--results", required=True, type=PATH, help="Folder of the results. Results that it already holds are used."
)


@experiment.command("run")
@click.argument("file", type=PATH)
@results_option
@click.option("--workers", type=click.IntRange(1, 256), default=None, help="Number of processes; default: one per core.")
def experiment_run(file: Path, results: Path, workers: int | None) -> None:
    """Run or resume an experiment: exit 0, or 1 if the program's own module broke a rule."""
    import os

    from rich.progress import Progress

    from .tables import print_table

    runner = _open_experiment(file, results)
    with Progress(transient=True) as progress:
        task = progress.add_task(runner.form.name, total=None)
        runner.on_progress = lambda done, wanted: progress.update(task, completed=done, total=wanted)
        runner.run(workers or os.cpu_count() or 1)
    from ..experiments.report import comparison_table

    print_table(runner.form.name, comparison_table(runner))
    sys.exit(_exit_status(runner))


@experiment.command("report")
@click.argument("file", type=PATH)
@results_option
@click.option("--out", type=PATH, required=True, help="The report (.html). The chart is written beside it as .png.")
def experiment_report(file: Path, results: Path, out: Path) -> None:
    """Write the results of an experiment as an HTML report and a chart."""
    from ..experiments.report import draw_chart, render_page

    runner = _open_experiment(file, results)
    try:
        out.write_text(render_page(runner))
        out.with_suffix(".png").write_bytes(draw_chart(runner))
    except OSError as error:
        _exit_with([f"{out}: {error.strerror}"])
    click.echo(f"{out}: {len(runner.results.rows)} emulated days")


@experiment.command("compare")
@click.argument("file", type=PATH)
@results_option
def experiment_compare(file: Path, results: Path) -> None:
    """Print the comparisons that the results allow so far: exit 0, or 1 if the program's own module broke a rule."""
    from ..experiments.report import comparison_table, effects_table
    from .tables import print_table

    runner = _open_experiment(file, results)
    print_table(runner.form.name, comparison_table(runner))
    print_table("effects of the factors", effects_table(runner))
    sys.exit(_exit_status(runner))


@experiment.command("search")
@click.argument("file", type=PATH)
@click.option("--days", type=click.IntRange(1, 100_000), default=60, show_default=True, help="Number of random days.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--faults", "max_faults", type=click.IntRange(1, 12), default=4, show_default=True, help="Maximum number of faults per day."
)
@click.option(
    "--out",
    type=PATH,
    required=True,
    help="File for the worst day, reduced to the faults and the size that still show the problem.",
)
def experiment_search(file: Path, days: int, seed: int, max_faults: int, out: Path) -> None:
    """Add random faults to a day and find the worst: the module breaks a rule, or its service is lowest compared with the best
    baseline. Exit 0, or 1 if a rule was broken."""
    from ..experiments.search import BROKEN_RULE_BADNESS, search_days, shrink_day
    from ..settings.day import DayForm
    from ..standins.player import format_settings
    from .tables import print_table

    day = _read_settings(file, day=DayForm)
    found = sorted(search_days(day, seed, days, max_faults), key=lambda bad_day: -bad_day.badness)
    print_table(
        "worst days",
        [
            {
                "badness": round(bad_day.badness, 4),
                "than": bad_day.better_baseline or "a rule broken",
                "seed": bad_day.seed,
                "faults": " ".join(fault.kind for fault in bad_day.day.fault),
            }
            for bad_day in found[:8]
        ],
    )
    smallest = shrink_day(found[0], 0.8)
    # The name is kept: the random generators are seeded with it.
    values = smallest.day.model_copy(update={"seed": smallest.seed}).model_dump(by_alias=False)
    try:
        out.write_text(format_settings("day", **values) + "\n")
    except OSError as error:
        _exit_with([f"{out}: {error.strerror}"])
    click.echo(
        f"{out}: seed {smallest.seed}, badness {smallest.badness:.4f}, {len(smallest.day.fault)} faults, "
        f"{smallest.day.exchanges} exchanges, {smallest.day.seconds:g} s"
    )
    sys.exit(1 if smallest.badness >= BROKEN_RULE_BADNESS else 0)


def _exit_status(runner: Any) -> int:
    """1 if a version of the module broke a rule on any day, otherwise 0. Baselines may break rules."""
    own_policies = {policy.name for policy in runner.form.policy if policy.module or policy.base == "module"}
    broken = [key for key, row in runner.results.rows.items() if row["broken"] and key[1] in own_policies]
    for cell, policy, seed in broken[:5]:
        click.echo(f"{policy} broke a rule: cell {cell or 'the only one'}, seed {seed}", err=True)
    return 1 if broken else 0


def _check_rules(folder: Path) -> int:
    from ..standins.checker import BadCaptureError, check
    from ..standins.report import day_report, read_offers
    from .tables import print_day_report

    try:
        verdict = check(folder / "capture.jsonl")
        report = day_report(folder, verdict, read_offers(folder))
    except BadCaptureError as error:
        _exit_with([str(error)])
    (folder / "report.json").write_text(json.dumps(report, indent=1) + "\n")
    print_day_report(report)
    return 0 if verdict.passed else 1


main.add_command(trace)
main.add_command(store)
