"""The child's side: keeps the streams that its place in the tree asks for.

The wanted peers are worked out anew whenever the fleet changes.  A stream
that ends is opened again after a back-off with jitter, towards the next
parent in the list.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random
from typing import Any

import eliot
import grpc
from grpc import aio

from peridotpost.decisions import pacing
from peridotpost.decisions import tree
from peridotpost.distribution import dialling
from peridotpost.distribution import links
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import streams
from peridotpost.generated import control_pb2
from peridotpost.generated import control_pb2_grpc
from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.kernel import tasks
from peridotpost.model import errors
from peridotpost.model import members

REPLAN_S = 0.2
"""Seconds between a change of the fleet and new uplinks: a rack that goes
at once gives one plan, not forty."""
REPORTING = frozenset({'parent', 'mate'})
"""Streams towards the zone's first relay, which so hears of all."""


@dataclasses.dataclass(slots=True)
class Uplink:
    """A wanted stream: candidates in order of preference."""

    candidates: tuple[str, ...]
    task: asyncio.Task[None]
    peer: str = ''


class Uplinks:
    """Holds one stream to a parent, or to each other zone's relay."""

    def __init__(
        self,
        replica: replicas.Replica,
        table: links.LinkTable,
        counts: counters.Counters,
        zone: str,
        randomness: random.Random,
    ) -> None:
        self.replica = replica
        self.table = table
        self.counts = counts
        self.zone = zone
        self.randomness = randomness
        self.wanted: dict[str, Uplink] = {}
        self.place = tree.Place(False, False, ())
        self.dial: dialling.Dial = dialling.dial
        self.ping: links.Ping | None = None
        self.closing = asyncio.Event()
        self.addresses: Callable[[str], str | None] = self._address
        self.bootstrap: tuple[str, ...] = ()
        self.replanning: asyncio.TimerHandle | None = None
        self.on_place: list[Callable[[tree.Place], None]] = []
        replica.changed.subscribe(self._fleet_changed)

    def _fleet_changed(self, change: replicas.FactChange) -> None:
        if change.member is None or self.replanning is not None:
            return
        loop = asyncio.get_running_loop()
        self.replanning = loop.call_later(REPLAN_S, self.plan)

    def plan(self) -> None:
        """Work out the place in the tree and the streams to hold."""
        self.replanning = None
        fleet = self.replica.fleet
        hosts = fleet.live_hosts(self.zone)
        self.place = tree.place_of(self.replica.host, self.zone, hosts)
        wanted = self._wanted(hosts)
        for name in [one for one in self.wanted if one not in wanted]:
            self.wanted.pop(name).task.cancel()
        for name, candidates in wanted.items():
            held = self.wanted.get(name)
            if held is None:
                self._open(name, candidates)
            elif held.candidates != candidates:
                self._move(name, held, candidates)
        for listener in self.on_place:
            listener(self.place)

    def _wanted(self, hosts: list[str]) -> dict[str, tuple[str, ...]]:
        """Return the candidates of each wanted stream, by its name."""
        if not self.place.relay:
            parents = tree.suspects_last(self.place.parents, self.suspected())
            return {'parent': parents or self.bootstrap}
        others = [
            tree.ZoneRelays(
                zone,
                tuple(
                    tree.relays_of(zone, self.replica.fleet.live_hosts(zone))
                ),
            )
            for zone in self.replica.fleet.zones()
            if zone != self.zone
        ]
        peers = tree.links_between_zones(
            self.replica.host, self.zone, hosts, others
        )
        wanted: dict[str, tuple[str, ...]] = {
            f'zone-of-{peer}': (peer,) for peer in peers
        }
        mates = tree.relays_of(self.zone, [*hosts, self.replica.host])
        if mates and mates[0] != self.replica.host:
            wanted['mate'] = (mates[0],)
        if len(hosts) <= 1 and not wanted and self.bootstrap:
            # A daemon that knows nobody yet asks the seeds first.
            wanted['bootstrap'] = self.bootstrap
        return wanted

    def suspected(self) -> frozenset[str]:
        """Return the hosts of the zone that are under suspicion."""
        return frozenset(
            one.host
            for one in self.replica.fleet.live()
            if one.status is members.Status.SUSPECT
        )

    def _open(self, name: str, candidates: tuple[str, ...]) -> None:
        task = asyncio.ensure_future(self._hold(name, candidates))
        self.wanted[name] = Uplink(candidates, task)

    def _move(
        self, name: str, held: Uplink, candidates: tuple[str, ...]
    ) -> None:
        """Keep a stream whose peer is still the preferred one."""
        held_peer = held.peer
        if candidates and held_peer == candidates[0]:
            held.candidates = candidates
            return
        held.task.cancel()
        self._open(name, candidates)

    async def _hold(self, name: str, candidates: tuple[str, ...]) -> None:
        choice = pacing.ParentChoice(self.randomness)
        clock = self.replica.clock
        while not tasks.cancelled():
            uplink = self.wanted.get(name)
            if uplink is not None:
                candidates = uplink.candidates
            if not candidates:
                await asyncio.sleep(REPLAN_S)
                continue
            choice.keep_only(candidates)
            peer, wait_s = choice.choose(candidates, clock.now())
            if wait_s:
                await asyncio.sleep(wait_s)
                continue
            if uplink is not None:
                uplink.peer = peer
            began = clock.now()
            refusal = await self._try(name, peer)
            now = clock.now()
            if refusal is None:
                choice.ended(peer, now, now - began)
            else:
                choice.refused(peer, now, refusal.come_back_ms / 1000)

    async def _try(self, name: str, peer: str) -> control_pb2.Refusal | None:
        """Hold one stream until it ends; return the refusal, if it was."""
        try:
            return await self._exchange(name, peer)
        except asyncio.CancelledError:
            # grpc raises this also when the channel is closed under the
            # call.  Taken for our own end, it would end the daemon's only
            # stream for good.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            self.counts.add('uplink.cancelled')
        except (grpc.RpcError, errors.PeridotError, TimeoutError) as error:
            self.counts.add('uplink.failed')
            logs.state_changed(
                'uplink', peer=peer, to='down', error=str(error)[:200]
            )
        except Exception:
            # A stream that ends by a mistake of ours must still be opened
            # again, or the daemon would never hear of another version.
            self.counts.add('uplink.broken')
            eliot.write_traceback()
        return None

    async def _exchange(
        self, name: str, peer: str
    ) -> control_pb2.Refusal | None:
        address = self.addresses(peer)
        if address is None:
            raise errors.PeridotError(
                'no address is known', step='uplink.dial', peer=peer
            )
        link = links.Link(
            peer,
            self.table,
            self.counts,
            dialled=True,
            reports=name in REPORTING,
        )
        link.ping = self.ping
        async with self.dial(address) as channel:
            call = control_pb2_grpc.ControlStub(channel).Exchange()
            async with asyncio.timeout(streams.GREETING_S):
                first = await self._greet(call, link)
            if first.HasField('refusal'):
                self.counts.add('uplink.refused')
                refusal: control_pb2.Refusal = first.refusal
                return refusal
            link.take(first)
            logs.state_changed('uplink', peer=link.peer, to='up')
            # Only read(): a call that was read from refuses to be iterated
            # over as well.
            await streams.converse(link, call.read, call.write, self.closing)
        return None

    async def _greet(self, call: Any, link: links.Link) -> Any:
        hello = links.greeting(link)
        await call.write(control_pb2.Frame(hello=hello))
        first = await call.read()
        if first is aio.EOF:
            raise errors.PeridotError(
                'ended at once', step='uplink.greet', peer=link.peer
            )
        return first

    def _address(self, peer: str) -> str | None:
        if ':' in peer:
            return peer
        record = self.replica.fleet.records.get(peer)
        return record.control_address if record is not None else None


@contextlib.asynccontextmanager
async def holding(uplinks: Uplinks) -> AsyncIterator[Uplinks]:
    uplinks.plan()
    try:
        yield uplinks
    finally:
        uplinks.closing.set()
        if uplinks.replanning is not None:
            uplinks.replanning.cancel()
        held = [uplink.task for uplink in uplinks.wanted.values()]
        await tasks.end(*held)
