"""Latency estimates of a backend server at its exit node."""

from __future__ import annotations

from dataclasses import dataclass, field

from figlane.entities.table import NEVER


@dataclass(slots=True)
class LatencyEstimate:
    """Running estimates of the latency in seconds.

    ``average`` is an exponentially weighted moving average of all samples,
    and ``tenth_percentile`` is approximated stochastically. ``baseline`` is
    the average latency at low load without child calls, 0 if unknown.
    ``seen_at`` is the time of the last sample.
    """

    average: float = 0
    tenth_percentile: float = 0
    baseline: float = 0
    seen_at: float = -NEVER


@dataclass(slots=True)
class LatencyWindow:
    """Sampling window of latencies without child calls, from ``opened_at``.

    Sums and counts are kept by importance. ``peak`` is the highest number of
    concurrent executions.
    """

    opened_at: float = 0
    peak: int = 0
    sum_by_importance: dict[int, float] = field(default_factory=dict)
    count_by_importance: dict[int, int] = field(default_factory=dict)
