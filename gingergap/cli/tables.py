"""Tables for people, on rich."""

from typing import Any

from rich.console import Console
from rich.table import Table

RULES = {
    "1": "one final answer, in time",
    "2": "one leg at a time",
    "3": "drains kept",
    "4": "cold not pushed over",
    "5": "release awaited",
}
JUDGED = {"1": "dialogs", "2": "legs", "3": "words of drains", "4": "cold starts", "5": "waits"}


def day_tables(report: dict[str, Any]) -> None:
    """Service by traffic type, times, and the rules with what each was judged on."""
    console = Console(width=110, highlight=False)
    table = Table(title="service (figures of stand-ins)", title_justify="left")
    for name in ("traffic type", "offered", "tries", "stood", "in time", "cut", "service"):
        table.add_column(name, justify="left" if name == "traffic type" else "right")
    for name, row in report["by_type"].items():
        table.add_row(
            name, *(str(row[part]) for part in ("offered", "tries", "stood", "stood_in_time", "cut")), f"{row['service']:.3f}"
        )
    table.add_row("all", str(report["offered"]), "", "", str(report["stood_in_time"]), "", f"{report['service']:.3f}")
    console.print(table)
    console.print("final answers: " + ", ".join(f"{status} x{count}" for status, count in report["final_answers"].items()))
    console.print(f"set-up ms: {_row(report['setup_ms'])}; added delay ms: {_row(report['added_delay_ms'])}")
    console.print(
        f"stood over tandems: {report['stood_over_tandems']}; held by killed or stopped proxies: "
        f"{report['excused_by_kills']}; messages seen: {report['messages']}"
    )
    table = Table(title="rules, judged from the traffic", title_justify="left")
    for name in ("rule", "", "judged", "on", "broken"):
        table.add_column(name, justify="right" if name in ("judged", "broken") else "left")
    for rule, row in report["rules"].items():
        table.add_row(rule, RULES[rule], str(row["judged"]), JUDGED[rule], str(row["broken"]))
    console.print(table)
    if report["duties"]:
        rows(
            "probes under leases, as the exchanges saw them",
            [
                {
                    "exchange": name,
                    **{key: value for key, value in row.items() if key != "by"},
                    "by": ", ".join(f"{who} {count}" for who, count in sorted(row["by"].items())),
                }
                for name, row in report["duties"].items()
            ],
        )
    for breach in report["breaches"][:20]:
        console.print(
            f"rule {breach['rule']}: {breach['dialog']}: {breach['why']} "
            f"(at {breach['at']:.3f}, lines {', '.join(map(str, breach['lines']))})",
            soft_wrap=True,
        )


def _row(values: dict[str, float]) -> str:
    return ", ".join(f"{name} {value:g}" for name, value in values.items()) or "none"


def rows(title: str, lines: list[dict[str, Any]]) -> None:
    """A table of whatever columns the rows have."""
    console = Console(width=120, highlight=False)
    if not lines:
        console.print(f"{title}: none")
        return
    table = Table(title=title, title_justify="left")
    for name, value in lines[0].items():
        table.add_column(name.replace("_", " "), justify="right" if isinstance(value, int | float) else "left")
    for line in lines:
        table.add_row(
            *(
                "" if value is None else "yes" if value is True else "no" if value is False else str(value)
                for value in line.values()
            )
        )
    console.print(table)
