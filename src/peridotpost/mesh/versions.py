"""The configuration in force here: from the store, or from a peer.

Daemons with fast links watch the store.  One that does not, can't reach it,
or whose watch has gone silent hears of a higher version from its peers and,
if the store did not bring it by then, fetches it from the one that told.
"""

import asyncio
from collections.abc import Callable
import zlib

from peridotpost.decisions import following
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import lines
from peridotpost.mesh import directory as directories
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import deltas
from peridotpost.proxy import frames
from peridotpost.proxy import peers

FETCH_AFTER_S = 0.3
"""How long a version that a peer told of may take to come from the store;
less would fetch each one twice."""
FETCH_FAR_AFTER_S = 0.7
"""The same where the peer is in another zone: the own zone is asked first."""
FIRST_FAR_S = 0.1
"""How long a daemon without a configuration waits for its own zone."""
FIRST_AGAIN_S = 0.5
"""When such a daemon asks another peer; one at a time, as each would send
the whole configuration."""
RECENT = 8
"""Texts kept as bases of differences."""
COMPRESSION_LEVEL = 3

Decode = Callable[[bytes], mesh.MeshConfig]


class BadConfig(ValueError):
    """A configuration can't be used; says which field and why."""


class Versions:
    """Holds the newest whole configuration; never goes back.

    :param decode: reads what the operators wrote; raises `BadConfig`.
    :param apply: puts a configuration in force, whole.
    """

    def __init__(
        self,
        decode: Decode,
        apply: Callable[[mesh.MeshConfig], None],
        directory: directories.Directory,
        follow: following.Following,
        counts: counters.Counters,
        log: lines.LineLog,
    ) -> None:
        self.decode = decode
        self.apply = apply
        self.directory = directory
        self.counts = counts
        self.log = log
        self.current: mesh.MeshConfig | None = None
        self.raw = b''
        self.following = follow
        self.recent: dict[int, bytes] = {}
        self.frames_by_base: dict[int, frames.Config | frames.ConfigDelta] = {}
        self.applied_at = deadlines.now()
        self.first_asked_at = -FIRST_AGAIN_S
        self.followed_again: hooks.Hook[str] = hooks.Hook('followed-again')
        directory.noticed.subscribe(self._noticed)
        directory.met_hook.subscribe(self._met)

    @property
    def version(self) -> int:
        return self.current.version if self.current is not None else 0

    def offer(self, raw: bytes, source: str) -> bool:
        """Take a configuration if it is whole and newer than the own."""
        if raw == self.raw:
            return False
        try:
            config = self.decode(raw)
        except BadConfig as error:
            # Keep the last good one; a part of a bad one must not show.
            self.counts.add('config.bad')
            self.log.state(
                'config', to='rejected', source=source, error=str(error)
            )
            return False
        if config.version <= self.version:
            return False
        before = self.version
        self.current = config
        self.raw = raw
        self.recent[config.version] = raw
        self.frames_by_base.clear()
        while len(self.recent) > RECENT:
            del self.recent[min(self.recent)]
        self.applied_at = deadlines.now()
        self.apply(config)
        self.directory.version = config.version
        self.counts.add('config.applied')
        self.log.state(
            'config', before=before, version=config.version, source=source
        )
        # Other zones hear of it with the next ping: they have the store
        # and each other, and every packet between zones is paid for.
        self.directory.tell_zone(self._told())
        return True

    def _met(self, stream: peers.PeerStream) -> None:
        if not self.version:
            self._heard_of_first(stream, stream.version)
        elif not self.directory.is_far(stream.zone):
            stream.send(self._told())

    def _noticed(self, notice: directories.Notice) -> None:
        frame, stream = notice.frame, notice.stream
        if isinstance(frame, frames.Version):
            self._heard(frame, stream)
        elif isinstance(frame, frames.Fetch):
            self._asked(frame, stream)
        elif isinstance(frame, frames.Config):
            self._given(frame, stream)
        elif isinstance(frame, frames.ConfigDelta):
            self._given_delta(frame, stream)

    def beat(self) -> None:
        """Tell those with slow links that the store is followed here."""
        if self.following.follows and self.version:
            self.directory.tell_zone(self._told(), slow_only=True)

    def store_answers(self, answers: bool) -> None:
        """Note whether the store answers; those who wait are told of a no."""
        followed = self.following.follows
        self.following.store_answers(answers, deadlines.now())
        if followed and not answers:
            self.directory.tell_zone(self._told(), slow_only=True)

    def tell_reading(self) -> None:
        """Tell the zone's other slow hosts that this one reads the store."""
        self.directory.tell_zone(
            frames.Version(self.version, following=True), slow_only=True
        )

    def _told(self) -> frames.Version:
        follows = None if self.following.slow else self.following.follows
        return frames.Version(self.version, follows)

    def _heard(self, told: frames.Version, stream: peers.PeerStream) -> None:
        far = self.directory.is_far(stream.zone)
        if told.following and stream.slow and not far:
            self.following.others_read(deadlines.now())
        elif told.following and not far:
            if self.following.heard(stream.host, deadlines.now()):
                self.followed_again.fire(stream.host)
        elif told.following is False and not far:
            self.following.lost(stream.host)
        if told.version <= self.version:
            return
        if not self.version:
            self._heard_of_first(stream, told.version)
            return
        if told.following and self.following.slow and not far:
            self._fetch(stream, told.version)
            return
        loop = asyncio.get_running_loop()
        pause_s = FETCH_FAR_AFTER_S if far else FETCH_AFTER_S
        loop.call_later(pause_s, self._fetch, stream, told.version)

    def _heard_of_first(self, stream: peers.PeerStream, version: int) -> None:
        """Ask for a first configuration: the own zone at once, others soon.

        A zone may have no host that follows the store.
        """
        if not version:
            return
        pause_s = FIRST_FAR_S if self.directory.is_far(stream.zone) else 0.0
        loop = asyncio.get_running_loop()
        loop.call_later(pause_s, self._fetch_first, stream)

    def _fetch_first(self, stream: peers.PeerStream) -> None:
        """Ask one peer at a time while there is no configuration."""
        if self.version or stream.closed:
            return
        now = deadlines.now()
        if now - self.first_asked_at < FIRST_AGAIN_S:
            loop = asyncio.get_running_loop()
            loop.call_later(FIRST_AGAIN_S, self._fetch_first, stream)
            return
        self.first_asked_at = now
        self._fetch(stream, 1)

    def _asked(self, told: frames.Fetch, stream: peers.PeerStream) -> None:
        if self.version <= told.version:
            return
        stream.send(self._frame_for(told.version))

    def _frame_for(self, version: int) -> frames.Config | frames.ConfigDelta:
        """Return what brings a peer from `version` to the own one.

        Frames are kept by base, as most peers of a zone have the same one.
        """
        base = self.recent.get(version)
        known = version if base is not None else 0
        found = self.frames_by_base.get(known)
        if found is None:
            found = self.frames_by_base[known] = self._make_frame(known, base)
        return found

    def _make_frame(
        self, version: int, base: bytes | None
    ) -> frames.Config | frames.ConfigDelta:
        if base is None:
            deflated = zlib.compress(self.raw, COMPRESSION_LEVEL)
            return frames.Config(self.version, deflated)
        packed = deltas.pack(deltas.make(base, self.raw))
        return frames.ConfigDelta(version, self.version, packed)

    def _given(self, told: frames.Config, stream: peers.PeerStream) -> None:
        try:
            raw = zlib.decompress(told.deflated)
        except zlib.error as error:
            self.log.state(
                'config', to='rejected', source=stream.host, error=str(error)
            )
            return
        self.offer(raw, stream.host)

    def _given_delta(
        self, told: frames.ConfigDelta, stream: peers.PeerStream
    ) -> None:
        base = self.recent.get(told.base)
        if base is None or told.version <= self.version:
            return
        try:
            raw = deltas.apply(base, deltas.unpack(told.packed))
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
