"""python -m pathsaddle: with no argument one real dispatcher on sockets, told by $GW_CONFIG what it is.

With an argument it is the command line, whose libraries the platform's program must not load.
"""

import sys

if len(sys.argv) > 1:
    from pathsaddle.cli.main import main
else:
    import os
    import signal

    # First of all: what is imported below takes its time, and nothing has been taken yet that would need an answer.
    for told in (signal.SIGTERM, signal.SIGINT):
        signal.signal(told, lambda *_: os._exit(0))
    for untimely in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(untimely, signal.SIG_IGN)
    from pathsaddle.net.service.start import main

sys.exit(main())
