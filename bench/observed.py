"""Runs ``peridotd`` with the instrumentation that benchmarks need.

The daemon records no timeline event when only the targets of a member
change, and polling would add its period to the measured delay.  This
program therefore subscribes to changes and records an event for each.
If ``BENCH_PROFILE`` is set, it writes a cProfile of the daemon's event loop
to a file with that prefix.
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


def record_member_changes(daemon: assembly.Daemon) -> None:
    """Record a timeline event for each new member record."""
    events = daemon.kernel.find('timeline', timeline.Timeline)
    replica = daemon.kernel.find('replica', replicas.Replica)

    def record_change(change: replicas.FactChange) -> None:
        if change.member is None:
            return
        states = ' '.join(
            target.state.name.lower() for target in change.member.targets
        )
        events.record(
            MEMBER_EVENT, states, request_id=f'member-{change.member.host}'
        )

    replica.changed.subscribe(record_change)


async def serve(settings_path: pathlib.Path) -> int:
    """Run the daemon until SIGTERM."""
    daemon = assembly.Daemon(settings_border.load_settings(settings_path))
    profile = os.environ.get('BENCH_PROFILE', '')
    profiler = cProfile.Profile() if profile else None
    async with common.stop_signal() as stop, daemon.running():
        record_member_changes(daemon)
        with profiler or contextlib.nullcontext():
            await stop.wait()
        if profiler is not None:
            host = daemon.settings.host
            profiler.dump_stats(f'{profile}.{host}.pstats')
        await daemon.leave()
    return common.EXIT_OK


@click.command()
@click.option(
    '--settings', required=True, type=click.Path(path_type=pathlib.Path)
)
def main(settings: pathlib.Path) -> None:
    """Run one instrumented daemon."""
    common.run(lambda: serve(settings))


if __name__ == '__main__':
    main()
