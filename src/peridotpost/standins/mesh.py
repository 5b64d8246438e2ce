"""Plans one mesh on this machine's loopback, for first runs and tests."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import fcntl
import itertools
import json
import pathlib
import random
import socket
import tempfile
from typing import Any
from typing import IO

from peridotpost.border import text as text_border

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the range from which the machine takes ports for connections, so
that a planned port is not taken by one in the meantime."""
START_SPREAD_S = 0.2
"""A mesh on one machine is no herd; waiting would only slow first runs."""
BLOCK_PORTS = 200
PORT_NAMES = (
    'caller_port',
    'egress_port',
    'admin_port',
    'control_port',
    'call_port',
    'probe_port',
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedHost:
    """A host of the plan: its daemon and the service of its target."""

    host: str
    availability_zone: str
    service: str
    ports: dict[str, int]
    settings: str

    @property
    def admin(self) -> str:
        return f'127.0.0.1:{self.ports["admin_port"]}'

    @property
    def caller(self) -> str:
        return f'127.0.0.1:{self.ports["caller_port"]}'


@dataclasses.dataclass(frozen=True, slots=True)
class MeshPlan:
    """A whole mesh: its platform's port and its hosts."""

    mesh: str
    platform_port: int
    hosts: tuple[PlannedHost, ...]

    @property
    def store(self) -> str:
        return f'http://127.0.0.1:{self.platform_port}'


def free_ports(randomness: random.Random) -> Iterator[int]:
    """Yield ports on which nothing listens, each once.

    :raises RuntimeError: every block of ports is held by another process.
    """
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    randomness.shuffle(blocks)
    for first in blocks:
        if _claim(first):
            yield from filter(_is_free, range(first, first + BLOCK_PORTS))
    raise RuntimeError(
        f'no block of {BLOCK_PORTS} ports is left; end other meshes'
    )


def _claim(block: int) -> bool:
    """Hold a block of ports for as long as this process lives.

    Two processes that plan at the same time would find the same port free,
    and the daemon that starts later would find it taken: seen as "Address
    already in use" in tests that ran beside others.
    """
    if block in _claimed:
        return _claimed[block] is not None
    directory = pathlib.Path(tempfile.gettempdir()) / 'peridotpost-ports'
    directory.mkdir(exist_ok=True)
    lock = open(directory / str(block), 'w')
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        _claimed[block] = None
        return False
    _claimed[block] = lock
    return True


_claimed: dict[int, IO[str] | None] = {}


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


def plan_mesh(
    text: str,
    directory: pathlib.Path,
    hosts_per_zone: int,
    randomness: random.Random,
    settings: dict[str, Any] | None = None,
    services: Sequence[str] = (),
) -> MeshPlan:
    """Plan the mesh of `text` and write its settings into `directory`.

    Each host runs one target; services take turns over the hosts of all
    zones, so that each zone has targets of each service when it has as
    many hosts as there are services.

    :param settings: added to each daemon's settings.
    """
    mesh = text_border.read_text(text, 'planned text')
    ports = free_ports(randomness)
    platform_port = next(ports)
    names = itertools.cycle(services or tuple(mesh.services))
    hosts = []
    for zone in mesh.availability_zones:
        for number in range(hosts_per_zone):
            planned = PlannedHost(
                host=f'{zone}-{number}',
                availability_zone=zone,
                service=next(names),
                ports={name: next(ports) for name in PORT_NAMES},
                settings=str(directory / f'{zone}-{number}.json'),
            )
            hosts.append(planned)
            _write_settings(mesh.mesh, planned, platform_port, settings or {})
    plan = MeshPlan(mesh.mesh, platform_port, tuple(hosts))
    (directory / 'plan.json').write_text(json.dumps(dataclasses.asdict(plan)))
    return plan


def _write_settings(
    mesh: str,
    planned: PlannedHost,
    platform_port: int,
    settings: dict[str, Any],
) -> None:
    timing = {'start_spread_s': START_SPREAD_S, **settings.get('timing', {})}
    plain = {
        'host': planned.host,
        'availability_zone': planned.availability_zone,
        'mesh': mesh,
        'store': {'endpoints': [f'http://127.0.0.1:{platform_port}']},
        'listen': planned.ports,
        **settings,
        'timing': timing,
    }
    pathlib.Path(planned.settings).write_text(json.dumps(plain, indent=2))


def load_plan(path: pathlib.Path) -> MeshPlan:
    """Read a plan that :func:`plan_mesh` wrote."""
    plain = json.loads(path.read_text())
    return MeshPlan(
        plain['mesh'],
        plain['platform_port'],
        tuple(PlannedHost(**one) for one in plain['hosts']),
    )
