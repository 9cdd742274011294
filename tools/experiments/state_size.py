"""Measures the memory of a node's tables and the time to choose a member."""

from __future__ import annotations

import sys
import time
import tracemalloc
from random import Random

from figlane.entities.call import Call
from figlane.entities.http import Request
from figlane.entities.member import Member
from figlane.entities.service import Allowance, Organisation, Route, Service
from figlane.entities.world import Identity, World
from figlane.systems.calls.routing import choose_of_two

_SIZES = (10, 40, 160, 980)
_MEMBERS_PER_SERVICE = 12
_ROUTES = 4
_ORGANISATIONS = 16
_CHOICES = 2000
_HOSTS = 250
_HASH_LENGTH = 64
_KB = 1000
_US_PER_SECOND = 1_000_000


def main() -> int:
    """Print a row for each number of members.

    :return: exit code, always 0.
    """
    _print_line(
        f'{"members":>8}{"services":>10}{"KB of tables":>14}{"us/choice":>13}'
    )
    for size in _SIZES:
        tracemalloc.start()
        world = _world(size)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        _print_line(
            f'{size:8}{len(world.services):10}{used / _KB:14.0f}'
            f'{_choice_us(world):13.1f}',
        )
    return 0


def _world(size: int) -> World:
    world = World(Identity('node-0', 'domain-0', 1), Random(1))
    services = max(1, size // _MEMBERS_PER_SERVICE)
    for number in range(size):
        world.members.insert(
            Member(
                id=f'node-{number}',
                incarnation=1,
                failure_domain=f'domain-{number % 5}',
                peer_address=f'10.0.{number // _HOSTS}.{number % _HOSTS}:8411',
                service=f'service-{number % services}',
            ),
        )
    for number in range(services):
        world.services.insert(_service(f'service-{number}'))
    for number in range(_ORGANISATIONS):
        world.organisations.insert(
            Organisation(
                f'organisation-{number}', 1, frozenset(('a' * _HASH_LENGTH,))
            ),
        )
    return world


def _service(name: str) -> Service:
    routes = tuple(
        Route(
            f'route-{name}-{number}', ('GET',), ('*',), 1, True, False, 1, 1, 4
        )
        for number in range(_ROUTES)
    )
    allowances = {
        f'organisation-{number}': Allowance(number + 1, number + 1, 1)
        for number in range(_ORGANISATIONS)
    }
    return Service(name, 1, routes, allowances)


def _choice_us(world: World) -> float:
    call = Call('call', 'service-0', Request('GET', '/', ()), 0)
    began_at = time.process_time()
    for _ in range(_CHOICES):
        choose_of_two(world, call, 0)
    return (time.process_time() - began_at) / _CHOICES * _US_PER_SECOND


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    sys.exit(main())
