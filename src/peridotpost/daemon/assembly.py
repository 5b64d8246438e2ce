"""Assembles the components of ``peridotd`` on the micro-kernel."""

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

Component = Callable[
    [registry.ServiceRegistry], contextlib.AbstractAsyncContextManager[None]
]


class Daemon:
    """A ``peridotd`` instance.

    ``kernel`` holds its services, which ``components`` install in order;
    components may be added before the start.
    """

    def __init__(
        self, settings: settings_border.DaemonSettings, seed: int | None = None
    ) -> None:
        self.settings = settings
        self.kernel = registry.ServiceRegistry()
        self.kernel.register('settings', settings)
        self.kernel.register('randomness', random.Random(seed))
        self.components: list[Component] = [
            base.installed,
            control.installed,
            calls.installed,
            joining.joined,
        ]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['Daemon']:
        """Start all components; stop them in reverse order on exit."""
        async with contextlib.AsyncExitStack() as stack:
            for component in self.components:
                await stack.enter_async_context(component(self.kernel))
            yield self

    async def leave(self) -> None:
        """Stop accepting new requests and finish those in flight."""
        await leaving.leave(self.kernel)
