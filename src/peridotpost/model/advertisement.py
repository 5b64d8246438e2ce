"""What a target states about itself in its responses."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Advertisement:
    """The statements of one response.

    :param leaving: whether the target is shutting down.
    :param limit_per_s: requests per second that it accepts from all hosts
        together; None if the response names no valid limit.
    :param invalid: text of a statement that could not be parsed; the other
        one, if any, is valid.
    """

    leaving: bool = False
    limit_per_s: float | None = None
    invalid: str = ''
