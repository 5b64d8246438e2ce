"""What the targets of other hosts stated, as an ingress remembers it.

Load pattern: the daemon beside a target in need, or beside one that leaves,
is restarted.  It has no memory of its own, the target's heartbeats do not
tell, and all ingresses that were told before send to it at once.

- An ingress remembers the statements that it passed on, and sends them as the
  first thing on a new stream to that host, ahead of any request.
- Of two starts of a target the later one counts.
- A target that stated that it leaves does so until its next start.
- A limit is forgotten with an answer without one.
"""

from peridotpost.model import instances

MAX_REMEMBERED = 8192
"""Hosts; about 2 MB."""


class StatementMemory:
    """Statements of targets, by host."""

    def __init__(self) -> None:
        self.by_host: dict[str, instances.TargetStatement] = {}

    def get(self, host: str) -> instances.TargetStatement | None:
        """Return what the target of a host stated, None if nothing."""
        return self.by_host.get(host)

    def note(self, host: str, stated: instances.TargetStatement) -> None:
        """Remember a statement."""
        known = self.by_host.get(host)
        if known is not None:
            if stated.started_ms < known.started_ms:
                return
            if stated.incarnation == known.incarnation and known.leaving:
                return
        elif len(self.by_host) >= MAX_REMEMBERED:
            del self.by_host[next(iter(self.by_host))]
        self.by_host[host] = stated

    def answered_without(self, host: str) -> None:
        """Forget the limit of a target that answered without one."""
        known = self.by_host.get(host)
        if known is not None and not known.leaving:
            del self.by_host[host]
