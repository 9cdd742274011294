"""Tests of the log lines that explain failed and late requests."""

from __future__ import annotations

import asyncio
from typing import Any

from structlog.testing import capture_logs

from figlane.settings import split_address
from standins.platform_fleet import API_KEY, HOST, configuration
from tests.platform.test_node import FleetTestCase

# More than the buffers of both ends and of the kernel hold.
_UNREAD_BYTES = 16_000_000
# Time until a request runs at its backend server.
_SENT_SECONDS = 0.2


class RequestLogTest(FleetTestCase):
    """Each failed or late request has one log line with its id."""

    async def test_refused_request(self) -> None:
        """A refusal is logged with kind, outcome, reason and tried nodes."""
        for vm in self.shop_vms:
            vm.backend.faults.refuses = True
        line = await self._logged_line('call_refused', '/book/a')
        self.assertEqual(line['kind'], 'overloaded')
        self.assertEqual(line['outcome'], 'not-run')
        self.assertEqual(line['organisation'], 'acme')
        self.assertIn('answered 503', line['reason'])
        self.assertTrue(line['tried_nodes'])
        self.assertGreater(line['configuration'], 0)

    async def test_unknown_outcome(self) -> None:
        """An unknown outcome is logged with the backend server's failure."""
        for vm in self.shop_vms:
            vm.backend.faults.resets = True
        line = await self._logged_line('call_refused', '/book/a')
        self.assertEqual(line['outcome'], 'unknown')
        self.assertIn('closed', line['reason'])

    async def test_late_answer(self) -> None:
        """A late answer is logged with its queueing and backend times."""
        columns = configuration()['routes']['columns']
        changed = configuration()
        changed['routes']['columns'] = [*columns, 'target_latency']
        for row in changed['routes']['rows']:
            row.append('50ms')
        self.fleet.store.table.write('config', 'main', changed)
        world = self.caller_vm.node.world
        version = world.ingress.version
        await self.wait_until(lambda: world.ingress.version != version)
        for vm in self.shop_vms:
            vm.backend.processing_seconds = 0.2
        line = await self._logged_line('call_late', '/read/a')
        self.assertGreater(line['backend_seconds'], 0.15)
        self.assertGreaterEqual(line['seconds'], line['backend_seconds'])
        self.assertLess(line['queue_seconds'], 0.1)

    async def _logged_line(self, event: str, path: str) -> dict[str, Any]:
        lines: list[Any] = []
        with capture_logs() as captured:
            await self.call(path, figlane_request_id='wanted')
            lines.extend(captured)
        found = [
            line
            for line in lines
            if line['event'] == event and line['request'] == 'wanted'
        ]
        self.assertEqual(len(found), 1, lines)
        return found[0]


class CutOffLogTest(FleetTestCase):
    """A node whose grace period ends before its calls do."""

    grace_seconds = 1.0

    async def test_request_that_outlasts_a_stop(self) -> None:
        """The request is refused as unknown with its exit node, not cut off."""
        for vm in self.shop_vms:
            vm.backend.faults.hangs = True
        call = asyncio.create_task(self.call('/book/a'))
        line_by_event = await self._stop()
        answer = await call
        self.assertEqual(answer.status, 504)
        stopping = line_by_event['node_stopping']
        self.assertEqual(stopping['signal'], 'SIGTERM')
        self.assertFalse(stopping['is_repeated'])
        self.assertEqual(stopping['calls'], 1)
        self.assertEqual(stopping['executions'], 0)
        refused = line_by_event['call_refused']
        self.assertEqual(refused['outcome'], 'unknown')
        self.assertIn(refused['tried_nodes'][0], {'vm-2', 'vm-3'})
        self.assertNotIn('request_cut_off', line_by_event)
        self.assertEqual(line_by_event['node_stopped']['requests_cut_off'], 0)

    async def test_request_cut_off_by_a_stop(self) -> None:
        """An answer that its caller does not read is logged and counted."""
        for vm in self.shop_vms:
            vm.backend.body_bytes = _UNREAD_BYTES
        writer = await self._send_without_reading(b'wanted')
        line_by_event = await self._stop()
        writer.close()
        cut_off = line_by_event['request_cut_off']
        self.assertEqual(cut_off['request'], 'wanted')
        self.assertEqual(cut_off['reason'], 'process-ends')
        self.assertGreater(cut_off['seconds'], 0.5)
        stopped = line_by_event['node_stopped']
        self.assertEqual(stopped['requests_cut_off'], 1)
        self.assertLess(stopped['seconds'], 1.0)
        self.assertGreater(stopped['seconds'], 0.5)

    async def _stop(self) -> dict[str, Any]:
        """Stop the callers' node while a request is open.

        :return: the last line of each event.
        """
        with capture_logs() as captured:
            await asyncio.sleep(_SENT_SECONDS)
            self.caller_vm.node.stop('SIGTERM')
            await self.caller_vm.task
            return {line['event']: line for line in captured}

    async def _send_without_reading(
        self, request_id: bytes
    ) -> asyncio.StreamWriter:
        address = split_address(self.caller_vm.entry)
        _, writer = await asyncio.open_connection(*address, limit=1)
        writer.write(
            b'GET /read/a HTTP/1.1\r\nhost: %b\r\n'
            b'figlane-request-id: %b\r\napi-key: %b\r\n\r\n'
            % (HOST.encode(), request_id, API_KEY)
        )
        return writer
