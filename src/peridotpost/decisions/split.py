"""Which service of a weighted split gets a request.

Each request goes to the part that is furthest behind its weight (smooth
weighted round robin), so that the shares hold over any few requests, not
only on average.  A part that is short of room refuses what does not fit;
moved to another part, its requests would break the weights that the
operators set, for instance to keep an untried version at one in ten.
"""

from collections.abc import Sequence

from peridotpost.model import mesh


class Splitter:
    """Keeps the turns of one ingress, by route."""

    def __init__(self) -> None:
        self.credits: dict[
            tuple[str, tuple[mesh.Share, ...]], list[float]
        ] = {}

    def pick(self, route: str, shares: Sequence[mesh.Share]) -> str:
        """Return the service that is next."""
        if len(shares) == 1:
            return shares[0].service
        key = (route, tuple(shares))
        credits = self.credits.get(key)
        if credits is None:
            # Only the newest weights of a route are of use.
            for old in [one for one in self.credits if one[0] == route]:
                del self.credits[old]
            credits = self.credits[key] = [0.0] * len(shares)
        total = 0.0
        for index, share in enumerate(shares):
            credits[index] += share.weight
            total += share.weight
        best = max(range(len(shares)), key=credits.__getitem__)
        credits[best] -= total
        return shares[best].service
