"""Replicas and links without a network, for distribution tests."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import random

from peridotpost.decisions import versions
from peridotpost.distribution import links
from peridotpost.distribution import replica as replicas
from peridotpost.generated import control_pb2
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import config
from peridotpost.model import members

MAX_ROUNDS = 200
LIMITS = config.Limits(queue=8, body_bytes=1024, answer_bytes=1024)


class ManualClock(timers.TimerService):
    """A clock that the test sets; its timers never fire."""

    def __init__(self) -> None:
        super().__init__(random.Random(1))
        self.current_time = 1000.0

    def now(self) -> float:
        return self.current_time

    def wall(self) -> float:
        return self.current_time


def service_spec(
    name: str, depends_on: Iterable[str] = (), deadline_ms: int = 1000
) -> config.ServiceSpec:
    return config.ServiceSpec(
        name=name,
        depends_on=tuple(depends_on),
        internal=True,
        idempotent=True,
        deadline_ms=deadline_ms,
        work_class=config.WorkClass.SHORT,
        limits=LIMITS,
        calls=(),
    )


def version(
    revision: int, services: Mapping[str, Iterable[str]]
) -> config.ConfigVersion:
    """Return a configuration version.

    :param services: names of the dependencies by service name.
    """
    return config.ConfigVersion(
        revision=revision,
        write_id=f'write-{revision}',
        availability_zones=('z1', 'z2'),
        services={
            name: service_spec(name, depends_on, deadline_ms=revision)
            for name, depends_on in services.items()
        },
    )


def hosting_interest(*services: str) -> config.Interest:
    return config.Interest(hosted=frozenset(services))


def member(
    host: str,
    zone: str = 'z1',
    incarnation: int = 1,
    status: members.Status = members.Status.ALIVE,
    sequence: int = 1,
    service: str = '',
) -> members.MemberRecord:
    targets = (
        (members.TargetRecord(service, 't', members.TargetState.READY, 4),)
        if service
        else ()
    )
    return members.MemberRecord(
        host=host,
        availability_zone=zone,
        incarnation=incarnation,
        status=status,
        sequence=sequence,
        address='127.0.0.1',
        control_port=1,
        probe_port=2,
        call_port=3,
        admin_port=4,
        targets=targets,
    )


def make_members(count: int, zones: int = 11) -> list[members.MemberRecord]:
    return [
        member(
            f'host-{number:04d}',
            f'z{number % zones}',
            incarnation=1_760_000_000_000 + number,
            service=f'service-{number % 150}',
        )
        for number in range(count)
    ]


class Node:
    """The replica and link table of one daemon."""

    def __init__(
        self, host: str, interest: config.Interest = config.EVERYTHING
    ) -> None:
        self.host = host
        self.counts = counters.Counters()
        self.clock = ManualClock()
        events = timeline.Timeline(host, self.clock.wall)
        self.replica = replicas.Replica(
            host, interest, self.clock, events, self.counts
        )
        self.table = links.LinkTable(self.replica, 1, 'z1')

    def offer_version(self, held: config.ConfigVersion) -> versions.Verdict:
        return self.replica.offer_full_version(held, 'store')

    def add_records(self, records: Iterable[members.MemberRecord]) -> None:
        for record in records:
            self.replica.offer_member(record, 'test')


class Pipe:
    """A link between two nodes that delivers frames when told to."""

    def __init__(
        self, child: Node, parent: Node, reports: bool = True
    ) -> None:
        self.nodes = (child, parent)
        self.ends = (
            links.Link(
                parent.host,
                child.table,
                child.counts,
                dialled=True,
                reports_progress=reports,
            ),
            links.Link(child.host, parent.table, parent.counts),
        )
        self.undelivered: tuple[collections.deque[bytes], ...] = (
            collections.deque(),
            collections.deque(),
        )
        self.bytes_sent = 0
        for end in self.ends:
            end.hello_due = True
            end.table.attach(end)

    def close(self) -> None:
        for end in self.ends:
            end.table.detach(end)

    def send(self, side: int) -> None:
        """Queue every frame that `side` has pending for its peer."""
        for frame in links.pending_frames(self.ends[side]):
            data = frame.SerializeToString()
            self.bytes_sent += len(data)
            self.undelivered[side].append(data)

    def deliver(self, side: int) -> control_pb2.Frame | None:
        """Deliver the oldest queued frame from `side`, if there is one."""
        if not self.undelivered[side]:
            return None
        frame = control_pb2.Frame()
        frame.ParseFromString(self.undelivered[side].popleft())
        self.ends[1 - side].handle_frame(frame)
        return frame


def run_until_idle(pipes: Iterable[Pipe]) -> int:
    """Exchange frames until no link has any pending; return their count."""
    delivered = 0
    for _ in range(MAX_ROUNDS):
        before = delivered
        for pipe in pipes:
            for side in (0, 1):
                pipe.send(side)
                while pipe.deliver(side) is not None:
                    delivered += 1
        if delivered == before:
            return delivered
    raise AssertionError('links did not become idle')
