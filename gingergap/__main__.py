"""`python -m gingergap`: the same as the `gingergap` command. `serve` loads only what the service needs."""

import os
import sys

if sys.argv[1:2] == ["serve"] and set(sys.argv[2:]) <= {"--belief"}:
    from .service import early_signals

    early_signals.record_sighup()

    from .service.process import main

    status = main("--belief" in sys.argv)
    sys.stderr.flush()
    os._exit(status)  # the interpreter's own shutdown would take part of the time that is left before SIGKILL
else:
    from .cli.main import main

    main()
