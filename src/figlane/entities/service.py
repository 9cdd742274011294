"""Services, routes, organisations and failure domains."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class ConfigurationPhase(IdentityHashMixin, enum.Enum):
    """Phases of a configuration row."""

    IN_FORCE = 'in-force'
    DELETED = 'deleted'


@dataclass(slots=True, frozen=True)
class Route:
    """A route of a service.

    ``segments`` is the path pattern split at slashes: ``*`` matches any one
    segment and a final ``**`` the rest of the path. Routes of higher
    ``importance`` are shed later. ``is_open`` permits calls without an API key.
    ``deadline`` and ``target_latency`` are in seconds; a slower answer than the
    target counts as late.
    """

    name: str
    methods: tuple[str, ...]
    segments: tuple[str, ...]
    importance: int
    idempotent: bool
    is_open: bool
    deadline: float
    body_limit: int
    attempts: int
    target_latency: float = NEVER


@dataclass(slots=True, frozen=True)
class Allowance:
    """Rate limit and queue weight of an organisation.

    ``rate`` is in root calls per second and ``burst`` in root calls, both in
    total over all VMs. ``weight`` sets its share of a backlogged queue.
    """

    rate: float
    burst: float
    weight: float


@dataclass(slots=True)
class Service:
    """A service as configured; ``version`` is that of its document.

    ``cold_rate`` is the rate in calls per second that a backend server
    sustains during its cold start. ``health_path`` is the path of its health
    check, empty if it has none.
    """

    id: str
    version: int
    routes: tuple[Route, ...] = ()
    allowance_by_organisation: dict[str, Allowance] = field(
        default_factory=dict,
    )
    cold_rate: float = NEVER
    health_path: str = ''
    phase: ConfigurationPhase = ConfigurationPhase.IN_FORCE
    due: float = NEVER

    def match(self, method: str, path: str) -> Route | None:
        """Find the first route that matches a request.

        :param method: HTTP method in upper case.
        :param path: path after the service name, without the query.
        :return: the route, or None.
        """
        segments = tuple(path.strip('/').split('/'))
        for route in self.routes:
            if method in route.methods and _matches(route.segments, segments):
                return route
        return None


@dataclass(slots=True)
class Organisation:
    """An organisation and the hashes of its API keys.

    ``allowance`` limits its calls to all services in total; if it is None,
    only the limits of the services apply. ``importance``, if not None,
    overrides that of the routes.
    """

    id: str
    version: int
    key_hashes: frozenset[str] = frozenset()
    allowance: Allowance | None = None
    importance: int | None = None
    phase: ConfigurationPhase = ConfigurationPhase.IN_FORCE
    due: float = NEVER


@dataclass(slots=True)
class FailureDomain:
    """A failure domain; one that is taken out receives no new calls."""

    id: str
    version: int
    taken_out: bool = False
    phase: ConfigurationPhase = ConfigurationPhase.IN_FORCE
    due: float = NEVER


def _matches(pattern: tuple[str, ...], segments: tuple[str, ...]) -> bool:
    if pattern and pattern[-1] == '**':
        pattern = pattern[:-1]
        segments = segments[: len(pattern)]
    if len(pattern) != len(segments):
        return False
    return all(
        expected in {'*', actual}
        for expected, actual in zip(pattern, segments, strict=True)
    )
