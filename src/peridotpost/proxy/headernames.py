"""Header names of a deployment, defined by its platform adapter."""

from collections.abc import Callable
import dataclasses


def _no_parent(attempt_id: bytes) -> bytes:
    return b''


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, in lower case, as bytes.

    :param attempt: id of one attempt of a caller; targets echo it.
    :param deadline: milliseconds until the sender gives up.
    :param signature: signature that marks a response as the target's own.
    :param not_run: set by a target that did not run the request.
    :param instance: incarnation of the target that is to run the request.
    :param caller: service on the host where the request originated.
    :param rate_limit: requests per second that a target accepts from all
        hosts together.
    :param leaving: ``1`` in the responses of a target that is shutting down.
    :param parent_of: maps the attempt id of a call to that of the request
        whose run made it; empty if the id does not contain it.
    :param credentials: scheme and key of the caller's customer.
    :param customer: name of the customer, set for targets.
    :param credentials_scheme: what precedes the key in `credentials`.
    """

    attempt: bytes
    deadline: bytes
    signature: bytes
    not_run: bytes
    instance: bytes
    caller: bytes
    rate_limit: bytes
    leaving: bytes
    parent_of: Callable[[bytes], bytes] = _no_parent
    credentials: bytes = b''
    customer: bytes = b''
    credentials_scheme: bytes = b''
