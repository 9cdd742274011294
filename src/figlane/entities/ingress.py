"""Routes by host and path prefix, and configuration snapshots."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.service import Organisation, Route, Service
from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class IngressPhase(IdentityHashMixin, enum.Enum):
    """The only phase of ingress routes."""

    IN_FORCE = 'in-force'


# Pairs of path prefix and route id.
Prefixes = list[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class Destination:
    """A service that receives a share of the calls of a route.

    ``weight`` is relative to the other destinations of the route.
    """

    service_id: str
    weight: float


@dataclass(slots=True)
class IngressRoute:
    """A route that is selected by host and longest path prefix.

    ``prefix`` begins and ends with a slash. ``route`` holds the deadline, retry
    and access settings of the calls.
    """

    id: str
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    route: Route
    phase: IngressPhase = IngressPhase.IN_FORCE
    due: float = NEVER


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    ``head_seconds`` is the time-out for receiving a request head, and
    ``idle_seconds`` the time-out of a connection without a request.
    """

    head_bytes: int = 16_384
    body_bytes: int = 8_388_608
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(slots=True)
class ConfigurationReplaced:
    """A complete configuration snapshot; rows missing from it are deleted.

    ``is_news`` is set if peers may not have the version yet. ``source`` is the
    peer that sent it, empty if it came from the store.
    """

    version: int
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]
    routes: tuple[IngressRoute, ...]
    limits: CallerLimits
    is_news: bool = False
    source: str = ''


@dataclass(slots=True)
class ApplyCallerLimits:
    """Instructs the adapters to apply new limits to callers."""

    limits: CallerLimits


@dataclass(slots=True)
class Ingress:
    """State derived from the configuration snapshot in force.

    ``prefixes_by_host`` lists the prefixes of each host, the longest first.
    ``version`` is the version of the snapshot, 0 if none is in force, and
    ``current`` the snapshot itself.
    """

    version: int = 0
    current: ConfigurationReplaced | None = None
    prefixes_by_host: dict[str, Prefixes] = field(
        default_factory=dict,
    )
