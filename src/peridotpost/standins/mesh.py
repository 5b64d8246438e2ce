"""Plans a mesh on the loopback interface, for demos and tests."""

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

from peridotpost.border import mesh_document

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the ephemeral port range, so that no outgoing connection takes a
planned port before its daemon starts."""
START_SPREAD_S = 0.2
"""Short: a mesh on one machine is too small for a thundering herd, and a
long random delay would only slow its start."""
PORTS_PER_BLOCK = 200
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
    """A planned host: its daemon, and the service of its target.

    :param settings: path of the daemon's settings file.
    """

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
    """A planned mesh: the port of its store and its hosts."""

    mesh: str
    platform_port: int
    hosts: tuple[PlannedHost, ...]

    @property
    def store(self) -> str:
        return f'http://127.0.0.1:{self.platform_port}'


def free_ports(randomness: random.Random) -> Iterator[int]:
    """Yield ports on which nothing listens, each once.

    :raises RuntimeError: every block of ports is locked by another process.
    """
    blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
    randomness.shuffle(blocks)
    for first_port in blocks:
        if _lock_block(first_port):
            yield from filter(
                _is_free, range(first_port, first_port + PORTS_PER_BLOCK)
            )
    raise RuntimeError(
        f'no free block of {PORTS_PER_BLOCK} ports; stop other meshes'
    )


def _lock_block(first_port: int) -> bool:
    """Lock a block of ports until this process ends; return whether it is.

    Two processes that plan at the same time would find the same port free,
    and the daemon that starts later would fail with "Address already in
    use", as tests that ran in parallel did.
    """
    if first_port in _block_locks:
        return _block_locks[first_port] is not None
    directory = pathlib.Path(tempfile.gettempdir()) / 'peridotpost-ports'
    directory.mkdir(exist_ok=True)
    lock = open(directory / str(first_port), 'w')
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        _block_locks[first_port] = None
        return False
    _block_locks[first_port] = lock
    return True


_block_locks: dict[int, IO[str] | None] = {}


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
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

    Each host runs one target.  Services are assigned in turn over the hosts
    of all zones, so that each zone has targets of each service if it has at
    least as many hosts as there are services.

    :param settings: merged into the settings of each daemon.
    """
    mesh = mesh_document.parse_mesh(text, 'planned text')
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
    document = {
        'host': planned.host,
        'availability_zone': planned.availability_zone,
        'mesh': mesh,
        'store': {'endpoints': [f'http://127.0.0.1:{platform_port}']},
        'listen': planned.ports,
        **settings,
        'timing': timing,
    }
    pathlib.Path(planned.settings).write_text(json.dumps(document, indent=2))


def load_plan(path: pathlib.Path) -> MeshPlan:
    """Read a plan that :func:`plan_mesh` wrote."""
    document = json.loads(path.read_text())
    return MeshPlan(
        document['mesh'],
        document['platform_port'],
        tuple(PlannedHost(**host_fields) for host_fields in document['hosts']),
    )
