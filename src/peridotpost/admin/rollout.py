"""Rollout progress of a version, as known to one daemon.

In a fleet of thousands of daemons, an operator queries one relay of each
availability zone instead of all daemons, and adds up the relays' reports.
"""

from peridotpost.admin import models
from peridotpost.decisions import fleet
from peridotpost.decisions import progress
from peridotpost.decisions import tree
from peridotpost.distribution import links
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import registry
from peridotpost.membership import myself


def rollout_page(kernel: registry.ServiceRegistry) -> models.RolloutResponse:
    """Return the progress of the daemon and of all that report to it."""
    replica = kernel.find('replica', replicas.Replica)
    local_member = kernel.find('myself', myself.LocalMember)
    reported = kernel.find('links', links.LinkTable).progress
    zone = local_member.record.availability_zone
    live = replica.fleet.live_hosts(zone)
    return models.RolloutResponse(
        host=replica.host,
        availability_zone=zone,
        revision=replica.version.revision,
        lowest_revision=reported.lowest_revision,
        daemons=reported.daemons,
        covers_zone=progress.in_force(0, reported, live),
        zones=[
            _zone_view(replica.fleet, known_zone)
            for known_zone in replica.fleet.zones()
        ],
    )


def _zone_view(known_fleet: fleet.Fleet, zone: str) -> models.ZoneView:
    hosts = known_fleet.live_hosts(zone)
    return models.ZoneView(
        availability_zone=zone,
        live=len(hosts),
        relays=[
            models.RelayAddress(
                host=host,
                admin=f'{known_fleet.records[host].address}:'
                f'{known_fleet.records[host].admin_port}',
            )
            for host in tree.relays_of(zone, hosts)
        ],
    )
