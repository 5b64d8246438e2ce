"""Converts between protobuf messages and the model's data classes.

Messages from peers are validated here: an invalid one raises
``CodecError`` before any of it is used.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools

from peridotpost.decisions import versions
from peridotpost.generated import control_pb2
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.model import members

MEMBER_CACHE_SIZE = 8192
"""Holds the messages of a whole fleet: when many children join at once, a
parent sends the same 5,200 records to each of them."""


@functools.lru_cache(maxsize=MEMBER_CACHE_SIZE)
def member_to_wire(record: members.MemberRecord) -> control_pb2.Member:
    """Return the record as a cached message, which must not be modified."""
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
    """Decode a member record.

    :raises errors.CodecError: a field is invalid.
    """
    if not message.host or not message.availability_zone:
        raise errors.CodecError(
            'a member lacks its host or zone', step='wire.member'
        )
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
            targets=tuple(
                _target_from_wire(target) for target in message.targets
            ),
        )
    except ValueError as error:
        raise errors.CodecError(
            str(error), step='wire.member', peer=message.host
        ) from error


def _target_from_wire(message: control_pb2.Target) -> members.TargetRecord:
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
    """Decode marks by host.

    :raises errors.CodecError: a status is invalid.
    """
    try:
        return {
            mark.host: members.MemberMark(
                mark.incarnation, members.Status(mark.status), mark.sequence
            )
            for mark in messages
        }
    except ValueError as error:
        raise errors.CodecError(str(error), step='wire.marks') from error


def bucket_marks_to_wire(
    buckets: frozenset[int], marks: Mapping[str, members.MemberMark]
) -> control_pb2.MemberMarks:
    return control_pb2.MemberMarks(
        buckets=sorted(buckets), marks=marks_to_wire(marks)
    )


def bucket_marks_from_wire(
    message: control_pb2.MemberMarks,
) -> tuple[frozenset[int], dict[str, members.MemberMark]]:
    """Decode buckets and the marks that the sender holds in them.

    :raises errors.CodecError: a status is invalid.
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
    """Decode a configuration update.

    :raises errors.CodecError: a service's body is invalid.
    """
    changed: dict[str, config.ServiceSpec] = {}
    for entry in message.services:
        try:
            changed[entry.name] = config.parse_service(entry.body)
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
