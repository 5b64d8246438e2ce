"""The configuration in force, received from the store or from a peer.

Daemons with fast links watch the store.  A daemon that does not, that can't
reach the store, or whose watch has gone silent learns of a higher version
from its peers.  If the version has not arrived from the store after a delay,
the daemon fetches it from the peer that announced it.
"""

import asyncio
from collections.abc import Callable
import zlib

from peridotpost.decisions import following
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import jsonlog
from peridotpost.mesh import directory as directories
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import deltas
from peridotpost.proxy import frames
from peridotpost.proxy import peers

FETCH_DELAY_S = 0.3
"""Time for a version that a peer announced to arrive from the store.  With a
shorter delay each version would be fetched twice."""
REMOTE_ZONE_FETCH_DELAY_S = 0.7
"""The same if the peer is in a remote zone: the own zone is asked first."""
REMOTE_ZONE_FIRST_FETCH_DELAY_S = 0.1
"""How long a daemon without a configuration waits for its own zone before it
asks a remote zone."""
FIRST_FETCH_RETRY_S = 0.5
"""Delay until such a daemon asks the next peer.  It asks one at a time, since
each peer would send the whole configuration."""
MAX_DELTA_BASES = 8
"""Number of configurations kept as bases of deltas."""
COMPRESSION_LEVEL = 3

Decode = Callable[[bytes], mesh.MeshConfig]


class InvalidConfig(ValueError):
    """An invalid configuration; the message says which field and why."""


class Versions:
    """Holds the newest valid configuration; never reverts to an older one.

    :param decode: parses a raw configuration; raises `InvalidConfig`.
    :param apply: puts a complete configuration in force.
    """

    def __init__(
        self,
        decode: Decode,
        apply: Callable[[mesh.MeshConfig], None],
        directory: directories.Directory,
        read_policy: following.StoreReadPolicy,
        counts: counters.Counters,
        log: jsonlog.JsonLog,
    ) -> None:
        self.decode = decode
        self.apply = apply
        self.directory = directory
        self.counts = counts
        self.log = log
        self.current: mesh.MeshConfig | None = None
        self.current_checksum = 0
        self.read_policy = read_policy
        self.deflated_by_version: dict[int, bytes] = {}
        self.frames_by_base: dict[int, frames.Config | frames.ConfigDelta] = {}
        self.applied_at = deadlines.now()
        self.first_fetch_at = -FIRST_FETCH_RETRY_S
        self.leading = False
        self.followed_again: hooks.Hook[str] = hooks.Hook('followed-again')
        directory.frame_received.subscribe(self._handle_frame)
        directory.stream_greeted.subscribe(self._greet)

    @property
    def version(self) -> int:
        return self.current.version if self.current is not None else 0

    def offer(self, raw: bytes, source: str) -> bool:
        """Apply a configuration if it is valid and newer than the current one.

        Returns whether it was applied.
        """
        checksum = zlib.crc32(raw)
        if checksum == self.current_checksum and raw == (
            self._raw_of(self.version) or b''
        ):
            return False
        try:
            config = self.decode(raw)
        except InvalidConfig as error:
            # Keep the last valid one; never apply part of an invalid one.
            self.counts.add('config.bad')
            self.log.state(
                'config', to='rejected', source=source, error=str(error)
            )
            return False
        if config.version <= self.version:
            return False
        before = self.version
        self.current = config
        self.current_checksum = checksum
        self.deflated_by_version[config.version] = zlib.compress(
            raw, COMPRESSION_LEVEL
        )
        self.frames_by_base.clear()
        while len(self.deflated_by_version) > MAX_DELTA_BASES:
            del self.deflated_by_version[min(self.deflated_by_version)]
        self.applied_at = deadlines.now()
        self.apply(config)
        self.directory.version = config.version
        self.counts.add('config.applied')
        self.log.state(
            'config', before=before, version=config.version, source=source
        )
        # Remote zones learn of it from leaders or the next ping: they have the
        # store and each other, and traffic between zones is billed.
        self.directory.broadcast_to_zone(self._version_frame())
        return True

    def _raw_of(self, version: int) -> bytes | None:
        """Return the text of a version if it is kept.

        The texts are kept deflated: 0.4 MB take 15 to 40 KB, and inflating
        one takes 1 ms.
        """
        deflated = self.deflated_by_version.get(version)
        return None if deflated is None else zlib.decompress(deflated)

    def _greet(self, stream: peers.PeerStream) -> None:
        if not self.version:
            self._schedule_first_fetch(stream, stream.version)
        elif not self.directory.is_remote_zone(stream.zone):
            stream.send(self._version_frame())

    def _handle_frame(self, received: directories.ReceivedFrame) -> None:
        frame, stream = received.frame, received.stream
        if isinstance(frame, frames.Version):
            self._handle_version(frame, stream)
        elif isinstance(frame, frames.Fetch):
            self._handle_fetch(frame, stream)
        elif isinstance(frame, frames.Config):
            self._handle_config(frame, stream)
        elif isinstance(frame, frames.ConfigDelta):
            self._handle_delta(frame, stream)

    def announce_following(self) -> None:
        """Tell peers with slow links that this daemon follows the store."""
        if self.read_policy.is_current(deadlines.now()) and self.version:
            self.directory.broadcast_to_zone(
                self._version_frame(), slow_only=True
            )

    def leads(self) -> bool:
        """Whether this daemon is a leader of the followers."""
        return self.read_policy.leads(
            self.directory.own_record.host, self.directory.followers()
        )

    def note_unconfirmed(self) -> None:
        """Note that nothing confirmed the version in time."""
        self.read_policy.note_unconfirmed(
            self.directory.own_record.host,
            self.directory.followers(),
            deadlines.now(),
        )

    def confirm(self) -> None:
        """Note that the store confirmed the version; a leader tells it."""
        self.read_policy.note_confirmed(deadlines.now())
        leading = bool(self.version) and self.leads()
        if leading != self.leading:
            self.leading = leading
            self.log.state('leader', leads=leading, version=self.version)
        if leading:
            frame = frames.Version(self.version, True, confirmed=True)
            self.directory.broadcast(frame)

    def note_store_state(self, reachable: bool) -> None:
        """Record whether the store answers; announce it to peers if not."""
        followed = self.read_policy.follows_store
        self.read_policy.note_store_state(reachable, deadlines.now())
        if followed and not reachable:
            self.directory.broadcast_to_zone(
                self._version_frame(), slow_only=True
            )

    def announce_reading(self) -> None:
        """Tell the zone's hosts with slow links that this one reads now."""
        self.directory.broadcast_to_zone(
            frames.Version(self.version, following=True), slow_only=True
        )

    def _version_frame(self) -> frames.Version:
        follows = (
            None
            if self.read_policy.has_slow_link
            else self.read_policy.follows_store
        )
        return frames.Version(self.version, follows)

    def _handle_version(
        self, frame: frames.Version, stream: peers.PeerStream
    ) -> None:
        remote_zone = self.directory.is_remote_zone(stream.zone)
        if frame.following and stream.has_slow_link and not remote_zone:
            self.read_policy.note_peer_read(deadlines.now())
        elif frame.following and not remote_zone:
            if self.read_policy.note_follower(stream.host, deadlines.now()):
                self.followed_again.fire(stream.host)
        elif frame.following is False and not remote_zone:
            self.read_policy.note_follower_lost(stream.host)
        if frame.confirmed:
            self.read_policy.note_leader(stream.host, deadlines.now())
        if frame.version <= self.version:
            if frame.confirmed:
                self.read_policy.note_confirmed(deadlines.now())
            return
        if not self.version:
            self._schedule_first_fetch(stream, frame.version)
            return
        if (
            frame.following
            and self.read_policy.has_slow_link
            and not remote_zone
        ):
            self._fetch(stream, frame.version)
            return
        loop = asyncio.get_running_loop()
        pause_s = REMOTE_ZONE_FETCH_DELAY_S if remote_zone else FETCH_DELAY_S
        loop.call_later(pause_s, self._fetch, stream, frame.version)

    def _schedule_first_fetch(
        self, stream: peers.PeerStream, version: int
    ) -> None:
        """Schedule the first fetch: at once in the own zone, else delayed.

        Remote zones are asked too, since the own zone may have no host that
        follows the store.
        """
        if not version:
            return
        pause_s = (
            REMOTE_ZONE_FIRST_FETCH_DELAY_S
            if self.directory.is_remote_zone(stream.zone)
            else 0.0
        )
        loop = asyncio.get_running_loop()
        loop.call_later(pause_s, self._fetch_first, stream)

    def _fetch_first(self, stream: peers.PeerStream) -> None:
        """Fetch from one peer at a time until there is a configuration."""
        if self.version or stream.closed:
            return
        now = deadlines.now()
        if now - self.first_fetch_at < FIRST_FETCH_RETRY_S:
            loop = asyncio.get_running_loop()
            loop.call_later(FIRST_FETCH_RETRY_S, self._fetch_first, stream)
            return
        self.first_fetch_at = now
        self._fetch(stream, 1)

    def _handle_fetch(
        self, frame: frames.Fetch, stream: peers.PeerStream
    ) -> None:
        if self.version <= frame.version:
            return
        stream.send(self._frame_for(frame.version))

    def _frame_for(self, version: int) -> frames.Config | frames.ConfigDelta:
        """Return the frame that updates a peer from `version`.

        Frames are cached by base version, since most peers of a zone have
        the same one.
        """
        base_version = version if version in self.deflated_by_version else 0
        frame = self.frames_by_base.get(base_version)
        if frame is None:
            frame = self.frames_by_base[base_version] = self._make_frame(
                base_version
            )
        return frame

    def _make_frame(self, version: int) -> frames.Config | frames.ConfigDelta:
        base = self._raw_of(version)
        if base is None:
            deflated = self.deflated_by_version[self.version]
            return frames.Config(self.version, deflated)
        current = self._raw_of(self.version)
        assert current is not None
        packed = deltas.pack(deltas.diff(base, current))
        return frames.ConfigDelta(version, self.version, packed)

    def _handle_config(
        self, frame: frames.Config, stream: peers.PeerStream
    ) -> None:
        try:
            raw = zlib.decompress(frame.deflated)
        except zlib.error as error:
            self.log.state(
                'config', to='rejected', source=stream.host, error=str(error)
            )
            return
        self.offer(raw, stream.host)

    def _handle_delta(
        self, frame: frames.ConfigDelta, stream: peers.PeerStream
    ) -> None:
        if frame.version <= self.version:
            return
        base = self._raw_of(frame.base)
        if base is None:
            return
        try:
            raw = deltas.apply(base, deltas.unpack(frame.packed))
        except deltas.BadDelta as error:
            self.log.state(
                'config', to='rejected', source=stream.host, error=str(error)
            )
            stream.send(frames.Fetch(0))
            return
        self.counts.add('config.deltas')
        self.offer(raw, stream.host)

    def _fetch(self, stream: peers.PeerStream, version: int) -> None:
        if self.version < version:
            self.counts.add('config.fetched')
            stream.send(frames.Fetch(self.version))
