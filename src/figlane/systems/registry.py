"""Registries of systems, handlers and policies, filled by decorators."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

from figlane.entities.backend_server import BackendServer
from figlane.entities.server_notice import ServerNotice
from figlane.entities.world import World
from figlane.registry import Registry, SystemRegistry

Handler = Callable[[World, Any, float], None]


@enum.unique
class Stage(enum.IntEnum):
    """Stages of a tick; systems run in ascending order of their stage."""

    INBOX = 1
    EXPIRY = 2
    MEMBERSHIP = 3
    CONFIGURATION = 4
    LINKS = 5
    QUOTA = 6
    IDENTIFICATION = 7
    CHARGING = 8
    ROUTING = 9
    ADMISSION = 10
    EXECUTION = 11
    STREAMING = 12
    COMPLETION = 13


node_systems = SystemRegistry()
system = node_systems.register

routines: Registry[Callable[[World, float], float]] = Registry('routine')
outage_policies: Registry[Callable[..., Any]] = Registry('outage policy')
leaving_hooks: Registry[Callable[[World, float], None]] = Registry(
    'leaving hook'
)
configuration_observers: Registry[Callable[[World, float], None]] = Registry(
    'configuration observer',
)
inbox_handlers: Registry[Handler] = Registry('inbox row handler')
peer_handlers: Registry[Callable[..., None]] = Registry('peer message handler')
# Handlers of complete listings that no feed follows; the keyword ``answered``
# is False if the store did not answer.
list_handlers: Registry[Callable[..., None]] = Registry('listing handler')
send_failure_handlers: Registry[Handler] = Registry('send failure handler')
write_handlers: Registry[Handler] = Registry('write result handler')
read_handlers: Registry[Handler] = Registry('read result handler')
routing_policies: Registry[Callable[..., Any]] = Registry('routing policy')
rate_policies: Registry[Callable[..., Any]] = Registry('rate policy')
retry_policies: Registry[Callable[..., bool]] = Registry('retry policy')
execution_observers: Registry[Callable[..., None]] = Registry(
    'execution completion observer',
)
# Functions of the tables, a backend server, the notice in one of its answers,
# when its request was sent, and the present time.
notice_observers: Registry[
    Callable[[World, BackendServer, ServerNotice, float, float], None]
] = Registry('server notice observer')
deadline_policies: Registry[Callable[..., Any]] = Registry('deadline policy')
limit_policies: Registry[Callable[..., float]] = Registry('limit policy')
cold_start_policies: Registry[Callable[..., None]] = Registry(
    'cold-start policy',
)
shedding_policies: Registry[Callable[..., Any]] = Registry('shedding policy')
