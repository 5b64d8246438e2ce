"""``peridotctl rollout``: how far a version has come, zone by zone."""

import asyncio
import dataclasses
import time
from typing import Any

import click

from peridotpost.admin import models
from peridotpost.cli import common
from peridotpost.cli import operator
from peridotpost.cli.subcommands import options
from peridotpost.cli.subcommands import output
from peridotpost.decisions import rollout as rules
from peridotpost.model import errors

PAGE = '/v1/rollout'
POLL_S = 0.1


@click.command(
    epilog='Example: peridotctl rollout --daemon 10.0.0.7:8082 '
    '--wait-revision 41 --within-s 4'
)
@options.daemons_option
@options.wait_option
@options.within_option
@options.json_option
def rollout(
    daemons: tuple[str, ...],
    wait_revision: int,
    within_s: float,
    as_json: bool,
) -> None:
    """Show how far versions have come, by the relays of each zone.

    Any one daemon is enough; it names the relays.  More are asked in turn
    when the first does not answer.
    """

    async def body() -> int:
        until = time.monotonic() + within_s
        while True:
            zones = await _look(daemons)
            arrived = all(zone.has(wait_revision) for zone in zones)
            if arrived or not wait_revision or time.monotonic() > until:
                break
            await asyncio.sleep(POLL_S)
        output.show(
            as_json,
            {'in_force': arrived, 'zones': [_row(one) for one in zones]},
            '\n'.join(_line(one) for one in zones),
        )
        return common.EXIT_OK if arrived else common.EXIT_REFUSED

    output.run(body, as_json)


async def _look(daemons: tuple[str, ...]) -> list[rules.ZoneRollout]:
    """Ask one daemon for the relays, then all relays.

    :raises errors.PeridotError: none of `daemons` answers.
    """
    page = await _first_page(daemons)
    addresses = tuple(
        relay.admin for zone in page.zones for relay in zone.relays
    )
    asked = await operator.ask_all(addresses, PAGE, models.RolloutPage)
    words = [
        rules.RelayWord(
            one.page.availability_zone,
            one.page.lowest_revision,
            one.page.daemons,
            one.page.covers_zone,
        )
        for one in asked
        if isinstance(one.page, models.RolloutPage)
    ]
    return [
        rules.of_zone(zone.availability_zone, zone.live, words)
        for zone in page.zones
    ]


async def _first_page(daemons: tuple[str, ...]) -> models.RolloutPage:
    failure = ''
    for address in daemons:
        (asked,) = await operator.ask_all((address,), PAGE, models.RolloutPage)
        if isinstance(asked.page, models.RolloutPage):
            return asked.page
        failure = asked.error
    raise errors.PeridotError(
        f'no daemon answered ({failure}); name another with --daemon',
        step='rollout.ask',
        peer=', '.join(daemons),
    )


def _row(zone: rules.ZoneRollout) -> dict[str, Any]:
    return dataclasses.asdict(zone)


def _line(zone: rules.ZoneRollout) -> str:
    return (
        f'{zone.availability_zone}: version {zone.lowest_revision} or later '
        f'on {zone.told} of {zone.live} live daemons'
    )
