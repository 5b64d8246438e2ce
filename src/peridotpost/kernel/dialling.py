"""Opens TCP streams to addresses without a resolver and its threads."""

import asyncio
import ipaddress
import socket

from tornado import iostream

IpAddress = ipaddress.IPv4Address | ipaddress.IPv6Address


def _as_address(text: str) -> IpAddress | None:
    try:
        return ipaddress.ip_address(text)
    except ValueError:
        # A name, which is looked up.
        return None


async def open_stream(
    address: str, port: int, timeout_s: float
) -> iostream.IOStream:
    """Open a stream to an IP address, or to a name.

    A resolver looks up even a plain address in a thread, which on a busy
    machine may get no turn for over a second.  A connection that the
    kernel has opened counts also when this process stood still past the
    limit; judged by the timer alone, a host that listens would be taken
    for gone.

    :raises OSError: it is refused, or not open within `timeout_s`, in
        which case it is a ``TimeoutError``; nothing was sent.
    """
    found = _as_address(address)
    if found is None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            rows = await loop.getaddrinfo(
                address, port, type=socket.SOCK_STREAM
            )
        found = ipaddress.ip_address(str(rows[0][4][0]))
    family = socket.AF_INET if found.version == 4 else socket.AF_INET6
    plain = socket.socket(family)
    plain.setblocking(False)
    stream = iostream.IOStream(plain)
    opening = asyncio.ensure_future(stream.connect((str(found), port)))
    try:
        await asyncio.wait({opening}, timeout=timeout_s)
        if not opening.done():
            raise TimeoutError(f'{address}:{port} not open in {timeout_s} s')
        opening.result()
    except iostream.StreamClosedError as error:
        cause = error.real_error
        if isinstance(cause, OSError):
            raise cause from error
        raise ConnectionAbortedError(str(error)) from error
    except BaseException:
        opening.cancel()
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream
