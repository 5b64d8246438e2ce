"""Log lines of an ingress, one per decision on a request."""

from collections.abc import Callable
import math
from typing import Any

from peridotpost.decisions import attempts
from peridotpost.decisions import logbudget
from peridotpost.kernel import jsonlog
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import http1
from peridotpost.proxy import identity

MAX_LOGGED_TARGET_BYTES = 80
"""Longest part of the request target logged for a request without a route."""


class RequestLog:
    """Logs decisions; a line is only built if the log's budget allows it.

    :param config: returns the current configuration, None before the first.
    :ivar confirmed_age_s: returns the time since the store confirmed that no
        newer configuration exists; infinite if it never did.
    """

    def __init__(
        self,
        log: jsonlog.JsonLog,
        config: Callable[[], mesh.MeshConfig | None],
    ) -> None:
        self.log = log
        self.config = config
        self.confirmed_age_s: Callable[[float], float] = lambda now: math.inf

    def answered(self, exchange: exchanges.Exchange, status: int) -> None:
        """Log a target's response; successful ones once a second at most."""
        if status >= attempts.FAILED_STATUS:
            self.ended(exchange, 'failed', exchange.host, str(status))
            return
        now = deadlines.now()
        if self.log.try_reserve_served(now):
            fields = self._fields(exchange, exchange.host, str(status), now)
            self.log.write('served', fields)

    def ended(
        self,
        exchange: exchanges.Exchange,
        decision: str,
        target: str,
        detail: str,
    ) -> None:
        """Log a final result other than a successful response."""
        if self.log.try_reserve(logbudget.LinePriority.OUTCOME):
            now = deadlines.now()
            fields = self._fields(exchange, target, detail, now)
            self.log.write(decision, fields)

    def lost(
        self, exchange: exchanges.Exchange, target: str, detail: str
    ) -> None:
        """Log a dispatch that ended without a response."""
        if self.log.try_reserve(logbudget.LinePriority.STEP):
            now = deadlines.now()
            fields = self._fields(exchange, target, detail, now)
            self.log.write('lost', fields)

    def hedged(self, exchange: exchanges.Exchange, target: str) -> None:
        """Log a second dispatch beside one whose answer is late."""
        if self.log.try_reserve(logbudget.LinePriority.STEP):
            fields = self._fields(exchange, target, '', deadlines.now())
            self.log.write('hedged', fields)

    def refused_unrouted(
        self, message: http1.Message, status: int, reason: str
    ) -> None:
        """Log a request that was refused before a route was found."""
        self.log.request(
            'refused',
            request=message.attempt_id.decode('latin-1'),
            status=status,
            reason=reason,
            target=message.target[:MAX_LOGGED_TARGET_BYTES].decode('latin-1'),
            version=self._version(),
            confirmed_ms=self._confirmed_ms(),
        )

    def denied(
        self,
        message: http1.Message,
        route: mesh.PathRoute,
        denial: identity.Denial,
    ) -> None:
        """Log a refusal because of credentials or quota."""
        fields: dict[str, Any] = {}
        if denial.customer:
            fields['customer'] = denial.customer
            fields['quota_per_s'] = denial.quota_per_s
        if denial.allowance is not None:
            fields['share'] = round(denial.allowance.share, 3)
            fields['share_age_ms'] = round(denial.allowance.age_s * 1000)
        self.log.request(
            'refused',
            request=message.attempt_id.decode('latin-1'),
            status=denial.problem.status,
            reason=denial.problem.title,
            route=route.name,
            retry_after_ms=round(denial.problem.retry_after_s * 1000),
            version=self._version(),
            confirmed_ms=self._confirmed_ms(),
            **fields,
        )

    def _version(self) -> int:
        config = self.config()
        return config.version if config is not None else 0

    def _confirmed_ms(self) -> int | None:
        """Return the age of the version's last confirmation, if any."""
        age_s = self.confirmed_age_s(deadlines.now())
        return None if math.isinf(age_s) else round(age_s * 1000)

    def _fields(
        self,
        exchange: exchanges.Exchange,
        target: str,
        detail: str,
        now: float,
    ) -> dict[str, Any]:
        fields = {
            'request': exchange.message.attempt_id.decode('latin-1'),
            'route': exchange.route.name,
            'service': exchange.service,
            'rank': exchange.rank,
            'target': target,
            'detail': detail,
            'tried': exchange.tried,
            'proofs': [proof.value for proof in exchange.attempts.proofs],
            'arrivals': exchange.attempts.arrivals,
            'elapsed_ms': round((now - exchange.started) * 1000),
            'left_ms': round((exchange.deadline - now) * 1000),
            'version': self._version(),
            'confirmed_ms': self._confirmed_ms(),
        }
        if exchange.customer:
            fields['customer'] = exchange.customer
        return fields
