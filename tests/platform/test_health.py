"""Tests of health checks against a stand-in of a backend server."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from figlane.entities.inbox import BackendChecked
from figlane.entities.outbox import CheckBackend
from figlane.platform.health import HealthChecker
from standins.addresses import reserve_addresses
from standins.platform_backend import HEALTH_PATH, PlatformBackend

_ID = 'i-1'


class HealthTest(IsolatedAsyncioTestCase):
    """Results of health checks of one backend server."""

    async def asyncSetUp(self) -> None:
        """Start the backend server and create the checker."""
        loop = asyncio.get_running_loop()
        address = reserve_addresses(1)[0]
        self.backend = PlatformBackend(loop, _ID, 'shop', address)
        await self.backend.start()
        self.addCleanup(self.backend.server.close)
        self.check_results: asyncio.Queue[BackendChecked] = asyncio.Queue()
        self.checker = HealthChecker(loop, self.check_results.put_nowait)
        self.addCleanup(self.checker.close)

    async def test_health_by_response(self) -> None:
        """Only a ready server with the checked id is healthy."""
        cases = (
            ('healthy', 'ready', _ID, True),
            ('leaving', 'draining', _ID, False),
            ('another server at its address', 'ready', 'i-2', False),
        )
        for name, state, checked_id, expected in cases:
            with self.subTest(name=name):
                self.backend.state = state
                self.assertIs(await self._check(checked_id), expected)

    async def test_cold_start_in_response(self) -> None:
        """The remaining cold start is that of the server itself, if it is."""
        cases = (
            ('cold', b'1500', _ID, 1.5),
            ('warm', b'', _ID, 0),
            ('malformed', b'-soon', _ID, None),
            ('another server', b'1500', 'i-2', None),
        )
        for name, cold_ms, checked_id, expected in cases:
            with self.subTest(name=name):
                self.backend.cold_ms = cold_ms
                checked = await self._run_check(checked_id)
                self.assertEqual(checked.cold_seconds, expected)

    async def test_no_answer(self) -> None:
        """The health of a server that cannot be reached is unknown."""
        self.backend.address = reserve_addresses(1)[0]
        self.assertIsNone(await self._check(_ID))

    async def _check(self, instance_id: str) -> bool | None:
        checked = await self._run_check(instance_id)
        return checked.is_healthy

    async def _run_check(self, instance_id: str) -> BackendChecked:
        address = self.backend.address
        row = CheckBackend(instance_id, 5, address, HEALTH_PATH)
        self.checker.check(row)
        checked = await asyncio.wait_for(self.check_results.get(), 5)
        self.assertEqual((checked.instance_id, checked.born), (instance_id, 5))
        return checked
