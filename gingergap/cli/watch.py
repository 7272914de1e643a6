"""A live terminal view of one running proxy, on textual: destinations, duties, members and calls per second."""

from typing import Any

from textual.app import App, ComposeResult
from textual.widgets import DataTable, Footer, Header, Static

from ..control.client import NoAnswerError, ask

TABLES = ("exchanges", "duties", "members")


class WatchApp(App):
    """Polls the control socket at path `control` every `poll_interval` seconds."""

    BINDINGS = [("q", "quit", "Quit")]
    CSS = "DataTable { height: auto; max-height: 40%; margin-bottom: 1; } Static { height: 1; }"

    def __init__(self, control: str, poll_interval: float) -> None:
        super().__init__()
        self.control, self.poll_interval = control, poll_interval
        self.last_sample: tuple[float, int] | None = None  # uptime in seconds, dialogs since the start
        self.title = "gingergap"

    def compose(self) -> ComposeResult:
        yield Header()
        yield Static("", id="line")
        for name in TABLES:
            yield DataTable(id=name, show_cursor=False, zebra_stripes=True)
        yield Footer()

    def on_mount(self) -> None:
        self.poll()
        self.set_interval(self.poll_interval, self.poll)

    def poll(self) -> None:
        """Query the proxy once and show the result. An error is shown in the status line; the tables then stay as they are."""
        try:
            counts = ask(self.control, "counts", 2.0)
            tables = {name: ask(self.control, name, 2.0) for name in TABLES}
        except NoAnswerError as error:
            self.query_one("#line", Static).update(str(error))
            return
        self.query_one("#line", Static).update(self._status_line(counts))
        for name, rows in tables.items():
            self._fill_table(self.query_one(f"#{name}", DataTable), rows)

    def _status_line(self, counts: dict[str, Any]) -> str:
        dialogs = counts["counts"].get("dialogs", 0)
        rate = ""
        if self.last_sample is not None and counts["uptime_s"] > self.last_sample[0]:
            rate = f"{(dialogs - self.last_sample[1]) / (counts['uptime_s'] - self.last_sample[0]):.1f} calls/s, "
        self.last_sample = counts["uptime_s"], dialogs
        return (
            f"{counts['name']}: {rate}{counts['open']} being set up, {counts['dialogs']} known, "
            f"{counts['busy'] * 100:.0f}% busy, up {counts['uptime_s']:.0f} s"
        )

    @staticmethod
    def _fill_table(table: DataTable, rows: list[dict[str, Any]]) -> None:
        table.clear(columns=True)
        if rows:
            table.add_columns(*(name.replace("_", " ") for name in rows[0]))
            table.add_rows([["" if value is None else str(value) for value in row.values()] for row in rows])
