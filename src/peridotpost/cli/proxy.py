"""``peridot-proxy``: entry point.

Importing the other modules takes a quarter of a second.  A SIGHUP for a
reload during that time would end the process, which is the signal's default
action.  Ignoring it loses nothing, as the settings are read afterwards.
"""

import signal


def main() -> None:
    """Ignore SIGHUP until a handler is set; import and run the command."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from peridotpost.cli import proxy_command

    proxy_command.main()


if __name__ == '__main__':
    main()
