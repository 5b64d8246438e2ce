"""Client side: maintains the streams that the position in the tree requires.

The desired peers are recomputed whenever the fleet changes.  A stream that
ends is reopened to the next candidate after a back-off with jitter.
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
from peridotpost.distribution import grpcchannels
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

REPLAN_DELAY_S = 0.2
"""Delay between a change of the fleet and the new plan, so that the loss of
a rack causes one plan instead of forty."""
REPORTING_UPLINKS = frozenset({'parent', 'mate'})
"""Names of uplinks towards the zone's first relay, which collects the
progress.  'mate' is the stream of another relay of the zone to it."""


@dataclasses.dataclass(slots=True)
class Uplink:
    """A desired stream.

    :param candidates: peers in order of preference.
    :param peer: the candidate that is connected or being tried.
    """

    candidates: tuple[str, ...]
    task: asyncio.Task[None]
    peer: str = ''


class UplinkManager:
    """Maintains a stream to the parent or, on a relay, to remote zones."""

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
        self.by_name: dict[str, Uplink] = {}
        self.position = tree.TreePosition(False, False, ())
        self.dial: grpcchannels.Dial = grpcchannels.dial
        self.ping: links.Ping | None = None
        self.closing = asyncio.Event()
        self.resolve_address: Callable[[str], str | None] = self._address_of
        self.bootstrap: tuple[str, ...] = ()
        self.replan_timer: asyncio.TimerHandle | None = None
        self.position_listeners: list[Callable[[tree.TreePosition], None]] = []
        replica.changed.subscribe(self._schedule_replan)

    def _schedule_replan(self, change: replicas.FactChange) -> None:
        if (
            change.member is None
            or self.replan_timer is not None
            or self.closing.is_set()
        ):
            return
        loop = asyncio.get_running_loop()
        self.replan_timer = loop.call_later(REPLAN_DELAY_S, self.plan)

    def close(self) -> None:
        """Stop planning; what changes from now on has no effect."""
        self.closing.set()
        if self.replan_timer is not None:
            self.replan_timer.cancel()

    def plan(self) -> None:
        """Compute the position in the tree and update the streams."""
        self.replan_timer = None
        fleet = self.replica.fleet
        hosts = fleet.live_hosts(self.zone)
        self.position = tree.position_of(self.replica.host, self.zone, hosts)
        desired = self._desired_uplinks(hosts)
        for name in [held for held in self.by_name if held not in desired]:
            self.by_name.pop(name).task.cancel()
        for name, candidates in desired.items():
            uplink = self.by_name.get(name)
            if uplink is None:
                self._open(name, candidates)
            elif uplink.candidates != candidates:
                self._update_candidates(name, uplink, candidates)
        for listener in self.position_listeners:
            listener(self.position)

    def _desired_uplinks(self, hosts: list[str]) -> dict[str, tuple[str, ...]]:
        """Return the candidates of each desired uplink by its name."""
        if not self.position.relay:
            parents = tree.suspects_last(
                self.position.parents, self.suspected()
            )
            return {'parent': parents or self.bootstrap}
        remote_zones = [
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
            self.replica.host, self.zone, hosts, remote_zones
        )
        desired: dict[str, tuple[str, ...]] = {
            f'zone-of-{peer}': (peer,) for peer in peers
        }
        relays = tree.relays_of(self.zone, [*hosts, self.replica.host])
        if relays and relays[0] != self.replica.host:
            desired['mate'] = (relays[0],)
        if len(hosts) <= 1 and not desired and self.bootstrap:
            # A daemon that knows no other member contacts the seeds.
            desired['bootstrap'] = self.bootstrap
        return desired

    def suspected(self) -> frozenset[str]:
        """Return the hosts that are suspected to have failed."""
        return frozenset(
            record.host
            for record in self.replica.fleet.live()
            if record.status is members.Status.SUSPECT
        )

    def _open(self, name: str, candidates: tuple[str, ...]) -> None:
        task = asyncio.ensure_future(self._maintain(name, candidates))
        self.by_name[name] = Uplink(candidates, task)

    def _update_candidates(
        self, name: str, uplink: Uplink, candidates: tuple[str, ...]
    ) -> None:
        """Replace an uplink unless its peer is still the first candidate."""
        current_peer = uplink.peer
        if candidates and current_peer == candidates[0]:
            uplink.candidates = candidates
            return
        uplink.task.cancel()
        self._open(name, candidates)

    async def _maintain(self, name: str, candidates: tuple[str, ...]) -> None:
        selector = pacing.ParentSelector(self.randomness)
        clock = self.replica.clock
        while not tasks.cancelled():
            uplink = self.by_name.get(name)
            if uplink is not None:
                candidates = uplink.candidates
            if not candidates:
                await asyncio.sleep(REPLAN_DELAY_S)
                continue
            selector.retain(candidates)
            peer, wait_s = selector.choose(candidates, clock.now())
            if wait_s:
                await asyncio.sleep(wait_s)
                continue
            if uplink is not None:
                uplink.peer = peer
            started_at = clock.now()
            refusal = await self._try_peer(name, peer)
            now = clock.now()
            if refusal is None:
                selector.record_end(peer, now, now - started_at)
            else:
                selector.refused(peer, now, refusal.come_back_ms / 1000)

    async def _try_peer(
        self, name: str, peer: str
    ) -> control_pb2.Refusal | None:
        """Run one stream until it ends; return the refusal, if any."""
        try:
            return await self._run_stream(name, peer)
        except asyncio.CancelledError:
            # grpc also raises this when the channel is closed during the
            # call.  Mistaken for a cancellation of this task, it would end
            # the daemon's only stream for good.
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
            # Reopen the stream also after a bug, or the daemon would
            # never receive another version.
            self.counts.add('uplink.broken')
            eliot.write_traceback()
        return None

    async def _run_stream(
        self, name: str, peer: str
    ) -> control_pb2.Refusal | None:
        address = self.resolve_address(peer)
        if address is None:
            raise errors.PeridotError(
                'no address is known', step='uplink.dial', peer=peer
            )
        link = links.Link(
            peer,
            self.table,
            self.counts,
            dialled=True,
            reports_progress=name in REPORTING_UPLINKS,
        )
        link.ping = self.ping
        async with self.dial(address) as channel:
            call = control_pb2_grpc.ControlStub(channel).Exchange()
            async with asyncio.timeout(streams.HELLO_TIMEOUT_S):
                first = await self._exchange_hello(call, link)
            if first.HasField('refusal'):
                self.counts.add('uplink.refused')
                refusal: control_pb2.Refusal = first.refusal
                return refusal
            link.handle_frame(first)
            logs.state_changed('uplink', peer=link.peer, to='up')
            # grpc does not allow iteration over a call after read().
            await streams.run_link(link, call.read, call.write, self.closing)
        return None

    async def _exchange_hello(self, call: Any, link: links.Link) -> Any:
        hello = links.hello_message(link)
        await call.write(control_pb2.Frame(hello=hello))
        first = await call.read()
        if first is aio.EOF:
            raise errors.PeridotError(
                'the peer closed the stream without a Hello',
                step='uplink.greet',
                peer=link.peer,
            )
        return first

    def _address_of(self, peer: str) -> str | None:
        if ':' in peer:
            return peer
        record = self.replica.fleet.records.get(peer)
        return record.control_address if record is not None else None


@contextlib.asynccontextmanager
async def running(uplinks: UplinkManager) -> AsyncIterator[UplinkManager]:
    uplinks.plan()
    try:
        yield uplinks
    finally:
        uplinks.close()
        running = [uplink.task for uplink in uplinks.by_name.values()]
        await tasks.cancel_and_wait(*running)
