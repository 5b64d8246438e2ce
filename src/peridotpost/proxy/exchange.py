"""What an ingress knows of one request until it is answered."""

from typing import Protocol

from peridotpost.decisions import attempts
from peridotpost.decisions import targetstate
from peridotpost.model import forwarding
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import http1
from peridotpost.proxy import listener

NO_TARGET_RETURN_S = 0.25
"""When to come back where no guard said: targets announce themselves, and
streams are dialled again, within about that time."""


class Owner(Protocol):
    """Works on exchanges."""

    def abandoned(self, exchange: 'Exchange') -> None:
        """The caller has gone; nothing more is done for it."""


class Exchange:
    """One request of a caller until it is answered.

    :param tried: hosts whose guards were asked, in that order.
    :param order: the dispatch under way; None between two.
    :param slot: of its deadline in the sweep.
    :param over: whether it was answered, or its caller has gone.
    :param last_asked: whether a guard was told that nobody else is asked.
    :param retry_after_s: when to come back, as the last guard said.
    :param first_at: when its caller first asked for it, `started` but for
        one that was refused before.
    :param new_version: whether it goes to the version that is released.
    :param parent: the run of the own target that made this call, if it is
        one.
    :param patient_until: the caller's own deadline; the route's timeout
        where it told none.
    """

    __slots__ = (
        'owner',
        'message',
        'route',
        'service',
        'respond',
        'started',
        'deadline',
        'objective',
        'rank',
        'head',
        'tried',
        'attempts',
        'order',
        'candidate',
        'slot',
        'over',
        'last_asked',
        'retry_after_s',
        'first_at',
        'patient_until',
        'parent',
        'new_version',
    )

    def __init__(
        self,
        owner: Owner,
        message: http1.Message,
        route: mesh.PathRoute,
        service: str,
        respond: listener.Respond,
    ) -> None:
        self.owner = owner
        self.message = message
        self.route = route
        self.service = service
        self.respond = respond
        self.started = deadlines.now()
        self.deadline = self.started + route.timeout_s
        self.objective = self.started + route.objective_s
        self.attempts = attempts.Attempts(
            route.idempotent, route.max_attempts, self.deadline
        )
        self.rank = route.rank
        self.head = b''
        self.tried: list[str] = []
        self.order: forwarding.Order | None = None
        self.candidate: targetstate.Candidate | None = None
        self.slot = 0
        self.over = False
        self.last_asked = False
        self.retry_after_s = NO_TARGET_RETURN_S
        self.first_at = self.started
        self.patient_until = self.deadline
        self.parent: forwarding.Order | None = None
        self.new_version = False

    @property
    def host(self) -> str:
        """Whose guard was asked last; empty before the first."""
        return self.candidate.host if self.candidate is not None else ''

    def abandoned(self) -> None:
        self.owner.abandoned(self)
