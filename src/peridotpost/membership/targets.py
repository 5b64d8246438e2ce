"""The targets on this host, as they announce themselves.

An announcement is valid for a few seconds.  A target that dies or hangs
without withdrawing it is noticed when it stops repeating it.
"""

import dataclasses

from peridotpost.decisions import suspicion
from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.membership import myself as own
from peridotpost.model import errors
from peridotpost.model import members

EXPIRY_CHECKS_PER_TTL = 4
"""Checks for expired announcements within the lifetime of one."""
PAUSE_FACTOR = 2.0
"""A gap of two checks is half the lifetime of an announcement; together with
the second between two announcements it stays below the whole lifetime."""


class NameTaken(errors.PeridotError):
    """Another target of this host announces the same name."""


@dataclasses.dataclass(slots=True)
class LocalTarget:
    """An announced target and when its announcement expires."""

    service: str
    name: str
    port: int
    slots: int
    connections: int
    state: members.TargetState
    expires_at: float
    former_ports: frozenset[int] = frozenset()
    """Earlier ports under which the name was announced."""

    def to_record(self) -> members.TargetRecord:
        return members.TargetRecord(
            self.service, self.name, self.state, self.slots
        )


class LocalTargets:
    """Announced targets by service and name."""

    def __init__(
        self, myself: own.LocalMember, ttl_s: float, counts: counters.Counters
    ) -> None:
        self.myself = myself
        self.ttl_s = ttl_s
        self.counts = counts
        self.by_name: dict[tuple[str, str], LocalTarget] = {}
        self.pause_detector: suspicion.PauseDetector | None = None

    def announce(self, target: LocalTarget) -> None:
        """Process an announcement, new or repeated.

        The same name on another port means that the target restarted, and
        the later port owns the name.  If the former port keeps announcing,
        both are alive and the former is rejected: otherwise calls would
        alternate between the two with each announcement, and draining one
        would stop the other.

        :raises NameTaken: a later target owns the name.
        """
        key = (target.service, target.name)
        old = self.by_name.get(key)
        if old is not None:
            self._check_port_change(old, target)
        self.by_name[key] = target
        if old is None or old.state is not target.state:
            logs.state_changed(
                'target',
                service=target.service,
                target=target.name,
                to=target.state.name,
            )
        self._publish()

    def _check_port_change(self, old: LocalTarget, new: LocalTarget) -> None:
        if new.port == old.port:
            new.former_ports = old.former_ports
            return
        if new.port in old.former_ports:
            self.counts.add('target.name-taken')
            raise NameTaken(
                f'the target on port {old.port} announces this name too; '
                'give each target of a host its own',
                step='target.announce',
                peer=f'{new.service}/{new.name}',
            )
        new.former_ports = old.former_ports | {old.port}
        self.counts.add('target.moved')

    def withdraw(self, service: str, name: str, why: str) -> None:
        """Remove a target at once, for example if its port is closed."""
        if self.by_name.pop((service, name), None) is None:
            return
        self.counts.add('target.withdrawn')
        logs.state_changed(
            'target', service=service, target=name, to='gone', why=why
        )
        self._publish()

    def expire(self, now: float) -> None:
        """Remove targets whose announcements expired.

        After a pause of this process all announcements look expired, since
        none could be processed meanwhile, so their lifetimes start again.
        """
        if self.pause_detector is None:
            period_s = self.ttl_s / EXPIRY_CHECKS_PER_TTL
            self.pause_detector = suspicion.PauseDetector(
                period_s, now, PAUSE_FACTOR
            )
        if self.pause_detector.paused(now):
            self.counts.add('target.own-pause')
            for target in self.by_name.values():
                target.expires_at = now + self.ttl_s
            return
        for target in list(self.by_name.values()):
            if target.expires_at <= now:
                self.withdraw(target.service, target.name, 'silent')

    def of_service(self, service: str) -> list[LocalTarget]:
        return [one for one in self.by_name.values() if one.service == service]

    def services(self) -> frozenset[str]:
        return frozenset(one.service for one in self.by_name.values())

    def _publish(self) -> None:
        if self.myself.stage is own.Stage.LEAVING:
            return
        ordered = sorted(self.by_name.items())
        self.myself.set_targets(
            tuple(target.to_record() for _, target in ordered)
        )
