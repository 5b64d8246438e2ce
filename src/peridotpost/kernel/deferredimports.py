"""Defers imports of modules that a process's libraries import but don't use.

A library may import a module for a feature that the process never uses, as
asyncio and uvloop do with ``ssl``, which takes 5 MB.  A `DeferredModule` in
``sys.modules`` satisfies that import and loads the module on the first use
of one of its attributes.
"""

from collections.abc import Mapping
import importlib
import sys
import types
from typing import Any


class _Unused:
    """Stands for any class or function."""

    unknown = None


def _classes(*names: str) -> dict[str, Any]:
    return {name: type(name, (_Unused,), {}) for name in names}


def _errors(*names: str) -> dict[str, Any]:
    return {name: type(name, (OSError,), {}) for name in names}


UNUSED: dict[str, Mapping[str, Any]] = {
    'ast': _classes('NodeVisitor'),
    'decimal': _classes('Decimal'),
    'gzip': {},
    'http.server': _classes('BaseHTTPRequestHandler'),
    'ipaddress': {},
    'json': {},
    'locale': {},
    'socketserver': _classes('ThreadingMixIn'),
    'ssl': {
        **_classes('MemoryBIO', 'SSLContext', 'TLSVersion'),
        **_errors('CertificateError', 'SSLError', 'SSLSyscallError'),
        **_errors('SSLWantReadError', 'SSLZeroReturnError'),
        **dict.fromkeys(('PROTOCOL_TLS_CLIENT', 'PROTOCOL_TLS_SERVER'), 0),
        **dict.fromkeys(('SSL_ERROR_SYSCALL', 'SSL_ERROR_WANT_READ'), 0),
        **dict.fromkeys(('SSL_ERROR_WANT_WRITE', 'create_default_context'), 0),
    },
    'textwrap': {},
    'tokenize': {},
    'urllib.error': _errors('HTTPError'),
    'urllib.request': {
        **_classes('BaseHandler', 'HTTPHandler', 'HTTPRedirectHandler'),
        **_classes('HTTPSHandler', 'Request', 'build_opener'),
    },
    'uuid': _classes('SafeUUID', 'UUID'),
    'wsgiref.simple_server': _classes(
        'WSGIRequestHandler', 'WSGIServer', 'make_server'
    ),
}
"""Modules that a daemon does not use in normal operation, and what libraries
look up in them at import: ``inspect`` derives a class from ``NodeVisitor``,
msgspec recognises the instances of ``Decimal`` and ``UUID``, and uvloop,
asyncio and prometheus_client refer to the names of ``ssl``.  prometheus_client
derives classes from those of servers and clients; only its text format is
used."""


class DeferredModule(types.ModuleType):
    """Stands for a module until one of its attributes is used.

    :param placeholders: attributes that don't load the module; they are
        replaced when it is loaded.
    """

    def __init__(self, name: str, placeholders: Mapping[str, Any]) -> None:
        super().__init__(name)
        self.__dict__.update(placeholders)

    def __getattr__(self, name: str) -> Any:
        if name.startswith('__'):
            # The import system asks for these names.
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        module = importlib.import_module(self.__name__)
        self.__dict__.update(vars(module))
        return getattr(module, name)


def defer(name: str, placeholders: Mapping[str, Any]) -> None:
    """Defer the import of a module unless it is already imported."""
    if name not in sys.modules:
        sys.modules[name] = DeferredModule(name, placeholders)


def defer_unused() -> None:
    """Defer what a daemon's libraries import and the daemon does not use.

    Afterwards uvloop can't use TLS, msgspec can't encode decimal numbers and
    UUIDs, and ``inspect.getsource`` fails for classes.  ``hashlib`` uses its
    own functions instead of OpenSSL's, as on a Python built without OpenSSL.
    """
    sys.modules.setdefault('_hashlib', None)  # type: ignore[arg-type]
    for name, placeholders in UNUSED.items():
        defer(name, placeholders)
