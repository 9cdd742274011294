"""Tests of decoding configurations, durations and tables."""

from __future__ import annotations

import copy
import unittest
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from figlane.entities.ingress import ConfigurationReplaced, Destination
from figlane.entities.table import NEVER
from figlane.platform.configuration import (
    ConfigurationError,
    decode_configuration,
    hash_key,
    importance_from_priority,
)
from figlane.platform.quantities import parse_duration, parse_table_rows
from standins.platform_fleet import API_KEY, configuration

_SCALAR = st.one_of(st.none(), st.booleans(), st.integers(), st.text())
_JSON = st.recursive(
    st.floats() | _SCALAR,
    lambda children: st.one_of(
        st.lists(children),
        st.dictionaries(st.text(), children),
    ),
    max_leaves=8,
)
_SPLIT = ({'service': 'x', 'weight': 90}, {'service': 'y', 'weight': 10})


def _all_paths(content: Any) -> list[list[Any]]:
    if isinstance(content, dict):
        keys: list[Any] = list(content)
    elif isinstance(content, list):
        keys = list(range(len(content)))
    else:
        return [[]]
    return [[]] + [
        [key, *rest] for key in keys for rest in _all_paths(content[key])
    ]


def _replace_at(content: Any, path: list[Any], replacement: Any) -> Any:
    if not path:
        return replacement
    changed = copy.copy(content)
    changed[path[0]] = _replace_at(content[path[0]], path[1:], replacement)
    return changed


class DecodeTest(unittest.TestCase):
    """Fields of a configuration, and malformed configurations."""

    def test_route(self) -> None:
        """A route is decoded to figlane's types and units."""
        decoded = decode_configuration(4, configuration())
        route = decoded.routes[1]
        self.assertEqual((route.host, route.prefix), ('shop.example', '/book/'))
        self.assertEqual(route.destinations, (Destination('shop', 1),))
        self.assertFalse(route.route.idempotent)
        self.assertFalse(route.route.is_open)
        self.assertEqual(route.route.importance, 100)
        self.assertEqual(route.route.deadline, 2)
        self.assertEqual(route.route.attempts, 2)

    def test_traffic_split(self) -> None:
        """A route with a traffic split has one destination for each part."""
        spec = configuration()
        spec['routes']['columns'][-1] = 'traffic_split'
        for row in spec['routes']['rows']:
            row[-1] = list(_SPLIT)
        route = decode_configuration(4, spec).routes[0]
        expected = (Destination('x', 90), Destination('y', 10))
        self.assertEqual(route.destinations, expected)

    def test_organisation(self) -> None:
        """An organisation gets the hashes of its API keys and its rate."""
        organisation = decode_configuration(4, configuration()).organisations[0]
        self.assertEqual(organisation.key_hashes, {hash_key(API_KEY)})
        self.assertEqual(organisation.allowance.rate, 10_000)
        self.assertIsNone(organisation.importance)

    def test_no_rate_limit(self) -> None:
        """An organisation with rate 0, or without a rate, has no limit."""
        for rate in (0, None):
            with self.subTest(rate=rate):
                spec = configuration()
                spec['tenants']['rows'][0][2] = rate
                decoded = decode_configuration(4, spec)
                self.assertIsNone(decoded.organisations[0].allowance)

    def test_cold_rate(self) -> None:
        """A service without ``cold_per_s`` has no rate limit in cold start."""
        spec = configuration()
        self.assertEqual(
            decode_configuration(4, spec).services[0].cold_rate, 30
        )
        spec['services']['rows'][0][2] = None
        decoded = decode_configuration(4, spec)
        self.assertEqual(decoded.services[0].cold_rate, NEVER)

    def test_importance(self) -> None:
        """Priority 0 maps to importance 100; importance stays in 0..100."""
        for priority, expected in ((0, 100), (2, 98), (1000, 0), (-5, 100)):
            with self.subTest(priority=priority):
                self.assertEqual(importance_from_priority(priority), expected)

    @settings(
        derandomize=True,
        max_examples=300,
        deadline=None,
        # A slow machine must not fail this test.
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(st.data(), _JSON)
    def test_malformed(self, data: st.DataObject, replacement: Any) -> None:
        """Any content anywhere is decoded or raises ``ConfigurationError``."""
        spec = configuration()
        path = data.draw(st.sampled_from(_all_paths(spec)))
        try:
            decoded = decode_configuration(
                1, _replace_at(spec, path, replacement)
            )
        except ConfigurationError:
            return
        self.assertIsInstance(decoded, ConfigurationReplaced)


class QuantityTest(unittest.TestCase):
    """Durations and tables in the platform's notation."""

    def test_duration(self) -> None:
        """A duration is a number with the unit ms or s."""
        for text, expected in (('1500ms', 1.5), ('2.5s', 2.5), ('0ms', 0)):
            with self.subTest(text=text):
                self.assertEqual(parse_duration(text), expected)

    def test_malformed_duration(self) -> None:
        """A duration without a unit or a number is rejected."""
        for text in ('', '5', 's', 'ms', 'xs', 5, None, ['1s']):
            with self.subTest(text=text), self.assertRaises(ValueError):
                parse_duration(text)

    def test_table_rows(self) -> None:
        """Values of None are left out, and a missing table has no rows."""
        table = {'columns': ['a', 'b'], 'rows': [[1, None], [0, 2]]}
        self.assertEqual(parse_table_rows(table), [{'a': 1}, {'a': 0, 'b': 2}])
        self.assertEqual(parse_table_rows(None), [])
