"""How long a caller has waited before the request that is here now.

Load pattern: under overload callers are refused and come again, two or
three times.  Taken for new ones they compete with those that can still be
answered within the objective; half of all runs then end late, each in the
place of one that would have been in time.

Callers tell how long they will wait, not since when they do.  The longest
such time seen on a route lately is taken for what a caller starts with;
one that is told less has waited the difference.  Callers of one route
mostly share a deadline.  One that always has less than others is taken
for older than it is: it is served all the same while there is room, and
after others when there is not.

Grounds: a minute is long enough to see a first try on any route in use,
and short enough to forget a caller that asked for far more than others.
"""

import dataclasses

WINDOW_S = 30.0
"""Maxima are kept of this window and the one before."""
SLACK = 0.02
"""Share of the deadline that the way here may have taken."""


@dataclasses.dataclass(slots=True)
class Longest:
    """The longest times told in two windows."""

    number: int
    current_s: float = 0.0
    before_s: float = 0.0


class DeadlineBook:
    """What one ingress saw of its callers' deadlines, by route."""

    def __init__(self) -> None:
        self.routes: dict[str, Longest] = {}

    def waited_s(self, route: str, told_s: float, now: float) -> float:
        """Note the time that a caller still waits; return what it has."""
        number = int(now / WINDOW_S)
        held = self.routes.get(route)
        if held is None:
            held = self.routes[route] = Longest(number)
        elif held.number != number:
            follows = held.number == number - 1
            held.before_s = held.current_s if follows else 0.0
            held.current_s = 0.0
            held.number = number
        held.current_s = max(held.current_s, told_s)
        usual_s = max(held.current_s, held.before_s)
        waited_s = usual_s - told_s
        return waited_s if waited_s > SLACK * usual_s else 0.0

    def forget(self, routes: set[str]) -> None:
        """Keep only what is told of these routes."""
        self.routes = {
            name: held for name, held in self.routes.items() if name in routes
        }
