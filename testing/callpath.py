"""The call path of one or more daemons, in one process, over real sockets.

Everything between a caller's socket and a target's is production code.
Configuration and membership are not distributed: a test sets them on each
node.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random

from peridotpost.border import mesh_document
from peridotpost.calls import connections
from peridotpost.calls import guard as guards
from peridotpost.calls import ingress as ingresses
from peridotpost.calls import peer_server
from peridotpost.calls import peers
from peridotpost.calls import router as routers
from peridotpost.decisions import idempotency
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.membership import myself as own
from peridotpost.membership import targets as local
from peridotpost.model import calls
from peridotpost.model import config
from peridotpost.model import members
from peridotpost.standins import target as standin

MESH_TEXT = """
mesh: test
availability_zones: [a, b]
services:
  read:
    idempotent: true
    deadline_ms: 3000
    limits: {body_bytes: 1000, answer_bytes: 5000}
  write:
    depends_on: [hidden]
    deadline_ms: 3000
    limits: {body_bytes: 1000, answer_bytes: 5000}
  hidden:
    internal: true
    idempotent: true
"""
RECEIVE_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class Node:
    """The components of one daemon that carry calls."""

    host: str
    zone: str
    replica: replicas.Replica
    myself: own.LocalMember
    targets: local.LocalTargets
    guard: guards.Guard
    router: routers.Router
    streams: peers.PeerStreams
    counts: counters.Counters
    clock: timers.TimerService
    ingress: ingresses.Ingress
    port: int = 0
    egress_port: int = 0

    def announce(self, service: str, port: int, **options: int) -> None:
        """Register a local target of `service` that listens on `port`."""
        self.targets.announce(
            local.LocalTarget(
                service=service,
                name=f't-{self.host}',
                port=port,
                slots=options.get('slots', 4),
                connections=options.get('connections', 40),
                state=members.TargetState(options.get('state', 1)),
                expires_at=float('inf'),
            )
        )

    def add_members(self, *others: 'Node') -> None:
        """Add the member records of other nodes."""
        for other in others:
            self.replica.offer_member(other.myself.record, 'test')


class DirectKeyedCalls:
    """Replaces key ownership: treats every key as new and runs it here.

    The ownership tests check that a key runs only once.
    """

    def __init__(self, router: routers.Router) -> None:
        self.router = router
        self.randomness = random.Random(router.replica.host)

    def generate_key(self) -> str:
        return idempotency.generate_key(1, self.randomness).text

    async def route(self, call: calls.Call) -> calls.Outcome:
        return await self.router.dispatch(call)


@contextlib.asynccontextmanager
async def node(
    host: str, zone: str = 'a', mesh_text: str = MESH_TEXT
) -> AsyncIterator[Node]:
    """Run a node that stores its own member record on every change."""
    randomness = random.Random(host)
    counts = counters.Counters()
    async with contextlib.AsyncExitStack() as stack:
        clock = stack.enter_context(timers.timer_service(randomness))
        events = timeline.Timeline(host, clock.wall)
        replica = replicas.Replica(
            host, config.EVERYTHING, clock, events, counts
        )
        mesh = mesh_document.parse_mesh(mesh_text, 'test')
        replica.offer_full_version(
            mesh_document.to_config(mesh, 1, 'w'), 'test'
        )
        myself = own.LocalMember(
            members.MemberRecord(
                host,
                zone,
                1,
                members.Status.ALIVE,
                1,
                '127.0.0.1',
                0,
                0,
                0,
                0,
            )
        )
        targets = local.LocalTargets(myself, 3.0, counts)
        pool = connections.ConnectionPool(counts)
        stack.callback(pool.close)
        guard = guards.Guard(replica, targets, pool, clock, events, counts)
        streams = peers.PeerStreams(counts)
        stack.push_async_callback(streams.close)
        router = routers.Router(
            replica, guard, streams, clock, events, counts, zone, randomness
        )
        router.keyed = DirectKeyedCalls(router)
        call_port = await stack.enter_async_context(
            peer_server.serving(
                peer_server.PeerServer(guard, counts), '127.0.0.1', 0
            )
        )
        ingress_servers = [
            ingresses.Ingress(
                replica,
                router,
                myself,
                targets,
                events,
                counts,
                randomness,
                for_targets=for_targets,
            )
            for for_targets in (False, True)
        ]
        ports = [
            await stack.enter_async_context(
                ingresses.serving(ingress, '127.0.0.1', 0, 'caller_port')
            )
            for ingress in ingress_servers
        ]
        myself.changed.subscribe(lambda record: _offer_record(replica, record))
        myself.set_ports(call_port, 0)
        replica.offer_member(myself.record, 'test')
        myself.stage = own.Stage.READY
        yield Node(
            host,
            zone,
            replica,
            myself,
            targets,
            guard,
            router,
            streams,
            counts,
            clock,
            ingress_servers[0],
            *ports,
        )


def _offer_record(
    replica: replicas.Replica, record: members.MemberRecord
) -> None:
    replica.offer_member(record, '')


@contextlib.asynccontextmanager
async def standin_target(
    service: str, **options: object
) -> AsyncIterator[standin.Target]:
    """Run a stand-in target in this process, without announcing it."""
    settings = standin.TargetSettings.model_validate(
        {'service': service, 'name': service, **options}
    )
    target = standin.Target(settings)
    async with standin.serving(target):
        yield target


Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], 'asyncio.Future[None]'
]


@dataclasses.dataclass(slots=True)
class ScriptedServer:
    """A server that runs a script of the test on each connection."""

    port: int = 0
    accepted: int = 0
    requests: list[bytes] = dataclasses.field(default_factory=list)

    async def read_request(self, reader: asyncio.StreamReader) -> bytes:
        """Read a request with its body."""
        head = await reader.readuntil(b'\r\n\r\n')
        length = 0
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
        request = head + await reader.readexactly(length)
        self.requests.append(request)
        return request


@contextlib.asynccontextmanager
async def scripted_server(
    script: Callable[
        [ScriptedServer, asyncio.StreamReader, asyncio.StreamWriter], object
    ],
) -> AsyncIterator[ScriptedServer]:
    """Serve `script`, a coroutine function, on a free port."""
    state = ScriptedServer()
    tasks: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        state.accepted += 1
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            result = script(state, reader, writer)
            assert asyncio.iscoroutine(result)
            await result
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    state.port = server.sockets[0].getsockname()[1]
    try:
        yield state
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP answer as read from the caller's socket."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's first value, or an empty string."""
        for found, value in self.headers:
            if found.lower() == name.lower():
                return value
        return ''

    @property
    def outcome(self) -> str:
        """The outcome: ``not-run``, ``unknown`` or ``answered``."""
        return self.header('Peridot-Outcome') or 'answered'


class Caller:
    """A caller's connection, which can send arbitrary bytes."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, raw: bytes) -> None:
        self.writer.write(raw)
        await self.writer.drain()

    async def read_reply(self, head: bool = False) -> Reply:
        """Read an answer.

        :param head: whether it answers a HEAD request and has no body.
        """
        raw = await asyncio.wait_for(
            self.reader.readuntil(b'\r\n\r\n'), RECEIVE_TIMEOUT_S
        )
        first, *lines = raw.decode('latin1').strip('\r\n').split('\r\n')
        headers = [
            (name, value.strip())
            for name, _, value in (line.partition(':') for line in lines)
        ]
        reply = Reply(int(first.split(' ')[1]), headers, b'')
        length = reply.header('Content-Length')
        if length and not head:
            body = await asyncio.wait_for(
                self.reader.readexactly(int(length)), RECEIVE_TIMEOUT_S
            )
            reply = dataclasses.replace(reply, body=body)
        return reply

    async def ask(
        self,
        service: str,
        method: str = 'GET',
        path: str = '/',
        body: bytes = b'',
        *headers: str,
    ) -> Reply:
        """Send a request and return its answer."""
        await self.send(request(service, method, path, body, *headers))
        return await self.read_reply(head=method == 'HEAD')

    async def reads_eof(self) -> bool:
        """Wait for the daemon to close; return false if it sends data."""
        try:
            data = await asyncio.wait_for(
                self.reader.read(1), RECEIVE_TIMEOUT_S
            )
        except ConnectionError:
            return True
        return data == b''


def request(
    service: str,
    method: str = 'GET',
    path: str = '/',
    body: bytes = b'',
    *headers: str,
) -> bytes:
    """Return an encoded request."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {service}', *headers]
    if body or method in ('POST', 'PUT'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


@contextlib.asynccontextmanager
async def caller(port: int) -> AsyncIterator[Caller]:
    """Open a caller's connection to a daemon on this machine."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
