"""The part that one daemon takes in the quotas of customers over all hosts.

Its ingress admits requests (``decisions.quotas``) and reports them to the
owner of each customer; it keeps the accounts of the customers that it owns
(``decisions.quotaowner``).  Without customers nothing is sent.
"""

import asyncio
from collections.abc import Iterable
import random

from peridotpost.border import proxy_settings as border
from peridotpost.decisions import quotaowner
from peridotpost.decisions import quotas as hostquotas
from peridotpost.decisions import rendezvous
from peridotpost.decisions import roundtrips
from peridotpost.kernel import counters
from peridotpost.kernel import jsonlog
from peridotpost.kernel import tasks
from peridotpost.mesh import directory as directories
from peridotpost.mesh import quotaasks
from peridotpost.mesh import zonecuts
from peridotpost.model import quotas
from peridotpost.proxy import customerusage
from peridotpost.proxy import deadlines
from peridotpost.proxy import frames
from peridotpost.proxy import peers

JITTER = 0.1
"""Fraction by which the interval of reports varies, so that the reports of
hosts that started together spread."""
KNOWN_FOR_S = 30.0
"""How long a host that can't be reached any more counts as known."""
SHARE_UNITS = 10_000
"""Shares are sent in ten-thousandths."""
MS_IN_S = 1000


class Quotas:
    """Implements ``identity.QuotaGate``."""

    def __init__(
        self,
        settings: border.Quotas,
        directory: directories.Directory,
        randomness: random.Random,
        counts: counters.Counters,
        log: jsonlog.JsonLog,
    ) -> None:
        rule = quotas.QuotaRule(
            settings.window_s, settings.overshoot, settings.slack
        )
        self.directory = directory
        self.randomness = randomness
        self.counts = counts
        self.log = log
        self.ingress = hostquotas.HostQuotas(rule, randomness)
        self.accounts = quotaowner.QuotaOwner(rule, deadlines.now())
        self.asks = quotaasks.QuotaAsks(self.ingress, counts, deadlines.now)
        self.owners = rendezvous.Owners()
        self.cuts = zonecuts.ZoneCuts(directory, self.ingress, counts, log)
        self.probes: roundtrips.RoundTrips[peers.PeerStream] = (
            roundtrips.RoundTrips(randomness)
        )
        self.streams: dict[str, peers.PeerStream] = {}
        self.known_until: dict[str, float] = {}
        self.left: dict[str, int] = {}
        self.report_number = 0
        own = directory.own_record
        self.own = quotas.Owner(own.host, own.incarnation)
        directory.frame_received.subscribe(self._handle_frame)

    # Interface for the ingress and for the configuration.

    def admit(
        self, customer: quotas.Limited, now: float, is_retry: bool = False
    ) -> float | None:
        """Admit a request; see ``HostQuotas.admit``."""
        if self.ingress.owner_to_ask(
            customer, now
        ) == self.own and self._decides_on(customer.name):
            wait_s = self.accounts.ask(customer.name, now, is_retry)
            self.ingress.decided_by_owner(
                customer.name, self.own, wait_s is None, now
            )
            return wait_s
        wait_s = self.ingress.admit(customer, now, is_retry)
        if self.ingress.has_early_report(customer.name):
            self._report_early(customer.name, now)
        return wait_s

    def ask(
        self,
        customer: quotas.Limited,
        decided: quotaasks.Decided,
        now: float,
        is_retry: bool = False,
    ) -> bool:
        """Ask the customer's owner to admit a request.

        :param decided: called with the decision, as `admit` returns it.
        :return: False if `admit` decides and nothing was asked.
        """
        owner = self.ingress.owner_to_ask(customer, now)
        if owner is None or owner == self.own:
            return False
        stream = self.streams.get(owner.host)
        if (
            stream is None
            or stream.closed
            or stream.incarnation != owner.incarnation
        ):
            return False
        number = self.asks.add(customer, owner, decided, is_retry)
        self._send(
            stream, frames.QuotaRequest(number, customer.name, is_retry)
        )
        return True

    def refund(self, name: str, now: float) -> None:
        """Return the share of a request that was refused after all."""
        self.ingress.refund(name, now)

    def allowance(self, name: str) -> customerusage.Allowance | None:
        """Return what limits a customer on this host, if anything."""
        share, age_s = self.ingress.share_of(name, deadlines.now())
        if share >= 1.0:
            return None
        return customerusage.Allowance(share, age_s)

    def set_quotas(self, given: Iterable[quotas.Limited]) -> None:
        """Put the quotas of a configuration version in force."""
        self.accounts.set_quotas(given)

    def announce_leaving(self) -> None:
        """Tell the other hosts that this one no longer admits requests."""
        if self.accounts.quotas:
            self.directory.broadcast(frames.Leaving())

    async def run(self) -> None:
        """Report what was admitted and tell hosts of limits, for ever."""
        while not tasks.cancelled():
            spread = 1 + JITTER * (2 * self.randomness.random() - 1)
            await asyncio.sleep(quotas.REPORT_INTERVAL_S * spread)
            if self.accounts.quotas or self.ingress.uses:
                self.tick(deadlines.now())

    def tick(self, now: float) -> None:
        self._probe_peers(now)
        self._update_reachable(now)
        reports = self.ingress.reports(now, self._owner_of)
        for owner, uses in reports.items():
            self._send_report(owner, uses, now)
        self._ping_silent_owners(now)
        verdicts = self.accounts.broadcasts(now)
        if verdicts:
            for verdict in verdicts:
                self._log_limit(verdict)
                self.ingress.apply(verdict, self.own, now)
            frame = _verdicts_frame(0, verdicts)
            for stream in self.streams.values():
                self._send(stream, frame)

    # Which hosts are reached, and who owns what.

    def _update_reachable(self, now: float) -> None:
        directory = self.directory
        self.streams = {
            host: peer.stream
            for host, peer in directory.peers.items()
            if peer.stream is not None
            and not peer.stream.closed
            and peer.stream.incarnation
        }
        for host, peer in directory.peers.items():
            if peer.record.incarnation > self.left.get(host, -1):
                self.known_until[host] = now + KNOWN_FOR_S
        for host, until in list(self.known_until.items()):
            if until < now:
                del self.known_until[host]
                self.accounts.forget_host(host)
        for host in self.left.keys() - directory.peers.keys():
            del self.left[host]
        known = 1 + len(self.known_until)
        self.cuts.update(known, now)
        self.streams = self.cuts.reachable_streams(self.streams, now)
        self.owners.update([self.own.host, *self.streams])
        self.owners.retain(self.ingress.uses)
        self.ingress.known_hosts = known
        silent = {stream.host for stream in self.probes.silent}
        self.ingress.reached_part = 1.0 - len(silent) / known
        # Two owners must not both count a host that reports to one of them,
        # so only hosts that this one can answer on their stream count.
        reporting = self.cuts.reachable_streams(
            {
                stream.host: stream
                for stream in directory.accepted_streams
                if stream.confirmed and stream not in self.probes.silent
            },
            now,
        )
        self.accounts.set_reachable(1 + len(reporting), known, now)

    def _probe_peers(self, now: float) -> None:
        """Probe hosts that report to this one; see ``roundtrips``.

        The streams that this daemon opened to hosts that do not answer are
        checked too: if only open connections are silent, new ones work.
        """
        before = self.probes.silent
        due = self.probes.update(
            {
                stream: stream.answered_at
                for stream in self.directory.accepted_streams
                if stream.confirmed
            },
            now,
            urgent=bool(self.accounts.accounts),
        )
        for stream in due:
            self.counts.add('quotas.probes')
            stream.send(frames.Ping(self.directory.version))
        for stream in self.probes.silent - before:
            self.log.state('probe', peer=stream.host, to='silent')
            self._check_stream(stream.host, now)
        for stream in before - self.probes.silent:
            self.log.state('probe', peer=stream.host, to='answered')

    def _owner_of(self, customer: str) -> quotas.Owner | None:
        host = self.owners.owner_of(customer)
        if host == self.own.host:
            return self.own
        stream = self.streams.get(host) if host is not None else None
        if stream is None:
            return None
        return quotas.Owner(stream.host, stream.incarnation)

    def _decides_on(self, customer: str) -> bool:
        """Whether this daemon decides on requests that hosts ask for.

        Hosts may ask the owner before the present one, or one that has not
        applied the configuration with the customer yet.
        """
        return (
            self.accounts.knows(customer)
            and self.owners.owner_of(customer) == self.own.host
        )

    def _ping_silent_owners(self, now: float) -> None:
        """Ping owners whose answers are overdue; see `check_liveness`.

        An idle stream to a remote zone is pinged every 20 s only.
        """
        for host in self.ingress.silent_owners(now):
            self._check_stream(host, now)

    def _check_stream(self, host: str, now: float) -> None:
        """Have the stream to a host closed unless it answers in time."""
        peer = self.directory.peers.get(host)
        stream = peer.stream if peer is not None else None
        if stream is not None and not stream.pinged_at:
            stream.pinged_at = now
            stream.send(frames.Ping(self.directory.version))

    # Messages.

    def _send_report(
        self, owner: quotas.Owner, uses: list[quotas.Use], now: float
    ) -> None:
        self.report_number += 1
        if owner == self.own:
            answer = self.accounts.report(owner, self.report_number, uses, now)
            self.ingress.acknowledge(owner, now)
            for verdict in answer:
                self.ingress.apply(verdict, owner, now)
            return
        self._send(
            self.streams[owner.host],
            frames.QuotaReport(
                self.report_number, [_use_to_frame(use) for use in uses]
            ),
        )

    def _report_early(self, name: str, now: float) -> None:
        """Report a customer's requests without waiting for the interval."""
        owner = self._owner_of(name)
        if owner is None:
            return
        use = self.ingress.early_report(name, owner, now)
        if use is not None:
            self._send_report(owner, [use], now)

    def _send(
        self,
        stream: peers.PeerStream,
        frame: (
            frames.QuotaReport
            | frames.QuotaVerdicts
            | frames.QuotaRequest
            | frames.QuotaDecision
        ),
    ) -> None:
        self.counts.add('quotas.messages')
        stream.send(frame)

    def _handle_frame(self, received: directories.ReceivedFrame) -> None:
        frame = received.frame
        stream = received.stream
        if isinstance(frame, frames.QuotaReport):
            verdicts = self.accounts.report(
                quotas.Owner(stream.host, stream.incarnation),
                frame.number,
                [_use_from_frame(use) for use in frame.uses],
                deadlines.now(),
            )
            self._send(stream, _verdicts_frame(frame.number, verdicts))
        elif isinstance(frame, frames.QuotaVerdicts):
            self._handle_verdicts(stream, frame, deadlines.now())
        elif isinstance(frame, frames.QuotaRequest):
            self._handle_ask(stream, frame)
        elif isinstance(frame, frames.Leaving):
            # Its part of the rate is free, unlike that of a host cut off.
            self.left[stream.host] = stream.incarnation
            self.known_until.pop(stream.host, None)
        elif isinstance(frame, frames.ZonesCutOff):
            now = deadlines.now()
            if self.cuts.handle(stream, frame, now):
                self._update_reachable(now)
        elif isinstance(frame, frames.QuotaDecision):
            owner = quotas.Owner(stream.host, stream.incarnation)
            if frame.retry_after_ms == frames.UNDECIDED:
                self.asks.leave_to_ingress(frame.number, owner)
            else:
                wait_s = frame.retry_after_ms / MS_IN_S or None
                self.asks.answer(frame.number, owner, wait_s)

    def _handle_ask(
        self, stream: peers.PeerStream, frame: frames.QuotaRequest
    ) -> None:
        retry_after_ms = frames.UNDECIDED
        if self._decides_on(frame.customer):
            retry_after_ms = _retry_after_ms(
                self.accounts.ask(
                    frame.customer, deadlines.now(), frame.is_retry
                )
            )
        self._send(stream, frames.QuotaDecision(frame.number, retry_after_ms))

    def _handle_verdicts(
        self,
        stream: peers.PeerStream,
        frame: frames.QuotaVerdicts,
        now: float,
    ) -> None:
        owner = quotas.Owner(stream.host, stream.incarnation)
        if frame.report:
            self.ingress.acknowledge(owner, now)
        for given in frame.verdicts:
            verdict = quotas.Verdict(
                given.number,
                given.customer,
                given.share / SHARE_UNITS,
                given.retry_after_ms / MS_IN_S,
                given.retry_share / SHARE_UNITS,
            )
            is_owner = self.owners.owner_of(given.customer) == stream.host
            if not self.ingress.apply(verdict, owner, now, is_owner):
                self.counts.add('quotas.ignored-verdicts')

    def _log_limit(self, verdict: quotas.Verdict) -> None:
        """Log the start, the changes and the end of a limit as its owner."""
        self.counts.add('quotas.limit-changes')
        self.log.state(
            'quota',
            customer=verdict.customer,
            to='limited' if verdict.share < 1.0 else 'unlimited',
            share=round(verdict.share, 4),
            reachable=round(self.accounts.fraction, 3),
        )


def _retry_after_ms(wait_s: float | None) -> int:
    """Return the time for a decision frame; 0 if the request is admitted."""
    return 0 if wait_s is None else max(1, round(wait_s * MS_IN_S))


def _use_to_frame(use: quotas.Use) -> frames.QuotaUse:
    return frames.QuotaUse(
        use.customer,
        use.admitted,
        use.asked,
        round(use.share * SHARE_UNITS),
        list(use.history),
        use.retries,
    )


def _use_from_frame(use: frames.QuotaUse) -> quotas.Use:
    return quotas.Use(
        use.customer,
        use.admitted,
        use.asked,
        use.share / SHARE_UNITS,
        use.history,
        use.retries,
    )


def _verdicts_frame(
    report: int, verdicts: list[quotas.Verdict]
) -> frames.QuotaVerdicts:
    return frames.QuotaVerdicts(
        report,
        [
            frames.QuotaVerdict(
                verdict.number,
                verdict.customer,
                round(verdict.share * SHARE_UNITS),
                round(verdict.retry_after_s * MS_IN_S),
                round(verdict.retry_share * SHARE_UNITS),
            )
            for verdict in verdicts
        ],
    )
