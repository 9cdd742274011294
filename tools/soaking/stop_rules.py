"""Rules about requests that are cut off, and about the ends of processes."""

from __future__ import annotations

import signal
from collections.abc import Iterator

from tools.soaking.entities import (
    History,
    RequestEnd,
    Run,
    RunEnd,
    SentRequest,
)
from tools.soaking.excuses import (
    is_excused,
    is_frozen,
    planned_work_at,
    processes_beside,
    stop_at,
)
from tools.soaking.rules import Breach, rules

# Nodes that may count as ready after their stop, as a part of all.
_LATE_PART = 4


@rules.register('LOST')
def _find_lost(history: History) -> Iterator[Breach]:
    """Find requests whose connection ended without a complete answer."""
    for row in history.requests_by_id.values():
        if not _is_cut_off(history, row):
            continue
        began_at = planned_work_at(history, row)
        text = 'closed by a node that keeps running'
        if began_at is not None:
            after = row.ended_at - began_at
            text = f'closed {after:.2f} s after the first SIGTERM or SIGHUP'
        yield Breach('LOST', text, row.id, (row.process_id,))


@rules.register('LOST by own answer')
def _find_replaced_answers(history: History) -> Iterator[Breach]:
    """Find answers of a node after a SIGTERM while a server is at work.

    The SIGTERM may be that of the node that took the request or of the node
    beside the server."""
    for row in history.requests_by_id.values():
        answer = row.answer
        if answer is None or answer.sealed_id or answer.is_success:
            continue
        for run in _replaced_runs(history, row):
            ids = _processes_of(history, row, run)
            text = f'{answer.status} in place of run {run.id}'
            yield Breach('LOST', text, row.id, ids)


@rules.register('ENDED')
def _find_failed_processes(history: History) -> Iterator[Breach]:
    """Find processes that ended by themselves or with a failure."""
    for process in history.processes_by_id.values():
        if process.exit_code is None:
            continue
        allowed = {
            -number
            for number in (signal.SIGTERM, signal.SIGKILL)
            if history.signal_times(process.id, number)
        }
        if history.signal_times(process.id, signal.SIGTERM):
            allowed.add(0)
        if process.exit_code not in allowed:
            text = f'exit code {process.exit_code}'
            yield Breach('ENDED', text, process_ids=(process.id,))


@rules.register('GRACE')
def _find_late_ends(history: History) -> Iterator[Breach]:
    """Find processes that still run at the end of their grace period."""
    for process in history.processes_by_id.values():
        stops = history.signal_times(process.id, signal.SIGTERM)
        if not stops or process.ended_at <= stops[0] + history.bounds.grace:
            continue
        is_killed = any(history.signal_times(process.id, signal.SIGKILL))
        end = stops[0] + history.bounds.grace
        if is_killed and not is_frozen(history, process.id, stops[0], end):
            text = f'still there {history.bounds.grace} s after SIGTERM'
            yield Breach('GRACE', text, process_ids=(process.id,))


@rules.register('DRAIN by readiness')
def _find_ready_after_stop(history: History) -> Iterator[Breach]:
    """Find nodes that still count as ready after a stop, if they are many."""
    stopped = [
        process
        for process in history.processes_by_id.values()
        if process.is_ready_at_stop
    ]
    late = [process for process in stopped if process.is_ready_after_stop]
    if len(late) > max(1, len(stopped) / _LATE_PART):
        for process in late:
            text = f'{process.vm} counts as ready after SIGTERM'
            yield Breach('DRAIN', text, process_ids=(process.id,))


def _is_cut_off(history: History, row: SentRequest) -> bool:
    if row.end not in {RequestEnd.CLOSED, RequestEnd.GARBLED}:
        return False
    is_planned = planned_work_at(history, row) is not None
    is_slow = row.ended_at - row.sent_at > history.bounds.loss_slack
    if not history.runs_of(row.id) and not (is_planned and is_slow):
        return False
    stopped_at = stop_at(history, row.process_id, row.ended_at)
    return not is_excused(history, row, stopped_at)


def _replaced_runs(history: History, row: SentRequest) -> list[Run]:
    if row.end is not RequestEnd.ANSWERED:
        return []
    return [
        run
        for run in history.runs_of(row.id)
        if _is_broken_off(run, row.ended_at) and _is_planned(history, row, run)
    ]


def _is_planned(history: History, row: SentRequest, run: Run) -> bool:
    stops = [
        stop_at(history, process_id, row.ended_at)
        for process_id in _processes_of(history, row, run)
    ]
    began = [at for at in stops if at is not None]
    return bool(began) and not is_excused(history, row, min(began))


def _is_broken_off(run: Run, answered_at: float) -> bool:
    if run.started_at > answered_at:
        return False
    return run.end is RunEnd.CLOSED or run.ended_at > answered_at


def _processes_of(
    history: History, row: SentRequest, run: Run
) -> tuple[int, ...]:
    return (row.process_id, *processes_beside(history, run))
