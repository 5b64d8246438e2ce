"""How far an accepted version has come in the tree below a daemon.

Load pattern: an operator asks whether a version is in force on thousands
of daemons.  Asking each of them would be one call for every daemon and
time; here each child tells its parent the lowest revision in force at and
below it, so that asking one relay of each availability zone is enough.

The parent of others sends a word only when it changes.  A version in
force moves a parent's lowest revision once, when its last child has it,
so one version costs one small message a link, whatever the fan-out.
"""

from collections.abc import Iterable
import dataclasses

from peridotpost.decisions import tree

SUM_MODULUS = 2**64


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The lowest revision in force among `daemons` daemons.

    :param hosts_sum: sum of the weights of their hosts' names.
    """

    lowest_revision: int
    daemons: int
    hosts_sum: int


NOTHING_TOLD = Progress(0, 0, 0)


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

    A daemon that moves between two parents is told of by neither, or for
    a moment by both; a count alone would let the one that is told of twice
    stand for another that has not been heard of.  With the sum over hosts
    the answer is then "not known", never a yes that was not told.
    """
    if progress.lowest_revision < revision:
        return False
    return progress.hosts_sum == sum_of_hosts(live_hosts)
