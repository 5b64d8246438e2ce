"""Whether a daemon reads the configuration from the store itself.

Load pattern: versions come several a second while a fleet's links differ
by a factor of fifty.  A watch brings each version whole, and on a slow link
every request waits behind it.

A daemon with a slow link leaves the reading to those of its zone that have
a fast one, and gets differences from them.  When none of those has been
heard of for ``HEARD_S`` it reads the store itself, at most once in
``READ_EVERY_S``: a zone without fast links, or whose fast ones are cut off
from the store, is as current as its own reads are.

One that follows the store and loses it says so at once, and is not waited
for.

Of a zone's slow ones one reads at a time, in random order: it says so before
it begins, and the others leave it to that one for ``READ_FOR_S``.

While the store is out nobody follows it, so nobody is heard of.  When it
comes back, the fast ones are heard of within a beat, and a daemon with a
slow link waits for that.
"""

import dataclasses

SLOW_LINK_MBPS = 20.0
HEARD_S = 2.0
"""More than two beats, so that two may be lost."""
BEAT_S = 0.8
READ_EVERY_S = 2.0
PEER_READ_WAIT_S = 0.9
"""More than a beat, in which each of the others looks whether it is to
read."""


@dataclasses.dataclass(slots=True)
class Following:
    """What decides for one daemon.

    :param start: of this daemon; those that follow get `HEARD_S` from then
        to be heard of.
    :param heard_by_host: when each that follows the store was last heard of.
    :param answers: whether the store answers this daemon; None until it
        was asked.
    :param since: from when on it does again.
    :param others_read_at: when one of the zone's slow ones last began to read.
    """

    link_mbps: float
    start: float
    heard_by_host: dict[str, float] = dataclasses.field(default_factory=dict)
    read_at: float = 0.0
    answers: bool | None = None
    since: float = 0.0
    others_read_at: float = -HEARD_S

    @property
    def slow(self) -> bool:
        return self.link_mbps < SLOW_LINK_MBPS

    @property
    def follows(self) -> bool:
        """Whether this daemon reads the store for others, and reaches it."""
        return self.answers is True and not self.slow

    def heard(self, host: str, now: float) -> bool:
        """Note that a host with a fast link says that it follows.

        Returns whether no other one was known to follow.
        """
        first = not self.heard_by_host
        self.heard_by_host[host] = now
        return first

    def lost(self, host: str) -> None:
        """Note that a host says that the store does not answer it."""
        if self.heard_by_host.pop(host, None) and not self.heard_by_host:
            self.start = -HEARD_S

    def others_read(self, now: float) -> None:
        """Note that another host with a slow link begins to read the store."""
        self.others_read_at = now

    def store_answers(self, answers: bool, now: float) -> None:
        """Note whether the store answers this daemon."""
        if answers and self.answers is False:
            self.since = now
        self.answers = answers

    def reads_now(self, now: float) -> bool:
        """Whether a daemon with a slow link is to read the store now."""
        if self.answers is False:
            return False
        heard_at = max(self.start, self.since, *self.heard_by_host.values())
        if now - heard_at < HEARD_S or now - self.read_at < READ_EVERY_S:
            return False
        if now - self.others_read_at < PEER_READ_WAIT_S:
            return False
        self.read_at = now
        return True
