"""Assembles the platform's adapter."""

from collections.abc import Iterator
import contextlib

from peridotpost.border import proxy_settings as border
from peridotpost.mesh import adapter
from peridotpost.platform import announcements
from peridotpost.platform import configuration
from peridotpost.platform import headers
from peridotpost.platform import store


@contextlib.contextmanager
def adapter_for(
    settings: border.ProxySettings,
) -> Iterator[adapter.Adapter]:
    """Open the adapter, with its connections to the store."""
    address, port = border.split_address(settings.store)
    kv = store.KvStore(address, port)
    try:
        yield adapter.Adapter(
            headers.HEADERS, kv, configuration.decode, announcements.read
        )
    finally:
        kv.close()
