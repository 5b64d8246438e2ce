"""The faults of a run, drawn from its seed: nothing but data."""

import dataclasses
import random

EPISODES_PER_S = 0.6
"""With their repeats some two faults begin a second, so that they overlap."""
MAX_REPEATS = 3
REPEAT_GAP_S = (0.1, 1.5)
LASTS_S = (0.2, 3.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """:param at: seconds from the start; `lasts_s` until it is healed."""

    at: float
    lasts_s: float
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFault(Fault):
    """A relay misbehaves.

    :param link: ``store``, ``peers`` or ``target``.
    :param how: ``delay``, ``reset``, ``cut-up``, ``cut-down``, ``refuse``
        or ``silence`` (what is open stays silent, new ones work).
    """

    link: str
    how: str
    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonFault(Fault):
    """A signal to a daemon: ``stop``, ``kill``, ``pause`` or ``reload``.

    :param clock_s: by how much its clock is off after the restart.
    """

    how: str
    clock_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFault(Fault):
    """A signal to a target: ``drain``, ``kill`` or ``pause``.

    :param same_id: it comes back under the id that it had.
    """

    how: str
    same_id: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault(Fault):
    """The store misbehaves.

    :param how: ``fail``, ``hang``, ``lose-answers``, ``compact`` or
        ``lapse`` (all leases end).
    """

    how: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange(Fault):
    """A new version: a route comes, one goes."""


@dataclasses.dataclass(frozen=True, slots=True)
class PowerLoss(Fault):
    """All processes of all hosts end at once.

    :param stay_away: hosts that come back ``AWAY_S`` after the others.
    """

    stay_away: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TurnedAway(Fault):
    """The store refuses some hosts, whose leases end, and serves others."""

    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Shedding(Fault):
    """Targets of some hosts turn all requests away, unrun, and look well."""

    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleIn(Fault):
    """A target leaves and does not come back."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAbuse(Fault):
    """Refused callers ask again at once, whatever they are told."""


AWAY_S = 3.0
FLEET_EPISODES = 4


def draw(seed: int, seconds: float, hosts: list[str]) -> list[Fault]:
    """Return the faults of `seed` in order of time."""
    dice = random.Random(seed)
    faults: list[Fault] = []
    for _ in range(round(seconds * EPISODES_PER_S)):
        at = dice.uniform(0.0, seconds)
        repeats = dice.randint(1, MAX_REPEATS)
        make = dice.choices(
            [_link, _daemon, _target, _store, _config], [6, 5, 4, 2, 3]
        )[0]
        spread = dice.random() < 0.5
        host = dice.choice(hosts)
        for _ in range(repeats):
            lasts_s = dice.uniform(*LASTS_S)
            faults.append(make(dice, at, lasts_s, host))
            at += dice.uniform(*REPEAT_GAP_S)
            if spread:
                host = dice.choice(hosts)
    return sorted(faults, key=lambda one: one.at)


def draw_fleet(seed: int, seconds: float, hosts: list[str]) -> list[Fault]:
    """Return faults of many hosts at once, beside those of `draw`.

    They have dice of their own, so that seeds that were played without them
    still draw what they drew.
    """
    dice = random.Random(f'{seed} fleet')
    faults: list[Fault] = [ScaleIn(dice.uniform(0, seconds), 0.0, hosts[0])]
    for _ in range(FLEET_EPISODES):
        at = dice.uniform(0.0, seconds)
        lasts_s = dice.uniform(*LASTS_S)
        some = tuple(dice.sample(hosts, dice.randint(1, len(hosts) - 1)))
        faults.append(
            dice.choice(
                [
                    PowerLoss(at, lasts_s, '', some[:1]),
                    TurnedAway(at, lasts_s, '', some),
                    Shedding(at, lasts_s, '', some),
                    RetryAbuse(at, lasts_s, ''),
                ]
            )
        )
    return sorted(faults, key=lambda one: one.at)


def _link(
    dice: random.Random, at: float, lasts_s: float, host: str
) -> LinkFault:
    how = dice.choice(
        ['delay', 'reset', 'cut-up', 'cut-down', 'refuse', 'silence']
    )
    link = dice.choice(['store', 'peers', 'peers', 'target'])
    return LinkFault(at, lasts_s, host, link, how, dice.uniform(0.01, 0.8))


def _daemon(
    dice: random.Random, at: float, lasts_s: float, host: str
) -> DaemonFault:
    how = dice.choice(['stop', 'kill', 'kill', 'pause', 'reload'])
    return DaemonFault(at, lasts_s, host, how, dice.uniform(-30.0, 30.0))


def _target(
    dice: random.Random, at: float, lasts_s: float, host: str
) -> TargetFault:
    how = dice.choice(['drain', 'kill', 'pause'])
    return TargetFault(at, lasts_s, host, how, dice.random() < 0.5)


def _store(
    dice: random.Random, at: float, lasts_s: float, host: str
) -> StoreFault:
    how = dice.choice(['fail', 'hang', 'lose-answers', 'compact', 'lapse'])
    return StoreFault(at, lasts_s, '', how)


def _config(
    dice: random.Random, at: float, lasts_s: float, host: str
) -> ConfigChange:
    return ConfigChange(at, 0.0, '')
