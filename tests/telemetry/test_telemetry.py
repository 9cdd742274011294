"""End-to-end test of metrics and trace spans with node processes."""

from __future__ import annotations

import json
import socket
import unittest
from types import MappingProxyType
from typing import Any

from standins.fleet import Fleet, call, wait_until

_TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
_CALLER_SPAN_ID = 'b7ad6b7169203331'
_ROUTE = MappingProxyType(
    {
        'name': 'read',
        'path': '/**',
        'methods': ['GET'],
        'idempotent': True,
        'open': True,
    },
)


class ProcessTest(unittest.TestCase):
    """A call with a nested call across two nodes with telemetry enabled."""

    def setUp(self) -> None:
        """Start two services and a UDP socket that stands in for statsd."""
        self.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.statsd.close)
        self.statsd.bind(('127.0.0.1', 0))
        self.statsd.settimeout(10)
        host, port = self.statsd.getsockname()
        self.fleet = Fleet()
        self.fleet.node_settings['telemetry'] = {
            'statsd_address': f'{host}:{port}',
            'flush_seconds': 0.1,
            'tracing': {'exporter': 'console', 'ratio': 0},
        }
        self.enterContext(self.fleet)
        for service in ('dues', 'rotations'):
            document = {'service': service, 'routes': [dict(_ROUTE)]}
            self.fleet.put_object('service', service, document)
            self.fleet.start_node(f'{service}-1', 'domain-a')
            self.fleet.start_backend(f'{service}-1', service)
        wait_until(self._services_respond)

    def test_trace_of_nested_call_and_counters(self) -> None:
        """Four spans form one trace, and statsd receives the call counters."""
        headers = {'traceparent': f'00-{_TRACE_ID}-{_CALLER_SPAN_ID}-01'}
        reply = self._call('/dues/1?call=/rotations/2', headers)
        self.assertEqual(reply.decoded_body['children'][0]['status'], 200)
        self._wait_for('dues-1.call.answered')
        spans = [
            span
            for name in ('dues-1', 'rotations-1')
            for span in self._spans(name)
        ]
        self.assertEqual(len(spans), 4)
        by_parent = {span['parent_id']: span for span in spans}
        expected_parent_id = f'0x{_CALLER_SPAN_ID}'
        for hop, service in (
            ('entry', 'dues'),
            ('exit', 'dues'),
            ('entry', 'rotations'),
            ('exit', 'rotations'),
        ):
            span = by_parent[expected_parent_id]
            self.assertEqual(span['name'], f'figlane.{hop}')
            self.assertEqual(span['attributes']['figlane.service'], service)
            self.assertEqual(span['context']['trace_id'], f'0x{_TRACE_ID}')
            expected_parent_id = span['context']['span_id']

    def _services_respond(self) -> bool:
        return all(
            self._call(f'/{service}/1', {}).status == 200
            for service in ('dues', 'rotations')
        )

    def _call(self, path: str, headers: dict[str, str]) -> Any:
        address = self.fleet.process_by_name['dues-1'].printed_addresses[
            'entry'
        ]
        return call('GET', f'http://{address}{path}', headers)

    def _wait_for(self, name: str) -> None:
        line = f'figlane.{name}:'
        wait_until(lambda: line in self.statsd.recv(65_536).decode())

    def _spans(self, node: str) -> list[Any]:
        process = self.fleet.process_by_name[node]
        process.stop()
        assert process.popen.stdout is not None
        text = process.popen.stdout.read()
        decoder = json.JSONDecoder()
        spans = []
        while text.strip():
            span, end = decoder.raw_decode(text.lstrip())
            spans.append(span)
            text = text.lstrip()[end:]
        return spans
