"""python -m pathsaddle: with no argument one real dispatcher on sockets, told by $GW_CONFIG what it is.

With an argument it is the command line, whose libraries the platform's program must not load.
"""

import sys

if len(sys.argv) > 1:
    from pathsaddle.cli.main import main
else:
    from pathsaddle.net.service.start import main

sys.exit(main())
