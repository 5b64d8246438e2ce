"""Builds in-process fleets and replicas of the design capacity."""

from collections.abc import Iterator

from bench import documents
from peridotpost.border import mesh_document
from peridotpost.model import config
from peridotpost.model import members
from testing import distribution_harness as nodes

HOSTS = 5_200
SERVICES = 150
ZONES = 11
INCARNATION = 1_764_700_000_000
"""In milliseconds since 1970, as in daemons, so that its encoded size is
realistic."""


def zone_names(zones: int) -> list[str]:
    return [f'zone-{number:02d}' for number in range(zones)]


def make_version(
    services: int = SERVICES, zones: int = ZONES, revision: int = 1
) -> config.ConfigVersion:
    """Return a configuration version of a generated mesh document."""
    mesh = mesh_document.parse_mesh(
        documents.generate_document(services, zones), 'bench'
    )
    return mesh_document.to_config(mesh, revision, f'{revision:032x}')


def changed_version(
    base: config.ConfigVersion, number: int
) -> config.ConfigVersion:
    """Return the next version, in which one service's deadline differs."""
    names = sorted(base.services)
    name = names[number % len(names)]
    old_spec = base.services[name]
    spec = config.ServiceSpec(
        **{
            **{field: getattr(old_spec, field) for field in _spec_fields()},
            'deadline_ms': old_spec.deadline_ms + 1,
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


def member_records(
    hosts: int = HOSTS, zones: int = ZONES, services: int = SERVICES
) -> Iterator[members.MemberRecord]:
    """Yield the member records of a fleet with one target per host."""
    names = sorted(make_version(services, zones).services)
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


def make_full_node(
    host: str, interest: config.Interest, hosts: int = HOSTS
) -> nodes.Node:
    """Return a node that holds the configuration and all member records."""
    node = nodes.Node(host, interest)
    node.offer_version(make_version())
    node.add_records(member_records(hosts))
    return node
