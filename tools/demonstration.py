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
    entry_addresses,
    key_of,
    reduced,
    start,
)
from standins.fleet import Fleet, Reply, call

_GET = 'GET'
_PATH_WIDTH = 48
_SETTLE_SECONDS = 20
_PAUSE_SECONDS = 0.2
_OK = 200
_NOT_YET = frozenset((429, 503))
_UNAUTHENTICATED = 401
_UNKNOWN = 404


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
        return _serve(reduced(DEPLOYMENTS[0]))
    failures = sum(
        _demonstrate(reduced(deployment)) for deployment in DEPLOYMENTS
    )
    _say(f'{failures} calls had an unexpected response')
    return 1 if failures else 0


def _demonstrate(deployment: Deployment) -> int:
    _say(f'{deployment.name}: starting processes')
    with Fleet() as fleet:
        start(fleet, deployment)
        addresses = entry_addresses(fleet)
        _say(f'{deployment.name}: {len(addresses)} nodes are serving')
        turn = itertools.cycle(addresses.items())
        return sum(not _run(case, *next(turn)) for case in _cases(deployment))


def _run(case: Case, node: str, address: str) -> bool:
    headers = {}
    if case.organisation:
        headers['authorization'] = f'Bearer {key_of(case.organisation)}'
    body = b'{"by": "demo"}' if case.method == 'POST' else None
    url = f'http://{address}{case.path}'
    reply = call(case.method, url, headers, body)
    # Nodes refuse calls with 429 or 503 in their first seconds, until they
    # have obtained quota tokens and the configuration.
    end = time.monotonic() + _SETTLE_SECONDS
    while reply.status in _NOT_YET and time.monotonic() < end:
        time.sleep(_PAUSE_SECONDS)
        reply = call(case.method, url, headers, body)
    good = _is_as_expected(case, reply)
    verdict = 'ok' if good else 'WRONG'
    _say(
        f'  {verdict:5} {reply.status} {case.title:44} '
        f'{case.method:4} {case.path[:_PATH_WIDTH]:48} via {node}',
    )
    return good


def _is_as_expected(case: Case, reply: Reply) -> bool:
    if reply.status != case.expected_status:
        return False
    if reply.status != _OK:
        return reply.headers.get('figlane-outcome') == 'not-run'
    plain = reply.plain
    children = plain['children']
    return (
        plain['service'] == case.path.split('/')[1]
        and not plain['key_seen']
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
    yield Case('no such service', _GET, '/none/1', first, _UNKNOWN)


def _routes(deployment: Deployment) -> Iterator[CalledRoute]:
    for service in deployment.shape_by_service:
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
        start(fleet, deployment)
        addresses = entry_addresses(fleet)
        for node in addresses:
            _say(f'{node:20} http://{addresses[node]}')
        address = next(iter(addresses.values()))
        key = key_of(deployment.organisations[0])
        case = next(_cases(deployment))
        _say(f'platform             http://{fleet.platform_address}')
        _say('example call:')
        _say(
            f"  curl -i -H 'Authorization: Bearer {key}' "
            f'http://{address}{case.path}',
        )
        _say('press Ctrl-C to stop')
        signals = {signal.SIGINT, signal.SIGTERM}
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        signal.sigwait(signals)
    return 0


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
