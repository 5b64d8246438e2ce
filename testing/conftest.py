"""Shared fixtures; runs each async test on an event loop of its own."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import inspect
import pathlib
import random
from typing import Any

import pytest

from peridotpost.kernel import counters
from peridotpost.standins import platform as platform_standin
from peridotpost.store import etcd
from testing import conditions
from testing import processes

SEED = 20261202
asyncio.set_event_loop_policy(conditions.ConditionEventLoopPolicy())
EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine test function on a new event loop."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(pyfuncitem.obj(**arguments))
    return True


@pytest.fixture
def randomness() -> random.Random:
    """A random number generator with a fixed seed."""
    return random.Random(SEED)


@pytest.fixture
def mesh_text() -> str:
    """The example mesh configuration, ``rautasilta.yaml``."""
    return (EXAMPLES / 'rautasilta.yaml').read_text()


@pytest.fixture
def running_mesh(
    tmp_path: pathlib.Path,
) -> Iterator[Callable[..., processes.RunningMesh]]:
    """Start meshes of separate processes, ended with the test."""
    with contextlib.ExitStack() as stack:

        def start(text: str, **options: Any) -> processes.RunningMesh:
            directory = tmp_path / f'mesh-{len(list(tmp_path.iterdir()))}'
            directory.mkdir()
            return stack.enter_context(
                processes.running(text, directory, **options)
            )

        yield start


StoreFactory = Callable[
    [], contextlib.AbstractAsyncContextManager['StoreUnderTest']
]


class StoreUnderTest:
    """A store adapter and the stand-in behind it."""

    def __init__(
        self, store: etcd.EtcdStore, platform: platform_standin.Platform
    ) -> None:
        self.store = store
        self.platform = platform


@pytest.fixture
def etcd_store() -> StoreFactory:
    """Open the etcd store against an in-process stand-in server."""

    @contextlib.asynccontextmanager
    async def opened() -> AsyncIterator[StoreUnderTest]:
        platform = platform_standin.Platform()
        async with platform_standin.serving(platform, '127.0.0.1', 0) as port:
            with etcd.etcd_store(
                [f'http://127.0.0.1:{port}'], 0.5, 5.0, counters.Counters()
            ) as store:
                yield StoreUnderTest(store, platform)

    return opened
