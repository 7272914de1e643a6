"""A terminal view of one running proxy, on textual: members, duties, far ends, calls a second."""

from typing import Any

from textual.app import App, ComposeResult
from textual.widgets import DataTable, Footer, Header, Static

from ..control.client import NoAnswerError, ask

TABLES = ("exchanges", "duties", "members")


class Watch(App):
    """`control` is the proxy's control socket, looked at `every` so many seconds."""

    BINDINGS = [("q", "quit", "Quit")]
    CSS = "DataTable { height: auto; max-height: 40%; margin-bottom: 1; } Static { height: 1; }"

    def __init__(self, control: str, every: float) -> None:
        super().__init__()
        self.control, self.every = control, every
        self.before: tuple[float, int] | None = None
        self.title = "gingergap"

    def compose(self) -> ComposeResult:
        yield Header()
        yield Static("", id="line")
        for name in TABLES:
            yield DataTable(id=name, show_cursor=False, zebra_stripes=True)
        yield Footer()

    def on_mount(self) -> None:
        self.look()
        self.set_interval(self.every, self.look)

    def look(self) -> None:
        """Ask once and show what came; an error stands in the line, and the tables keep what they last had."""
        try:
            counts = ask(self.control, "counts", 2.0)
            tables = {name: ask(self.control, name, 2.0) for name in TABLES}
        except NoAnswerError as error:
            self.query_one("#line", Static).update(str(error))
            return
        self.query_one("#line", Static).update(self._line(counts))
        for name, rows in tables.items():
            self._fill(self.query_one(f"#{name}", DataTable), rows)

    def _line(self, counts: dict[str, Any]) -> str:
        dialogs = counts["counts"].get("dialogs", 0)
        rate = ""
        if self.before is not None and counts["uptime_s"] > self.before[0]:
            rate = f"{(dialogs - self.before[1]) / (counts['uptime_s'] - self.before[0]):.1f} calls/s, "
        self.before = counts["uptime_s"], dialogs
        return (
            f"{counts['name']}: {rate}{counts['open']} being set up, {counts['dialogs']} known, "
            f"{counts['busy'] * 100:.0f}% busy, up {counts['uptime_s']:.0f} s"
        )

    @staticmethod
    def _fill(table: DataTable, rows: list[dict[str, Any]]) -> None:
        table.clear(columns=True)
        if rows:
            table.add_columns(*(name.replace("_", " ") for name in rows[0]))
            table.add_rows([["" if value is None else str(value) for value in row.values()] for row in rows])
