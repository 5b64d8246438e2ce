"""This daemon's own member record, which only it may change."""

import dataclasses
import enum

from peridotpost.kernel import hooks
from peridotpost.model import members


class Stage(enum.Enum):
    """The lifecycle stage of this process."""

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'


class LocalMember:
    """Holds the own record; fires `changed` on every change."""

    def __init__(self, record: members.MemberRecord) -> None:
        self.record = record
        self.stage = Stage.STARTING
        self.changed: hooks.Hook[members.MemberRecord] = hooks.Hook(
            'myself.changed'
        )

    def set_ports(self, call_port: int, admin_port: int) -> None:
        """Add the ports to the record once all are open."""
        self.record = dataclasses.replace(
            self.record, call_port=call_port, admin_port=admin_port
        )

    def set_targets(self, targets: tuple[members.TargetRecord, ...]) -> None:
        if targets == self.record.targets:
            return
        self._publish(targets=targets)

    def leave(self) -> None:
        """Announce that this daemon leaves; its targets get no new work."""
        self.stage = Stage.LEAVING
        self._publish(status=members.Status.LEFT, targets=())

    def refute(self, heard: members.MemberRecord) -> None:
        """Override a record of this daemon that it did not write itself.

        A suspicion, or a record left by an earlier process of this host,
        takes precedence over ours until our incarnation exceeds it.
        """
        if heard.mark <= self.record.mark:
            return
        status = self.record.status
        incarnation = max(heard.incarnation, self.record.incarnation) + 1
        self._publish(incarnation=incarnation, status=status)

    def _publish(
        self,
        *,
        incarnation: int | None = None,
        status: members.Status | None = None,
        targets: tuple[members.TargetRecord, ...] | None = None,
    ) -> None:
        old = self.record
        self.record = dataclasses.replace(
            old,
            incarnation=old.incarnation
            if incarnation is None
            else incarnation,
            status=old.status if status is None else status,
            targets=old.targets if targets is None else targets,
            sequence=old.sequence + 1,
        )
        self.changed.fire(self.record)
