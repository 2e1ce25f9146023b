"""Entry point of `python -m pathsaddle`.

Without arguments it runs one dispatcher, configured by $GW_CONFIG. With arguments it runs the command line,
whose libraries the dispatcher must not load.
"""

import sys

if len(sys.argv) > 1:
    from pathsaddle.cli.main import main
else:
    import os
    import signal

    # Set before the slow import below. No request has been accepted by then, so the process may exit at once.
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        signal.signal(stop_signal, lambda *_: os._exit(0))
    for ignored_signal in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(ignored_signal, signal.SIG_IGN)
    from pathsaddle.net.service.start import main

sys.exit(main())
