"""Passes on what a backend server says of itself in its answers."""

from __future__ import annotations

from figlane.entities.backend_server import BackendServer
from figlane.entities.server_notice import BackendNoticed, ServerNotice
from figlane.entities.world import World
from figlane.systems.registry import inbox_handlers, notice_observers


@inbox_handlers.register(BackendNoticed)
def handle_notice(world: World, row: BackendNoticed, now: float) -> None:
    """Apply what an answer says of the server that gave it.

    The row precedes the outcome of the execution.

    :param world: the tables.
    :param row: the execution and what its answer says.
    :param now: the present time in seconds.
    """
    execution = world.executions.get(row.execution_id)
    if execution is None:
        return
    backend = world.backend_servers.get(execution.backend_server_id)
    if backend is not None:
        apply_notice(world, backend, row.notice, execution.started_at, now)


def apply_notice(
    world: World,
    backend: BackendServer,
    notice: ServerNotice,
    asked_at: float,
    now: float,
) -> None:
    """Let each observer apply what an answer says of its server.

    :param world: the tables.
    :param backend: the backend server.
    :param notice: what the answer says.
    :param asked_at: when the request was sent, in seconds.
    :param now: the present time in seconds.
    """
    for observe in notice_observers.by_key.values():
        observe(world, backend, notice, asked_at, now)
