"""Resident memory of the daemons of a run."""

import asyncio
from collections.abc import Iterator
import pathlib

from peridotpost.kernel import tasks
from testing.soak import hosts
from testing.soak import invariants
from testing.soak import large_bodies

SAMPLE_INTERVAL_S = 0.1


class MemorySampler:
    """Records the most resident memory of each daemon process."""

    def __init__(self, fleet: dict[str, hosts.Host]) -> None:
        self.fleet = fleet
        self.peak_kb: dict[str, int] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while not tasks.cancelled():
            for name, host in self.fleet.items():
                peak_kb = max(self.peak_kb.get(name, 0), _peak_kb(host))
                self.peak_kb[name] = peak_kb
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def violations(self) -> Iterator[invariants.Violation]:
        """Yield the daemons that took more than they may."""
        for name, peak_kb in self.peak_kb.items():
            if peak_kb > large_bodies.MEMORY_MB * 1000:
                yield invariants.Violation(
                    'a daemon keeps its memory limit',
                    0.0,
                    f'{name}: {peak_kb} kB of {large_bodies.MEMORY_MB} MB',
                )


def _peak_kb(host: hosts.Host) -> int:
    """Return the most that a host's daemon process has had, 0 if gone."""
    if host.daemon is None:
        return 0
    try:
        text = pathlib.Path(f'/proc/{host.daemon.pid}/status').read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1])
    return 0
