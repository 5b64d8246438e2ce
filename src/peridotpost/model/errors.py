"""Errors that say at which step and towards which peer they arose."""


class PeridotError(Exception):
    """Base of every error the system raises on purpose.

    :param message: what went wrong and what to do next.
    :param step: the step that failed, such as ``'store.read'``.
    :param peer: address or name of the other side, empty if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        towards = f' ({self.peer})' if self.peer else ''
        return f'{self.step}{towards}: {self.message}'


class StoreError(PeridotError):
    """The platform's key-value service did not give a usable answer."""


class StoreUnavailable(StoreError):
    """No answer came; a write may or may not have taken effect."""


class StoreGarbage(StoreError):
    """An answer came that does not follow the service's protocol."""


class StoreRefused(StoreError):
    """The service said that it did not do what was asked."""


class StoreOverloaded(StoreRefused):
    """The call was over the service's quota; repeat it later."""


class LeaseLapsed(StoreRefused):
    """A write named a lease that is no longer there."""


class StoreCompacted(StoreError):
    """The revision from which a watch was to begin is no longer kept."""


class CodecError(PeridotError):
    """A message from a peer could not be read."""
