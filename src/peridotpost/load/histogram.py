"""A histogram with logarithmic buckets: bounded memory, 1% resolution."""

import dataclasses
import math

BUCKET_RATIO = 1.02
"""Ratio of the bounds of a bucket; gives a resolution of 1%."""
MIN_DURATION_S = 1e-6
_LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)


@dataclasses.dataclass(slots=True)
class Histogram:
    """Counts of durations, by bucket."""

    buckets: dict[int, int] = dataclasses.field(default_factory=dict)
    count: int = 0
    total_s: float = 0.0
    highest_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Count a duration; the first bucket includes all shorter ones."""
        index = int(
            math.log(max(seconds, MIN_DURATION_S) / MIN_DURATION_S)
            / _LOG_BUCKET_RATIO
        )
        self.buckets[index] = self.buckets.get(index, 0) + 1
        self.count += 1
        self.total_s += seconds
        self.highest_s = max(self.highest_s, seconds)

    def merge(self, other: 'Histogram') -> None:
        for index, count in other.buckets.items():
            self.buckets[index] = self.buckets.get(index, 0) + count
        self.count += other.count
        self.total_s += other.total_s
        self.highest_s = max(self.highest_s, other.highest_s)

    def quantile(self, share: float) -> float:
        """Return the geometric middle of the bucket that holds the quantile.

        :param share: between 0 and 1; 0.99 for the 99th percentile.
        """
        if not self.count:
            return 0.0
        rank = max(1, math.ceil(share * self.count))
        cumulative = 0
        for index in sorted(self.buckets):
            cumulative += self.buckets[index]
            if cumulative >= rank:
                middle = MIN_DURATION_S * math.pow(BUCKET_RATIO, index + 0.5)
                return min(middle, self.highest_s)
        return self.highest_s
