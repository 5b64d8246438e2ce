"""Request bodies are sent to a busy target's host only on request."""

import asyncio

import pytest

from peridotpost.proxy import forwarder
from peridotpost.proxy import frames
from peridotpost.proxy import peers
from testing import conditions
from testing import proxies

BODY = b'x' * 4000


@pytest.fixture
def sent(monkeypatch: pytest.MonkeyPatch) -> list[frames.Frame]:
    """Frames that any daemon sends after the fixture is set up."""
    found: list[frames.Frame] = []
    send = peers.PeerStream.send

    def note(stream: peers.PeerStream, frame: frames.Frame) -> None:
        found.append(frame)
        send(stream, frame)

    monkeypatch.setattr(peers.PeerStream, 'send', note)
    return found


@pytest.fixture
def always_busy(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes an ingress assume that every target is busy."""
    monkeypatch.setattr(forwarder, 'BUSY_LOAD', -1.0)


async def add_host_and_remote_target(
    mesh: proxies.Mesh, slots: int = 1
) -> proxies.Host:
    """Return a host whose only target is on the other host, `b`."""
    await mesh.kv.configure(proxies.config())
    host = await mesh.add('a', service='vault')
    remote = await mesh.add('b', slots=slots)
    await host.announce()
    await remote.announce()
    await mesh.wait_ready()
    return host


async def test_body_of_a_refused_request_is_not_sent(
    sent: list[frames.Frame], always_busy: None
) -> None:
    """Guards against links filled by bodies of refused requests.

    Under overload the bodies were sent although the requests were refused.
    """
    async with proxies.running() as mesh:
        host = await add_host_and_remote_target(mesh)
        remote = mesh.hosts['b']
        async with host.caller() as holding:
            holding.send('/write/hold', method='POST', attempt='holds')
            await remote.worker.run_started.wait()
            sent.clear()
            answer = await host.ask(
                '/write/ok',
                method='POST',
                attempt='w1',
                body=BODY,
                X_Deadline_Remaining_Ms='40',
            )
            assert answer.status == 503
            assert not any(isinstance(one, frames.Body) for one in sent)
            assert any(isinstance(one, frames.Dispatch) for one in sent)
            remote.worker.release.set()
            await holding.receive()


async def test_body_sent_on_request_arrives_complete(
    sent: list[frames.Frame], always_busy: None
) -> None:
    async with proxies.running() as mesh:
        host = await add_host_and_remote_target(mesh)
        answer = await host.ask(
            '/write/ok', method='POST', attempt='w1', body=BODY
        )
        assert answer.status == 200
        (run,) = mesh.hosts['b'].worker.runs
        assert run.body == BODY
        dispatched = [one for one in sent if isinstance(one, frames.Dispatch)]
        assert [one.body for one in dispatched] == [b'']


@pytest.mark.parametrize('ends', ['caller leaves', 'target drains'])
async def test_slot_is_released_if_the_body_is_no_longer_needed(
    ends: str, always_busy: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The body is delayed on the network while its request has a slot."""
    held: list[tuple[peers.PeerStream, frames.BodyWanted]] = []
    wanted = peers.PeerStream._body_wanted
    monkeypatch.setattr(
        peers.PeerStream,
        '_body_wanted',
        lambda stream, frame: held.append((stream, frame)),
    )
    async with proxies.running() as mesh:
        host = await add_host_and_remote_target(mesh)
        remote = mesh.hosts['b']
        async with host.caller() as caller:
            caller.send('/write/ok', method='POST', attempt='w1', body=BODY)
            await conditions.until(lambda: bool(held))
            assert remote.proxy.guard.queue.running == 1
            assert not remote.proxy.guard.has_no_work
            if ends == 'caller leaves':
                caller.writer.close()
            else:
                await remote.announce(state='draining')
                wanted(*held[0])
            await conditions.until(lambda: remote.proxy.guard.has_no_work)
        assert remote.proxy.guard.queue.running == 0
        assert remote.worker.runs == []


async def test_body_is_sent_at_once_to_a_target_with_free_slots(
    sent: list[frames.Frame],
) -> None:
    """Requesting the body first would cost a round trip without need."""
    async with proxies.running() as mesh:
        host = await add_host_and_remote_target(mesh, slots=20)
        await asyncio.gather(
            *(
                host.ask(
                    '/write/ok', method='POST', attempt=f'w{turn}', body=BODY
                )
                for turn in range(3)
            )
        )
        assert not any(isinstance(one, frames.BodyWanted) for one in sent)
