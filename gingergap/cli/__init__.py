"""The `gingergap` command: sub-commands on click, logs to standard error, tables to standard output."""
