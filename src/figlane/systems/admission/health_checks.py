"""Requests health checks of the local backend server."""

from __future__ import annotations

from figlane.entities.backend_server import BackendServer
from figlane.entities.outbox import CheckBackend
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.admission.cold_rate import set_cold_until


def health_path(world: World, backend: BackendServer) -> str:
    """Return the path of a server's health check.

    :param world: the tables.
    :param backend: the backend server.
    :return: the path, empty if its service has none or is unknown.
    """
    service = world.services.get(backend.service_id)
    return '' if service is None else service.health_path


def request_health_check(world: World, backend: BackendServer) -> None:
    """Check a server's health, if its service has a path for it.

    :param world: the tables.
    :param backend: the backend server.
    """
    path = health_path(world, backend)
    if path:
        world.outbox.append(
            CheckBackend(backend.id, backend.born, backend.address, path)
        )


def doubt_warmth(
    world: World, backend: BackendServer, now: float, source: str
) -> None:
    """Take a server for cold until it has told otherwise from now on.

    :param world: the tables.
    :param backend: the backend server.
    :param now: the present time in seconds.
    :param source: why it may have gone cold, for the log.
    """
    backend.is_warmth_doubted = True
    set_cold_until(world, backend, NEVER, now, source)
    request_health_check(world, backend)
