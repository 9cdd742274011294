"""Scales an example deployment down, so that its load fits one machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from figlane.load.experiments.site import Site, SiteRoute, SiteService
from standins.deployment import Deployment, ServiceSize, derive_api_key
from standins.fleet import BackendOptions

# Divides the slots of each backend server, so that one machine can generate
# and process the load.
SLOT_DIVISOR = 16
MIN_SLOTS = 2
# Processing time of a request, during which it occupies a slot.
PROCESSING_MS = 300
_MS_PER_SECOND = 1000
# Fraction of a service's calls that goes to its most important route.
_IMPORTANT_SHARE = 0.15
# Calls per second for experiments that do not limit organisations' rates.
_UNLIMITED_RATE = 100_000
# Bursts allow the calls of this many seconds at the full rate.
_BURST_SECONDS = 2


@dataclass(slots=True, frozen=True)
class Bench:
    """A deployment with all its backend servers but fewer slots in each."""

    deployment: Deployment
    enforces_rate_limits: bool

    def backend_options(self, service: str) -> BackendOptions:
        """Scale the backend servers of a service down.

        :param service: the service's id.
        :return: slots and connections of each backend server.
        """
        full_size = self.deployment.size_by_service[service]
        slots = max(MIN_SLOTS, full_size.slots // SLOT_DIVISOR)
        return BackendOptions(
            slots, max(slots, full_size.connections // SLOT_DIVISOR)
        )

    def capacity(self, service: str) -> float:
        """Compute the throughput of a service with all slots occupied.

        :param service: the service's id.
        :return: calls per second.
        """
        full_size: ServiceSize = self.deployment.size_by_service[service]
        slots = full_size.count * self.backend_options(service).slots
        return slots * _MS_PER_SECOND / PROCESSING_MS

    def node_ids(self, service: str) -> tuple[str, ...]:
        """List the nodes of a service.

        :param service: the service's id.
        :return: node ids.
        """
        count = self.deployment.size_by_service[service].count
        return tuple(f'{service}-{number + 1}' for number in range(count))

    def weights(self) -> dict[str, float]:
        """Normalise the organisations' weights to a sum of 1.

        :return: weights by organisation.
        """
        service = next(iter(self.deployment.size_by_service))
        allowances = self.deployment.document(service)['organisations']
        total = sum(allowance['weight'] for allowance in allowances.values())
        return {
            organisation: allowance['weight'] / total
            for organisation, allowance in allowances.items()
        }

    def document(self, service: str) -> dict[str, Any]:
        """Read a service document and fit its rates to the reduced capacity.

        :param service: the service's id.
        :return: the decoded document.
        """
        document = self.deployment.document(service)
        for organisation, weight in self.weights().items():
            rate = float(_UNLIMITED_RATE)
            if self.enforces_rate_limits:
                rate = self.capacity(service) * weight
            allowance = document['organisations'][organisation]
            allowance['rate'] = rate
            allowance['burst'] = max(1, rate * _BURST_SECONDS)
        return document

    def site(self) -> Site:
        """Describe the deployment to the load generator's experiments.

        :return: the services, organisations and nodes.
        """
        weights = self.weights()
        domains = self.deployment.failure_domains
        nodes = [
            node_id
            for service in self.deployment.size_by_service
            for node_id in self.node_ids(service)
        ]
        return Site(
            services=tuple(
                self._service(name) for name in self.deployment.size_by_service
            ),
            weight_by_organisation=weights,
            key_by_organisation={
                name: derive_api_key(name) for name in weights
            },
            domain_by_node={
                node_id: domains[index % len(domains)]
                for index, node_id in enumerate(nodes)
            },
        )

    def _service(self, name: str) -> SiteService:
        routes = sorted(
            self.deployment.document(name)['routes'],
            key=lambda route: -route['importance'],
        )
        shares = (_IMPORTANT_SHARE, 1 - _IMPORTANT_SHARE)
        return SiteService(
            name=name,
            capacity=self.capacity(name),
            node_ids=self.node_ids(name),
            routes=tuple(
                _route(name, route, share)
                for route, share in zip(routes, shares, strict=True)
            ),
        )


def _route(service: str, route: dict[str, Any], share: float) -> SiteRoute:
    pattern = route['path'].replace('**', '7').replace('*', 'a')
    return SiteRoute(
        name=route['name'],
        method=route['methods'][0],
        path=f'/{service}{pattern}?ms={PROCESSING_MS}',
        importance=route['importance'],
        share=share,
    )


def backend_options_by_node(bench: Bench) -> dict[str, BackendOptions]:
    """List the size of the backend server beside each node.

    :param bench: the scaled deployment.
    :return: sizes by node id.
    """
    return {
        node_id: bench.backend_options(service)
        for service in bench.deployment.size_by_service
        for node_id in bench.node_ids(service)
    }
