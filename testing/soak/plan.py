"""Descriptions of the faults of a run, generated from its seed."""

import dataclasses
import random

from testing.soak import customers

EPISODES_PER_S = 0.6
"""With repeats, about two faults start per second, so that they overlap."""
MAX_REPEATS = 3
REPEAT_GAP_RANGE_S = (0.1, 1.5)
DURATION_RANGE_S = (0.2, 3.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault on a host.

    :param at: seconds from the start of fault injection.
    :param lasts_s: seconds until the fault is reverted.
    :param host: empty for the store or the whole fleet.
    """

    at: float
    lasts_s: float
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFault(Fault):
    """A relay misbehaves.

    :param link: ``store``, ``peers`` or ``target``.
    :param how: ``delay``, ``reset``, ``cut-up``, ``cut-down``, ``refuse``
        or ``silence`` (open connections forward nothing more, new ones work).
    """

    link: str
    how: str
    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonFault(Fault):
    """A signal to a daemon: ``stop``, ``kill``, ``pause`` or ``reload``.

    :param clock_s: offset of its wall clock after a restart.
    """

    how: str
    clock_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFault(Fault):
    """A signal to a target: ``drain``, ``kill`` or ``pause``.

    :param same_id: it restarts under its previous instance id.
    """

    how: str
    same_id: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault(Fault):
    """The store misbehaves.

    :param how: ``fail``, ``hang``, ``lose-answers``, ``compact`` or
        ``lapse`` (all leases expire).
    """

    how: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange(Fault):
    """A new configuration version, which adds a route and drops one."""


@dataclasses.dataclass(frozen=True, slots=True)
class PowerLoss(Fault):
    """All processes of all hosts are killed at once.

    :param stay_away: hosts that start ``LATE_START_S`` after the others.
    """

    stay_away: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TurnedAway(Fault):
    """The store rejects some hosts and expires their leases."""

    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Shedding(Fault):
    """Targets of some hosts reject all requests, but announce as ready."""

    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Limiting(Fault):
    """A target names a limit of requests per second.

    :param limit: as in ``worker_program.LIMIT_BY_SIGNAL``; ``many`` is not a
        valid one.
    """

    limit: str


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleIn(Fault):
    """A target drains and is not started again."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAbuse(Fault):
    """Callers retry rejected requests at once, ignoring ``Retry-After``."""


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerChange(Fault):
    """A version with other keys or another quota of a customer.

    :param how: as in ``customers.Customers.change``.
    """

    customer: str
    how: str


LIMITING_EPISODES = 4
CUSTOMER_CHANGES = ('add-key', 'replace-key', 'lower', 'restore')
LIMITING_RANGE_S = (5.0, 12.0)
LATE_START_S = 3.0
FLEET_EPISODES = 4


def generate_faults(
    seed: int, seconds: float, hosts: list[str]
) -> list[Fault]:
    """Return the faults of `seed`, ordered by time."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    for _ in range(round(seconds * EPISODES_PER_S)):
        at = rng.uniform(0.0, seconds)
        repeats = rng.randint(1, MAX_REPEATS)
        make = rng.choices(
            [
                _link_fault,
                _daemon_fault,
                _target_fault,
                _store_fault,
                _config_change,
            ],
            [6, 5, 4, 2, 3],
        )[0]
        spread = rng.random() < 0.5
        host = rng.choice(hosts)
        for _ in range(repeats):
            lasts_s = rng.uniform(*DURATION_RANGE_S)
            faults.append(make(rng, at, lasts_s, host))
            at += rng.uniform(*REPEAT_GAP_RANGE_S)
            if spread:
                host = rng.choice(hosts)
    return sorted(faults, key=lambda one: one.at)


def generate_fleet_faults(
    seed: int, seconds: float, hosts: list[str]
) -> list[Fault]:
    """Return faults that affect many hosts at once, ordered by time.

    They use a separate random generator, so that `generate_faults` returns
    the same faults for a seed with and without them.
    """
    rng = random.Random(f'{seed} fleet')
    faults: list[Fault] = [ScaleIn(rng.uniform(0, seconds), 0.0, hosts[0])]
    for _ in range(FLEET_EPISODES):
        at = rng.uniform(0.0, seconds)
        lasts_s = rng.uniform(*DURATION_RANGE_S)
        some = tuple(rng.sample(hosts, rng.randint(1, len(hosts) - 1)))
        faults.append(
            rng.choice(
                [
                    PowerLoss(at, lasts_s, '', some[:1]),
                    TurnedAway(at, lasts_s, '', some),
                    Shedding(at, lasts_s, '', some),
                    RetryAbuse(at, lasts_s, ''),
                ]
            )
        )
    return sorted(faults, key=lambda one: one.at)


def generate_statement_faults(
    seed: int, seconds: float, hosts: list[str]
) -> list[Fault]:
    """Return limits that targets name, and drains, ordered by time.

    They use a separate random generator, as `generate_fleet_faults` does.
    """
    rng = random.Random(f'{seed} statements')
    faults: list[Fault] = []
    for _ in range(LIMITING_EPISODES):
        at = rng.uniform(0.0, seconds / 2)
        lasts_s = rng.uniform(*LIMITING_RANGE_S)
        limit = rng.choice(['0.5', '2', '2', 'many'])
        faults.append(Limiting(at, lasts_s, rng.choice(hosts), limit))
    at, host = rng.uniform(0.0, seconds / 2), rng.choice(hosts)
    faults.append(TargetFault(at, 1.0, host, 'drain', rng.random() < 0.5))
    kill_at = at + rng.uniform(0.5, 4.0)
    faults.append(DaemonFault(kill_at, 0.2, host, 'kill', 0.0))
    return sorted(faults, key=lambda one: one.at)


def generate_customer_changes(seed: int, seconds: float) -> list[Fault]:
    """Return changes of all customers with a quota, ordered by time.

    They use a separate random generator, as `generate_fleet_faults` does.
    """
    rng = random.Random(f'{seed} customers')
    faults: list[Fault] = [
        CustomerChange(rng.uniform(0.0, seconds), 0.0, '', name, how)
        for name, rate in customers.RATES.items()
        for how in CUSTOMER_CHANGES
        if rate
    ]
    return sorted(faults, key=lambda one: one.at)


def _link_fault(
    rng: random.Random, at: float, lasts_s: float, host: str
) -> LinkFault:
    how = rng.choice(
        ['delay', 'reset', 'cut-up', 'cut-down', 'refuse', 'silence']
    )
    link = rng.choice(['store', 'peers', 'peers', 'target'])
    return LinkFault(at, lasts_s, host, link, how, rng.uniform(0.01, 0.8))


def _daemon_fault(
    rng: random.Random, at: float, lasts_s: float, host: str
) -> DaemonFault:
    how = rng.choice(['stop', 'kill', 'kill', 'pause', 'reload'])
    return DaemonFault(at, lasts_s, host, how, rng.uniform(-30.0, 30.0))


def _target_fault(
    rng: random.Random, at: float, lasts_s: float, host: str
) -> TargetFault:
    how = rng.choice(['drain', 'kill', 'pause'])
    return TargetFault(at, lasts_s, host, how, rng.random() < 0.5)


def _store_fault(
    rng: random.Random, at: float, lasts_s: float, host: str
) -> StoreFault:
    how = rng.choice(['fail', 'hang', 'lose-answers', 'compact', 'lapse'])
    return StoreFault(at, lasts_s, '', how)


def _config_change(
    rng: random.Random, at: float, lasts_s: float, host: str
) -> ConfigChange:
    return ConfigChange(at, 0.0, '')
