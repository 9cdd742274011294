"""Rules about configurations, and about servers that leave or are cold."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tools.soaking.entities import History, Run, SentRequest
from tools.soaking.excuses import is_in_touch, processes_beside
from tools.soaking.rules import Breach, rules

# Statuses of nodes that say that the configuration does not allow a request.
_DENIALS = frozenset((401, 403, 404))
_WINDOW_SECONDS = 1
# Times, each with the position of a version, by process.
_Seen = defaultdict[int, list[tuple[float, int]]]


@rules.register('ROUTE')
def _find_wrong_services(history: History) -> Iterator[Breach]:
    """Find runs at a service to which no configuration leads."""
    for row, run in _runs(history):
        if run.service not in _services(history, row.route, run.started_at):
            text = f'run {run.id} at {run.service}'
            yield Breach('ROUTE', text, row.id, (row.process_id,))


@rules.register('DENIED')
def _find_denied(history: History) -> Iterator[Breach]:
    """Find denied requests that all configurations allow."""
    for row in history.requests_by_id.values():
        services = _services(history, row.route, row.ended_at)
        if _is_denied(row) and '' not in services:
            yield Breach('DENIED', 'allowed', row.id, (row.process_id,))


@rules.register('CONFIG')
def _find_outdated(history: History) -> Iterator[Breach]:
    """Find requests that are handled as only an older configuration allows."""
    seen = _seen_versions(history)
    for row in history.requests_by_id.values():
        first = max(
            _first_version(history, row), _last_seen(history, seen, row)
        )
        allowed = _services(history, row.route, row.ended_at, first)
        older = _services(history, row.route, row.ended_at) - allowed
        for service in older.intersection(_handled_by(history, row)):
            number = history.versions[first].number
            text = f'by {service or "no service"} after version {number}'
            yield Breach('CONFIG', text, row.id, (row.process_id,))


@rules.register('DRAIN')
def _find_runs_after_drain(history: History) -> Iterator[Breach]:
    """Find runs that reach a server after the drain before its end."""
    for row, run in _runs(history):
        left_at = history.left_at_by_instance.get(run.instance, run.started_at)
        after = run.started_at - left_at
        if after <= history.bounds.drain:
            continue
        ids = (row.process_id, *processes_beside(history, run))
        if _are_in_touch(history, row, run, *ids):
            text = f'run {run.id} {after:.2f} s after the ack'
            yield Breach('DRAIN', text, row.id, ids)


@rules.register('EVAC')
def _find_runs_in_drained_domains(history: History) -> Iterator[Breach]:
    """Find runs in a failure domain that has been taken out."""
    for row, run in _runs(history):
        is_out = any(
            history.domain_by_vm[run.vm] == drain.domain
            and run.started_at > drain.acked_at + history.bounds.domain_drain
            and run.started_at < drain.ended_at
            for drain in history.domain_drains
        )
        if is_out and _are_in_touch(history, row, run, row.process_id):
            text = f'run {run.id} at {run.vm}'
            yield Breach('EVAC', text, row.id, (row.process_id,))


@rules.register('FAILBACK')
def _find_overloaded_cold_servers(history: History) -> Iterator[Breach]:
    """Find cold servers that get more requests in a second than they bear."""
    cold = [pair for pair in _runs(history) if pair[1].is_cold]
    for last, until in cold:
        count = sum(
            run.instance == until.instance
            and run.started_at <= until.started_at
            and row.sent_at >= until.started_at - _WINDOW_SECONDS
            for row, run in cold
        )
        if count > history.bounds.cold_requests:
            text = f'{count} requests in one second at {until.instance}'
            yield Breach('FAILBACK', text, last.id, (last.process_id,))


def _runs(history: History) -> Iterator[tuple[SentRequest, Run]]:
    for run in history.runs_by_id.values():
        row = history.requests_by_id.get(run.request_id)
        if row is not None:
            yield row, run


def _are_in_touch(
    history: History, row: SentRequest, run: Run, *process_ids: int
) -> bool:
    since = min(row.sent_at, run.started_at)
    return all(
        is_in_touch(history, process_id, since, run.started_at)
        for process_id in process_ids
    )


def _services(
    history: History, route: str, until: float, first: int = 0
) -> set[str]:
    # The empty service stands for versions without the route.
    return {
        version.service_by_route.get(route, '')
        for version in history.versions[first:]
        if version.acked_at <= until
    }


def _is_denied(row: SentRequest) -> bool:
    answer = row.answer
    return bool(answer and not answer.sealed_id and answer.status in _DENIALS)


def _handled_by(history: History, row: SentRequest) -> list[str]:
    services = [run.service for run in history.runs_of(row.id)]
    return [*services, ''] if _is_denied(row) else services


def _first_version(history: History, row: SentRequest) -> int:
    if not is_in_touch(history, row.process_id, row.sent_at, row.ended_at):
        return 0
    applied_at = row.began_at - history.bounds.config_apply
    acked = [version.acked_at < applied_at for version in history.versions]
    return max(0, sum(acked) - 1)


def _seen_versions(history: History) -> _Seen:
    """Find when backend servers saw the effect of a version."""
    seen: _Seen = defaultdict(list)
    for row, run in _runs(history):
        first = _first_version(history, row)
        for position, version in enumerate(history.versions[first:], first):
            service = version.service_by_route.get(row.route)
            if version.acked_at <= run.started_at and service == run.service:
                seen[row.process_id].append((run.started_at, position))
                break
    return seen


def _last_seen(history: History, seen: _Seen, row: SentRequest) -> int:
    until = row.began_at - history.bounds.rollback_slack
    positions = [at for time, at in seen[row.process_id] if time < until]
    return max(positions, default=0)
