"""Tests of peer links: send failures, order and invalid frames."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from unittest import IsolatedAsyncioTestCase, TestCase, mock

import msgspec

from figlane.adapters import peer_link
from figlane.entities.configuration_messages import ConfigurationPush
from figlane.entities.link import PeerSendFailed, ReplaceConnection
from figlane.entities.link_messages import Ping
from figlane.entities.outbox import SendToPeer
from figlane.platform.configuration import decode_configuration

_UNREACHABLE_ADDRESS = '127.0.0.1:9'
_QUEUE_LIMIT = 2
# The platform's bound on the content of a stored object.
_STORED_BYTES = 1_048_576


class SendTest(TestCase):
    """Link to a peer that does not listen."""

    def setUp(self) -> None:
        """Create a link with a short send queue."""
        short_queue = mock.patch.object(
            peer_link, '_MAX_QUEUED_MESSAGES', _QUEUE_LIMIT
        )
        self.enterContext(short_queue)
        self.rows: list[Any] = []
        self.link = peer_link.PeerLink('node', _listener(), self.rows.append)
        self.addCleanup(self.link.close)

    def test_send_failures_reported(self) -> None:
        """Each message that cannot be sent is reported as an inbox row."""
        cases = (
            ('full queue', _UNREACHABLE_ADDRESS, _QUEUE_LIMIT),
            ('malformed address', 'nowhere', 0),
        )
        for name, address, failed_number in cases:
            with self.subTest(name=name):
                self.rows.clear()
                self._fill(name, address)
                failed = PeerSendFailed(name, Ping(failed_number, 1))
                self.assertEqual(self.rows[0], failed)

    def test_replaced_connection(self) -> None:
        """A replaced connection starts with an empty send queue."""
        self._fill('peer', _UNREACHABLE_ADDRESS)
        self.rows.clear()
        self.link.replace(ReplaceConnection('peer'))
        self.link.send(SendToPeer('peer', _UNREACHABLE_ADDRESS, Ping(0, 1)))
        self.assertEqual(self.rows, [])

    def _fill(self, node: str, address: str) -> None:
        for number in range(_QUEUE_LIMIT + 1):
            self.link.send(SendToPeer(node, address, Ping(number, 1)))


class ReceiveTest(IsolatedAsyncioTestCase):
    """Two links in one event loop that exchange messages."""

    async def asyncSetUp(self) -> None:
        """Start both links."""
        self.rows: list[Any] = []
        self.failed: list[Any] = []
        loop = asyncio.get_running_loop()
        self.sender = peer_link.PeerLink(
            'sender',
            _listener(),
            self.failed.append,
        )
        listener = _listener()
        host, port = listener.getsockname()
        self.receiver_address = f'{host}:{port}'
        self.receiver = peer_link.PeerLink(
            'receiver',
            listener,
            self.rows.append,
        )
        for link in (self.sender, self.receiver):
            link.start(loop)
            self.addCleanup(link.close)

    async def test_order(self) -> None:
        """Small and large messages arrive complete and in order."""
        for number in range(200):
            body = bytes([number]) * (number * 500)
            self._send(number, body)
        await self._wait_for_rows(200)
        for number, row in enumerate(self.rows):
            self.assertEqual(row.sender, 'sender')
            self.assertEqual(row.message, Ping(number, 1))
            self.assertEqual(row.body, bytes([number]) * (number * 500))

    async def test_largest_configuration_is_delivered(self) -> None:
        """A configuration as large as the store takes does not cut the link."""
        spec = _largest_specification()
        configuration = decode_configuration(2, spec)
        push = ConfigurationPush(configuration)
        address = self.receiver_address
        self.sender.send(SendToPeer('receiver', address, push))
        self._send(1, b'')
        await self._wait_for_rows(2)
        self.assertEqual(self.rows[0].message, push)
        self.assertEqual(self.receiver.rejected, 0)

    async def test_replaced_connection(self) -> None:
        """Messages are delivered after the connection is replaced."""
        self._send(1, b'')
        await self._wait_for_rows(1)
        self.sender.replace(ReplaceConnection('receiver'))
        self._send(2, b'')
        await self._wait_for_rows(2)

    async def test_refused_connection(self) -> None:
        """Messages on a refused connection are reported failed within 2 s."""
        self.sender.send(SendToPeer('other', _UNREACHABLE_ADDRESS, Ping(1, 1)))
        async with asyncio.timeout(2):
            while not self.failed:
                await asyncio.sleep(0.01)
        self.assertEqual(self.failed, [PeerSendFailed('other', Ping(1, 1))])

    async def test_invalid_frame(self) -> None:
        """An invalid frame is counted and does not affect other connections."""
        host, port = self.receiver_address.split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'\xff' * 100)
        await writer.drain()
        self._send(1, b'')
        await self._wait_for_rows(1)
        self.assertGreater(self.receiver.rejected, 0)
        writer.close()

    def _send(self, number: int, body: bytes) -> None:
        address = self.receiver_address
        row = SendToPeer('receiver', address, Ping(number, 1), body)
        self.sender.send(row)

    async def _wait_for_rows(self, count: int) -> None:
        async with asyncio.timeout(5):
            while len(self.rows) < count:
                await asyncio.sleep(0.01)


def _largest_specification() -> dict[str, Any]:
    columns = (
        ('name', 'r-{0:07}'),
        ('host', 'hulo{0:07}.example'),
        ('path_prefix', '/leny950/{0:07}/'),
        ('kind', 'safe'),
        ('timeout', '5000ms'),
        ('target_latency', '1200ms'),
        ('service', 'huvo11a'),
    )
    rows: list[list[str]] = []
    size = 0
    while size < _STORED_BYTES:
        row = [text.format(len(rows)) for _, text in columns]
        size += len(msgspec.json.encode(row)) + 1
        rows.append(row)
    routes = {'columns': [name for name, _ in columns], 'rows': rows}
    return {'routes': routes, 'services': {'columns': [], 'rows': []}}


def _listener() -> socket.socket:
    return socket.create_server(('127.0.0.1', 0))
