"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass
class Message:
    """A request or a response.

    :param start: the words of the first line.
    :param headers: values by lower-case name; of repeated headers the last.
    :param lines: all header lines as received.
    :param complete: whether the body has the length that the head states.
    """

    start: list[str]
    headers: dict[str, str]
    lines: list[str]
    body: bytes = b''
    complete: bool = True

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head[:-4].split('\r\n')
    pairs = [line.partition(':') for line in lines]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    message = Message(first.split(' ', 2), headers, lines)
    length = int(headers.get('content-length', 0))
    try:
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        message.body = error.partial
        message.complete = False
    return message


def response(
    status: str, headers: dict[str, str] | None = None, body: bytes = b''
) -> bytes:
    """Return a response with a length; `status` is its code and reason."""
    return _render(f'HTTP/1.1 {status}', headers or {}, body)


def request(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a request with a length."""
    return _render(f'{method} {target} HTTP/1.1', headers, body)


def _render(first: str, headers: dict[str, str], body: bytes) -> bytes:
    fields = {**headers, 'Content-Length': str(len(body))}
    lines = ''.join(f'{name}: {fields[name]}\r\n' for name in fields)
    return f'{first}\r\n{lines}\r\n'.encode('latin-1') + body
