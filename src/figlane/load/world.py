"""State of the load generator."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from figlane.entities.table import Table
from figlane.load.source import LoadRequest, Source, SourceCounts

# Range and precision of latency histograms: 1 µs to 120 s, 3 digits.
_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Create an empty histogram for latencies in microseconds.

    :return: the histogram.
    """
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class LoadWorld:
    """Sources, open requests and statistics of the requests that ended.

    ``sources`` and ``requests`` are the tables of rows that are still active;
    ``source_by_name`` also keeps sources that have ended. ``started_at`` and
    ``ends_at`` are times in seconds between which requests are generated.
    ``lateness`` holds the delays between intended and actual send times.
    """

    random: Random
    started_at: float
    ends_at: float
    sources: Table[Source] = field(default_factory=Table)
    requests: Table[LoadRequest] = field(default_factory=Table)
    source_by_name: dict[str, Source] = field(default_factory=dict)
    counts_by_source: dict[str, SourceCounts] = field(default_factory=dict)
    latency_by_source: dict[str, HdrHistogram] = field(default_factory=dict)
    lateness: HdrHistogram = field(default_factory=new_histogram)
    inbox: list[Any] = field(default_factory=list)
    outbox: list[Any] = field(default_factory=list)
    failures: list[Exception] = field(default_factory=list)

    def next_due(self) -> float:
        """Return the time of the next arrival or retry.

        :return: the time in seconds, or ``NEVER``.
        """
        return min(self.sources.next_due(), self.requests.next_due())

    def wake_time(self) -> float:
        """Return the time at which the next tick is needed.

        :return: the time in seconds, or ``NEVER``.
        """
        return self.next_due()

    @property
    def has_ended(self) -> bool:
        """Return whether the load has ended.

        :return: True once all sources have ended and no request is open.
        """
        return not self.sources.by_id and not self.requests.by_id
