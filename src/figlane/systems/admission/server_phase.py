"""Moves the local backend server between its phases."""

from __future__ import annotations

from figlane.entities.backend_server import BackendServer, BackendServerPhase
from figlane.entities.outbox import LogDecision
from figlane.entities.server_notice import ServerNotice
from figlane.entities.world import World
from figlane.systems.admission.cold_start import restart_ramp
from figlane.systems.admission.concurrency_limit import concurrency_limit
from figlane.systems.membership.states import publish_own_member
from figlane.systems.registry import notice_observers


def apply_announced_phase(
    world: World,
    backend: BackendServer,
    phase: BackendServerPhase,
) -> None:
    """Move a server to the phase that it tells of itself.

    :param world: the tables.
    :param backend: the backend server.
    :param phase: the phase.
    """
    if backend.phase is phase:
        return
    if backend.phase is BackendServerPhase.GONE:
        restart_ramp(world, backend)
    change_phase(world, backend, phase)


def change_phase(
    world: World,
    backend: BackendServer,
    phase: BackendServerPhase,
) -> None:
    """Move a server to another phase, and tell the other members.

    :param world: the tables.
    :param backend: the backend server.
    :param phase: the phase.
    """
    backend.limit = concurrency_limit(backend)
    world.outbox.append(
        LogDecision(
            'backend_server_changed',
            {
                'backend_server': backend.id,
                'service': backend.service_id,
                'before': backend.phase.value,
                'after': phase.value,
                'born': backend.born,
                'sequence': backend.sequence,
                'announced_at': backend.announced_at,
                'cold_until': backend.cold_until,
            },
        ),
    )
    if backend.phase is BackendServerPhase.UNCONFIRMED:
        # An earlier start of this node may have known a limit that the server
        # names in its answers only.
        backend.awaits_first_answer = True
    world.backend_servers.move(backend, phase)
    publish_own_member(world)


@notice_observers.register('leaving')
def drain_leaving_server(
    world: World,
    backend: BackendServer,
    notice: ServerNotice,
    asked_at: float,
    now: float,
) -> None:
    """Give a server that says that it leaves no more calls, until it restarts.

    :param world: the tables.
    :param backend: the backend server.
    :param notice: what its answer says.
    :param asked_at: when the request was sent, in seconds.
    :param now: the present time in seconds.
    """
    if backend.is_leaving or not notice.is_leaving:
        return
    backend.is_leaving = True
    world.counters['backend.leaving'] += 1
    apply_announced_phase(world, backend, BackendServerPhase.DRAINING)
