"""Assembles the platform's adapter."""

from collections.abc import Iterator
import contextlib
import functools
import os

from peridotpost.border import proxy_settings as border
from peridotpost.mesh import adapter
from peridotpost.platform import announcements
from peridotpost.platform import configuration
from peridotpost.platform import headers
from peridotpost.platform import store

SECRET_BYTES = 32
"""Length of the secret under which customers' keys are hashed."""


@contextlib.contextmanager
def adapter_for(
    settings: border.ProxySettings,
) -> Iterator[adapter.Adapter]:
    """Open the adapter, with its connections to the store."""
    address, port = border.split_address(settings.store)
    kv = store.KvStore(address, port)
    decode = functools.partial(
        configuration.decode, secret=os.urandom(SECRET_BYTES)
    )
    try:
        yield adapter.Adapter(headers.HEADERS, kv, decode, announcements.read)
    finally:
        kv.close()
