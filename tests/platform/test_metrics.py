"""Tests of the metrics that the node serves."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from figlane.entities.http import Answer
from figlane.entities.http import Request as PlainRequest
from figlane.platform.metrics import MetricsHandler
from tests.platform.test_node import FleetTestCase


class _Connection:
    """Connection that records the body of the response."""

    def __init__(self) -> None:
        self.body = b''

    def respond(self, status: int, headers: object, body: bytes) -> None:
        self.body = body


class MetricsTest(FleetTestCase):
    """Metrics of a node that has served calls."""

    async def test_text(self) -> None:
        """The node serves call and event counters, gauges and histograms."""
        await self.call('/read/a')
        await self.call('/other/')
        connection = _Connection()
        handler = MetricsHandler(self.caller_vm.node.world)
        handler.on_request(connection, PlainRequest('GET', '/metrics', ()))
        families = {
            family.name: family
            for family in text_string_to_metric_families(
                connection.body.decode()
            )
        }
        outcomes = {
            sample.labels['outcome']: sample.value
            for sample in families['figlane_calls'].samples
        }
        self.assertEqual(outcomes, {'answered': 1, 'unknown-route': 1})
        for name in ('figlane_events', 'figlane_level'):
            self.assertTrue(families[name].samples)
        stages = families['figlane_stage_seconds'].samples
        counts = [
            sample.value for sample in stages if sample.name.endswith('_count')
        ]
        self.assertEqual(sum(counts), 2)
        self.assertIsInstance(await self.call('/read/a'), Answer)
