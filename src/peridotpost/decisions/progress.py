"""The progress of an accepted version in the tree below a daemon.

Operators ask whether a version is in force on thousands of daemons, and one
call to each of them would be too many.  Instead each child reports to its
parent the lowest revision in force on itself and all daemons below it, so
that asking one relay of each availability zone is enough.

A report is sent only when it changes.  A new version raises the lowest
revision of a parent once, when its last child has it in force, so each
version costs one small message per link, whatever the fan-out.
"""

from collections.abc import Iterable
import dataclasses

from peridotpost.decisions import tree

SUM_MODULUS = 2**64


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The lowest revision in force among `daemons` daemons.

    :param hosts_sum: checksum over the names of their hosts.
    """

    lowest_revision: int
    daemons: int
    hosts_sum: int


NO_PROGRESS = Progress(0, 0, 0)


def sum_of_hosts(hosts: Iterable[str]) -> int:
    return sum(tree.weight(host) for host in hosts) % SUM_MODULUS


def combine(
    host: str, own_revision: int, below: Iterable[Progress]
) -> Progress:
    """Return the progress of `host` and all that report to it."""
    reported = [one for one in below if one.daemons]
    lowest = min([own_revision, *(one.lowest_revision for one in reported)])
    hosts_sum = tree.weight(host) + sum(one.hosts_sum for one in reported)
    return Progress(
        lowest,
        1 + sum(one.daemons for one in reported),
        hosts_sum % SUM_MODULUS,
    )


def in_force(
    revision: int, progress: Progress, live_hosts: Iterable[str]
) -> bool:
    """Whether `revision` is known to be in force on all `live_hosts`.

    While a daemon moves between two parents, neither or both may include
    it.  If only daemons were counted, one included twice could make up for
    one that is missing; the checksum over hosts makes the result False in
    that case.
    """
    if progress.lowest_revision < revision:
        return False
    return progress.hosts_sum == sum_of_hosts(live_hosts)
