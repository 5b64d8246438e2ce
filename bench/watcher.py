"""A daemon without tree and membership that watches the store directly.

It is the baseline of the comparison with distribution by the tree.  It uses
the same store watcher, checks and replica as a relay, so that only the
distribution differs.
"""

import json
import random

import click

from peridotpost.cli import common
from peridotpost.decisions import tree
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import storewatcher
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import config
from peridotpost.store import etcd

STORE_TIMEOUT_S = 5.0
WATCH_TIMEOUT_S = 30.0


async def run_watcher(store: str, mesh: str, host: str) -> int:
    """Watch until SIGTERM; print when each version came into force."""
    counts = counters.Counters()
    clock = timers.TimerService(random.Random())
    replica = replicas.Replica(
        host,
        config.EVERYTHING,
        clock,
        timeline.Timeline(host, clock.wall),
        counts,
    )

    def print_version(change: replicas.FactChange) -> None:
        if change.version is not None:
            at = replica.clock.wall()
            line = {'revision': change.version.revision, 'at': at}
            click.echo(json.dumps(line))

    replica.changed.subscribe(print_version)
    async with common.stop_signal() as stop:
        with etcd.etcd_store(
            [store], STORE_TIMEOUT_S, WATCH_TIMEOUT_S, counts
        ) as platform:
            store_watcher = storewatcher.StoreWatcher(
                platform, mesh, replica, counts, random.Random()
            )
            async with storewatcher.following(store_watcher):
                store_watcher.set_position(tree.TreePosition(True, True, ()))
                await stop.wait()
    return common.EXIT_OK


@click.command()
@click.option('--store', required=True)
@click.option('--mesh', required=True)
@click.option('--host', required=True)
def main(store: str, mesh: str, host: str) -> None:
    """Run one watcher."""
    common.run(lambda: run_watcher(store, mesh, host))


if __name__ == '__main__':
    main()
