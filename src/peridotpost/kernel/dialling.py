"""Opens TCP streams without resolver threads for IP addresses."""

import asyncio
import ipaddress
import socket

from tornado import iostream

IpAddress = ipaddress.IPv4Address | ipaddress.IPv6Address


def _parse_ip(text: str) -> IpAddress | None:
    try:
        return ipaddress.ip_address(text)
    except ValueError:
        return None  # A host name, which needs a DNS lookup.


async def open_stream(
    address: str, port: int, timeout_s: float
) -> iostream.IOStream:
    """Open a stream to an IP address or host name.

    Tornado's resolver runs in a thread even for an IP address, and on a
    busy machine that thread may not be scheduled for over a second.

    If this process was stalled past the timeout, a connection that the
    operating system has established in the meantime still counts.
    Otherwise a listening host would be considered unreachable.

    :raises OSError: the connection failed; ``TimeoutError`` if it was not
        established within `timeout_s`.  Nothing was sent.
    """
    ip = _parse_ip(address)
    if ip is None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            resolved = await loop.getaddrinfo(
                address, port, type=socket.SOCK_STREAM
            )
        ip = ipaddress.ip_address(str(resolved[0][4][0]))
    family = socket.AF_INET if ip.version == 4 else socket.AF_INET6
    tcp_socket = socket.socket(family)
    tcp_socket.setblocking(False)
    stream = iostream.IOStream(tcp_socket)
    opening = asyncio.ensure_future(stream.connect((str(ip), port)))
    try:
        await asyncio.wait({opening}, timeout=timeout_s)
        if not opening.done():
            raise TimeoutError(
                f'no connection to {address}:{port} within {timeout_s} s'
            )
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
