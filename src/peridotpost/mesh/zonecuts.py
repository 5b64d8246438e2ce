"""Availability zones that count as cut off for quotas; see the decisions.

The hosts tell each other by `frames.ZonesCutOff`, on the streams of both
sides, as one of them may pass frames while the other does not.
"""

from peridotpost.decisions import quotas as hostquotas
from peridotpost.decisions import zonecuts
from peridotpost.kernel import counters
from peridotpost.kernel import jsonlog
from peridotpost.mesh import directory as directories
from peridotpost.proxy import frames
from peridotpost.proxy import peers


class ZoneCuts:
    """Finds out which hosts the owners of quotas count as reachable."""

    def __init__(
        self,
        directory: directories.Directory,
        ingress: hostquotas.HostQuotas,
        counts: counters.Counters,
        log: jsonlog.JsonLog,
    ) -> None:
        self.directory = directory
        self.ingress = ingress
        self.counts = counts
        self.log = log
        self.cuts = zonecuts.ZoneCuts(directory.own_record.availability_zone)
        self.known = 1

    def reachable_streams(
        self, streams: dict[str, peers.PeerStream], now: float
    ) -> dict[str, peers.PeerStream]:
        """Return the streams to hosts that are not cut off on either side."""
        zones = self.cuts.zones(now)
        separated = self.cuts.separated_hosts(now)
        if not zones and not separated:
            return streams
        return {
            host: stream
            for host, stream in streams.items()
            if stream.zone not in zones and host not in separated
        }

    def update(self, known: int, now: float) -> bool:
        """Look for zones that are cut off, and tell others of new ones.

        :param known: number of known hosts, with this one.
        :return: whether there are new ones.
        """
        self.known = known
        before = self.cuts.zones(now)
        answering = self.ingress.answering_zones(self._zone_of, now)
        silent = self.ingress.silent_zones(self._zone_of, now)
        self.cuts.observe(silent, now)
        self.cuts.follow_reports(known, answering, now)
        new = self.cuts.zones(now) - before
        if not new:
            return False
        for zone in sorted(new):
            self.log.state(
                'zone',
                zone=zone,
                to='cut-off',
                source='own' if zone in silent else 'peers',
            )
        to_all = self.cuts.should_broadcast(new, known, answering)
        frame = frames.ZonesCutOff(sorted(new))
        for stream in self.directory.streams():
            if stream.zone in new or (to_all and stream.dialled):
                self.counts.add('quotas.messages')
                stream.send(frame)
        return True

    def handle(
        self, stream: peers.PeerStream, frame: frames.ZonesCutOff, now: float
    ) -> bool:
        """Note what another host says; return whether a zone is cut off."""
        if stream.host not in self.cuts.separated_hosts(now) and (
            self.cuts.own_zone in frame.zones
        ):
            self.log.state('zone', peer=stream.host, to='separated')
        self.cuts.note_report(stream.host, frame.zones, now)
        return self.update(self.known, now)

    def _zone_of(self, host: str) -> str:
        peer = self.directory.peers.get(host)
        return peer.record.availability_zone if peer is not None else ''
