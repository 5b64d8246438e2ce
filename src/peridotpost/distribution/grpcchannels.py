"""Opens gRPC channels to other daemons.

Tests replace :func:`dial` to simulate partitions between availability
zones.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from grpc import aio

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
KEEPALIVE_MS = 10_000
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_MS // 2),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', KEEPALIVE_MS // 2),
    ('grpc.enable_http_proxy', 0),
    # Bandwidth probing sends a ping with each message: an idle stream took
    # 148 bytes/s with it and 91 without (bench.framing).
    ('grpc.http2.bdp_probe', 0),
)

Dial = Callable[[str], contextlib.AbstractAsyncContextManager[aio.Channel]]


@contextlib.asynccontextmanager
async def dial(address: str) -> AsyncIterator[aio.Channel]:
    """Yield a channel to `address` and close it on exit."""
    options = list(CHANNEL_OPTIONS)
    async with aio.insecure_channel(address, options) as channel:
        yield channel
