"""State that an ingress keeps for a request until it is answered."""

from typing import Protocol

from peridotpost.decisions import attempts
from peridotpost.decisions import targetstate
from peridotpost.model import forwarding
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import http1
from peridotpost.proxy import listener

NO_TARGET_RETRY_AFTER_S = 0.25
"""Retry-After sent when no guard gave one.  Targets announce themselves, and
lost streams are reopened, within about this time."""


class ExchangeOwner(Protocol):
    """Processes exchanges."""

    def abandoned(self, exchange: 'Exchange') -> None:
        """Stop work on a request whose caller disconnected."""


class Exchange:
    """One request of a caller, from its arrival to its response.

    :param tried: hosts whose guards were asked, in order.
    :param order: the current dispatch; None between two dispatches.
    :param deadline_slot: time slot of its deadline in the deadline timer.
    :param finished: whether it was answered or its caller disconnected.
    :param last_resort_asked: whether a guard was told that no other target
        will be asked.
    :param retry_after_s: Retry-After for a refusal, from the last guard that
        gave one.
    :param first_attempt_at: time of the caller's first attempt; `started`
        unless an earlier attempt was refused.
    :param new_version: whether it is sent to the version being released.
    :param hedged: whether a hedge was sent.
    :param parent: the run on this host's target that made this request as a
        call, if any.
    :param caller_deadline: the caller's own deadline, or the route's timeout
        if the caller gave none.
    :param customer: name of the customer; empty if there is none.
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
        'deadline_slot',
        'finished',
        'last_resort_asked',
        'retry_after_s',
        'first_attempt_at',
        'caller_deadline',
        'parent',
        'new_version',
        'hedged',
        'customer',
    )

    def __init__(
        self,
        owner: ExchangeOwner,
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
        self.deadline_slot = 0
        self.finished = False
        self.last_resort_asked = False
        self.retry_after_s = NO_TARGET_RETRY_AFTER_S
        self.first_attempt_at = self.started
        self.caller_deadline = self.deadline
        self.parent: forwarding.Order | None = None
        self.new_version = False
        self.hedged = False
        self.customer = ''

    @property
    def host(self) -> str:
        """Host whose guard was asked last; empty before the first dispatch."""
        return self.candidate.host if self.candidate is not None else ''

    def time_left_s(self, now: float) -> float:
        """Return the time to the objective, or past it, to the deadline."""
        if now < self.objective:
            return self.objective - now
        return self.deadline - now

    def may_try(self, candidate: targetstate.Candidate) -> bool:
        """Whether a target is ready and was not tried."""
        return candidate.ready and candidate.host not in self.tried

    def abandoned(self) -> None:
        self.owner.abandoned(self)
