"""Orders as a guard receives them, for tests of the slot queue."""

from peridotpost.model import forwarding


def order(
    number: int,
    now: float = 0.0,
    rank: int = 1,
    objective_s: float = 0.2,
    deadline_s: float = 1.0,
    last: bool = False,
    route: str = '',
) -> forwarding.Order:
    """Return an order; without a route it gets one named after its rank."""
    return forwarding.Order(
        number=number,
        service='register',
        attempt_id=b'',
        method=b'GET',
        target=b'/',
        head=b'',
        body=b'',
        idempotent=True,
        rank=rank,
        deadline=now + deadline_s,
        objective=now + objective_s,
        last=last,
        done=lambda outcome: None,
        route=route or f'rank-{rank}',
    )
