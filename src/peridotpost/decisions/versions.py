"""What a daemon does with a configuration that reaches it.

Load pattern: updates arrive late, twice, crossed, damaged, as changes of
a version that the receiver does not hold, or cut for a scope that it has
outgrown.  Without these rules a late older version would be applied over
a newer one, a change over the wrong base, or a part of a version would
pass for the whole, and calls would be routed by a mix that nobody
accepted.
"""

from collections.abc import Mapping
import dataclasses
import enum
import hashlib

from peridotpost.model import config

FIRST_READ_PEERS = 3
"""Peers that a fresh daemon compares when the store does not tell it the
newest version.  Each is behind the fleet only for the second or so that a
version takes to spread, or while it is cut off itself; three at random
are all so at once only in a cut that holds most of the zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """A version on its way to one receiver's scope.

    :param base_revision: the revision that `changed` and `removed` are a
        change of; 0 when `changed` is the whole scope.
    :param digest: :func:`seal` of what the receiver holds after it.
    :param scope: what the version was cut for.
    """

    revision: int
    base_revision: int
    digest: bytes
    write_id: str
    availability_zones: tuple[str, ...]
    changed: Mapping[str, config.ServiceSpec]
    removed: frozenset[str]
    scope: config.Interest

    @property
    def whole(self) -> bool:
        return self.base_revision == 0


class Verdict(enum.Enum):
    """What became of an update."""

    APPLIED = 'applied'
    STALE = 'stale'
    NEED_WHOLE = 'need-whole'
    DAMAGED = 'damaged'
    """A whole that does not match its own seal; asking for it again would
    bring the same, as from a peer whose release writes bodies otherwise."""


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A version, cut to a scope; complete in that scope."""

    version: config.ConfigVersion
    scope: config.Interest

    @property
    def digest(self) -> bytes:
        return seal(self.version, self.scope)


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateResult:
    """The verdict and what the daemon holds afterwards."""

    verdict: Verdict
    holding: Holding


NOTHING_HELD = Holding(config.NO_CONFIG, config.Interest())


def covers(mine: config.Interest, other: config.Interest) -> bool:
    """Whether a holder of the scope `mine` holds all that `other` needs."""
    if mine.everything:
        return True
    if other.everything or (other.ingress and not mine.ingress):
        return False
    return other.hosted <= mine.hosted


def seal(version: config.ConfigVersion, scope: config.Interest) -> bytes:
    """Return the digest of `version` as cut for `scope`.

    The scope is part of it, since two scopes may hold the same services
    of one version and differ in the next.
    """
    hosted = '\0'.join(sorted(scope.hosted))
    plain = f'{scope.everything:d}{scope.ingress:d}{hosted}'.encode()
    return hashlib.sha256(version.digest + plain).digest()


def judge(
    held: Holding, wanted: config.Interest, update: ConfigUpdate
) -> UpdateResult:
    """Apply `update` to `held`, whole or not at all.

    :param wanted: the scope that the daemon needs now, which `held` may
        not cover yet.
    """
    keep = held.version.revision
    if update.revision < keep:
        return UpdateResult(Verdict.STALE, held)
    satisfies = covers(update.scope, wanted)
    if update.revision == keep:
        grows = not covers(held.scope, wanted) and satisfies
        if not (grows and update.whole):
            return UpdateResult(Verdict.STALE, held)
    elif not satisfies and not covers(update.scope, held.scope):
        # Cut for a scope from before this daemon's grew: applying it
        # would take away services that it holds and routes to.
        return UpdateResult(Verdict.NEED_WHOLE, held)
    if not update.whole and update.base_revision != keep:
        return UpdateResult(Verdict.NEED_WHOLE, held)
    candidate = Holding(_apply(held.version, update), update.scope)
    if candidate.digest != update.digest:
        # A damaged or misbased update: applying it would leave a version
        # in part, so the daemon keeps what it has.
        verdict = Verdict.DAMAGED if update.whole else Verdict.NEED_WHOLE
        return UpdateResult(verdict, held)
    return UpdateResult(Verdict.APPLIED, narrowed(candidate, wanted))


def narrowed(holding: Holding, wanted: config.Interest) -> Holding:
    """Cut `holding` to `wanted` where it holds all of that."""
    if holding.scope == wanted or not covers(holding.scope, wanted):
        return holding
    return Holding(holding.version.scoped(wanted), wanted)


def _apply(
    held: config.ConfigVersion, update: ConfigUpdate
) -> config.ConfigVersion:
    services = {} if update.whole else dict(held.services)
    for name in update.removed:
        services.pop(name, None)
    services.update(update.changed)
    return config.ConfigVersion(
        revision=update.revision,
        write_id=update.write_id,
        availability_zones=update.availability_zones,
        services=services,
    )


def difference(base: config.ConfigVersion, target: Holding) -> ConfigUpdate:
    """Return the update that leads from `base` to `target`.

    Both are cut to the receiver's scope; a base without a revision gives
    the whole.
    """
    version = target.version
    changed = {
        name: spec
        for name, spec in version.services.items()
        if base.services.get(name) != spec
    }
    return ConfigUpdate(
        revision=version.revision,
        base_revision=base.revision,
        digest=target.digest,
        write_id=version.write_id,
        availability_zones=version.availability_zones,
        changed=changed,
        removed=frozenset(base.services) - frozenset(version.services),
        scope=target.scope,
    )


def heard_enough(
    store_read: bool, holding: int, asked: int, known: int
) -> bool:
    """Whether a fresh daemon may serve with the highest that it heard of.

    Without this rule a daemon that returns while the store is out would
    serve the version of the one peer that happened to answer, or nothing
    at all, as when a herd returns and its members ask each other.

    :param holding: peers that answered and hold a version themselves, out
        of `asked` of `known` ones.
    """
    if store_read or holding >= FIRST_READ_PEERS:
        return True
    return holding > 0 and asked >= known
