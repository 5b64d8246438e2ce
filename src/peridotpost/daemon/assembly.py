"""Puts the parts of ``peridotd`` together under the micro-kernel."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random

from peridotpost.border import settings as settings_border
from peridotpost.daemon import base
from peridotpost.daemon import calls
from peridotpost.daemon import control
from peridotpost.daemon import joining
from peridotpost.daemon import leaving
from peridotpost.kernel import registry

Part = Callable[
    [registry.Kernel], contextlib.AbstractAsyncContextManager[None]
]


class Daemon:
    """One ``peridotd``.

    Its services are in ``kernel``; ``parts`` install them, in order, and
    may be added to before the start.
    """

    def __init__(
        self, settings: settings_border.DaemonSettings, seed: int | None = None
    ) -> None:
        self.settings = settings
        self.kernel = registry.Kernel()
        self.kernel.register('settings', settings)
        self.kernel.register('randomness', random.Random(seed))
        self.parts: list[Part] = [
            base.installed,
            control.installed,
            calls.installed,
            joining.joined,
        ]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['Daemon']:
        """Start everything, serve, and stop in the opposite order."""
        async with contextlib.AsyncExitStack() as stack:
            for part in self.parts:
                await stack.enter_async_context(part(self.kernel))
            yield self

    async def leave(self) -> None:
        """Finish what is in flight, taking no new work."""
        await leaving.leave(self.kernel)
