"""Bodies that one daemon asks another one for, part by part.

The receiver asks for a part when it has memory for it, so neither side holds
more of a body in its buffers than a few parts.
"""

from collections.abc import Callable

from peridotpost.proxy import bodies
from peridotpost.proxy import frames

PART_BYTES = 128 * 1024
PARTS_UNDER_WAY = 2
"""Parts that are asked for in advance, so that a round trip costs nothing."""


class BodyPull:
    """Receives one body.

    :param number: number of the dispatch that it belongs to.
    :param incoming: has the length of the body; None if the peer does not
        say it and sends the whole body at once.
    :param completed: called with the complete body.
    """

    def __init__(
        self,
        number: int,
        incoming: bodies.IncomingBody,
        send: Callable[[frames.Frame], None],
        completed: Callable[[bodies.Body], None],
    ) -> None:
        self.number = number
        self.incoming = incoming
        self.send = send
        self.completed = completed
        self.asked = 0
        self.wait: bodies.RoomWait | None = None

    def start(self) -> None:
        """Ask for the first parts; there is room for the body."""
        self.wait = None
        if self.incoming.declared is None:
            self.send(frames.BodyWanted(self.number))
            return
        for _ in range(PARTS_UNDER_WAY):
            self._ask()

    def wait_for_room(self, room: bodies.Room) -> bool:
        """Start now or when there is room; False if there won't be any."""
        if self.incoming.claim():
            self.start()
            return True
        room.counts.add('answers.paused')
        self.wait = bodies.RoomWait(self.incoming, room.timer, self.start)
        return self.wait.claim is not None

    def cancel(self) -> None:
        """Stop waiting for room."""
        if self.wait is not None:
            self.wait.cancel()
            self.wait = None

    def receive(self, part: bytes) -> None:
        """Add a part.

        :raises frames.BadFrame: the body is longer than announced.
        """
        incoming = self.incoming
        incoming.append(part)
        if incoming.declared is None:
            if incoming.claim():
                self.completed(incoming.finish())
            return
        if incoming.size > incoming.declared:
            raise frames.BadFrame(f'{incoming.size} bytes of a body')
        if incoming.size == incoming.declared:
            self.completed(incoming.finish())
        else:
            self._ask()

    def _ask(self) -> None:
        assert self.incoming.declared is not None
        size = min(PART_BYTES, self.incoming.declared - self.asked)
        if size > 0:
            self.send(frames.BodyWanted(self.number, self.asked, size))
            self.asked += size
