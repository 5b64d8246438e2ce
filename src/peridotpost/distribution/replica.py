"""This daemon's copy of the configuration, member records and routes.

All sources of facts (store watch, streams, reconciliation, probes) feed
into it.  The rules of ``decisions.versions`` and ``decisions.fleet``
decide what is kept, so the source of a fact makes no difference.
"""

import dataclasses

from peridotpost.decisions import fleet as fleet_rules
from peridotpost.decisions import tables
from peridotpost.decisions import versions
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import logs
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import config
from peridotpost.model import members
from peridotpost.model import routing


@dataclasses.dataclass(frozen=True, slots=True)
class FactChange:
    """A new fact and the peer it was received from ('' if local)."""

    source: str
    member: members.MemberRecord | None = None
    version: config.ConfigVersion | None = None


class Replica:
    """Local state of a daemon; fires `changed` for each new fact."""

    def __init__(
        self,
        host: str,
        interest: config.Interest,
        clock: timers.TimerService,
        events: timeline.Timeline,
        counts: counters.Counters,
    ) -> None:
        self.host = host
        self.interest = interest
        self.clock = clock
        self.events = events
        self.counts = counts
        self.holding = versions.EMPTY_HOLDING
        self.fleet = fleet_rules.Fleet()
        self.tables = tables.TableCompiler()
        self.changed: hooks.Hook[FactChange] = hooks.Hook('fact.changed')
        self.interest_changed: hooks.Hook[config.Interest] = hooks.Hook(
            'interest.changed'
        )

    @property
    def version(self) -> config.ConfigVersion:
        """The version in force here, restricted to `scope`."""
        return self.holding.version

    @property
    def scope(self) -> config.Interest:
        """What is held completely; lags `interest` until that is fetched."""
        return self.holding.scope

    @property
    def digest(self) -> bytes:
        return self.holding.digest

    @property
    def needs_wider_scope(self) -> bool:
        return not versions.covers(self.scope, self.interest)

    @property
    def table(self) -> routing.RoutingTable:
        """The routing table, compiled lazily.

        When thousands of members join at once, each changes the table;
        it is compiled once, on the next access, instead of every time.
        """
        return self.tables.current(self.version)

    def set_interest(self, interest: config.Interest) -> None:
        """Change the interest; a wider scope has yet to be fetched."""
        if interest == self.interest:
            return
        self.interest = interest
        self.holding = versions.narrow(self.holding, interest)
        self.interest_changed.fire(interest)

    def offer_config(
        self, update: versions.ConfigUpdate, source: str
    ) -> versions.Verdict:
        """Apply an update as ``decisions.versions`` decides."""
        update_result = versions.apply_update(
            self.holding, self.interest, update
        )
        self.counts.add(f'config.{update_result.verdict.value}')
        if update_result.verdict is versions.Verdict.APPLIED:
            self._replace_holding(update_result.holding, source)
        return update_result.verdict

    def offer_full_version(
        self, version: config.ConfigVersion, source: str
    ) -> versions.Verdict:
        """Offer a complete version, such as one read from the store."""
        scoped = version.narrow(self.interest)
        target = versions.Holding(scoped, self.interest)
        update = versions.make_update(config.NO_CONFIG, target)
        return self.offer_config(update, source)

    def offer_member(self, record: members.MemberRecord, source: str) -> bool:
        """Merge a member's record; return whether it was new."""
        before = self.fleet.records.get(record.host)
        if not self.fleet.merge(record, self.clock.now()):
            return False
        self.counts.add('member.applied')
        self._log_member_status(before, record)
        self.tables.member_changed(before, record)
        self.changed.fire(FactChange(source, member=record))
        return True

    def _replace_holding(self, holding: versions.Holding, source: str) -> None:
        before = self.version.revision
        self.holding = holding
        version = holding.version
        self.events.record(
            'config.in-force', source, revision=version.revision
        )
        logs.state_changed(
            'config',
            from_revision=before,
            to_revision=version.revision,
            source=source,
        )
        self.changed.fire(FactChange(source, version=version))

    def _log_member_status(
        self,
        before: members.MemberRecord | None,
        record: members.MemberRecord,
    ) -> None:
        if before is not None and before.status is record.status:
            return
        if before is None and record.live:
            # Not logged: a starting daemon learns of 5,200 members at
            # once, and a line for each took most of its join.
            self.counts.add('member.met')
            return
        old_status = before.status.name if before is not None else 'unknown'
        self.events.record(
            'member.status',
            f'{record.host} {old_status} -> {record.status.name}',
        )
        logs.state_changed(
            'member',
            member=record.host,
            from_status=old_status,
            to_status=record.status.name,
            incarnation=record.incarnation,
        )
