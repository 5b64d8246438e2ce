"""Between protocol buffers on the wire and the data classes inside.

The border for peers: whatever cannot be read raises ``CodecError`` before
any of it is used.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools

from peridotpost.decisions import versions
from peridotpost.generated import control_pb2
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.model import members

RECORDS_KEPT = 8192
"""The messages of a whole fleet: a parent in a storm sends the same 5,200
records to one child after another."""


@functools.lru_cache(maxsize=RECORDS_KEPT)
def member_to_wire(record: members.MemberRecord) -> control_pb2.Member:
    """Return the record's message, to be read or copied, never changed."""
    return control_pb2.Member(
        host=record.host,
        availability_zone=record.availability_zone,
        incarnation=record.incarnation,
        status=int(record.status),
        sequence=record.sequence,
        address=record.address,
        control_port=record.control_port,
        probe_port=record.probe_port,
        call_port=record.call_port,
        admin_port=record.admin_port,
        targets=[
            control_pb2.Target(
                service=target.service,
                name=target.name,
                state=int(target.state),
                slots=target.slots,
            )
            for target in record.targets
        ],
    )


def member_from_wire(message: control_pb2.Member) -> members.MemberRecord:
    """Read one member's record.

    :raises errors.CodecError: a field has no meaning.
    """
    if not message.host or not message.availability_zone:
        raise errors.CodecError('a member has no name', step='wire.member')
    try:
        return members.MemberRecord(
            host=message.host,
            availability_zone=message.availability_zone,
            incarnation=message.incarnation,
            status=members.Status(message.status),
            sequence=message.sequence,
            address=message.address,
            control_port=message.control_port,
            probe_port=message.probe_port,
            call_port=message.call_port,
            admin_port=message.admin_port,
            targets=tuple(_target(one) for one in message.targets),
        )
    except ValueError as error:
        raise errors.CodecError(
            str(error), step='wire.member', peer=message.host
        ) from error


def _target(message: control_pb2.Target) -> members.TargetRecord:
    return members.TargetRecord(
        service=message.service,
        name=message.name,
        state=members.TargetState(message.state),
        slots=message.slots,
    )


def marks_to_wire(
    marks: Mapping[str, members.MemberMark],
) -> list[control_pb2.MemberMark]:
    return [
        control_pb2.MemberMark(
            host=host,
            incarnation=mark.incarnation,
            status=int(mark.status),
            sequence=mark.sequence,
        )
        for host, mark in marks.items()
    ]


def marks_from_wire(
    messages: Iterable[control_pb2.MemberMark],
) -> dict[str, members.MemberMark]:
    """Read marks by host.

    :raises errors.CodecError: a status has no meaning.
    """
    try:
        return {
            one.host: members.MemberMark(
                one.incarnation, members.Status(one.status), one.sequence
            )
            for one in messages
        }
    except ValueError as error:
        raise errors.CodecError(str(error), step='wire.marks') from error


def bucket_marks(
    buckets: frozenset[int], marks: Mapping[str, members.MemberMark]
) -> control_pb2.MemberMarks:
    return control_pb2.MemberMarks(
        buckets=sorted(buckets), marks=marks_to_wire(marks)
    )


def read_bucket_marks(
    message: control_pb2.MemberMarks,
) -> tuple[frozenset[int], dict[str, members.MemberMark]]:
    """Read buckets and the marks that the sender holds in them.

    :raises errors.CodecError: a status has no meaning.
    """
    return frozenset(message.buckets), marks_from_wire(message.marks)


def interest_to_wire(interest: config.Interest) -> control_pb2.Interest:
    return control_pb2.Interest(
        everything=interest.everything,
        ingress=interest.ingress,
        hosted=sorted(interest.hosted),
    )


def interest_from_wire(message: control_pb2.Interest) -> config.Interest:
    return config.Interest(
        everything=message.everything,
        ingress=message.ingress,
        hosted=frozenset(message.hosted),
    )


def update_to_wire(update: versions.ConfigUpdate) -> control_pb2.Config:
    return control_pb2.Config(
        revision=update.revision,
        base_revision=update.base_revision,
        digest=update.digest,
        write_id=update.write_id,
        availability_zones=list(update.availability_zones),
        services=[
            control_pb2.ServiceEntry(name=name, body=spec.body)
            for name, spec in sorted(update.changed.items())
        ],
        removed=sorted(update.removed),
        scope=interest_to_wire(update.scope),
    )


def update_from_wire(message: control_pb2.Config) -> versions.ConfigUpdate:
    """Read a configuration update.

    :raises errors.CodecError: a service's body cannot be read.
    """
    changed: dict[str, config.ServiceSpec] = {}
    for entry in message.services:
        try:
            changed[entry.name] = config.service_from_body(entry.body)
        except ValueError as error:
            raise errors.CodecError(
                str(error), step='wire.config', peer=entry.name
            ) from error
    return versions.ConfigUpdate(
        revision=message.revision,
        base_revision=message.base_revision,
        digest=message.digest,
        write_id=message.write_id,
        availability_zones=tuple(message.availability_zones),
        changed=changed,
        removed=frozenset(message.removed),
        scope=interest_from_wire(message.scope),
    )
