"""`python -m gingergap`: the same as the `gingergap` command. `serve` loads only what the service needs."""

import sys

if sys.argv[1:2] == ["serve"] and set(sys.argv[2:]) <= {"--belief"}:
    from .service import early_signals

    early_signals.note()

    from .service.process import main

    sys.exit(main("--belief" in sys.argv))
else:
    from .cli.main import main

    main()
