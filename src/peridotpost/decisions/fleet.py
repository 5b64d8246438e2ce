"""Merges the records of the fleet's members.

Records of one member arrive late, repeated and out of order, from streams,
probes and reconciliation at once.  Without a total order on a member's
records two daemons could end up with different fleets.

The order is (incarnation, status, sequence).  Only the member itself raises
its incarnation and sequence, so the highest record is its latest, except
that a suspicion or death at the same incarnation overrides it until the
member answers with a higher incarnation.

Two daemons compare their fleets by checksums over buckets of members first,
and by the members' marks only in buckets whose checksums differ.  Without
the checksums each comparison would carry 22 bytes plus the name's length
over 9 for every member: 114 KB at 5,200 members with short names, which
every 10 s alone exceeds a daemon's budget of 7 KB/s.  The checksums of 64
buckets take 512 bytes, and a bucket that differs costs the marks of about
81 members, some 2 KB (``test_versions_rules`` checks both).
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import hashlib
import itertools

from peridotpost.model import members

TOMBSTONE_S = 86_400.0
"""How long a departed member is remembered.  If it were forgotten before the
longest partition ends, a daemon that was cut off would bring the record
back as live.  Expected partitions last minutes."""
BUCKETS = 64
ALL_BUCKETS = frozenset(range(BUCKETS))
SUM_MODULUS = 2**64


def bucket_of(host: str) -> int:
    return hashlib.blake2b(host.encode(), digest_size=1).digest()[0] % BUCKETS


def _bucket_term(record: members.MemberRecord) -> int:
    """Return what a record adds to its bucket's checksum; 0 once departed.

    Departed members are left out: otherwise a daemon that has forgotten one
    would always differ from a daemon that has not, and they would keep
    sending each other their departed members.
    """
    if not record.live:
        return 0
    mark = record.mark
    text = (
        f'{record.host}\0{mark.incarnation}\0{mark.status:d}\0{mark.sequence}'
    )
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


@dataclasses.dataclass(slots=True)
class Fleet:
    """The member records that one daemon holds, by host.

    :param departed_at: when each departed member was first seen so.
    :param bucket_sums: checksum of the live members of each bucket.
    :param live_by_zone: cache of :meth:`by_zone`; None when outdated.
    """

    records: dict[str, members.MemberRecord] = dataclasses.field(
        default_factory=dict
    )
    departed_at: dict[str, float] = dataclasses.field(default_factory=dict)
    bucket_sums: list[int] = dataclasses.field(
        default_factory=lambda: [0] * BUCKETS
    )
    live_by_zone: dict[str, list[members.MemberRecord]] | None = None

    def merge(self, record: members.MemberRecord, now: float) -> bool:
        """Store `record` if it is newer; return whether it was."""
        held = self.records.get(record.host)
        if held is not None and record.mark <= held.mark:
            return False
        old_term = 0 if held is None else _bucket_term(held)
        bucket = bucket_of(record.host)
        bucket_sum = self.bucket_sums[bucket] + _bucket_term(record) - old_term
        self.bucket_sums[bucket] = bucket_sum % SUM_MODULUS
        self.records[record.host] = record
        self.live_by_zone = None
        if record.live:
            self.departed_at.pop(record.host, None)
        else:
            self.departed_at.setdefault(record.host, now)
        return True

    def forget(self, now: float) -> list[str]:
        """Drop members departed for over TOMBSTONE_S; return their hosts."""
        forgotten = [
            host
            for host, at in self.departed_at.items()
            if now - at > TOMBSTONE_S
        ]
        for host in forgotten:
            del self.departed_at[host]
            del self.records[host]
        return forgotten

    def live(self) -> Iterator[members.MemberRecord]:
        return itertools.chain.from_iterable(self.by_zone().values())

    def live_hosts(self, zone: str) -> list[str]:
        return [one.host for one in self.by_zone().get(zone, ())]

    def zones(self) -> list[str]:
        return sorted(self.by_zone())

    def by_zone(self) -> Mapping[str, list[members.MemberRecord]]:
        """Return the live members of each availability zone.

        Cached: the prober calls this each second and a relay's plan eleven
        times, and going through 5,200 records takes 4 ms.
        """
        if self.live_by_zone is None:
            self.live_by_zone = {}
            for one in self.records.values():
                if one.live:
                    zone = self.live_by_zone.setdefault(
                        one.availability_zone, []
                    )
                    zone.append(one)
        return self.live_by_zone

    def differing(self, sums: Iterable[int]) -> frozenset[int]:
        """Return the buckets whose checksum differs from `sums`."""
        pairs = zip(self.bucket_sums, sums, strict=True)
        return frozenset(
            bucket for bucket, (own, other) in enumerate(pairs) if own != other
        )

    def newer_than(
        self,
        marks: Mapping[str, members.MemberMark],
        buckets: frozenset[int] = ALL_BUCKETS,
    ) -> list[members.MemberRecord]:
        """Return the records in `buckets` that are newer than `marks`.

        A departed member that is missing from `marks` is left out: its
        receiver would remember it for another TOMBSTONE_S and pass it on,
        so that no daemon would ever forget it.
        """
        return [
            record
            for record in self._records_in(buckets)
            if self._lacks(record, marks.get(record.host))
        ]

    def _lacks(
        self, record: members.MemberRecord, mark: members.MemberMark | None
    ) -> bool:
        return record.live if mark is None else mark < record.mark

    def older_than(self, marks: Mapping[str, members.MemberMark]) -> list[str]:
        """Return the hosts for which `marks` are newer than the records."""
        return [
            host
            for host, mark in marks.items()
            if self._is_older(self.records.get(host), mark)
        ]

    def _is_older(
        self, record: members.MemberRecord | None, mark: members.MemberMark
    ) -> bool:
        if record is None:
            return mark.status <= members.Status.SUSPECT
        return record.mark < mark

    def marks(
        self, buckets: frozenset[int] = ALL_BUCKETS
    ) -> dict[str, members.MemberMark]:
        return {one.host: one.mark for one in self._records_in(buckets)}

    def _records_in(
        self, buckets: frozenset[int]
    ) -> Iterator[members.MemberRecord]:
        if buckets == ALL_BUCKETS:
            return iter(self.records.values())
        return (
            one
            for one in self.records.values()
            if bucket_of(one.host) in buckets
        )
