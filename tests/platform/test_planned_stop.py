"""Planned stop of a whole node whose callers keep their connections."""

from __future__ import annotations

import asyncio
import socket
import time

from figlane.settings import split_address
from standins.platform_fleet import API_KEY, HOST
from tests.platform.test_node import FleetTestCase

_GRACE_SECONDS = 4.0
# More than the kernel's buffers hold, and less than the flow-control window.
_SLOW_BODY_BYTES = 1_000_000
_SLOW_SECONDS = 2.8
# The segment size of Ethernet and a small window, so that the kernel's buffers
# stay small.
_SEGMENT_BYTES = 1460
_WINDOW_BYTES = 16_384


class PlannedStopTest(FleetTestCase):
    """The node of the callers stops; their requests run at other VMs."""

    grace_seconds = _GRACE_SECONDS

    async def test_slow_reader_gets_the_whole_answer(self) -> None:
        """Guards against answers that are cut off while a caller reads them.

        The call has ended at all nodes long before its caller has read the
        answer that waits in the node that stops.
        """
        for vm in self.shop_vms:
            vm.backend.body_bytes = _SLOW_BODY_BYTES
        reader = asyncio.create_task(self._read_slowly())
        await asyncio.sleep(0.3)
        self.caller_vm.node.stop()
        received = await reader
        self.assertGreater(received, _SLOW_BODY_BYTES)
        await self.caller_vm.task

    async def test_idle_node_stops_early(self) -> None:
        """A node without work does not use up the grace period."""
        stopped_at = time.monotonic()
        self.caller_vm.node.stop()
        await self.caller_vm.task
        self.assertLess(time.monotonic() - stopped_at, _GRACE_SECONDS - 1)

    async def _read_slowly(self) -> int:
        connection = socket.socket()
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES
        )
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES
        )
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        address = split_address(self.caller_vm.entry)
        await loop.sock_connect(connection, address)
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=_WINDOW_BYTES
        )
        writer.write(
            b'GET /read/a HTTP/1.1\r\nhost: %b\r\n'
            b'figlane-request-id: slow\r\napi-key: %b\r\n\r\n'
            % (HOST.encode(), API_KEY)
        )
        received = len(await reader.read(_SEGMENT_BYTES))
        await asyncio.sleep(_SLOW_SECONDS)
        self.assertFalse(self.caller_vm.task.done())
        while part := await reader.read(1 << 16):
            received += len(part)
        writer.close()
        return received
