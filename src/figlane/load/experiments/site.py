"""Description of the deployment under test, and sources that load it."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from figlane.load.plan import SourcePlan, StepPlan


@dataclass(slots=True, frozen=True)
class SiteRoute:
    """A route under load; ``share`` is its fraction of the service's load."""

    name: str
    method: str
    path: str
    importance: int
    share: float


@dataclass(slots=True, frozen=True)
class SiteService:
    """A service and the nodes of its backend servers.

    ``capacity`` is the total capacity of the backend servers in calls per
    second.
    """

    name: str
    capacity: float
    node_ids: tuple[str, ...]
    routes: tuple[SiteRoute, ...]


@dataclass(slots=True, frozen=True)
class Site:
    """The deployment under test.

    ``weight_by_organisation`` holds each organisation's fraction of the load;
    the fractions add up to 1. ``key_by_organisation`` holds API keys.
    """

    services: tuple[SiteService, ...]
    weight_by_organisation: dict[str, float]
    key_by_organisation: dict[str, str]
    domain_by_node: dict[str, str]

    def service(self, name: str) -> SiteService:
        """Find a service by name.

        :param name: name of a service that exists.
        :return: the service.
        """
        return next(found for found in self.services if found.name == name)


@dataclass(slots=True, frozen=True)
class LoadLevel:
    """Load as a multiple of capacity, from ``start`` seconds into the trial."""

    start: float
    factor: float


def create_sources(
    site: Site,
    levels: tuple[LoadLevel, ...],
    retries: int = 0,
) -> list[SourcePlan]:
    """Create a source for each service, route and organisation.

    :param site: the deployment.
    :param levels: the load over time.
    :param retries: maximum retries of a failed request.
    :return: the sources.
    """
    routes = [
        (service, route)
        for service in site.services
        for route in service.routes
    ]
    pairs = itertools.product(routes, site.weight_by_organisation)
    return [
        organisation_source(site, service, route, name, levels, retries)
        for (service, route), name in pairs
    ]


def organisation_source(
    site: Site,
    service: SiteService,
    route: SiteRoute,
    organisation: str,
    levels: tuple[LoadLevel, ...],
    retries: int = 0,
) -> SourcePlan:
    """Create the source of one organisation's calls to one route.

    :param site: the deployment.
    :param service: the service.
    :param route: the route.
    :param organisation: name of the calling organisation.
    :param levels: the load over time.
    :param retries: maximum retries of a failed request.
    :return: the source.
    """
    weight = site.weight_by_organisation[organisation]
    rate = service.capacity * route.share * weight
    return SourcePlan(
        name=f'{service.name}.{route.name}.{organisation}',
        path=route.path,
        steps=[StepPlan(rate * level.factor, level.start) for level in levels],
        method='POST' if route.method == 'POST' else 'GET',
        key=site.key_by_organisation[organisation],
        organisation=organisation,
        importance=route.importance,
        retries=retries,
    )
