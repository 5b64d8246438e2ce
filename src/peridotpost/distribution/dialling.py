"""The one place where a daemon opens a channel to another.

Tests put a fake in its place to cut availability zones off.
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
    # The probe of bandwidth is a ping beside each message: an idle stream
    # took 148 bytes a second with it and 91 without (bench.framing).
    ('grpc.http2.bdp_probe', 0),
)

Dial = Callable[[str], contextlib.AbstractAsyncContextManager[aio.Channel]]


@contextlib.asynccontextmanager
async def dial(address: str) -> AsyncIterator[aio.Channel]:
    """Own a channel to `address` and close it."""
    options = list(CHANNEL_OPTIONS)
    async with aio.insecure_channel(address, options) as channel:
        yield channel
