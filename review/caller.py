"""A stand-in caller that keeps one connection open for many requests."""

import asyncio
import dataclasses

from standins import messages
from standins import record

SLACK_S = 1.0
"""Time beyond its deadline that a caller waits, so as to see late answers."""
PAUSE_S = 0.1
"""Pause after a request without an answer."""


@dataclasses.dataclass
class Answered:
    """How a request ended for its caller.

    :param status: 0 if there was no answer.
    """

    attempt: str
    status: int
    message: messages.Message | None = None


class Caller:
    """Sends one request after the other to one address.

    :ivar headers: headers that it adds to each request.
    """

    def __init__(self, address: str, notes: record.Record) -> None:
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.notes = notes
        self.headers: dict[str, str] = {}
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        attempt: str,
        method: str,
        route_host: str,
        target: str,
        deadline_ms: int,
        body: bytes = b'',
    ) -> Answered:
        """Send a request and wait for its answer until the deadline."""
        headers = {
            'Host': route_host,
            'X-Attempt-Id': attempt,
            'X-Deadline-Remaining-Ms': str(deadline_ms),
            **self.headers,
        }
        payload = messages.request(method, target, headers, body)
        self.notes.note('sent', attempt=attempt, target=target)
        answer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + SLACK_S):
                reader, writer = await self._connection()
                writer.write(payload)
                answer = await messages.read(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.notes.note(
                'no-answer', attempt=attempt, error=type(error).__name__
            )
            await asyncio.sleep(PAUSE_S)
        status = answer.status if answer is not None else 0
        self.notes.note('answered', attempt=attempt, status=status)
        if answer is None or answer.headers.get('connection') == 'close':
            self.close()
        return Answered(attempt, status, answer)

    async def _connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, local_addr=(self.host, 0)
            )
        return self.reader, self.writer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
