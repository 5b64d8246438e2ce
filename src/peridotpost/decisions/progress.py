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


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The lowest revision in force among `daemons` daemons."""

    lowest_revision: int
    daemons: int


def combine(own_revision: int, below: Iterable[Progress]) -> Progress:
    """Return the progress of a daemon and all that report to it."""
    told = [one for one in below if one.daemons]
    lowest = min([own_revision, *(one.lowest_revision for one in told)])
    return Progress(lowest, 1 + sum(one.daemons for one in told))


def in_force(revision: int, progress: Progress, live: int) -> bool:
    """Whether `revision` is known to be in force on all `live` daemons.

    A daemon that is moving between two parents reports to none; then the
    count falls short of the live members, and the answer is "not known",
    never a yes that was not told.
    """
    return progress.lowest_revision >= revision and progress.daemons >= live
