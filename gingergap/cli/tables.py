"""Prints tables on the terminal, with rich."""

from typing import Any

from rich.console import Console
from rich.table import Table

RULE_TITLES = {
    "1": "one final answer, in time",
    "2": "one leg at a time",
    "3": "no legs to draining machines",
    "4": "cold machines not overloaded",
    "5": "release guard kept",
}
CHECKED_ITEMS = {"1": "dialogs", "2": "legs", "3": "drain notices", "4": "cold starts", "5": "waits"}


def print_day_report(report: dict[str, Any]) -> None:
    """Print the report of a scripted day: service by traffic type, times, rules with the number of checks, and breaches."""
    console = Console(width=110, highlight=False)
    table = Table(title="service (figures of stand-ins)", title_justify="left")
    for name in ("traffic type", "offered", "tries", "stood", "in time", "cut", "service"):
        table.add_column(name, justify="left" if name == "traffic type" else "right")
    for name, row in report["by_type"].items():
        table.add_row(
            name, *(str(row[field]) for field in ("offered", "tries", "stood", "stood_in_time", "cut")), f"{row['service']:.3f}"
        )
    table.add_row("all", str(report["offered"]), "", "", str(report["stood_in_time"]), "", f"{report['service']:.3f}")
    console.print(table)
    console.print("final answers: " + ", ".join(f"{status} x{count}" for status, count in report["final_answers"].items()))
    console.print(f"set-up ms: {_format_values(report['setup_ms'])}; added delay ms: {_format_values(report['added_delay_ms'])}")
    console.print(
        f"stood over tandems: {report['stood_over_tandems']}; held by killed or stopped proxies: "
        f"{report['excused_by_kills']}; messages seen: {report['messages']}"
    )
    table = Table(title="rules, judged from the traffic", title_justify="left")
    for name in ("rule", "", "judged", "on", "broken"):
        table.add_column(name, justify="right" if name in ("judged", "broken") else "left")
    for rule, row in report["rules"].items():
        table.add_row(rule, RULE_TITLES[rule], str(row["judged"]), CHECKED_ITEMS[rule], str(row["broken"]))
    console.print(table)
    if report["duties"]:
        print_table(
            "probes under leases, as the exchanges saw them",
            [
                {
                    "exchange": exchange,
                    **{key: value for key, value in row.items() if key != "by"},
                    "by": ", ".join(f"{name} {count}" for name, count in sorted(row["by"].items())),
                }
                for exchange, row in report["duties"].items()
            ],
        )
    for breach in report["breaches"][:20]:
        console.print(
            f"rule {breach['rule']}: {breach['dialog']}: {breach['why']} "
            f"(at {breach['at']:.3f}, lines {', '.join(map(str, breach['lines']))})",
            soft_wrap=True,
        )


def _format_values(values: dict[str, float]) -> str:
    return ", ".join(f"{name} {value:g}" for name, value in values.items()) or "none"


def print_table(title: str, rows: list[dict[str, Any]]) -> None:
    """Print rows as a table whose columns are the keys of the first row."""
    console = Console(width=120, highlight=False)
    if not rows:
        console.print(f"{title}: none")
        return
    table = Table(title=title, title_justify="left")
    for name, value in rows[0].items():
        table.add_column(name.replace("_", " "), justify="right" if isinstance(value, int | float) else "left")
    for row in rows:
        table.add_row(
            *("" if value is None else "yes" if value is True else "no" if value is False else str(value) for value in row.values())
        )
    console.print(table)
