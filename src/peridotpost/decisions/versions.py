"""What a daemon does with a configuration that reaches it.

Load pattern: updates arrive late, twice, crossed, damaged or as changes
of a version that the receiver does not hold.  Without these rules a late
older version would be applied over a newer one, or a change over the
wrong base, and calls would be routed by a mix that nobody accepted.
"""

from collections.abc import Mapping
import dataclasses
import enum

from peridotpost.model import config


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """A version on its way to one receiver's scope.

    :param base_revision: the revision that `changed` and `removed` are a
        change of; 0 when `changed` is the whole scope.
    :param digest: of the receiver's scope after the update.
    """

    revision: int
    base_revision: int
    digest: bytes
    write_id: str
    availability_zones: tuple[str, ...]
    changed: Mapping[str, config.ServiceSpec]
    removed: frozenset[str]


class Verdict(enum.Enum):
    """What became of an update."""

    APPLIED = 'applied'
    STALE = 'stale'
    NEED_WHOLE = 'need-whole'


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """The verdict and the version that the daemon holds afterwards."""

    verdict: Verdict
    version: config.ConfigVersion


def judge(
    held: config.ConfigVersion,
    update: ConfigUpdate,
    widening: bool = False,
) -> Judgement:
    """Apply `update` to `held`, whole or not at all.

    :param widening: the daemon's scope has just grown, so that a whole
        update of the same revision is not stale.
    """
    whole = update.base_revision == 0
    if update.revision < held.revision:
        return Judgement(Verdict.STALE, held)
    if update.revision == held.revision and not (widening and whole):
        return Judgement(Verdict.STALE, held)
    if not whole and update.base_revision != held.revision:
        return Judgement(Verdict.NEED_WHOLE, held)
    candidate = _apply(held, update)
    if candidate.digest != update.digest:
        # A damaged or misbased update: applying it would leave a version
        # in part, so the daemon keeps what it has and asks for the whole.
        return Judgement(Verdict.NEED_WHOLE, held)
    return Judgement(Verdict.APPLIED, candidate)


def _apply(
    held: config.ConfigVersion, update: ConfigUpdate
) -> config.ConfigVersion:
    services = {} if update.base_revision == 0 else dict(held.services)
    for name in update.removed:
        services.pop(name, None)
    services.update(update.changed)
    return config.ConfigVersion(
        revision=update.revision,
        write_id=update.write_id,
        availability_zones=update.availability_zones,
        services=services,
    )


def difference(
    base: config.ConfigVersion, version: config.ConfigVersion
) -> ConfigUpdate:
    """Return the update that leads from `base` to `version`.

    Both are cut to the receiver's scope; a base without a revision gives
    the whole.
    """
    changed = {
        name: spec
        for name, spec in version.services.items()
        if base.services.get(name) != spec
    }
    return ConfigUpdate(
        revision=version.revision,
        base_revision=base.revision,
        digest=version.digest,
        write_id=version.write_id,
        availability_zones=version.availability_zones,
        changed=changed,
        removed=frozenset(base.services) - frozenset(version.services),
    )
