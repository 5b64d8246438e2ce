"""``peridot-proxy`` put together: parts, start, stop."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import random
import time

from peridotpost.border import proxy as border
from peridotpost.decisions import asking
from peridotpost.decisions import budget
from peridotpost.decisions import following
from peridotpost.decisions import releasesplit
from peridotpost.decisions import selection
from peridotpost.kernel import counters
from peridotpost.kernel import lines
from peridotpost.kernel import registry
from peridotpost.kernel import tasks
from peridotpost.mesh import adapter as adapters
from peridotpost.mesh import countedfeed
from peridotpost.mesh import directory as directories
from peridotpost.mesh import metrics
from peridotpost.mesh import releases as release_parts
from peridotpost.mesh import storefeed
from peridotpost.mesh import versions as version_feed
from peridotpost.model import instances
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import forwarder as forwarders
from peridotpost.proxy import frames
from peridotpost.proxy import guard as guards
from peridotpost.proxy import http1
from peridotpost.proxy import listener
from peridotpost.proxy import peers

MS_IN_S = 1000
OUT_OF_ROTATION_S = 2.6
"""After a stop is asked for: readiness is asked about once a second, and
two misses keep callers away; then as much again for a slow asker."""
GUARD_STOPS_S = 1.5
"""When the guard takes no more work: early enough for what runs to end
within the grace, late enough not to idle the target for nothing."""
END_SHARE = 0.88
"""Part of the grace after which the process ends whatever still runs."""
POLL_S = 0.02
STALL_S = 0.25
"""A wake-up that comes so much late is told: peers take this daemon for
silent after ``peers.SILENCE_S`` and ``peers.SUSPECT_S``."""
COUNTS_S = 10.0
"""Pause between log lines with all counters: some 100 bytes a second, for
those who have the logs only."""


class ProxyDaemon:
    """One ``peridot-proxy``; its services are in ``kernel``."""

    def __init__(
        self,
        settings: border.ProxySettings,
        adapter: adapters.Adapter,
        log: lines.LineLog,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.log = log
        self.kernel = registry.Kernel()
        self.counts = counters.Counters()
        self.randomness = random.Random()
        self.ports: list[listener.Port] = []
        self.own = self._own_record()
        self._build()

    def _own_record(self) -> instances.HostRecord:
        _, port = border.split_address(self.settings.listen.peers)
        return instances.HostRecord(
            self.settings.host,
            self.settings.availability_zone,
            self.settings.address,
            port,
            time.time_ns() // 1_000_000,
        )

    def _build(self) -> None:
        settings = self.settings
        headers = self.adapter.headers
        self.sweep = deadlines.Deadlines()
        self.guard = guards.Guard(
            headers,
            self.randomness,
            self.sweep,
            budget.RetryBudget(
                settings.retries.ratio,
                settings.retries.extra,
                settings.retries.window_s,
            ),
            self.counts,
            self.log,
        )
        self.directory = directories.Directory(
            self.own, self.guard, self.randomness, self.counts, self.log
        )
        split = releasesplit.ReleaseSplit()
        self.forwarder = forwarders.Forwarder(
            headers,
            settings.service,
            self.directory,
            selection.Selector(settings.availability_zone, self.randomness),
            self.sweep,
            split,
            self.counts,
            self.log,
        )
        self.requests = listener.Port(headers, self.forwarder.handle)
        follow = following.Following(settings.link_mbps, deadlines.now())
        self.directory.slow = follow.slow
        self.versions = version_feed.Versions(
            self.adapter.decode,
            self._apply,
            self.directory,
            follow,
            self.counts,
            self.log,
        )
        self.feed = storefeed.StoreFeed(
            countedfeed.CountedFeed(self.adapter.feed, self.counts),
            self.own,
            self.directory,
            self.versions,
            self.randomness,
            self.counts,
            self.log,
        )
        self.releases = release_parts.Releases(
            split,
            settings.releases.exposure,
            self.directory,
            self.guard,
            self.feed,
            self.randomness,
            self.counts,
            self.log,
        )
        self.metrics = metrics.Metrics(self.counts, self)
        self.forwarder.observe = self._observe
        self.guard.reach.crashed.subscribe(self._own_target_crashed)
        self.directory.noticed.subscribe(self._noticed)
        for name in (
            'guard',
            'directory',
            'forwarder',
            'versions',
            'feed',
            'releases',
        ):
            self.kernel.register(name, getattr(self, name))

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['ProxyDaemon']:
        """Open the ports, follow the store, serve."""
        listen = self.settings.listen
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.sweep.close)
            stack.callback(self.guard.close)
            await stack.enter_async_context(self._peers(listen.peers))
            readiness = listener.Port(self.adapter.headers, self._readiness)
            told = listener.Port(self.adapter.headers, self._announced)
            for port, address in (
                (readiness, listen.readiness),
                (told, listen.announcements),
                (self.requests, listen.requests),
            ):
                await self._listen(stack, port, address)
            if listen.metrics:
                page = listener.Port(self.adapter.headers, self._metrics_page)
                await self._listen(stack, page, listen.metrics)
            running = [
                asyncio.ensure_future(self.feed.poll_records()),
                asyncio.ensure_future(self.feed.keep_record()),
                asyncio.ensure_future(self._sweep_peers()),
                asyncio.ensure_future(self._sweep_ports()),
                asyncio.ensure_future(self._follow()),
                asyncio.ensure_future(self._tell_counts()),
            ]
            if not self.versions.following.slow:
                running.append(asyncio.ensure_future(self.feed.watch()))
            try:
                yield self
            finally:
                await self.releases.close()
                await tasks.end(*running)

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        port: listener.Port,
        address: str,
    ) -> None:
        self.ports.append(port)
        host, number = border.split_address(address)
        await stack.enter_async_context(listener.listening(port, host, number))

    def gauges(self) -> Iterator[metrics.Gauge]:
        """Yield the figures that are read when the metrics page is."""
        queue = self.guard.queue
        gauge = metrics.Gauge
        mean_s = queue.times.mean_s
        yield gauge(
            'config_version', 'Version in force', self.versions.version
        )
        age = deadlines.now() - self.versions.applied_at
        yield gauge('config_age_seconds', 'Time since it came', age)
        yield gauge('members', 'Daemons reached', self.directory.members())
        yield gauge('target_running', 'Requests it runs', queue.running)
        yield gauge('target_waiting', 'Requests queued', len(queue.waiting))
        yield gauge('target_run_seconds', 'Mean time of a run', mean_s)
        in_flight = self.forwarder.in_flight
        yield gauge('requests_in_flight', 'Requests of callers', in_flight)
        stage = self.releases.own_stage()
        yield gauge('release_stage', 'Of the own service; 0 for none', stage)
        reachable = self.feed.reachable is True
        yield gauge('store_reachable', '1 if the store answers', reachable)

    def _observe(
        self, exchange: exchanges.Exchange, status: int, elapsed_s: float
    ) -> None:
        self.metrics.observe(
            exchange.service, exchange.rank, status, elapsed_s
        )

    def _metrics_page(
        self, message: http1.Message, respond: listener.Respond
    ) -> None:
        head = b'Content-Type: text/plain; version=0.0.4\r\n'
        respond(listener.Reply(200, head, self.metrics.render()))

    async def leave(self) -> None:
        """Stop without cutting a request: out of rotation, then out."""
        started = deadlines.now()
        end = started + END_SHARE * self.settings.shutdown.grace_s
        self.directory.leaving = True
        self.log.state('stage', to='leaving', in_flight=self._in_flight())
        await asyncio.sleep(GUARD_STOPS_S)
        self.guard.stop_taking()
        self.requests.closing = True
        withdrawing = asyncio.ensure_future(self.feed.withdraw())
        await asyncio.sleep(OUT_OF_ROTATION_S - GUARD_STOPS_S)
        # Callers may go on sending, so this process need never be idle; what
        # it took last would be cut at the end of the grace.
        self.requests.stop_listening()
        while self._in_flight() and deadlines.now() < end:
            self.requests.close_idle()
            await asyncio.sleep(POLL_S)
        self.requests.close_idle()
        await tasks.end(withdrawing)
        self.log.state('stage', to='left', in_flight=self._in_flight())

    def _in_flight(self) -> int:
        return self.requests.busy + self.guard.in_flight

    def _apply(self, config: mesh.MeshConfig) -> None:
        self.forwarder.config = config
        self.requests.limits = config.limits

    def _readiness(
        self, message: http1.Message, respond: listener.Respond
    ) -> None:
        leaving = self.directory.leaving
        ready = not leaving and self.forwarder.config is not None
        respond(listener.Reply(200 if ready else 503))

    def _announced(
        self, message: http1.Message, respond: listener.Respond
    ) -> None:
        """Take what the target says; the answer comes when it is kept."""
        told = self.adapter.read_announcement(message)
        if isinstance(told, instances.Announcement):
            told = self._checked(told)
        if isinstance(told, adapters.Unusable):
            self.counts.add('announcements.unusable')
            self.log.request('announcement', to='refused', why=told.detail)
            respond(listener.Reply(told.status))
            return
        if isinstance(told, adapters.Leaving):
            born_ms = told.born_ms or time.time_ns() // 1_000_000
            self.guard.left(told.instance, born_ms)
        else:
            self.guard.announced(told)
        head = b'Content-Type: application/json\r\n'
        respond(listener.Reply(200, head, b'{}'))

    def _checked(
        self, told: instances.Announcement
    ) -> instances.Announcement | adapters.Unusable:
        """Take announcements of this host's own target only."""
        if told.service != self.settings.service:
            return adapters.Unusable(400, f'service {told.service!r}')
        if f'{told.address}:{told.port}' != self.settings.target:
            return adapters.Unusable(400, f'address {told.address}')
        return told

    def _own_target_crashed(self, fingerprints: tuple[str, ...]) -> None:
        incident = time.time_ns()
        names = list(fingerprints)
        self.log.state('crash', fingerprints=names, incident=incident)
        self.forwarder.recognition.crashed(names, self.own.host, str(incident))
        self.directory.broadcast(frames.Crash(incident, names))

    def _noticed(self, notice: directories.Notice) -> None:
        frame = notice.frame
        if isinstance(frame, frames.Crash):
            self.forwarder.recognition.crashed(
                frame.fingerprints, notice.stream.host, str(frame.incident)
            )

    @contextlib.asynccontextmanager
    async def _peers(self, address: str) -> AsyncIterator[None]:
        host, port = border.split_address(address)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self.directory.accept, host, port, backlog=listener.BACKLOG
        )
        try:
            yield
        finally:
            server.close()
            self.directory.close()

    async def _sweep_peers(self) -> None:
        while not tasks.cancelled():
            before, cpu_s = deadlines.now(), time.process_time()
            await asyncio.sleep(peers.SWEEP_S)
            self._tell_stall(before, cpu_s)
            self.directory.sweep()
            if self.feed.reachable is False:
                self._ask_peers()

    def _tell_stall(self, before: float, cpu_s: float) -> None:
        """Log when this process stood still.

        Everything here is late then, and looks like a fault of others.
        Its own processor time in that while tells whether it was busy
        itself or got no processor.
        """
        now = deadlines.now()
        late_s = now - before - peers.SWEEP_S
        if late_s > STALL_S:
            self.counts.add('stalls')
            self.log.state(
                'stalled',
                late_ms=round(late_s * 1000),
                cpu_ms=round((time.process_time() - cpu_s) * 1000),
                boot_s=round(now, 3),
            )

    async def _follow(self) -> None:
        """Tell slow neighbours of the store, or read it in their place.

        Daemons that started together would all look at the same time, and
        read before they hear that another one does.
        """
        await asyncio.sleep(following.BEAT_S * self.randomness.random())
        while not tasks.cancelled():
            await asyncio.sleep(following.BEAT_S)
            if self.versions.following.slow:
                await self.feed.read_if_unheard()
            else:
                self.versions.beat()

    async def _tell_counts(self) -> None:
        while not tasks.cancelled():
            await asyncio.sleep(COUNTS_S)
            self.log.state('counts', **self.counts.totals)

    def _ask_peers(self) -> None:
        """Learn from peers what the store does not tell."""
        streams = {one.host: one for one in self.directory.streams()}
        known = [
            asking.Neighbour(
                host, self.directory.is_far(streams[host].zone), one.asked
            )
            for host, one in streams.items()
            if host
        ]
        self.randomness.shuffle(known)
        for host in asking.to_ask(known):
            streams[host].asked = True
            streams[host].send(frames.Known([]))

    async def _sweep_ports(self) -> None:
        while not tasks.cancelled():
            await asyncio.sleep(listener.SWEEP_S)
            for port in self.ports:
                port.check()
