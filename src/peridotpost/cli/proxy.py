"""``peridot-proxy``: entry point.

Importing the other modules takes a quarter of a second.  A SIGHUP for a
reload during that time would end the process, which is the signal's default
action.  Ignoring it loses nothing, as the settings are read afterwards.
"""

import os
import signal
import sys

from peridotpost.kernel import deferredimports

SETTINGS_VARIABLE = 'PERIDOTPOST_CONFIG'


def main() -> None:
    """Ignore SIGHUP until a handler is set; import and run the command.

    Without arguments, as the platform starts it, the process does not import
    the library for options, which takes 1 MB.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    deferredimports.defer_unused()
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if path and len(sys.argv) == 1:
        from peridotpost.cli import proxy_command

        proxy_command.run(path)
    else:
        from peridotpost.cli import proxy_options

        proxy_options.main()


if __name__ == '__main__':
    main()
