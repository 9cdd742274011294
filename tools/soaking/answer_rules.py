"""Rules about what runs and what callers get as answers."""

from __future__ import annotations

from collections.abc import Iterator

from tools.soaking.entities import (
    PROMISES,
    Answer,
    History,
    RequestEnd,
    Run,
    RunEnd,
    SentRequest,
)
from tools.soaking.rules import Breach, rules


@rules.register('TWICE')
def _find_double_runs(history: History) -> Iterator[Breach]:
    """Find requests that are not idempotent and have run more than once."""
    for row in history.requests_by_id.values():
        count = len(history.runs_of(row.id))
        if count > 1 and not row.is_safe:
            text = f'has run {count} times'
            yield Breach('TWICE', text, row.id, (row.process_id,))


@rules.register('REFUSED')
def _find_false_refusals(history: History) -> Iterator[Breach]:
    """Find refused requests that are not idempotent and have run."""
    for row in history.requests_by_id.values():
        if row.is_safe or row.answer is None:
            continue
        if row.answer.status in PROMISES and history.runs_of(row.id):
            text = f'{row.answer.status} and has run'
            yield Breach('REFUSED', text, row.id, (row.process_id,))


@rules.register('MIXED')
def _find_mixed_answers(history: History) -> Iterator[Breach]:
    """Find answers that are not the server's whole answer to the request."""
    for row in history.requests_by_id.values():
        if row.answer is None:
            continue
        text = _mixed_text(row, row.answer, history.runs_of(row.id))
        if text:
            yield Breach('MIXED', text, row.id, (row.process_id,))


@rules.register('UNASKED')
def _find_unasked_runs(history: History) -> Iterator[Breach]:
    """Find runs that nobody asked for, or whose content was changed."""
    for run in history.runs_by_id.values():
        row = history.requests_by_id.get(run.request_id)
        if row is None:
            yield Breach('UNASKED', f'run {run.id}: unknown id', run.request_id)
        elif row.content != run.content:
            text = f'run {run.id} of {run.content}, sent was {row.content}'
            yield Breach('UNASKED', text, row.id, (row.process_id,))


def _mixed_text(row: SentRequest, answer: Answer, runs: list[Run]) -> str:
    if row.end is RequestEnd.GARBLED:
        return 'bytes that are no response'
    if answer.extra_bytes:
        return 'bytes after the response'
    if answer.request_id not in {'', row.id}:
        return f'answer to {answer.request_id}'
    if answer.sealed_id:
        return _seal_text(row, answer, runs)
    return 'success without a seal' if answer.is_success else ''


def _seal_text(row: SentRequest, answer: Answer, runs: list[Run]) -> str:
    if answer.sealed_id != row.id:
        return f'seal of {answer.sealed_id}'
    if answer.sealed_status != answer.status:
        return f'{answer.status} with the seal of {answer.sealed_status}'
    if not answer.is_body_sealed:
        return 'another body than the sealed one'
    statuses = {run.status for run in runs if run.end is RunEnd.ANSWERED}
    return '' if answer.status in statuses else 'a seal without a run'
