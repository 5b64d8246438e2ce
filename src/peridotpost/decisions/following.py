"""Whether a daemon reads the configuration from the store itself.

Load pattern: versions come several a second while a fleet's links differ
by a factor of fifty.  A watch brings each version whole; 1,600 routes take
half a second on a link of 5 Mbit/s, every request waits behind them, and
streams are taken for dead.

A daemon with a slow link leaves the reading to those of its zone that have
a fast one, and gets differences from them.  When none of those has been
heard of for ``HEARD_S`` it reads the store itself, at most once in
``READ_EVERY_S``: a zone without fast links, or whose fast ones are cut off
from the store, is as current as its own reads are.

One that follows the store and loses it says so at once, and is not waited
for.  It says that it follows until its own calls time out, a second and
more after the store fell silent; with two beats of silence on top, hosts
with slow links had a version 3.3 s after the operators' write, while the
store answered them all the time.

Of a zone's slow ones one reads at a time, in their turn by chance: it says so
before it begins, and the others leave it to that one for ``READ_FOR_S``.  When
the fast ones of a fleet lost their watches in the same moment, 55 others read
the whole text at once, and for 0.7 s three in four requests stood still.

While the store is out nobody follows it, so nobody is heard of.  When it
comes back, the fast ones are heard of within a beat, and a daemon with a
slow link waits for that: reading at once, all of them would fill their
links for a second with what a difference of some hundred bytes brings.

Grounds: followers are heard of every ``BEAT_S``, so two beats may be lost;
two seconds of silence and a read still are within the time in which a
daemon that lost its peers has to be current again.
"""

import dataclasses

SLOW_LINK_MBPS = 20.0
"""A text of 400 KB takes 0.16 s there, less than between two versions."""
HEARD_S = 2.0
BEAT_S = 0.8
READ_EVERY_S = 2.0
READ_FOR_S = 0.9
"""A beat in which each of the others looks whether it is to read, and some.  A
version is known to its zone after that and one read, 0.9 s on a link of 3.5
Mbit/s; longer, and it would be in force later than operators count on."""


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
        if now - self.others_read_at < READ_FOR_S:
            return False
        self.read_at = now
        return True
