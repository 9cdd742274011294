"""Tests of the log lines that explain failed and late requests."""

from __future__ import annotations

import asyncio
from typing import Any

from structlog.testing import capture_logs

from standins.platform_fleet import configuration
from tests.platform.test_node import FleetTestCase


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

    async def test_request_cut_off_by_a_stop(self) -> None:
        """The request is logged with its exit node, and the stop counts it."""
        for vm in self.shop_vms:
            vm.backend.faults.hangs = True
        call = asyncio.create_task(
            self.fleet.call(
                self.caller_vm, '/book/a', figlane_request_id='wanted'
            )
        )
        with capture_logs() as captured:
            await asyncio.sleep(0.2)
            self.caller_vm.node.stop('SIGTERM')
            await self.caller_vm.task
            line_by_event = {line['event']: line for line in captured}
        self.caller_vm.clients.close()
        await call
        stopping = line_by_event['node_stopping']
        self.assertEqual(stopping['signal'], 'SIGTERM')
        self.assertFalse(stopping['is_repeated'])
        self.assertEqual(stopping['calls'], 1)
        self.assertEqual(stopping['executions'], 0)
        cut_off = line_by_event['request_cut_off']
        self.assertEqual(cut_off['request'], 'wanted')
        self.assertEqual(cut_off['reason'], 'process-ends')
        self.assertEqual(cut_off['call'], 'sent')
        self.assertIn(cut_off['node'], {'vm-2', 'vm-3'})
        self.assertGreater(cut_off['seconds'], 0.7)
        stopped = line_by_event['node_stopped']
        self.assertEqual(stopped['requests_cut_off'], 1)
        self.assertLess(stopped['seconds'], 1.0)
        self.assertGreater(stopped['seconds'], 0.5)
