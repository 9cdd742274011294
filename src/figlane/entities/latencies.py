"""Latency histograms, call counters and the longest calls of each route."""

from __future__ import annotations

import bisect
import enum
from collections import Counter
from dataclasses import dataclass, field

from figlane.entities.table import NEVER, IdentityHashMixin

# Upper bounds of the buckets. They range from the overhead per call to the
# longest deadlines of the workloads, each 2 to 2.5 times the one before.
BUCKET_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
# Limit on distinct label sets. Further call counts go to the label 'other',
# further latencies are dropped.
MAX_LABELS = 1000

Labels = tuple[str, ...]


@dataclass(slots=True)
class Histogram:
    """Counts of values by bucket; the last bucket is unbounded."""

    counts: Counter[int] = field(default_factory=Counter)
    total: float = 0

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the cumulative counts of the buckets.

        :return: pairs of upper bound as text and cumulative count.
        """
        bounds = (*map(str, BUCKET_SECONDS), '+Inf')
        running = 0
        sums = []
        for index, bound in enumerate(bounds):
            running += self.counts[index]
            sums.append((bound, float(running)))
        return sums


@dataclass(slots=True)
class Latencies:
    """Latency histograms by stage and service, and counters of ended calls.

    The labels of a counter are service, route, organisation and outcome.
    """

    by_label: dict[Labels, Histogram] = field(default_factory=dict)
    calls_by_label: Counter[Labels] = field(default_factory=Counter)

    def add(self, stage: str, service: str, seconds: float) -> None:
        """Add the time that a call spent in a stage to its histogram.

        :param stage: the name of the stage, such as ``queue``.
        :param service: the id of the service.
        :param seconds: the time in seconds.
        """
        labels = (stage, service)
        histogram = self.by_label.get(labels)
        if histogram is None:
            if len(self.by_label) >= MAX_LABELS:
                return
            histogram = Histogram()
            self.by_label[labels] = histogram
        histogram.counts[bisect.bisect_left(BUCKET_SECONDS, seconds)] += 1
        histogram.total += seconds

    def count(self, labels: Labels) -> None:
        """Increment the counter of ended calls.

        :param labels: service, route, organisation and outcome.
        """
        is_known = labels in self.calls_by_label
        if not is_known and len(self.calls_by_label) >= MAX_LABELS:
            labels = tuple('other' for _ in labels)
        self.calls_by_label[labels] += 1


@enum.unique
class DurationPhase(IdentityHashMixin, enum.Enum):
    """Whether a route's calls have ended lately; other rows are removed."""

    RECENT = 'recent'


@dataclass(slots=True)
class RouteDuration:
    """Longest calls of a route, from their arrival to their outcome.

    ``id`` combines service and route. ``longest`` is in seconds and covers the
    present window, ``longest_before`` the window before it; ``count`` and
    ``count_before`` are the numbers of calls that ended in them. The present
    window ends at ``due``.
    """

    id: str
    longest: float = 0
    count: int = 0
    longest_before: float = 0
    count_before: int = 0
    phase: DurationPhase = DurationPhase.RECENT
    due: float = NEVER
