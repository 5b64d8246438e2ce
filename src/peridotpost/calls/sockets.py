"""Listening sockets, with errors that name the setting to change."""

import socket

from tornado import netutil

from peridotpost.model import errors


def bind(address: str, port: int, setting: str) -> list[socket.socket]:
    """Open listening sockets.

    :raises errors.PeridotError: the port cannot be opened; the message
        names the setting.
    """
    try:
        return netutil.bind_sockets(port, address, reuse_port=False)
    except OSError as error:
        raise errors.PeridotError(
            f'the port cannot be opened ({error.strerror}); set '
            f'listen.{setting} to a free one',
            step='listen',
            peer=f'{address}:{port}',
        ) from error
