"""HTTP/1.1 messages as the stand-ins read and write them."""

import asyncio
import dataclasses
from urllib import parse


@dataclasses.dataclass(slots=True)
class Request:
    """A request that a stand-in received; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        return dict(parse.parse_qsl(self.target.partition('?')[2]))


@dataclasses.dataclass(slots=True)
class Answer:
    """A response that a client received; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request.

    :raises asyncio.IncompleteReadError: the peer closed the connection.
    """
    first, headers = await _read_head(reader)
    method, target, _ = first.split(' ', 2)
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return Request(method, target, headers, body)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response that states the length of its body.

    :raises asyncio.IncompleteReadError: the peer closed the connection.
    """
    first, headers = await _read_head(reader)
    status = int(first.split(' ', 2)[1])
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return Answer(status, headers, body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, found, value = line.partition(':')
        if found:
            headers[name.lower()] = value.strip()
    return first, headers


def render_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Serialize a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def render_answer(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Serialize a response with the length of its body."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body
