"""Starts the example deployments as one process for each component."""

from __future__ import annotations

import hashlib
import itertools
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType

from figlane.wire.checking import parse_text
from standins.fleet import BackendOptions, Fleet, call, wait_until

# Number of processes started concurrently.
_START_THREADS = 8

_EXAMPLES = Path(__file__).parent.parent / 'examples'


@dataclass(slots=True, frozen=True)
class ServiceSize:
    """Number of backend servers of a service, and the size of each."""

    count: int
    slots: int
    connections: int


@dataclass(slots=True, frozen=True)
class Deployment:
    """Services, failure domains and organisations of one example."""

    name: str
    failure_domains: tuple[str, ...]
    size_by_service: MappingProxyType[str, ServiceSize]

    @property
    def organisations(self) -> tuple[str, ...]:
        """List the organisations named in the service documents.

        :return: their ids, sorted.
        """
        ids: set[str] = set()
        for service in self.size_by_service:
            ids.update(self.document(service)['organisations'])
        return tuple(sorted(ids))

    def document(self, service: str) -> dict:
        """Read a service document from the examples.

        :param service: the service's id.
        :return: the decoded document.
        """
        path = _EXAMPLES / self.name / 'services' / f'{service}.json'
        return parse_text(path.read_text(encoding='utf-8'))


BRAZOS_BEND = Deployment(
    'brazos-bend',
    ('waco-north', 'waco-south', 'temple', 'killeen'),
    MappingProxyType(
        {
            'rotations': ServiceSize(6, 120, 800),
            'bookings': ServiceSize(4, 180, 1200),
            'stockroom': ServiceSize(4, 180, 1200),
            'dues': ServiceSize(4, 20, 200),
        }
    ),
)
ZEEN_SAAZ = Deployment(
    'zeen-saaz',
    ('patiala-east', 'patiala-west', 'ludhiana', 'amritsar'),
    MappingProxyType(
        {
            'fitter-directory': ServiceSize(7, 80, 550),
            'deposits': ServiceSize(4, 130, 900),
            'tracings': ServiceSize(4, 130, 900),
            'bookings': ServiceSize(4, 30, 280),
        }
    ),
)
DEPLOYMENTS = (BRAZOS_BEND, ZEEN_SAAZ)


def halve_backend_servers(deployment: Deployment) -> Deployment:
    """Halve the number of backend servers of each service.

    :param deployment: a deployment with all its backend servers.
    :return: a copy with half as many backend servers of each service.
    """
    sizes = {
        service: ServiceSize(
            size.count // 2,
            size.slots,
            size.connections,
        )
        for service, size in deployment.size_by_service.items()
    }
    return Deployment(
        deployment.name,
        deployment.failure_domains,
        MappingProxyType(sizes),
    )


def derive_api_key(organisation: str) -> str:
    """Derive the API key of an organisation in local deployments.

    :param organisation: the organisation's id.
    :return: the key.
    """
    return f'demonstration-key-of-{organisation}'


def write_documents(
    fleet: Fleet,
    deployment: Deployment,
    document_by_service: dict[str, dict],
) -> None:
    """Write a deployment's documents to the simulated platform.

    :param fleet: a fleet whose simulated platform is running.
    :param deployment: the deployment.
    :param document_by_service: service documents that replace the examples.
    """
    for service in deployment.size_by_service:
        document = document_by_service.get(service)
        fleet.put_object(
            'service',
            service,
            document or deployment.document(service),
        )
    for organisation in deployment.organisations:
        key = derive_api_key(organisation).encode()
        fleet.put_object(
            'organisation',
            organisation,
            {
                'organisation': organisation,
                'key_hashes': [hashlib.sha256(key).hexdigest()],
            },
        )
    for domain in deployment.failure_domains:
        fleet.put_object('domain', domain, {'domain': domain})


def start_deployment(
    fleet: Fleet,
    deployment: Deployment,
    options_by_node: dict[str, BackendOptions] | None = None,
    document_by_service: dict[str, dict] | None = None,
) -> None:
    """Write the documents, start all processes and wait until they serve.

    :param fleet: a fleet whose simulated platform is running.
    :param deployment: the deployment to start.
    :param options_by_node: backend server sizes that replace the default ones.
    :param document_by_service: service documents that replace the examples.
    """
    write_documents(fleet, deployment, document_by_service or {})
    service_by_node = {
        f'{service}-{number + 1}': service
        for service, size in deployment.size_by_service.items()
        for number in range(size.count)
    }
    domains = itertools.cycle(deployment.failure_domains)
    with ThreadPoolExecutor(_START_THREADS) as pool:
        started = [
            pool.submit(fleet.start_node, node_id, next(domains))
            for node_id in service_by_node
        ]
        for future in started:
            future.result()
        started = [
            pool.submit(
                fleet.start_backend,
                node_id,
                service,
                (options_by_node or {}).get(node_id)
                or _default_options(deployment, service),
            )
            for node_id, service in service_by_node.items()
        ]
        for future in started:
            future.result()
    wait_until(lambda: _all_nodes_joined(fleet, len(service_by_node)), 60)


def _default_options(deployment: Deployment, service: str) -> BackendOptions:
    size = deployment.size_by_service[service]
    return BackendOptions(size.slots, size.connections)


def entry_addresses(fleet: Fleet) -> dict[str, str]:
    """List the entry addresses of all nodes.

    :param fleet: a started fleet.
    :return: ``host:port`` by node id.
    """
    return {
        name: process.printed_addresses['entry']
        for name, process in fleet.process_by_name.items()
        if 'entry' in process.printed_addresses
    }


def _all_nodes_joined(fleet: Fleet, count: int) -> bool:
    url = f'http://{fleet.platform_address}/v1/objects'
    objects = call('GET', url).decoded_body['objects']
    serving = [
        stored
        for stored in objects
        if stored['kind'] == 'member' and stored['value']['service']
    ]
    nodes = entry_addresses(fleet)
    return len(serving) == count and all(
        len(fleet.state(node)['members']) == count for node in nodes
    )
