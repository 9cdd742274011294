"""Texts about a run: its counts, and what was seen of a broken rule."""

from __future__ import annotations

import signal
from collections import Counter, defaultdict
from types import MappingProxyType

from tools.soaking.entities import (
    PROMISES,
    History,
    RequestEnd,
    SentRequest,
)
from tools.soaking.rules import Breach

_OUTCOMES = MappingProxyType(
    {200: 'served', 404: 'not found', **dict.fromkeys(PROMISES, 'refused')}
)
# Time and text.
_Seen = tuple[float, str]


def report(
    seed: int, history: History, breaches: list[Breach], started_at: float
) -> str:
    """Describe a run: what was seen of each broken rule, and its counts.

    :param seed: the run's seed.
    :param history: the tables of the run.
    :param breaches: the broken rules.
    :param started_at: the start of the load.
    :return: one line, and others before it if a rule is broken.
    """
    lines = [_describe(history, breach, started_at) for breach in breaches]
    if breaches:
        lines += [
            f'{event.at - started_at:10.3f} {event.text}'
            for event in history.events
        ]
    return '\n'.join((*lines, _summarize(seed, history, breaches)))


def _summarize(seed: int, history: History, breaches: list[Breach]) -> str:
    """Describe a run in one line."""
    counts: defaultdict[bool, Counter[str]] = defaultdict(Counter)
    for row in history.requests_by_id.values():
        stops = history.signal_times(row.process_id, signal.SIGTERM)
        in_stop = bool(stops) and row.ended_at >= stops[0]
        counts[in_stop][_outcome(row)] += not row.is_nested
    by_rule = Counter(breach.rule for breach in breaches)
    rules = ', '.join(f'{name} {count}' for name, count in by_rule.items())
    return (
        f'seed {seed}: {_text(counts[False])}; '
        f'during stops {_text(counts[True])}; '
        f'{len(history.runs_by_id)} runs, '
        f'{len(history.processes_by_id)} processes, '
        f'lag {history.max_lag:.2f} s; {rules or "no rule broken"}'
    )


def _describe(history: History, breach: Breach, started_at: float) -> str:
    """Describe what was seen of a broken rule, in the order of time."""
    seen: list[_Seen] = []
    row = history.requests_by_id.get(breach.request_id)
    if row is not None:
        seen += _seen_by_caller(row)
    seen += _seen_by_servers(history, breach.request_id)
    logs = []
    for process_id in breach.process_ids:
        seen += _seen_of_process(history, process_id)
        logs.append(history.processes_by_id[process_id].log_path)
    return '\n'.join(
        (
            f'{breach.rule} {breach.request_id}: {breach.text}',
            *(f'{at - started_at:10.3f} {text}' for at, text in sorted(seen)),
            *(f'  log: {log_path}' for log_path in logs),
        )
    )


def _seen_by_caller(row: SentRequest) -> list[_Seen]:
    kind = 'safe' if row.is_safe else 'unsafe'
    first = 'first' if row.is_first_of_connection else 'later'
    status = row.answer.status if row.answer else 0
    return [
        (
            row.sent_at,
            f'sent to {row.vm}, {row.route}, {kind}, {first} of connection',
        ),
        (
            row.ended_at,
            f'{row.end.value}, status {status}, {row.received_bytes} bytes',
        ),
    ]


def _seen_by_servers(history: History, request_id: str) -> list[_Seen]:
    seen: list[_Seen] = []
    for run in history.runs_of(request_id):
        seen.append((run.started_at, f'run {run.id} at {run.instance}'))
        text = f'run {run.id}: {run.end.value}, status {run.status}'
        seen.append((run.ended_at, text))
    return seen


def _seen_of_process(history: History, process_id: int) -> list[_Seen]:
    process = history.processes_by_id[process_id]
    seen = [(process.started_at, f'start of {process.vm}')]
    if process.exit_code is not None:
        text = f'end of {process.vm}, exit code {process.exit_code}'
        seen.append((process.ended_at, text))
    for sent in history.signals_by_id.values():
        if sent.process_id == process_id:
            name = signal.Signals(sent.number).name
            seen.append((sent.sent_at, f'{name} to {process.vm}'))
    return seen


def _outcome(row: SentRequest) -> str:
    answer = row.answer
    if row.end is not RequestEnd.ANSWERED or answer is None:
        return 'not sent' if row.end is RequestEnd.NOT_SENT else 'failed'
    return _OUTCOMES.get(answer.status, 'failed')


def _text(counts: Counter[str]) -> str:
    return ', '.join(
        f'{counts[name]} {name}'
        for name in ('served', 'refused', 'failed', 'not found')
    )
