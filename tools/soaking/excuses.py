"""Planned work around a request, and what excuses a request that was cut off.

A planned stop begins with the first SIGTERM to a process. Freezes and SIGKILL
within the grace period are impairments; SIGKILL at its end is none.
"""

from __future__ import annotations

import signal

from figlane.entities.table import NEVER
from tools.soaking.entities import (
    Bounds,
    History,
    NodeProcess,
    Run,
    RunEnd,
    SentRequest,
)

_AFTER_GRACE_SECONDS = 1
# The last part of the grace period, in which work of early requests is excused.
_LAST_PART = 6


def planned_work_at(history: History, row: SentRequest) -> float | None:
    """Find the planned work of the request's node around its end.

    :param history: the tables of the run.
    :param row: a request that has ended.
    :return: the time of the signal, None if there was no planned work.
    """
    stopped_at = stop_at(history, row.process_id, row.ended_at)
    if stopped_at is not None:
        return stopped_at
    for at in history.signal_times(row.process_id, signal.SIGHUP):
        is_sent_early = row.sent_at <= at + history.bounds.config_apply
        if is_sent_early and row.ended_at >= at:
            return at
    return None


def stop_at(history: History, process_id: int, now: float) -> float | None:
    """Find the planned stop of a process around a moment.

    :param history: the tables of the run.
    :param process_id: id of the process row.
    :param now: the moment.
    :return: the time of the first SIGTERM, None if there is no stop.
    """
    times = history.signal_times(process_id, signal.SIGTERM)
    if not times:
        return None
    ends_at = times[0] + history.bounds.grace + _AFTER_GRACE_SECONDS
    return times[0] if times[0] <= now <= ends_at else None


def is_excused(
    history: History, row: SentRequest, stopped_at: float | None
) -> bool:
    """Tell whether a request that was cut off does not count.

    :param history: the tables of the run.
    :param row: the request.
    :param stopped_at: time of the SIGTERM, if there was one.
    :return: True if the server broke off, the time limit was reached, the work
        was long or there was an impairment.
    """
    runs = history.runs_of(row.id)
    return (
        any(run.end is RunEnd.BROKE_OFF for run in runs)
        or row.ended_at - row.began_at >= row.time_limit
        or _is_impaired(history, row, runs)
        or (
            stopped_at is not None
            and _is_long_work(history.bounds, row, runs, stopped_at)
        )
    )


def is_frozen(
    history: History, process_id: int, since: float, until: float
) -> bool:
    """Tell whether a process was suspended at any time of a span.

    :param history: the tables of the run.
    :param process_id: id of the process row.
    :param since: begin of the span.
    :param until: end of the span.
    :return: True if a suspension overlaps the span.
    """
    ends = history.signal_times(process_id, signal.SIGCONT)
    for at in history.signal_times(process_id, signal.SIGSTOP):
        ended_at = min((end for end in ends if end >= at), default=NEVER)
        if at <= until and ended_at >= since:
            return True
    return False


def is_in_touch(
    history: History, process_id: int, since: float, until: float
) -> bool:
    """Tell whether a process was in touch at all times of a span.

    :param history: the tables of the run.
    :param process_id: id of the process row.
    :param since: begin of the span.
    :param until: end of the span.
    :return: True if it has not been started, stopped or suspended from
        ``stable_window`` before the span to its end.
    """
    stable_since = since - history.bounds.stable_window
    ends = [
        at
        for number in (signal.SIGTERM, signal.SIGKILL)
        for at in history.signal_times(process_id, number)
    ]
    return (
        history.processes_by_id[process_id].started_at <= stable_since
        and min(ends, default=NEVER) > until
        and not is_frozen(history, process_id, stable_since, until)
    )


def processes_beside(history: History, run: Run) -> list[int]:
    """List the processes of the node beside a run's server at its start.

    :param history: the tables of the run.
    :param run: the run.
    :return: ids of the process rows, one at most.
    """
    return [
        process.id
        for process in history.processes_by_id.values()
        if process.vm == run.vm
        and process.started_at <= run.started_at < process.ended_at
    ]


def _is_long_work(
    bounds: Bounds, row: SentRequest, runs: list[Run], stopped_at: float
) -> bool:
    if row.sent_at > stopped_at + bounds.excused_sending:
        return False
    last_part_at = stopped_at + bounds.grace * (1 - 1 / _LAST_PART)
    ends = [run.ended_at for run in runs]
    return row.ended_at >= last_part_at and max(ends, default=0) >= last_part_at


def _is_impaired(history: History, row: SentRequest, runs: list[Run]) -> bool:
    vms = {row.vm, *(run.vm for run in runs)}
    since = row.sent_at - history.bounds.stable_window
    return any(
        process.vm in vms
        and (
            is_frozen(history, process.id, since, row.ended_at)
            or _is_killed(history, process, since, row.ended_at)
        )
        for process in history.processes_by_id.values()
    )


def _is_killed(
    history: History,
    process: NodeProcess,
    since: float,
    until: float,
) -> bool:
    stops = history.signal_times(process.id, signal.SIGTERM)
    return any(
        since <= at <= until
        and (not stops or at < stops[0] + history.bounds.grace)
        for at in history.signal_times(process.id, signal.SIGKILL)
    )
