"""Metrics of a trial: goodput, recovery, fairness, refusals, duplicates."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from figlane.load.experiments.registry import Trial, Window
from figlane.load.report import Report, SourceReport

# Success ratio from which a second counts as recovered.
_RECOVERY_RATIO = 0.95
# Minimum importance of the routes that count as important.
IMPORTANCE_THRESHOLD = 80

Choose = Callable[[SourceReport], bool]


class Outcome(msgspec.Struct, frozen=True):
    """Metrics of one trial.

    ``goodput`` is the rate of complete, successful answers per second during
    the disturbance, ``normal_goodput`` the rate before it. Fields whose names
    end in ``part`` are success ratios during the disturbance: complete,
    successful answers divided by requests. ``recovery_seconds`` is counted
    from the end of the disturbed window, and is -1 if the trial ended before
    the recovery. ``refused_within_rate`` counts refusals by rate limit for
    callers that kept to their rate. ``double_runs`` counts POST requests that
    were executed more than once; ``false_not_run`` counts those that were
    executed although figlane refused them as not executed. ``lateness_p99_ms``
    is the 99th percentile of the load generator's send delay.
    """

    normal_goodput: float
    goodput: float
    important_part: float
    worst_organisation_part: float
    mean_organisation_part: float
    recovery_seconds: int
    refused_within_rate: int
    unknown: int
    failed: int
    double_runs: int
    false_not_run: int
    lateness_p99_ms: float


def measure(
    trial: Trial,
    report: Report,
    run_count_by_token: dict[str, int],
) -> Outcome:
    """Compute the metrics of a trial.

    :param trial: the plan of the trial.
    :param report: report of the load generator.
    :param run_count_by_token: executions of each request, as counted by the
        backend servers.
    :return: the metrics.
    """
    sources = report.sources
    ratios = _organisation_ratios(sources, trial.disturbed_window)
    not_run = (token for source in sources for token in source.not_run_tokens)
    post_sources = {
        source.name for source in trial.sources if source.method == 'POST'
    }
    return Outcome(
        normal_goodput=_goodput(sources, trial.normal_window),
        goodput=_goodput(sources, trial.disturbed_window),
        important_part=_success_ratio(
            (row for row in sources if row.importance >= IMPORTANCE_THRESHOLD),
            trial.disturbed_window,
        ),
        worst_organisation_part=min(ratios, default=0),
        mean_organisation_part=sum(ratios) / max(1, len(ratios)),
        recovery_seconds=_recovery_seconds(sources, trial),
        refused_within_rate=sum(
            source.count_by_kind.get('rate-exceeded', 0)
            + source.count_by_kind.get('quota-unavailable', 0)
            for source in sources
            if source.within_rate
        ),
        unknown=_count_verdict(sources, 'unknown'),
        failed=_count_verdict(sources, 'failed'),
        double_runs=sum(
            1
            for token, count in run_count_by_token.items()
            if count > 1 and token.rpartition('-')[0] in post_sources
        ),
        false_not_run=sum(
            1 for token in not_run if run_count_by_token.get(token)
        ),
        lateness_p99_ms=report.lateness_ms.p99,
    )


def _goodput(sources: list[SourceReport], window: Window) -> float:
    whole = sum(_sum_in_window(row.whole_by_second, window) for row in sources)
    return whole / (window.end - window.start)


def _success_ratio(sources: Iterable[SourceReport], window: Window) -> float:
    made = 0
    whole = 0
    for source in sources:
        made += _sum_in_window(source.made_by_second, window)
        whole += _sum_in_window(source.whole_by_second, window)
    return whole / made if made else 1


def _organisation_ratios(
    sources: list[SourceReport],
    window: Window,
) -> list[float]:
    within = [source for source in sources if source.within_rate]
    organisations = {source.organisation for source in within}
    return [
        _success_ratio(
            (row for row in within if row.organisation == name), window
        )
        for name in sorted(organisations)
    ]


def _recovery_seconds(sources: list[SourceReport], trial: Trial) -> int:
    end = trial.disturbed_window.end
    last = trial.seconds - 1
    for second in range(last, end - 1, -1):
        if (
            _success_ratio(sources, Window(second, second + 1))
            < _RECOVERY_RATIO
        ):
            return -1 if second == last else second + 1 - end
    return 0


def _count_verdict(sources: list[SourceReport], verdict: str) -> int:
    return sum(row.count_by_verdict.get(verdict, 0) for row in sources)


def _sum_in_window(count_by_second: dict[int, int], window: Window) -> int:
    return sum(
        count_by_second.get(second, 0)
        for second in range(window.start, window.end)
    )
