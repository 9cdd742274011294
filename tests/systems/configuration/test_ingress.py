"""Tests of route selection, traffic splits and configuration snapshots."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from figlane.entities.call import Call, CallPhase
from figlane.entities.http import Request
from figlane.entities.inbox import CallArrived
from figlane.entities.ingress import (
    ApplyCallerLimits,
    CallerLimits,
    ConfigurationReplaced,
    Destination,
    IngressRoute,
)
from figlane.entities.outbox import AnswerCaller
from figlane.entities.service import Organisation, Route, Service
from figlane.entities.world import Identity, World
from figlane.errors import ErrorKind
from figlane.systems.configuration.ingress import (
    choose_destination,
    select_route,
)
from figlane.systems.tick import run_tick

_PROPERTIES = Route('r', (), (), 50, True, True, 1.0, 0, 2)
_ONE_DESTINATION = (Destination('shop', 1),)
_SEGMENT = st.sampled_from(('a', 'b', 'ab', 'c'))
_PREFIX = st.lists(_SEGMENT, max_size=3).map(
    lambda parts: '/' + ''.join(f'{part}/' for part in parts),
)


def _route(
    prefix: str,
    destinations: tuple[Destination, ...] = (),
    route: Route | None = None,
) -> IngressRoute:
    parts = destinations or _ONE_DESTINATION
    properties = route or _PROPERTIES
    return IngressRoute(prefix, 'host', prefix, parts, properties)


def _world(version: int, *routes: IngressRoute) -> World:
    world = World(Identity('node', 'a', 1), Random(1))
    _replace(world, version, routes)
    return world


def _replace(
    world: World,
    version: int,
    routes: tuple[IngressRoute, ...],
    organisations: tuple[Organisation, ...] = (),
) -> None:
    world.inbox.append(
        ConfigurationReplaced(
            version,
            (Service('shop', version),),
            organisations,
            routes,
            CallerLimits(),
        ),
    )
    run_tick(world, 1)


class SelectTest(unittest.TestCase):
    """Route selection by host and path."""

    @settings(
        derandomize=True,
        max_examples=200,
        deadline=None,
        # A busy machine must not fail the test by slow data generation.
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(st.sets(_PREFIX, max_size=8), _PREFIX, st.sampled_from(('', 'x')))
    def test_longest_prefix(
        self,
        prefixes: set[str],
        path: str,
        rest: str,
    ) -> None:
        """The route with the longest matching prefix is selected."""
        world = _world(1, *(_route(prefix) for prefix in prefixes))
        fitting = [
            prefix for prefix in prefixes if f'{path}{rest}'.startswith(prefix)
        ]
        found = select_route(world, 'host', f'{path}{rest}')
        expected = max(fitting, key=len, default=None)
        self.assertEqual(found.prefix if found else None, expected)

    def test_other_host(self) -> None:
        """A route of one host does not match requests for another."""
        world = _world(1, _route('/'))
        self.assertIsNone(select_route(world, 'other', '/'))


class SplitTest(unittest.TestCase):
    """Traffic split over the destinations of a route."""

    def test_shares(self) -> None:
        """Each destination receives calls in proportion to its weight."""
        parts = (Destination('x', 90), Destination('y', 10))
        world = _world(1, _route('/', parts))
        route = world.ingress_routes.by_id['/']
        counts = Counter(choose_destination(world, route) for _ in range(4000))
        self.assertAlmostEqual(counts['x'] / 4000, 0.9, delta=0.03)

    def test_weight_of_zero(self) -> None:
        """A destination of weight 0 receives no calls."""
        parts = (Destination('x', 1), Destination('y', 0))
        world = _world(1, _route('/', parts))
        route = world.ingress_routes.by_id['/']
        counts = Counter(choose_destination(world, route) for _ in range(500))
        self.assertEqual(set(counts), {'x'})


class ReplaceTest(unittest.TestCase):
    """Replacement of configuration snapshots."""

    def test_missing_rows_are_removed(self) -> None:
        """Routes and keys missing from a newer version are removed."""
        key = Organisation('acme', 1, frozenset(('hash',)))
        world = _world(1)
        _replace(world, 2, (_route('/a/'),), (key,))
        self.assertEqual(world.organisation_by_key_hash, {'hash': 'acme'})
        _replace(world, 3, (_route('/b/'),))
        self.assertIsNone(select_route(world, 'host', '/a/'))
        self.assertEqual(world.organisation_by_key_hash, {})

    def test_older_version(self) -> None:
        """A snapshot of the same or an older version is ignored."""
        world = _world(5, _route('/a/'))
        for version in (4, 5):
            with self.subTest(version=version):
                _replace(world, version, ())
                self.assertIsNotNone(select_route(world, 'host', '/a/'))

    def test_caller_limits_are_sent(self) -> None:
        """The caller limits of a snapshot are sent to the adapters."""
        world = _world(1)
        kinds = [type(row) for row in world.outbox]
        self.assertIn(ApplyCallerLimits, kinds)


class IdentifyTest(unittest.TestCase):
    """Identification of calls that are routed by host and path."""

    def test_refusals(self) -> None:
        """Each reason for a refusal has its own error kind."""
        keyed = Route('k', (), (), 50, True, False, 1.0, 0, 2)
        holder = Organisation('acme', 1, frozenset(('hash',)))
        world = _world(1)
        cases = (
            ('no configuration', 0, '/open/', '', 'stale-configuration'),
            ('unknown route', 2, '/other/', '', 'unknown-route'),
            ('no key', 2, '/keyed/', '', 'unauthenticated'),
            ('unknown key', 2, '/keyed/', 'wrong', 'unauthenticated'),
            ('no member', 2, '/open/', '', 'no-backend-server'),
            ('no member, key', 2, '/keyed/', 'hash', 'no-backend-server'),
        )
        for name, version, path, key, kind in cases:
            with self.subTest(name=name):
                if version:
                    routes = (_route('/open/'), _route('/keyed/', route=keyed))
                    _replace(world, version, routes, (holder,))
                else:
                    world.ingress.version = 0
                world.outbox.clear()
                world.inbox.append(CallArrived(_call(path, key)))
                run_tick(world, 2)
                answer = _answers(world)[0]
                self.assertIs(answer.outcome.kind, ErrorKind(kind))

    def test_deadline(self) -> None:
        """The deadline is the earlier of route deadline and caller time-out."""
        for caller_timeout, expected in ((0.4, 2.4), (9, 3.0)):
            with self.subTest(caller_timeout=caller_timeout):
                world = _world(1, _route('/'))
                call = _call('/', '')
                call.caller_timeout = caller_timeout
                world.calls.insert(call)
                run_tick(world, 2)
                self.assertAlmostEqual(call.deadline, expected)
                self.assertIs(call.phase, CallPhase.FINISHED)


def _call(path: str, key_hash: str) -> Call:
    return Call(
        'call',
        '',
        Request('GET', path, ()),
        2.0,
        host='host',
        key_hash=key_hash,
    )


def _answers(world: World) -> list[AnswerCaller]:
    return [row for row in world.outbox if isinstance(row, AnswerCaller)]
