"""Times at which a guard gives up orders."""

from collections.abc import Callable

from peridotpost.model import forwarding
from peridotpost.proxy import deadlines


class OrderExpiries:
    """One expiry for each order of a guard.

    :param on_expiry: called with an order at its expiry, unless cleared.
    """

    def __init__(
        self,
        timer: deadlines.DeadlineTimer,
        on_expiry: Callable[[forwarding.Order], None],
    ) -> None:
        self.timer = timer
        self.on_expiry = on_expiry
        self.slots: dict[forwarding.Order, int] = {}

    def set(self, deadline: float, order: forwarding.Order) -> None:
        """Set or replace the expiry of an order, in seconds since boot."""
        self.clear(order)
        self.slots[order] = self.timer.add(
            deadline, order, lambda: self._expired(order)
        )

    def clear(self, order: forwarding.Order) -> None:
        slot = self.slots.pop(order, None)
        if slot is not None:
            self.timer.discard(slot, order)

    def _expired(self, order: forwarding.Order) -> None:
        self.slots.pop(order, None)
        self.on_expiry(order)
