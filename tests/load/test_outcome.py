"""Tests of the metrics of a trial."""

from __future__ import annotations

import unittest

from figlane.load.experiments.outcome import measure
from figlane.load.experiments.registry import Trial, Window
from figlane.load.plan import SourcePlan, StepPlan
from figlane.load.report import LatencyReport, Report, SourceReport

_NO_LATENCY = LatencyReport(0, 0, 0, 0)


def _source(
    name: str,
    whole_by_second: dict[int, int],
    not_run: list[str] | None = None,
) -> SourceReport:
    return SourceReport(
        name=name,
        organisation=name,
        importance=90,
        within_rate=True,
        made=40,
        count_by_verdict={'whole': sum(whole_by_second.values())},
        count_by_kind={},
        made_by_second=dict.fromkeys(range(4), 10),
        whole_by_second=whole_by_second,
        not_run_tokens=not_run or [],
        latency_ms=_NO_LATENCY,
    )


def _trial() -> Trial:
    sources = [
        SourcePlan('a', '/x', [StepPlan(1)], method='POST'),
        SourcePlan('b', '/x', [StepPlan(1)]),
    ]
    return Trial(4, sources, Window(0, 1), Window(1, 2))


class MeasureTest(unittest.TestCase):
    """Metrics computed from small reports."""

    def test_goodput_and_worst_organisation(self) -> None:
        """Goodput is summed over sources; the worst organisation is found."""
        report = Report(
            4,
            _NO_LATENCY,
            [
                _source('a', {0: 10, 1: 10, 2: 10, 3: 10}),
                _source('b', {0: 10, 1: 4, 2: 5, 3: 10}),
            ],
        )
        outcome = measure(_trial(), report, {})
        self.assertEqual(outcome.normal_goodput, 20)
        self.assertEqual(outcome.goodput, 14)
        self.assertEqual(outcome.worst_organisation_part, 0.4)
        self.assertEqual(outcome.recovery_seconds, 1)

    def test_no_recovery(self) -> None:
        """A trial that ends before the recovery reports -1 for its time."""
        report = Report(4, _NO_LATENCY, [_source('a', {0: 10, 3: 5})])
        outcome = measure(_trial(), report, {})
        self.assertEqual(outcome.recovery_seconds, -1)

    def test_double_runs_and_false_not_run(self) -> None:
        """Double executions and executions of refused requests are counted."""
        report = Report(4, _NO_LATENCY, [_source('a', {}, ['a-3', 'a-4'])])
        runs = {'a-1': 2, 'a-2': 1, 'a-3': 1, 'b-1': 2}
        outcome = measure(_trial(), report, runs)
        self.assertEqual(outcome.double_runs, 1)
        self.assertEqual(outcome.false_not_run, 1)
