"""The targets on this host, as they announce themselves.

An announcement is good for a few seconds.  A target that dies without a
word, or hangs, shows as one that no longer repeats it.
"""

import dataclasses

from peridotpost.decisions import suspicion
from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.membership import myself as own
from peridotpost.model import errors
from peridotpost.model import members

EXPIRY_CHECKS = 4
"""Looks for lapsed announcements in the time that one is good."""
PAUSE_FACTOR = 2.0
"""A gap of two looks is half the time that an announcement is good; with
the second between two announcements it stays under the whole."""


class NameTaken(errors.PeridotError):
    """Another target of this host announces under the same name."""


@dataclasses.dataclass(slots=True)
class LocalTarget:
    """An announced target and until when the announcement is good."""

    service: str
    name: str
    port: int
    slots: int
    connections: int
    state: members.TargetState
    good_until: float
    replaced: frozenset[int] = frozenset()
    """Ports from which the name was announced before this one."""

    def to_record(self) -> members.TargetRecord:
        return members.TargetRecord(
            self.service, self.name, self.state, self.slots
        )


class LocalTargets:
    """Announced targets by service and name."""

    def __init__(
        self, myself: own.Myself, ttl_s: float, counts: counters.Counters
    ) -> None:
        self.myself = myself
        self.ttl_s = ttl_s
        self.counts = counts
        self.found: dict[tuple[str, str], LocalTarget] = {}
        self.pause: suspicion.PauseDetector | None = None

    def announce(self, target: LocalTarget) -> None:
        """Take in an announcement, new or repeated.

        A name on another port is a restart, and the later one holds it.
        Where the former port goes on announcing, both are alive: calls
        would change between the two with each announcement, and the drain
        of one would stop the other.

        :raises NameTaken: a later target holds the name.
        """
        key = (target.service, target.name)
        old = self.found.get(key)
        if old is not None:
            self._check_port_change(old, target)
        self.found[key] = target
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
            new.replaced = old.replaced
            return
        if new.port in old.replaced:
            self.counts.add('target.name-taken')
            raise NameTaken(
                f'the target on port {old.port} announces this name too; '
                'give each target of a host its own',
                step='target.announce',
                peer=f'{new.service}/{new.name}',
            )
        new.replaced = old.replaced | {old.port}
        self.counts.add('target.moved')

    def withdraw(self, service: str, name: str, why: str) -> None:
        """Forget a target at once, as when its port refuses connections."""
        if self.found.pop((service, name), None) is None:
            return
        self.counts.add('target.withdrawn')
        logs.state_changed(
            'target', service=service, target=name, to='gone', why=why
        )
        self._publish()

    def expire(self, now: float) -> None:
        """Forget targets that went silent.

        After a pause of this process all announcements look old, since
        none could be taken in; they are good once more.
        """
        if self.pause is None:
            period_s = self.ttl_s / EXPIRY_CHECKS
            self.pause = suspicion.PauseDetector(period_s, now, PAUSE_FACTOR)
        if self.pause.paused(now):
            self.counts.add('target.own-pause')
            for target in self.found.values():
                target.good_until = now + self.ttl_s
            return
        for target in list(self.found.values()):
            if target.good_until <= now:
                self.withdraw(target.service, target.name, 'silent')

    def of_service(self, service: str) -> list[LocalTarget]:
        return [one for one in self.found.values() if one.service == service]

    def services(self) -> frozenset[str]:
        return frozenset(one.service for one in self.found.values())

    def _publish(self) -> None:
        if self.myself.stage is own.Stage.LEAVING:
            return
        ordered = sorted(self.found.items())
        self.myself.set_targets(
            tuple(target.to_record() for _, target in ordered)
        )
