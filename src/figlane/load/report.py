"""Reports of the load generator, as JSON and as a text table."""

from __future__ import annotations

import msgspec
from hdrh.histogram import HdrHistogram

from figlane.load.source import Verdict
from figlane.load.world import LoadWorld

_US_PER_MS = 1000
_PERCENTILES = (50, 99, 99.9)


class LatencyReport(msgspec.Struct, frozen=True):
    """Latency percentiles and maximum in ms, from the intended send time."""

    p50: float
    p99: float
    p999: float
    highest: float


class SourceReport(msgspec.Struct, frozen=True):
    """Outcomes of the requests of one source.

    ``made`` counts requests, and ``whole`` those with a complete, successful
    answer. Both are also counted by the second of the intended send time.
    ``not_run_tokens`` lists the tokens of non-GET requests that figlane
    refused as not executed.
    """

    name: str
    organisation: str
    importance: int
    within_rate: bool
    made: int
    count_by_verdict: dict[str, int]
    count_by_kind: dict[str, int]
    made_by_second: dict[int, int]
    whole_by_second: dict[int, int]
    not_run_tokens: list[str]
    latency_ms: LatencyReport

    @property
    def whole(self) -> int:
        """Return the number of requests with a complete, successful answer.

        :return: the number of requests.
        """
        return self.count_by_verdict.get(Verdict.SUCCESS.value, 0)


class Report(msgspec.Struct, frozen=True):
    """Outcomes of one plan.

    ``lateness_ms`` is the delay between the intended and the actual send
    time of first attempts, which shows whether the generator kept up.
    """

    seconds: float
    lateness_ms: LatencyReport
    sources: list[SourceReport]


def make_report(world: LoadWorld) -> Report:
    """Build the report once the load has ended.

    :param world: state of the load generator.
    :return: the report.
    """
    return Report(
        seconds=world.ends_at - world.started_at,
        lateness_ms=latency_report(world.lateness),
        sources=[
            _source_report(world, name) for name in world.counts_by_source
        ],
    )


def latency_report(histogram: HdrHistogram) -> LatencyReport:
    """Summarise a latency histogram.

    :param histogram: latencies in microseconds.
    :return: percentiles and maximum in milliseconds.
    """
    percentiles = (
        histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in _PERCENTILES
    )
    return LatencyReport(*percentiles, histogram.get_max_value() / _US_PER_MS)


def _source_report(world: LoadWorld, name: str) -> SourceReport:
    source = world.source_by_name[name]
    counts = world.counts_by_source[name]
    return SourceReport(
        name=name,
        organisation=source.organisation,
        importance=source.importance,
        within_rate=source.within_rate,
        made=counts.made,
        count_by_verdict=counts.count_by_verdict,
        count_by_kind=counts.count_by_kind,
        made_by_second=counts.made_by_second,
        whole_by_second=counts.whole_by_second,
        not_run_tokens=counts.not_run_tokens,
        latency_ms=latency_report(world.latency_by_source[name]),
    )


def format_table(report: Report) -> str:
    """Format a report as a text table.

    :param report: the report.
    :return: a header line and one line for each source.
    """
    lines = [
        f'{"source":28}{"made":>7}{"whole":>7}{"not-run":>8}{"unknown":>8}'
        f'{"failed":>7}{"p50 ms":>9}{"p99 ms":>9}',
    ]
    for source in report.sources:
        counts = source.count_by_verdict
        lines.append(
            f'{source.name:28}{source.made:7}{source.whole:7}'
            f'{counts.get("not-run", 0):8}{counts.get("unknown", 0):8}'
            f'{counts.get("failed", 0):7}'
            f'{source.latency_ms.p50:9.2f}{source.latency_ms.p99:9.2f}',
        )
    return '\n'.join(lines)
