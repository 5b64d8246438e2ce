"""How a daemon applies configuration updates that it receives.

Updates may arrive late, twice, out of order or damaged, as a change of a
version that the receiver does not hold, or cut for a scope that has since
grown.  Without these rules an older version could overwrite a newer one, a
change could be applied to the wrong base, or a part of a version could be
taken for the whole, and calls would be routed by a mixture of versions that
was never accepted.
"""

from collections.abc import Mapping
import dataclasses
import enum
import hashlib

from peridotpost.model import config

MIN_STARTUP_PEERS = 3
"""Peers whose versions a starting daemon compares if it cannot read the newest
version from the store.  A peer is behind the fleet only for the second or so
that a version takes to spread, or while it is cut off; three random peers
are all behind only if most of the zone is cut off."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """A version, or a change to one, cut to a receiver's scope.

    :param base_revision: the revision to which `changed` and `removed`
        apply; 0 when `changed` is the whole scope.
    :param digest: :func:`scope_digest` of the receiver's version after the
        update.
    :param scope: the scope that the version was cut for.
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
    """The outcome of applying an update."""

    APPLIED = 'applied'
    STALE = 'stale'
    NEED_WHOLE = 'need-whole'
    DAMAGED = 'damaged'
    """A whole version that does not match its own digest.  Requesting it again
    would give the same result, for example from a peer whose release
    serializes bodies differently."""


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A version cut to a scope, and complete within it."""

    version: config.ConfigVersion
    scope: config.Interest

    @property
    def digest(self) -> bytes:
        return scope_digest(self.version, self.scope)


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateResult:
    """The outcome, and the version that the daemon holds afterwards."""

    verdict: Verdict
    holding: Holding


EMPTY_HOLDING = Holding(config.NO_CONFIG, config.Interest())


def covers(mine: config.Interest, other: config.Interest) -> bool:
    """Whether the scope `mine` includes everything in `other`."""
    if mine.everything:
        return True
    if other.everything or (other.ingress and not mine.ingress):
        return False
    return other.hosted <= mine.hosted


def scope_digest(
    version: config.ConfigVersion, scope: config.Interest
) -> bytes:
    """Return the digest of `version` cut to `scope`.

    It includes the scope itself, since two scopes may contain the same
    services in one version and differ in the next.
    """
    hosted = '\0'.join(sorted(scope.hosted))
    plain = f'{scope.everything:d}{scope.ingress:d}{hosted}'.encode()
    return hashlib.sha256(version.digest + plain).digest()


def apply_update(
    held: Holding, wanted: config.Interest, update: ConfigUpdate
) -> UpdateResult:
    """Apply `update` to `held` completely or not at all.

    :param wanted: the scope that the daemon needs now; `held` may not
        cover it yet.
    """
    held_revision = held.version.revision
    if update.revision < held_revision:
        return UpdateResult(Verdict.STALE, held)
    covers_wanted = covers(update.scope, wanted)
    if update.revision == held_revision:
        extends_scope = not covers(held.scope, wanted) and covers_wanted
        if not (extends_scope and update.whole):
            return UpdateResult(Verdict.STALE, held)
    elif not covers_wanted and not covers(update.scope, held.scope):
        # Cut for the daemon's scope before it grew: applying the update
        # would remove services that it already routes to.
        return UpdateResult(Verdict.NEED_WHOLE, held)
    if not update.whole and update.base_revision != held_revision:
        return UpdateResult(Verdict.NEED_WHOLE, held)
    candidate = Holding(_apply(held.version, update), update.scope)
    if candidate.digest != update.digest:
        # Damaged, or based on another version: applying the update would
        # give an incomplete version, so the daemon keeps its current one.
        verdict = Verdict.DAMAGED if update.whole else Verdict.NEED_WHOLE
        return UpdateResult(verdict, held)
    return UpdateResult(Verdict.APPLIED, narrow(candidate, wanted))


def narrow(holding: Holding, wanted: config.Interest) -> Holding:
    """Cut `holding` to `wanted` if it covers that scope."""
    if holding.scope == wanted or not covers(holding.scope, wanted):
        return holding
    return Holding(holding.version.narrow(wanted), wanted)


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


def make_update(base: config.ConfigVersion, target: Holding) -> ConfigUpdate:
    """Return the update from `base` to `target`.

    Both are cut to the receiver's scope; for a base with revision 0 the
    update is whole.
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


def heard_from_enough_peers(
    store_read: bool, holding_peers: int, asked_peers: int, known_peers: int
) -> bool:
    """Whether a starting daemon may serve the highest version it knows.

    Without this rule a daemon that restarts while the store is down could
    serve the version of the single peer that answered, or an empty one, as
    when many daemons restart together and ask each other.

    :param store_read: the store was read.
    :param holding_peers: number of peers that answered and hold a version.
    :param asked_peers: number of peers asked.
    :param known_peers: number of peers known.
    """
    if store_read or holding_peers >= MIN_STARTUP_PEERS:
        return True
    return holding_peers > 0 and asked_peers >= known_peers
