"""Tests of the datagram link."""

from __future__ import annotations

import asyncio
import socket
from unittest import IsolatedAsyncioTestCase

from figlane.adapters.datagrams import DatagramLink
from figlane.entities.gossip import MembersResponse, SendDatagram


class DatagramLinkTest(IsolatedAsyncioTestCase):
    """A link that is closed."""

    async def test_send_after_close(self) -> None:
        """Guards against a tick of a node that has ended and still sends."""
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind(('127.0.0.1', 0))
        host, port = bound.getsockname()
        link = DatagramLink('node-1', bound, print)
        await link.start(asyncio.get_running_loop())
        link.close()
        # The event loop takes the socket from the closed transport.
        await asyncio.sleep(0)
        link.send(
            SendDatagram(f'{host}:{port}', MembersResponse([], is_news=True))
        )
        self.assertEqual(bound.fileno(), -1)
