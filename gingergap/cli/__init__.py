"""The `gingergap` command: sub-commands on click. Logs go to standard error, tables to standard output."""
