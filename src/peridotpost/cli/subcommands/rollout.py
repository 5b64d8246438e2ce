"""``peridotctl rollout``: the progress of a version in each zone."""

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
POLL_INTERVAL_S = 0.1


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
    """Show the rollout of versions, as the relays of each zone report it.

    One daemon is enough, as it lists the relays.  Further ones are queried
    in turn if it does not answer.
    """

    async def body() -> int:
        deadline = time.monotonic() + within_s
        while True:
            zones = await _fetch_zones(daemons)
            in_force = all(zone.is_in_force(wait_revision) for zone in zones)
            if in_force or not wait_revision or time.monotonic() > deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        output.print_result(
            as_json,
            {
                'in_force': in_force,
                'zones': [
                    _zone_to_json(rollout_state) for rollout_state in zones
                ],
            },
            '\n'.join(_format_zone(rollout_state) for rollout_state in zones),
        )
        return common.EXIT_OK if in_force else common.EXIT_REFUSED

    output.run(body, as_json)


async def _fetch_zones(daemons: tuple[str, ...]) -> list[rules.ZoneRollout]:
    """Fetch the list of relays from one daemon, then a page of each relay.

    :raises errors.PeridotError: none of `daemons` answered.
    """
    page = await _first_page(daemons)
    addresses = tuple(
        relay.admin for zone in page.zones for relay in zone.relays
    )
    replies = await operator.fetch_pages(
        addresses, PAGE, models.RolloutResponse
    )
    reports = [
        rules.RelayReport(
            reply.page.availability_zone,
            reply.page.lowest_revision,
            reply.page.daemons,
            reply.page.covers_zone,
        )
        for reply in replies
        if isinstance(reply.page, models.RolloutResponse)
    ]
    return [
        rules.combine_reports(zone.availability_zone, zone.live, reports)
        for zone in page.zones
    ]


async def _first_page(daemons: tuple[str, ...]) -> models.RolloutResponse:
    last_error = ''
    for address in daemons:
        (reply,) = await operator.fetch_pages(
            (address,), PAGE, models.RolloutResponse
        )
        if isinstance(reply.page, models.RolloutResponse):
            return reply.page
        last_error = reply.error
    raise errors.PeridotError(
        f'no daemon answered ({last_error}); name another with --daemon',
        step='rollout.ask',
        peer=', '.join(daemons),
    )


def _zone_to_json(zone: rules.ZoneRollout) -> dict[str, Any]:
    return dataclasses.asdict(zone)


def _format_zone(zone: rules.ZoneRollout) -> str:
    return (
        f'{zone.availability_zone}: version {zone.lowest_revision} or later '
        f'on {zone.told} of {zone.live} live daemons'
    )
