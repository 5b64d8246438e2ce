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

    def pick(self, route: str, parts: Sequence[mesh.WeightedService]) -> str:
        """Return the service that gets the next request."""
        if len(parts) == 1:
            return parts[0].service
        key = (route, tuple(parts))
        credits = self.credits.get(key)
        if credits is None:
            # Only the latest weights of a route are kept.
            for outdated in [old for old in self.credits if old[0] == route]:
                del self.credits[outdated]
            credits = self.credits[key] = [0.0] * len(parts)
        total_weight = 0.0
        for index, part in enumerate(parts):
            credits[index] += part.weight
            total_weight += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= total_weight
        return parts[best].service
