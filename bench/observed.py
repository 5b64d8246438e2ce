"""``peridotd`` as it is, with what benchmarks need hung on its hooks.

Members' records leave no event in the daemon's time line when only their
targets change, and polling would add its own period to what is measured;
so this program records one by the hook on which each new fact is told.
With ``BENCH_PROFILE`` set it writes a cProfile of its loop to that file.
"""

import contextlib
import cProfile
import os
import pathlib

import click

from peridotpost.border import settings as settings_border
from peridotpost.cli import common
from peridotpost.daemon import assembly
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import timeline

MEMBER_EVENT = 'bench.member'


def observe(one: assembly.Daemon) -> None:
    """Record an event for each member's record that is new."""
    events = one.kernel.find('timeline', timeline.Timeline)
    replica = one.kernel.find('replica', replicas.Replica)

    def note(change: replicas.FactChange) -> None:
        if change.member is None:
            return
        states = ' '.join(
            target.state.name.lower() for target in change.member.targets
        )
        events.record(
            MEMBER_EVENT, states, request_id=f'member-{change.member.host}'
        )

    replica.changed.subscribe(note)


async def serve(settings_path: pathlib.Path) -> int:
    """Run the daemon until SIGTERM, as ``peridotd`` does."""
    one = assembly.Daemon(settings_border.load_settings(settings_path))
    profile = os.environ.get('BENCH_PROFILE', '')
    profiler = cProfile.Profile() if profile else None
    async with common.stop_signal() as stop, one.running():
        observe(one)
        with profiler or contextlib.nullcontext():
            await stop.wait()
        if profiler is not None:
            host = one.settings.host
            profiler.dump_stats(f'{profile}.{host}.pstats')
        await one.leave()
    return common.EXIT_OK


@click.command()
@click.option(
    '--settings', required=True, type=click.Path(path_type=pathlib.Path)
)
def main(settings: pathlib.Path) -> None:
    """Run one observed daemon."""
    common.run(lambda: serve(settings))


if __name__ == '__main__':
    main()
