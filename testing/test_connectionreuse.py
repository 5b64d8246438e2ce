"""Which orders may be sent on a connection that had others."""

from peridotpost.decisions import connectionreuse
from peridotpost.model import forwarding
from testing import orders


def identified(number: int, now: float) -> forwarding.Order:
    """Return an order with an id and a second until its deadline."""
    order = orders.order(number, now)
    order.attempt_id = b'a%d' % number
    return order


def test_rejected_ids_are_forgotten_after_their_deadlines() -> None:
    """Guards against memory that grows with each rejection."""
    reuse = connectionreuse.ConnectionReuse()
    for number in range(1000):
        rejected = identified(number, now=float(number))
        reuse.note_rejected(rejected, now=float(number))
        assert not reuse.allows(rejected, now=float(number))
    assert len(reuse.rejected_until) == 1
    assert reuse.allows(identified(1, 999.0), 999.0)


def test_doubt_about_a_target_ends() -> None:
    """Guards against new connections for ever after one odd response."""
    reuse = connectionreuse.ConnectionReuse()
    order = identified(1, 0.0)
    reuse.note_response_without_id(is_first=False, now=1.0)
    assert not reuse.allows(order, 2.0)
    assert reuse.allows(order, 1.0 + connectionreuse.DOUBT_S)
