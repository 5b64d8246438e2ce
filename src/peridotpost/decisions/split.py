"""Weighted traffic splits between services.

Each request is assigned to the part that is furthest behind its weight (smooth
weighted round robin), so that the shares hold over any short sequence of
requests, not only on average.  A part that lacks capacity refuses what does
not fit.  Moving its requests to another part would violate the weights that
the operators set, for instance to limit a new version to one request in ten.
"""

from collections.abc import Sequence

from peridotpost.model import mesh


class Splitter:
    """Round-robin state of one ingress, by route and its weights."""

    def __init__(self) -> None:
        self.credits: dict[
            tuple[str, tuple[mesh.WeightedService, ...]], list[float]
        ] = {}

    def pick(self, route: str, shares: Sequence[mesh.WeightedService]) -> str:
        """Return the service that gets the next request."""
        if len(shares) == 1:
            return shares[0].service
        key = (route, tuple(shares))
        credits = self.credits.get(key)
        if credits is None:
            # Only the latest weights of a route are kept.
            for outdated in [old for old in self.credits if old[0] == route]:
                del self.credits[outdated]
            credits = self.credits[key] = [0.0] * len(shares)
        total = 0.0
        for index, share in enumerate(shares):
            credits[index] += share.weight
            total += share.weight
        best = max(range(len(shares)), key=credits.__getitem__)
        credits[best] -= total
        return shares[best].service
