"""Assembles, starts and stops ``peridot-proxy``."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import random
import time

from peridotpost.border import proxy_settings as border
from peridotpost.decisions import budget
from peridotpost.decisions import following
from peridotpost.decisions import memoryaccount
from peridotpost.decisions import peerqueries
from peridotpost.decisions import poison
from peridotpost.decisions import releasesplit
from peridotpost.decisions import selection
from peridotpost.kernel import counters
from peridotpost.kernel import jsonlog
from peridotpost.kernel import registry
from peridotpost.kernel import tasks
from peridotpost.mesh import adapter as adapters
from peridotpost.mesh import announcements as announcement_calls
from peridotpost.mesh import countedfeed
from peridotpost.mesh import customerreport
from peridotpost.mesh import departures
from peridotpost.mesh import directory as directories
from peridotpost.mesh import metrics
from peridotpost.mesh import quotas
from peridotpost.mesh import releases as release_parts
from peridotpost.mesh import storefeed
from peridotpost.mesh import versions as version_feed
from peridotpost.model import instances
from peridotpost.model import mesh
from peridotpost.proxy import bodies
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import forwarder as forwarders
from peridotpost.proxy import frames
from peridotpost.proxy import guard as guards
from peridotpost.proxy import http1
from peridotpost.proxy import identity
from peridotpost.proxy import listener
from peridotpost.proxy import peers

MS_IN_S = 1000
BYTES_IN_MB = 1_000_000
MESSAGES_MEMORY_SHARE = 0.4
"""Share of the process's memory that messages may take; the rest is for the
program and for what it knows of the fleet."""
INTERNAL_MEMORY_BYTES = 1_000_000
"""Memory for the messages of a port that callers do not use."""
MAX_INTERNAL_BODY_BYTES = 64 * 1024
LISTEN_STOP_DELAY_S = 2.6
"""Delay from the stop request until the ports stop listening.  Readiness is
polled about once a second and two failed polls take the host out of rotation;
the rest allows for a poller that is slow."""
GUARD_STOP_DELAY_S = 1.5
"""Delay from the stop request until the guard refuses new work: early enough
for running requests to end within the grace period, late enough not to leave
the target idle needlessly."""
GRACE_FRACTION = 0.88
"""Fraction of the grace period after which the process exits, whatever still
runs."""
DRAIN_POLL_S = 0.02
"""Interval between checks whether all requests have ended."""
STALL_THRESHOLD_S = 0.25
"""A wake-up that is later than this is logged: peers consider this daemon
silent after ``peers.PING_AFTER_S`` plus ``peers.REROUTE_AFTER_S``."""
COUNTS_LOG_INTERVAL_S = 10.0
"""Interval of the log line with all counters, about 100 bytes a second, for
operators who have only the logs."""


class ProxyDaemon:
    """One ``peridot-proxy``; its parts are registered in ``kernel``."""

    def __init__(
        self,
        settings: border.ProxySettings,
        adapter: adapters.Adapter,
        log: jsonlog.JsonLog,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.log = log
        self.kernel = registry.ServiceRegistry()
        self.counts = counters.Counters()
        self.randomness = random.Random()
        self.ports: list[listener.Port] = []
        self.own_record = self._own_record()
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
        self.request_deadlines = deadlines.DeadlineTimer()
        self.memory = memoryaccount.MemoryAccount(
            int(settings.memory_mb * BYTES_IN_MB * MESSAGES_MEMORY_SHARE),
            asyncio.get_running_loop().call_soon,
        )
        self.room = bodies.Room(
            self.memory, self.request_deadlines, self.counts
        )
        self.guard = guards.Guard(
            headers,
            self.randomness,
            budget.RetryBudget(
                settings.retries.ratio,
                settings.retries.extra,
                settings.retries.window_s,
                deadlines.now(),
            ),
            self.room,
            self.log,
        )
        self.directory = directories.Directory(
            self.own_record, self.guard, self.randomness, self.counts, self.log
        )
        self.quotas = quotas.Quotas(
            settings.quotas,
            self.directory,
            self.randomness,
            self.counts,
            self.log,
        )
        read_policy = following.StoreReadPolicy(
            settings.link_mbps, deadlines.now()
        )
        release_split = releasesplit.ReleaseSplit()
        self.forwarder = forwarders.Forwarder(
            headers,
            settings.service,
            self.directory,
            selection.Selector(settings.availability_zone, self.randomness),
            self.request_deadlines,
            release_split,
            identity.Identification(
                headers, read_policy.is_current, self.quotas
            ),
            self.counts,
            self.log,
        )
        if settings.hedging is not None:
            self.forwarder.hedges.enable(settings.hedging.share)
            self.guard.speed.refuses = True
        self.requests = listener.Port(
            headers, self.forwarder.handle, self.room
        )
        self.directory.has_slow_link = read_policy.has_slow_link
        self.versions = version_feed.Versions(
            self.adapter.decode,
            self._apply_config,
            self.directory,
            read_policy,
            self.counts,
            self.log,
        )
        counted_feed = countedfeed.CountedFeed(self.adapter.feed, self.counts)
        self.feed = storefeed.StoreFeed(
            counted_feed,
            self.own_record,
            self.directory,
            self.versions,
            self.randomness,
            self.counts,
            self.log,
        )
        self.departures = departures.Departures(
            counted_feed,
            self.feed,
            self.guard,
            self.directory,
            self.randomness,
            self.counts,
            self.log,
        )
        self.announcements = announcement_calls.Announcements(
            settings,
            self.adapter,
            self.guard,
            self.departures,
            self.counts,
            self.log,
        )
        self.releases = release_parts.Releases(
            release_split,
            settings.releases.exposure,
            self.directory,
            self.guard,
            self.feed,
            self.randomness,
            self.counts,
            self.log,
        )
        self.forwarder.identification.usage.allowance = self.quotas.allowance
        self.customers = customerreport.CustomerReport(
            self.forwarder.identification.usage, lambda: self.forwarder.config
        )
        self.metrics = metrics.Metrics(self.counts, self, self.customers)
        self.forwarder.completion.observe = self._observe
        self.forwarder.log.confirmed_age_s = read_policy.confirmed_age_s
        self.guard.reachability.crashed.subscribe(self._handle_own_crash)
        self.directory.frame_received.subscribe(self._handle_frame)
        self.directory.stream_greeted.subscribe(self._tell_crashes)
        for name in (
            'guard',
            'directory',
            'forwarder',
            'versions',
            'feed',
            'departures',
            'releases',
            'quotas',
        ):
            self.kernel.register(name, getattr(self, name))

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['ProxyDaemon']:
        """Open the ports, follow the store and serve requests."""
        listen = self.settings.listen
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.request_deadlines.close)
            stack.callback(self.guard.close)
            await stack.enter_async_context(
                self._listen_for_peers(listen.peers)
            )
            readiness = self._internal_port(self._handle_readiness)
            announcements = self._internal_port(self.announcements.handle)
            for port, address in (
                (readiness, listen.readiness),
                (announcements, listen.announcements),
                (self.requests, listen.requests),
            ):
                await self._listen(stack, port, address)
            if listen.metrics:
                metrics_port = self._internal_port(self._handle_metrics)
                await self._listen(stack, metrics_port, listen.metrics)
            running = [
                asyncio.ensure_future(self.feed.poll_records()),
                asyncio.ensure_future(self.feed.keep_record()),
                asyncio.ensure_future(self.departures.run()),
                asyncio.ensure_future(self._sweep_peers()),
                asyncio.ensure_future(self._sweep_ports()),
                asyncio.ensure_future(self._announce_or_read_config()),
                asyncio.ensure_future(self._log_counts()),
                asyncio.ensure_future(self.quotas.run()),
            ]
            if not self.versions.read_policy.has_slow_link:
                running.append(asyncio.ensure_future(self.feed.watch()))
            try:
                yield self
            finally:
                await self.releases.close()
                await tasks.cancel_and_wait(*running)

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        port: listener.Port,
        address: str,
    ) -> None:
        self.ports.append(port)
        host, number = border.split_address(address)
        await stack.enter_async_context(listener.listening(port, host, number))

    def _internal_port(self, handle: listener.Handler) -> listener.Port:
        """Return a port of which no caller sends large requests."""
        account = memoryaccount.MemoryAccount(
            INTERNAL_MEMORY_BYTES, asyncio.get_running_loop().call_soon
        )
        room = bodies.Room(account, self.request_deadlines, self.counts)
        port = listener.Port(self.adapter.headers, handle, room)
        port.limits = mesh.CallerLimits(max_body_bytes=MAX_INTERNAL_BODY_BYTES)
        return port

    def gauges(self) -> Iterator[metrics.Gauge]:
        """Yield the gauges, sampled when the metrics page is rendered."""
        queue = self.guard.queue
        gauge = metrics.Gauge
        mean_s = queue.times.mean_s
        yield gauge(
            'config_version', 'Version in force', self.versions.version
        )
        age = deadlines.now() - self.versions.applied_at
        yield gauge('config_age_seconds', 'Time since it came', age)
        confirmed_age_s = self.versions.read_policy.confirmed_age_s(
            deadlines.now()
        )
        yield gauge(
            'config_confirmed_age_seconds',
            'Time since the store confirmed it',
            confirmed_age_s,
        )
        yield gauge(
            'members', 'Daemons reached', self.directory.member_count()
        )
        yield gauge('target_running', 'Requests it runs', queue.running)
        yield gauge('target_waiting', 'Requests queued', len(queue.waiting))
        yield gauge('target_run_seconds', 'Mean time of a run', mean_s)
        limit_per_s = self.guard.adverts.limit.per_s
        yield gauge(
            'target_limit_per_second',
            'Requests per second that it accepts; -1 without a limit',
            -1.0 if limit_per_s is None else limit_per_s,
        )
        use = self.guard.budget.use(deadlines.now())
        yield gauge('retries_in_window', 'Retries of its window', use.retries)
        yield gauge('retries_limit', 'Retries that it may admit', use.limit)
        yield gauge('retries_targets', 'Targets that share them', use.targets)
        in_flight = self.forwarder.completion.in_flight
        yield gauge('requests_in_flight', 'Requests of callers', in_flight)
        memory = self.memory
        yield gauge('message_bytes', 'Held for messages', memory.used)
        yield gauge('message_bytes_peak', 'The most so far', memory.peak)
        yield gauge('message_bytes_limit', 'The most allowed', memory.capacity)
        yield gauge(
            'messages_waiting',
            'Large messages that wait for memory',
            memory.waiting_count,
        )
        stage = self.releases.own_stage()
        yield gauge('release_stage', 'Of the own service; 0 for none', stage)
        reachable = self.feed.reachable is True
        yield gauge('store_reachable', '1 if the store answers', reachable)

    def _observe(
        self, exchange: exchanges.Exchange, status: int, elapsed_s: float
    ) -> None:
        self.metrics.observe(
            exchange.service, exchange.route.rank, status, elapsed_s
        )

    def _handle_metrics(
        self, message: http1.Message, respond: listener.Respond
    ) -> None:
        head = b'Content-Type: text/plain; version=0.0.4\r\n'
        respond(listener.Reply(200, head, self.metrics.render()))

    async def leave(self) -> None:
        """Leave rotation, then drain, so that no request is cut off."""
        started = deadlines.now()
        end = started + GRACE_FRACTION * self.settings.shutdown.grace_s
        self.directory.leaving = True
        self.log.state('stage', to='leaving', in_flight=self._in_flight())
        await asyncio.sleep(GUARD_STOP_DELAY_S)
        self.guard.stop_accepting()
        self.requests.closing = True
        withdrawing = asyncio.ensure_future(self.feed.withdraw())
        await asyncio.sleep(LISTEN_STOP_DELAY_S - GUARD_STOP_DELAY_S)
        # Callers may keep sending, so this process may never become idle, and
        # the last requests would be cut off at the end of the grace period.
        self.requests.stop_listening()
        while self._in_flight() and deadlines.now() < end:
            self.requests.close_idle()
            await asyncio.sleep(DRAIN_POLL_S)
        self.requests.close_idle()
        self.quotas.announce_leaving()
        await tasks.cancel_and_wait(withdrawing)
        self.log.state('stage', to='left', in_flight=self._in_flight())

    def _in_flight(self) -> int:
        """Return how many requests are not answered completely."""
        return (
            self.requests.busy_count
            + self.guard.in_flight
            + self.directory.delivering_count()
        )

    def _apply_config(self, config: mesh.MeshConfig) -> None:
        self.forwarder.config = config
        self.requests.limits = config.limits
        table = config.customers
        self.quotas.set_quotas(table.by_name.values() if table else ())

    def _handle_readiness(
        self, message: http1.Message, respond: listener.Respond
    ) -> None:
        leaving = self.directory.leaving
        ready = not leaving and self.forwarder.config is not None
        respond(listener.Reply(200 if ready else 503))

    def _handle_own_crash(self, fingerprints: tuple[str, ...]) -> None:
        incident = time.time_ns()
        suspects = list(fingerprints)
        self.log.state('crash', fingerprints=suspects, incident=incident)
        self.forwarder.history.crashed(
            suspects, self.own_record.host, str(incident)
        )
        self.directory.broadcast(frames.Crash(incident, suspects))

    def _handle_frame(self, received: directories.ReceivedFrame) -> None:
        frame = received.frame
        if not isinstance(frame, frames.Crash):
            return
        if frame.target:
            at = deadlines.now() - frame.age_ms / MS_IN_S
            names = tuple(frame.fingerprints)
            self.forwarder.history.crash_remembered(
                poison.Crash(frame.target, str(frame.incident), at, names)
            )
            return
        self.forwarder.history.crashed(
            frame.fingerprints, received.stream.host, str(frame.incident)
        )

    def _tell_crashes(self, stream: peers.PeerStream) -> None:
        """Tell a daemon that may have started since of earlier crashes."""
        now = deadlines.now()
        for crash in self.forwarder.history.known_crashes():
            stream.send(
                frames.Crash(
                    int(crash.incident),
                    list(crash.names),
                    crash.target,
                    round((now - crash.at) * MS_IN_S),
                )
            )

    @contextlib.asynccontextmanager
    async def _listen_for_peers(self, address: str) -> AsyncIterator[None]:
        host, port = border.split_address(address)
        server = await listener.listen(self.directory.accept, host, port)
        try:
            yield
        finally:
            server.close()
            self.directory.close()

    async def _sweep_peers(self) -> None:
        while not tasks.cancelled():
            before, cpu_s = deadlines.now(), time.process_time()
            await asyncio.sleep(peers.CHECK_INTERVAL_S)
            self._log_stall(before, cpu_s)
            self.directory.sweep()
            if self.feed.reachable is False:
                self._request_host_lists()

    def _log_stall(self, before: float, cpu_s: float) -> None:
        """Log when the event loop of this process was stalled.

        Everything in this process is late then, which looks like a fault of
        other daemons.  The processor time used meanwhile shows whether the
        process was busy or was not scheduled.
        """
        now = deadlines.now()
        late_s = now - before - peers.CHECK_INTERVAL_S
        if late_s > STALL_THRESHOLD_S:
            self.counts.add('stalls')
            self.log.state(
                'stalled',
                late_ms=round(late_s * 1000),
                cpu_ms=round((time.process_time() - cpu_s) * 1000),
                boot_s=round(now, 3),
            )

    async def _announce_or_read_config(self) -> None:
        """Announce that the store is followed, or read it if nobody does.

        Daemons with fast links announce; those with slow links read.  The
        random delay keeps daemons that started together from checking at the
        same time and reading before they hear that another one does.
        """
        await asyncio.sleep(following.HEARTBEAT_S * self.randomness.random())
        while not tasks.cancelled():
            await asyncio.sleep(following.HEARTBEAT_S)
            if self.versions.read_policy.has_slow_link:
                await self.feed.read_if_due()
            else:
                self.versions.announce_following()

    async def _log_counts(self) -> None:
        while not tasks.cancelled():
            await asyncio.sleep(COUNTS_LOG_INTERVAL_S)
            self.log.state('counts', **self.counts.totals)
            if fields := self.customers.log_fields():
                self.log.state('customers', **fields)

    def _request_host_lists(self) -> None:
        """Ask peers for known hosts while the store is unreachable."""
        streams = {stream.host: stream for stream in self.directory.streams()}
        candidates = [
            peerqueries.PeerCandidate(
                host,
                self.directory.is_remote_zone(streams[host].zone),
                stream.hosts_requested,
            )
            for host, stream in streams.items()
            if host
        ]
        self.randomness.shuffle(candidates)
        for host in peerqueries.peers_to_ask(candidates):
            streams[host].hosts_requested = True
            streams[host].send(frames.Known([]))

    async def _sweep_ports(self) -> None:
        while not tasks.cancelled():
            await asyncio.sleep(listener.CHECK_INTERVAL_S)
            for port in self.ports:
                port.close_timed_out()
