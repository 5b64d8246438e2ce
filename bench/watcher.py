"""The other way: a daemon without tree or members, which watches the store.

It runs the same source, checks and replica as a relay does, so that only
the way of distribution differs.
"""

import json
import random

import click

from peridotpost.cli import common
from peridotpost.decisions import tree
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import source as sources
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import config
from peridotpost.store import etcd

TIMEOUT_S = 5.0
WATCH_S = 30.0


async def watch(store: str, mesh: str, host: str) -> int:
    """Watch until SIGTERM; print each version's time of being in force."""
    counts = counters.Counters()
    clock = timers.TimerService(random.Random())
    replica = replicas.Replica(
        host,
        config.EVERYTHING,
        clock,
        timeline.Timeline(host, clock.wall),
        counts,
    )

    def tell(change: replicas.FactChange) -> None:
        if change.version is not None:
            at = replica.clock.wall()
            line = {'revision': change.version.revision, 'at': at}
            click.echo(json.dumps(line))

    replica.changed.subscribe(tell)
    async with common.stop_signal() as stop:
        with etcd.etcd_store([store], TIMEOUT_S, WATCH_S, counts) as platform:
            source = sources.Source(
                platform, mesh, replica, counts, random.Random()
            )
            async with sources.following(source):
                source.follow_place(tree.Place(True, True, ()))
                await stop.wait()
    return common.EXIT_OK


@click.command()
@click.option('--store', required=True)
@click.option('--mesh', required=True)
@click.option('--host', required=True)
def main(store: str, mesh: str, host: str) -> None:
    """Run one watcher."""
    common.run(lambda: watch(store, mesh, host))


if __name__ == '__main__':
    main()
