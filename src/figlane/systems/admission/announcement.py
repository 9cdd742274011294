"""Tracks the availability of the local backend server by its announcements."""

from __future__ import annotations

from figlane.entities.backend_server import BackendServer, BackendServerPhase
from figlane.entities.execution import Execution
from figlane.entities.http import Answer, StreamedAnswer
from figlane.entities.inbox import BackendAnnounced, BackendChecked
from figlane.entities.outbox import LogDecision
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.admission.cold_rate import cold_end, set_cold_until
from figlane.systems.admission.health_checks import (
    health_path,
    request_health_check,
)
from figlane.systems.admission.latency import running_backend
from figlane.systems.admission.notices import apply_notice
from figlane.systems.admission.server_phase import (
    apply_announced_phase,
    change_phase,
)
from figlane.systems.registry import (
    Stage,
    execution_observers,
    inbox_handlers,
    system,
)

# Minimum time without an announcement after which a backend server counts as
# gone.
ANNOUNCEMENT_TIMEOUT_SECONDS = 2.0
# The same timeout in announcement periods, since announcements may arrive
# seconds late. The longer of the two applies.
_TIMEOUT_PERIODS = 4
# Consecutive refused connections after which a backend server is ejected.
_MAX_REFUSED_CONNECTIONS = 3
# Sequence number of the first announcement after a start of a backend server.
_FIRST_SEQUENCE = 1
# Time for which an ejected backend server gets no calls.
_EJECTION_SECONDS = 2.0


@inbox_handlers.register(BackendAnnounced)
def handle_announcement(
    world: World,
    row: BackendAnnounced,
    now: float,
) -> None:
    """Update the backend server; a new instance replaces the previous one.

    :param world: the tables.
    :param row: the announcement.
    :param now: the present time in seconds.
    """
    if _is_outdated(world, row):
        world.counters['backend.outdated-announcement'] += 1
        return
    backend = world.backend_servers.get(row.instance_id)
    is_known = backend is not None and backend.born == row.born
    if backend is None or not is_known:
        backend = _replace_backend(world, row, now)
    backend.sequence = NEVER if row.is_leaving else row.sequence
    backend.announced_at = now
    _apply_announced_cold(world, backend, row, now)
    timeout = max(ANNOUNCEMENT_TIMEOUT_SECONDS, _TIMEOUT_PERIODS * row.period)
    world.backend_servers.schedule(backend, now + timeout)
    needs_confirmation = not is_known and row.sequence > _FIRST_SEQUENCE
    # Announcements of a leaving server may still say that it is ready.
    if row.draining or row.is_leaving or backend.is_leaving:
        apply_announced_phase(world, backend, BackendServerPhase.DRAINING)
    elif now >= backend.ejected_until:
        _admit(world, backend, needs_confirmation=needs_confirmation)


def _apply_announced_cold(
    world: World, backend: BackendServer, row: BackendAnnounced, now: float
) -> None:
    if backend.is_warmth_doubted and not row.cold_seconds:
        backend.is_warmth_doubted = False
        request_health_check(world, backend)
        return
    backend.is_warmth_doubted = False
    cold_until = cold_end(backend, row.cold_seconds, now)
    set_cold_until(world, backend, cold_until, now, 'announcement')


def _admit(
    world: World,
    backend: BackendServer,
    *,
    needs_confirmation: bool,
) -> None:
    if needs_confirmation or backend.is_unhealthy:
        _request_confirmation(world, backend)
        return
    apply_announced_phase(world, backend, BackendServerPhase.SERVING)


def _request_confirmation(world: World, backend: BackendServer) -> None:
    # The first announcement after a restart of this node may have been delayed
    # for seconds and be older than a drain that the node acknowledged before
    # the restart. If the service has no health endpoint, the next announcement
    # confirms the server.
    world.backend_servers.move(backend, BackendServerPhase.UNCONFIRMED)
    world.outbox.append(
        LogDecision(
            'backend_server_doubted',
            {
                'backend_server': backend.id,
                'service': backend.service_id,
                'born': backend.born,
                'sequence': backend.sequence,
                'was_unhealthy': backend.is_unhealthy,
                'health_path': health_path(world, backend),
            },
        ),
    )
    request_health_check(world, backend)


@inbox_handlers.register(BackendChecked)
def handle_health_check(world: World, row: BackendChecked, now: float) -> None:
    """Believe a server's health check, which it has answered just now.

    An unconfirmed server that is healthy is put into service. If the check had
    no result, the next announcement decides.

    :param world: the tables.
    :param row: the result of the health check.
    :param now: the present time in seconds.
    """
    backend = world.backend_servers.get(row.instance_id)
    if backend is None or backend.born != row.born:
        return
    if row.cold_seconds is not None:
        backend.is_warmth_doubted = False
        cold_until = cold_end(backend, row.cold_seconds, now)
        set_cold_until(world, backend, cold_until, now, 'health check')
    if row.notice is not None:
        # Health checks may lack what answers to calls say: they set a limit,
        # and lift none.
        apply_notice(world, backend, row.notice, -NEVER, now)
    if backend.phase is not BackendServerPhase.UNCONFIRMED:
        return
    backend.is_unhealthy = row.is_healthy is False
    if row.is_healthy:
        change_phase(world, backend, BackendServerPhase.SERVING)


def _is_outdated(world: World, row: BackendAnnounced) -> bool:
    # Announcements may arrive out of order, even after the announcements of a
    # later start of the backend server.
    if not row.born:
        return False
    if any(known.born > row.born for known in world.backend_servers):
        return True
    known = world.backend_servers.get(row.instance_id)
    if known is None or known.born != row.born or row.is_leaving:
        return False
    return row.sequence <= known.sequence


def _replace_backend(
    world: World, row: BackendAnnounced, now: float
) -> BackendServer:
    for known in world.backend_servers:
        world.backend_servers.remove(known.id)
    world.counters['backend.announced'] += 1
    backend = BackendServer(
        id=row.instance_id,
        service_id=row.service_id,
        address=row.address,
        slots=row.slots,
        connections=row.connections,
        announced_at=now,
        born=row.born,
        phase=BackendServerPhase.GONE,
    )
    world.backend_servers.insert(backend)
    return backend


@system(Stage.MEMBERSHIP, RunCondition('backend_servers'))
def expire_announcements(world: World, now: float) -> None:
    """Mark as gone the backend servers whose announcements have timed out.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for backend in world.backend_servers.pop_due(now):
        world.counters['backend.silent'] += 1
        change_phase(world, backend, BackendServerPhase.GONE)


@execution_observers.register('announcement')
def eject_after_refused_connections(
    world: World,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Eject a backend server after consecutive refused connections.

    :param world: the tables.
    :param execution: the execution, in its last phase before it ends.
    :param outcome: its outcome.
    :param now: the present time in seconds.
    """
    backend = running_backend(world, execution)
    if backend is None:
        return
    if isinstance(outcome, Answer | StreamedAnswer):
        backend.refused_count = 0
        backend.awaits_first_answer = False
        return
    if outcome.kind is not ErrorKind.NO_BACKEND_SERVER:
        return
    backend.refused_count += 1
    _log_connection_failure(world, backend, outcome)
    if backend.refused_count < _MAX_REFUSED_CONNECTIONS:
        return
    backend.refused_count = 0
    backend.ejected_until = now + _EJECTION_SECONDS
    if backend.phase is BackendServerPhase.SERVING:
        world.counters['backend.refused'] += 1
        change_phase(world, backend, BackendServerPhase.GONE)


def _log_connection_failure(
    world: World, backend: BackendServer, failure: Refusal
) -> None:
    inputs = {
        'backend_server': backend.id,
        'reason': failure.detail,
        'consecutive': backend.refused_count,
        'born': backend.born,
        'sequence': backend.sequence,
        'announced_at': backend.announced_at,
    }
    world.outbox.append(LogDecision('backend_connection_failed', inputs))
