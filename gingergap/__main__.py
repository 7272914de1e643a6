"""`python -m gingergap`: the same as the `gingergap` command."""

from .cli.main import main

main()
