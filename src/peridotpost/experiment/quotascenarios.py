"""Loads and faults under which quotas are tried in the model."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from peridotpost.experiment import quotafleet
from peridotpost.model import quotas

USUAL_PART = 1 / 1.6
"""A customer's usual demand as a part of its quota."""
HOT_FACTOR = 9.3
RISE_AT = 8.0
RISE_S = 1.0
HOT_S = 6.0
HOT_RETRIES = 2
"""How often callers of a hot customer repeat a refused request."""
END = 18.0
LOWERED_TO = 1 / 3
EVENT_AT = 10.5
CUT_S = 6.0
EARLY_CUT_AT = 3.0
LONG_CUT_S = 12.0
ISOLATED_PART = 0.35
RESTART_S = 2.0
STALL_S = 2.0

Zones = Callable[[float], tuple[float, ...]]
Event = Callable[[quotafleet.Fleet, Sequence[quotas.Quota]], None]


def demands(
    hot_rates: Sequence[float], calm_rates: Sequence[float], zones: Zones
) -> list[quotafleet.Demand]:
    """Return hot customers and then customers below their quota."""
    played = []
    for number, rate in enumerate((*hot_rates, *calm_rates)):
        quota = quotas.Quota(f'customer-{number:02}', rate, rate)
        peak = HOT_FACTOR if number < len(hot_rates) else 1.0

        def rate_at(
            now: float, usual: float = rate * USUAL_PART, peak: float = peak
        ) -> float:
            if not RISE_AT < now < RISE_AT + HOT_S:
                return usual
            rise = min(1.0, (now - RISE_AT) / RISE_S)
            return usual * (1 + (peak - 1) * rise)

        retries = HOT_RETRIES if number < len(hot_rates) else 0
        played.append(quotafleet.Demand(quota, rate_at, zones, retries))
    return played


def spread(now: float) -> tuple[float, ...]:
    """Return equal weights of the zones."""
    return 1, 1, 1


def moving(now: float) -> tuple[float, ...]:
    """Return weights by which all demand moves to another zone."""
    return (1, 0, 0) if now < RISE_AT + 2 else (0, 0, 1)


def nothing(fleet: quotafleet.Fleet, limited: Sequence[quotas.Quota]) -> None:
    """Leave the fleet alone."""


def lose_owner(
    fleet: quotafleet.Fleet, limited: Sequence[quotas.Quota]
) -> None:
    """End the process that owns the first limited customer."""
    name = limited[0].name
    fleet.at(EVENT_AT, lambda: fleet.kill(fleet.owner_of(name)))


def stall_owner(
    fleet: quotafleet.Fleet, limited: Sequence[quotas.Quota]
) -> None:
    """Stop the process that owns the first limited customer for a while."""
    name = limited[0].name
    fleet.at(EVENT_AT, lambda: fleet.stall(fleet.owner_of(name), STALL_S))


def restart(fleet: quotafleet.Fleet, limited: Sequence[quotas.Quota]) -> None:
    """Restart all processes at once."""
    fleet.at(EVENT_AT, lambda: fleet.restart_all(RESTART_S))


def lower(fleet: quotafleet.Fleet, limited: Sequence[quotas.Quota]) -> None:
    """Lower the quotas of the limited customers."""

    def configure() -> None:
        fleet.configure(
            dataclasses.replace(
                one,
                rate_per_s=one.rate_per_s * LOWERED_TO,
                burst=one.burst * LOWERED_TO,
            )
            if one in limited
            else one
            for one in fleet.quotas
        )

    fleet.at(EVENT_AT, configure)


def cut(at: float, for_s: float = CUT_S) -> Event:
    """Return an event that cuts a zone off for some seconds."""

    def schedule(
        fleet: quotafleet.Fleet, limited: Sequence[quotas.Quota]
    ) -> None:
        fleet.at(at, lambda: fleet.cut_off('b'))
        fleet.at(at + for_s, fleet.heal)

    return schedule


def isolate(at: float, for_s: float = LONG_CUT_S) -> Event:
    """Return an event that cuts hosts off from all others."""

    def schedule(
        fleet: quotafleet.Fleet, limited: Sequence[quotas.Quota]
    ) -> None:
        names = sorted(fleet.names)
        chosen = names[: round(ISOLATED_PART * len(names))]
        fleet.at(at, lambda: fleet.isolate(chosen))
        fleet.at(at + for_s, fleet.heal)

    return schedule


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fault and where the demand arises.

    :param all_reached: whether all hosts reach each other, so that customers
        below their quota must be served.
    """

    event: Event = nothing
    zones: Zones = spread
    all_reached: bool = True


SCENARIOS = {
    'hot customers': Scenario(),
    'demand moves': Scenario(zones=moving),
    'owner lost': Scenario(lose_owner),
    'owner stalls': Scenario(stall_owner),
    'all restarted': Scenario(restart),
    'quota lowered': Scenario(lower),
    'cut while it rises': Scenario(cut(RISE_AT), all_reached=False),
    'cut after it rose': Scenario(cut(RISE_AT + 1), all_reached=False),
    'cut while limited': Scenario(cut(EVENT_AT), all_reached=False),
    'healed while limited': Scenario(cut(3.0), all_reached=False),
    'cut long before it rises': Scenario(
        cut(EARLY_CUT_AT, LONG_CUT_S), all_reached=False
    ),
    'hosts isolated before it rises': Scenario(
        isolate(EARLY_CUT_AT), all_reached=False
    ),
    'hosts isolated while it rises': Scenario(
        isolate(RISE_AT), all_reached=False
    ),
}


def play(
    scenario: Scenario,
    fleet: quotafleet.Fleet,
    played: list[quotafleet.Demand],
    hot: int,
) -> None:
    """Play a scenario, in which the first `hot` demands rise."""
    fleet.configure(one.quota for one in played)
    scenario.event(fleet, [one.quota for one in played[:hot]])
    fleet.play(played, END)
