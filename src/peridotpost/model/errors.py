"""Exceptions that carry the failed step and the peer involved."""


class PeridotError(Exception):
    """Base class of all exceptions that the system raises deliberately.

    :param message: what went wrong and how to fix it.
    :param step: the step that failed, such as ``'store.read'``.
    :param peer: address or name of the remote side; empty if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        peer = f' ({self.peer})' if self.peer else ''
        return f'{self.step}{peer}: {self.message}'


class StoreError(PeridotError):
    """The platform's key-value store gave no usable response."""


class StoreUnavailable(StoreError):
    """The store did not respond; a write may or may not have been applied."""


class StoreProtocolError(StoreError):
    """The store's response violates its protocol."""


class StoreRefused(StoreError):
    """The store rejected the request and did not apply it."""


class StoreOverloaded(StoreRefused):
    """The request exceeded the store's quota; it may be retried later."""


class LeaseExpired(StoreRefused):
    """A write referred to a lease that has expired."""


class StoreCompacted(StoreError):
    """The start revision of a watch has been compacted."""


class CodecError(PeridotError):
    """A message from a peer could not be decoded."""
