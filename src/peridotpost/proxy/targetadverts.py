"""Follows what this host's target advertises in its responses."""

from peridotpost.decisions import advertisedlimit
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import jsonlog
from peridotpost.model import advertisement
from peridotpost.model import instances

MAX_PENDING = 8
"""Incarnations with a limit that was heard before they announced
themselves."""
LIMIT_LOG_INTERVAL_S = 1.0
"""Minimum interval between log lines about new values of a limit.  A line
about its start or its end is always written."""


class TargetAdverts:
    """State advertised by one incarnation of the target after another.

    :ivar leaving_stated: fired with an incarnation that states that it is
        shutting down, or that is said by another host to have stated it.
    """

    def __init__(
        self, counts: counters.Counters, log: jsonlog.JsonLog
    ) -> None:
        self.counts = counts
        self.log = log
        self.incarnation: instances.Incarnation | None = None
        self.limit = advertisedlimit.AdvertisedLimit()
        self.leaving = False
        self.pending: dict[instances.Incarnation, float] = {}
        self.value_logged_at = 0.0
        self.leaving_stated: hooks.Hook[instances.Incarnation] = hooks.Hook(
            'leaving-stated'
        )

    def instance_replaced(self, incarnation: instances.Incarnation) -> None:
        """Start anew for an incarnation that has announced itself."""
        self.incarnation = incarnation
        self.limit = advertisedlimit.AdvertisedLimit()
        self.leaving = False
        pending = self.pending.pop(incarnation, None)
        if pending is not None:
            self._restore_limit(pending)

    @property
    def stated(self) -> instances.TargetStatement | None:
        """What the current incarnation stated; None if nothing."""
        current = self.incarnation
        limit_per_s = self.limit.per_s
        if current is None or not (self.leaving or limit_per_s is not None):
            return None
        return instances.TargetStatement(
            current.instance, current.started_ms, self.leaving, limit_per_s
        )

    def restore(self, heard: instances.TargetStatement) -> None:
        """Apply what another host heard before this daemon started."""
        incarnation = heard.incarnation
        is_current = incarnation == self.incarnation
        if heard.leaving:
            if not is_current:
                self.leaving_stated.fire(incarnation)
            elif not self.leaving:
                self._leaving_heard(incarnation)
        elif heard.limit_per_s is None:
            return
        elif is_current:
            self._restore_limit(heard.limit_per_s)
        else:
            self._keep_pending(incarnation, heard.limit_per_s)

    def _restore_limit(self, limit_per_s: float) -> None:
        if self.limit.restore(limit_per_s):
            self._log('limited', limit_per_s=limit_per_s)

    def _keep_pending(
        self, incarnation: instances.Incarnation, limit_per_s: float
    ) -> None:
        earlier = self.pending.get(incarnation, limit_per_s)
        if len(self.pending) >= MAX_PENDING:
            del self.pending[next(iter(self.pending))]
        self.pending[incarnation] = min(earlier, limit_per_s)

    def left(self) -> None:
        """Note that the current incarnation announced that it is leaving."""
        self.leaving = True

    def response_read(
        self,
        incarnation: instances.Incarnation,
        stated: advertisement.Advertisement,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply a response of an incarnation.

        :param sent_at: when the request of the response was sent.
        """
        if incarnation != self.incarnation:
            # A late response of a predecessor says nothing about this one.
            return
        if stated.invalid:
            self.counts.add('target.invalid-statements')
            self.log.request('invalid-statement', value=stated.invalid)
        if stated.leaving and not self.leaving:
            self._leaving_heard(incarnation)
        before = self.limit.per_s
        if self.limit.note(stated, sent_at, now):
            self._log_limit(before, now)

    def _leaving_heard(self, incarnation: instances.Incarnation) -> None:
        self.leaving = True
        self._log('leaving')
        self.leaving_stated.fire(incarnation)

    def _log_limit(self, before: float | None, now: float) -> None:
        self.counts.add('target.limit-changes')
        limit_per_s = self.limit.per_s
        if limit_per_s is None:
            self._log('unlimited')
            return
        if before is not None:
            if now - self.value_logged_at < LIMIT_LOG_INTERVAL_S:
                return
        self.value_logged_at = now
        self._log('limited', limit_per_s=limit_per_s)

    def _log(self, to: str, **fields: float) -> None:
        instance = self.incarnation.instance if self.incarnation else ''
        self.log.state('advertised', instance=instance, to=to, **fields)
