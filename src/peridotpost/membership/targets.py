"""The targets on this host, as they announce themselves.

An announcement is good for a few seconds.  A target that dies without a
word, or hangs, shows as one that no longer repeats it.
"""

import dataclasses

from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.membership import myself as own
from peridotpost.model import members


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

    def announce(self, target: LocalTarget) -> None:
        """Take in an announcement, new or repeated."""
        key = (target.service, target.name)
        old = self.found.get(key)
        self.found[key] = target
        if old is None or old.state is not target.state:
            logs.state_changed(
                'target',
                service=target.service,
                target=target.name,
                to=target.state.name,
            )
        self._publish()

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
