"""Starts the example deployments and sends calls through their nodes."""

from __future__ import annotations

import argparse
import itertools
import signal
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass

from standins.deployment import (
    DEPLOYMENTS,
    Deployment,
    derive_api_key,
    entry_addresses,
    halve_backend_servers,
    start_deployment,
)
from standins.fleet import Fleet, Reply, call

_GET = 'GET'
_PATH_WIDTH = 48
_RETRY_TIMEOUT_SECONDS = 20
_RETRY_DELAY_SECONDS = 0.2
_OK = 200
_RETRIED_STATUSES = frozenset((429, 503))
_UNAUTHENTICATED = 401
_NOT_FOUND = 404


@dataclass(slots=True, frozen=True)
class Case:
    """A call of the demonstration and the response that is expected."""

    title: str
    method: str
    path: str
    organisation: str
    expected_status: int
    child_count: int = 0


@dataclass(slots=True, frozen=True)
class CalledRoute:
    """A route of a service document and a path that matches it."""

    title: str
    method: str
    path: str
    is_keyed_read: bool


def main() -> int:
    """Run the demonstration.

    :return: exit code, 0 if every call had the expected response.
    """
    parser = argparse.ArgumentParser(prog='tools/demo', description=__doc__)
    parser.add_argument(
        '--serve',
        action='store_true',
        help='start only the first deployment and run it until interrupted',
    )
    options = parser.parse_args()
    if options.serve:
        return _serve(halve_backend_servers(DEPLOYMENTS[0]))
    failures = sum(
        _demonstrate(halve_backend_servers(deployment))
        for deployment in DEPLOYMENTS
    )
    _print_line(f'{failures} calls had an unexpected response')
    return 1 if failures else 0


def _demonstrate(deployment: Deployment) -> int:
    _print_line(f'{deployment.name}: starting processes')
    with Fleet() as fleet:
        start_deployment(fleet, deployment)
        addresses = entry_addresses(fleet)
        _print_line(f'{deployment.name}: {len(addresses)} nodes are serving')
        node_cycle = itertools.cycle(addresses.items())
        return sum(
            not _run_case(case, *next(node_cycle))
            for case in _cases(deployment)
        )


def _run_case(case: Case, node: str, address: str) -> bool:
    headers = {}
    if case.organisation:
        headers['authorization'] = f'Bearer {derive_api_key(case.organisation)}'
    body = b'{"by": "demo"}' if case.method == 'POST' else None
    url = f'http://{address}{case.path}'
    reply = call(case.method, url, headers, body)
    # Nodes refuse calls with 429 or 503 in their first seconds, until they
    # have obtained quota tokens and the configuration.
    deadline = time.monotonic() + _RETRY_TIMEOUT_SECONDS
    while reply.status in _RETRIED_STATUSES and time.monotonic() < deadline:
        time.sleep(_RETRY_DELAY_SECONDS)
        reply = call(case.method, url, headers, body)
    is_expected = _has_expected_response(case, reply)
    verdict = 'ok' if is_expected else 'WRONG'
    _print_line(
        f'  {verdict:5} {reply.status} {case.title:44} '
        f'{case.method:4} {case.path[:_PATH_WIDTH]:48} via {node}',
    )
    return is_expected


def _has_expected_response(case: Case, reply: Reply) -> bool:
    if reply.status != case.expected_status:
        return False
    if reply.status != _OK:
        return reply.headers.get('figlane-outcome') == 'not-run'
    content = reply.decoded_body
    children = content['children']
    return (
        content['service'] == case.path.split('/')[1]
        and not content['key_seen']
        and len(children) == case.child_count
        and all(child['status'] == _OK for child in children)
    )


def _cases(deployment: Deployment) -> Iterator[Case]:
    first, second = deployment.organisations[:2]
    routes = tuple(_routes(deployment))
    for route in routes:
        yield Case(route.title, route.method, route.path, first, _OK)
    reads = [called.path for called in routes if called.is_keyed_read]
    nested = f'{reads[0]}?call={reads[1]}&call={reads[-1]}'
    yield Case('calls two services', _GET, nested, second, _OK, 2)
    yield Case('without a key', _GET, reads[0], '', _UNAUTHENTICATED)
    yield Case('with a wrong key', _GET, reads[0], 'nobody', _UNAUTHENTICATED)
    yield Case('no such service', _GET, '/none/1', first, _NOT_FOUND)


def _routes(deployment: Deployment) -> Iterator[CalledRoute]:
    for service in deployment.size_by_service:
        for route in deployment.document(service)['routes']:
            pattern = route['path'].replace('**', '7').replace('*', 'a')
            method = route['methods'][0]
            yield CalledRoute(
                f'{service} {route["name"]}',
                method,
                f'/{service}{pattern}',
                method == _GET and not route.get('open'),
            )


def _serve(deployment: Deployment) -> int:
    with Fleet() as fleet:
        start_deployment(fleet, deployment)
        addresses = entry_addresses(fleet)
        for node in addresses:
            _print_line(f'{node:20} http://{addresses[node]}')
        address = next(iter(addresses.values()))
        key = derive_api_key(deployment.organisations[0])
        case = next(_cases(deployment))
        _print_line(f'platform             http://{fleet.platform_address}')
        _print_line('example call:')
        _print_line(
            f"  curl -i -H 'Authorization: Bearer {key}' "
            f'http://{address}{case.path}',
        )
        _print_line('press Ctrl-C to stop')
        signals = {signal.SIGINT, signal.SIGTERM}
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        signal.sigwait(signals)
    return 0


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
