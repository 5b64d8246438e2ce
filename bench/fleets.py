"""Builds fleets and replicas of the size designed for, in one process."""

from collections.abc import Iterator

from bench import texts
from peridotpost.border import text as text_border
from peridotpost.model import config
from peridotpost.model import members
from testing import fleets as nodes

HOSTS = 5_200
SERVICES = 150
ZONES = 11
INCARNATION = 1_764_700_000_000
"""Milliseconds since 1970, as daemons take it: its size on the wire is
what counts."""


def zone_names(zones: int) -> list[str]:
    return [f'zone-{number:02d}' for number in range(zones)]


def version(
    services: int = SERVICES, zones: int = ZONES, revision: int = 1
) -> config.ConfigVersion:
    """Return the generated text as a version."""
    mesh = text_border.read_text(texts.mesh_text(services, zones), 'bench')
    return text_border.to_config(mesh, revision, f'{revision:032x}')


def changed_version(
    base: config.ConfigVersion, number: int
) -> config.ConfigVersion:
    """Return the next version: one service with another deadline."""
    names = sorted(base.services)
    name = names[number % len(names)]
    old = base.services[name]
    spec = config.ServiceSpec(
        **{
            **{field: getattr(old, field) for field in _spec_fields()},
            'deadline_ms': old.deadline_ms + 1,
        }
    )
    revision = base.revision + 1
    return config.ConfigVersion(
        revision,
        f'{revision:032x}',
        base.availability_zones,
        {**base.services, name: spec},
    )


def _spec_fields() -> list[str]:
    return list(config.ServiceSpec.__dataclass_fields__)


def records(
    hosts: int = HOSTS, zones: int = ZONES, services: int = SERVICES
) -> Iterator[members.MemberRecord]:
    """Yield the records of a fleet, one target on each host."""
    names = sorted(version(services, zones).services)
    for number in range(hosts):
        zone = f'zone-{number % zones:02d}'
        host = f'{zone}-{number // zones}'
        yield members.MemberRecord(
            host=host,
            availability_zone=zone,
            incarnation=INCARNATION + number,
            status=members.Status.ALIVE,
            sequence=3,
            address=f'10.{number % zones}.{number // 250}.{number % 250}',
            control_port=8083,
            probe_port=8085,
            call_port=8084,
            admin_port=8082,
            targets=(
                members.TargetRecord(
                    names[number % len(names)],
                    f't-{host}',
                    members.TargetState.READY,
                    12,
                ),
            ),
        )


def full_node(
    host: str, interest: config.Interest, hosts: int = HOSTS
) -> nodes.Node:
    """Return a node that holds the text and the whole fleet."""
    one = nodes.Node(host, interest)
    one.hold(version())
    one.learn(records(hosts))
    return one
