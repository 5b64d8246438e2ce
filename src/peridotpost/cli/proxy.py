"""``peridot-proxy``: the program's start.

Loading the rest takes a quarter of a second.  A reload that is asked for in
that time would end the process, as SIGHUP does where nothing handles it;
the settings are read after it anyway.
"""

import signal


def main() -> None:
    """Ignore SIGHUP until it is handled, then load and run the command."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from peridotpost.cli import proxy_command

    proxy_command.main()


if __name__ == '__main__':
    main()
