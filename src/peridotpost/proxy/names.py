"""The header names of one deployment, given by its adapter."""

from collections.abc import Callable
import dataclasses


def _no_parent(attempt_id: bytes) -> bytes:
    return b''


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, in lower case, as bytes.

    :param attempt: names one attempt of a caller; targets echo it.
    :param deadline: milliseconds that the sender still waits.
    :param proof: a target's mark on an answer of its own.
    :param not_run: a target's word that it did not run the request.
    :param instance: the target's incarnation that is to run the request.
    :param caller: the service on the host where the request began.
    :param parent_of: returns the id of the request whose run made a call,
        by the call's id; empty where the id does not tell.
    """

    attempt: bytes
    deadline: bytes
    proof: bytes
    not_run: bytes
    instance: bytes
    caller: bytes
    parent_of: Callable[[bytes], bytes] = _no_parent
