"""Answers the calls by which the target of this host announces itself."""

import asyncio
from collections.abc import Coroutine

from peridotpost.border import proxy_settings as border
from peridotpost.kernel import counters
from peridotpost.kernel import jsonlog
from peridotpost.mesh import adapter as adapters
from peridotpost.mesh import departures
from peridotpost.model import instances
from peridotpost.proxy import guard as guards
from peridotpost.proxy import http1
from peridotpost.proxy import listener

ACKNOWLEDGEMENT = listener.Reply(
    200, b'Content-Type: application/json\r\n', b'{}'
)
NOT_STORED = listener.Reply(503)
"""The target gets no more work, but this may be forgotten."""


class Announcements:
    """Handles the calls to the port for announcements."""

    def __init__(
        self,
        settings: border.ProxySettings,
        adapter: adapters.Adapter,
        guard: guards.Guard,
        departed: departures.Departures,
        counts: counters.Counters,
        log: jsonlog.JsonLog,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.guard = guard
        self.departures = departed
        self.counts = counts
        self.log = log

    def handle(
        self, message: http1.Message, respond: listener.Respond
    ) -> listener.PendingRequest | None:
        """Apply an announcement and answer it once it lasts."""
        call = self.adapter.read_announcement(message)
        if isinstance(call, instances.Announcement):
            call = self._validate(call)
        if isinstance(call, adapters.InvalidCall):
            self.counts.add('announcements.unusable')
            self.log.request('announcement', to='refused', reason=call.detail)
            respond(listener.Reply(call.status))
            return None
        if isinstance(call, adapters.Departure):
            left = self.departures.incarnation_of(call.instance, call.born_ms)
            self.guard.handle_departure(left)
            return _PendingAnswer(self._answer_departure(left, respond))
        self.guard.accept_announcement(call)
        if call.state is not instances.InstanceState.READY:
            left = call.incarnation
            return _PendingAnswer(self._answer_departure(left, respond))
        if self.departures.is_known:
            respond(ACKNOWLEDGEMENT)
            return None
        return _PendingAnswer(self._answer_when_usable(respond))

    async def _answer_departure(
        self, left: instances.Incarnation, respond: listener.Respond
    ) -> None:
        stored = await self.departures.wait_stored(left)
        if not stored:
            self.counts.add('announcements.not-stored')
        respond(ACKNOWLEDGEMENT if stored else NOT_STORED)

    async def _answer_when_usable(self, respond: listener.Respond) -> None:
        """Answer when the target may get work; after a while in any case.

        What it announced was accepted, and takes effect when earlier
        departures are known.
        """
        await self.departures.wait_known()
        respond(ACKNOWLEDGEMENT)

    def _validate(
        self, announcement: instances.Announcement
    ) -> instances.Announcement | adapters.InvalidCall:
        """Reject announcements of targets other than this host's own."""
        if announcement.service != self.settings.service:
            return adapters.InvalidCall(
                400,
                f'service {announcement.service!r} is not served on this host',
            )
        if (
            f'{announcement.address}:{announcement.port}'
            != self.settings.target
        ):
            return adapters.InvalidCall(
                400,
                f'address {announcement.address} or its port is not '
                'that of the target on this host',
            )
        return announcement


class _PendingAnswer:
    """Implements ``listener.PendingRequest``."""

    def __init__(self, answering: Coroutine[None, None, None]) -> None:
        self.task = asyncio.ensure_future(answering)

    def abandoned(self) -> None:
        self.task.cancel()
