"""`python -m gingergap`: the same as the `gingergap` command. `serve` loads only what the service needs."""

import sys

if sys.argv[1:] == ["serve"]:
    from .service.process import main

    sys.exit(main())
else:
    from .cli.main import main

    main()
