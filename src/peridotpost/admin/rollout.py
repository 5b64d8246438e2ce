"""How far a version has come, as one daemon can tell.

An operator of thousands of daemons asks one relay of each availability
zone instead of all daemons; the relays' words are added up.
"""

from peridotpost.admin import models
from peridotpost.decisions import fleet
from peridotpost.decisions import progress
from peridotpost.decisions import tree
from peridotpost.distribution import links
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import registry
from peridotpost.membership import myself as own


def page_of(kernel: registry.Kernel) -> models.RolloutPage:
    """Return the daemon's word on itself and all that report to it."""
    replica = kernel.find('replica', replicas.Replica)
    myself = kernel.find('myself', own.Myself)
    told = kernel.find('links', links.LinkTable).progress
    zone = myself.record.availability_zone
    live = replica.fleet.live_hosts(zone)
    return models.RolloutPage(
        host=replica.host,
        availability_zone=zone,
        revision=replica.version.revision,
        lowest_revision=told.lowest_revision,
        daemons=told.daemons,
        covers_zone=progress.in_force(0, told, live),
        zones=[
            _zone_view(replica.fleet, one) for one in replica.fleet.zones()
        ],
    )


def _zone_view(held: fleet.Fleet, zone: str) -> models.ZoneView:
    hosts = held.live_hosts(zone)
    return models.ZoneView(
        availability_zone=zone,
        live=len(hosts),
        relays=[
            models.RelayAddress(
                host=host,
                admin=f'{held.records[host].address}:'
                f'{held.records[host].admin_port}',
            )
            for host in tree.relays_of(zone, hosts)
        ],
    )
