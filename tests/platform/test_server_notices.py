"""Tests of what backend servers say of themselves in their answers."""

from __future__ import annotations

import asyncio
import unittest

from figlane.entities.http import Answer
from figlane.entities.server_notice import ServerNotice
from figlane.platform.backend import PlatformDialect
from standins.platform_fleet import PlatformVm
from tests.platform.test_node import FleetTestCase

_RATE = 5
_SECONDS = 4
_CALLS_PER_SECOND = 25
_NOT_RUN = frozenset((429, 503))


class HeaderTest(unittest.TestCase):
    """Headers of answers that say something of their server."""

    def test_limit(self) -> None:
        """A limit is a decimal number; others are not believed."""
        cases = (
            (b'12', ServerNotice(12)),
            (b'0.5', ServerNotice(0.5)),
            (b'', ServerNotice()),
            (b'-1', None),
            (b'nan', None),
            (b'inf', None),
            (b'soon', None),
        )
        for text, expected in cases:
            with self.subTest(text=text):
                headers = ((b'server-limit', text),)
                notice = PlatformDialect().read_notice(200, headers)
                self.assertEqual(notice, expected)

    def test_leaving(self) -> None:
        """Only the value 1 tells that the server leaves."""
        cases = (
            (b'1', b'', ServerNotice(is_leaving=True)),
            (b'1', b'2', ServerNotice(2, is_leaving=True)),
            (b'1', b'soon', ServerNotice(is_leaving=True)),
            (b'0', b'', ServerNotice()),
            (b'', b'', ServerNotice()),
        )
        for leaving, limit, expected in cases:
            with self.subTest(leaving=leaving, limit=limit):
                headers = (
                    (b'server-leaving', leaving),
                    (b'server-limit', limit),
                )
                notice = PlatformDialect().read_notice(200, headers)
                self.assertEqual(notice, expected)

    def test_misdirected(self) -> None:
        """What another server at the address says is not believed."""
        headers = ((b'server-limit', b'1'),)
        self.assertIsNone(PlatformDialect().read_notice(421, headers))


class LimitTest(FleetTestCase):
    """A fleet of whole nodes whose two servers name a limit."""

    async def test_servers_get_no_more_than_they_name(self) -> None:
        """Each server gets its limit, and what is refused has not run."""
        for vm in self.shop_vms:
            text = str(_RATE).encode()
            vm.backend.notice_headers = ((b'server-limit', text),)
        for _ in range(8):
            await self.call('/read/first')
        before = list(map(self._received, self.shop_vms))
        count = _SECONDS * _CALLS_PER_SECOND
        answers = await asyncio.gather(*map(self._call_later, range(count)))
        for vm, earlier in zip(self.shop_vms, before, strict=True):
            received = self._received(vm) - earlier
            self.assertLessEqual(received, 1.5 * _SECONDS * _RATE + 5)
            self.assertGreaterEqual(received, 0.5 * _SECONDS * _RATE)
        statuses = {answer.status for answer in answers}
        self.assertLessEqual(statuses, {200, *_NOT_RUN})

    async def _call_later(self, number: int) -> Answer:
        await asyncio.sleep(number / _CALLS_PER_SECOND)
        return await self.call(f'/read/{number}')

    def _received(self, vm: PlatformVm) -> int:
        return len(vm.backend.request_log.requests)


class LeavingTest(FleetTestCase):
    """A fleet of whole nodes, one of whose two servers says that it leaves."""

    async def test_leaving_server_gets_no_more_requests(self) -> None:
        """It goes on announcing that it is ready; callers notice nothing."""
        leaving = self.shop_vms[0].backend
        leaving.notice_headers = ((b'server-leaving', b'1'),)
        requests = leaving.request_log.requests
        number = 0
        while not requests:
            number += 1
            await self.call(f'/read/{number}')
        await asyncio.sleep(0.5)
        received = len(requests)
        for later in range(60):
            answer = await self.call(f'/read/later/{later}')
            self.assertEqual(answer.status, 200)
            await asyncio.sleep(0.05)
        self.assertEqual(len(requests), received)
