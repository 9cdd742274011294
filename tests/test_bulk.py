"""Streaming of large responses between node processes.

Guards against unbounded buffering, and against a response that the backend
server aborts but the caller takes as complete.
"""

from __future__ import annotations

import unittest
from http.client import HTTPConnection, HTTPResponse, IncompleteRead
from types import MappingProxyType

from standins.fleet import Fleet, call, wait_until
from tools.experiments.usage import resident_bytes

_CHUNK_BYTES = 65_536
_FILE_BYTES = 800 * _CHUNK_BYTES
_KIB = 1024
# Allowed growth of a node's resident memory while it streams a file.
_MAX_MEMORY_GROWTH_BYTES = 16 * _KIB * _KIB
_DOCUMENT = MappingProxyType(
    {
        'service': 'tracings',
        'routes': [
            {
                'name': 'files',
                'path': '/files/**',
                'methods': ['GET'],
                'idempotent': True,
                'open': True,
                'deadline_ms': 60_000,
            },
        ],
    }
)


class BulkTest(unittest.TestCase):
    """Responses of 52 MB through an entry node and an exit node."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start an entry node, and an exit node with a backend server."""
        cls.fleet = Fleet()
        cls.enterClassContext(cls.fleet)
        cls.fleet.put_object('service', 'tracings', dict(_DOCUMENT))
        cls.fleet.start_node('entry', 'domain-a')
        cls.fleet.start_node('exit', 'domain-b')
        cls.fleet.start_backend('exit', 'tracings')
        url = cls._url('/tracings/files/1')
        wait_until(lambda: call('GET', url).status == 200)

    def test_file_in_bounded_memory(self) -> None:
        """A file arrives complete, and nodes buffer no more than a window."""
        before = self._resident_bytes()
        connection, response = self._request_file(0)
        size = 0
        peak = before
        while chunk := response.read(_CHUNK_BYTES):
            self.assertEqual(int.from_bytes(chunk, 'big'), size)
            size += len(chunk)
            peak = max(peak, self._resident_bytes())
        connection.close()
        self.assertEqual(size, _FILE_BYTES)
        self.assertLess(peak - before, _MAX_MEMORY_GROWTH_BYTES)

    def test_caller_that_does_not_read(self) -> None:
        """A caller that does not read pauses the stream.

        The nodes then buffer no more than a window, and the backend server's
        request is cancelled when the caller closes its connection.
        """
        before = self._resident_bytes()
        paused = self._paused_streams()
        connection, response = self._request_file(0)
        response.read(_CHUNK_BYTES)
        wait_until(lambda: self._paused_streams() > paused)
        self.assertLess(
            self._resident_bytes() - before, _MAX_MEMORY_GROWTH_BYTES
        )
        connection.close()
        wait_until(lambda: self._running_requests() == 0)

    def test_aborted_response(self) -> None:
        """The caller detects that an aborted response is incomplete."""
        connection, response = self._request_file(_FILE_BYTES // 2)
        self.assertEqual(response.status, 200)
        with self.assertRaises(
            (IncompleteRead, ConnectionError),
        ):
            while response.read(_CHUNK_BYTES):
                """Read until the connection is closed."""
        connection.close()

    @classmethod
    def _url(cls, path: str) -> str:
        address = cls.fleet.process_by_name['entry'].printed_addresses['entry']
        return f'http://{address}{path}'

    @classmethod
    def _request_file(
        cls,
        abort_offset: int,
    ) -> tuple[HTTPConnection, HTTPResponse]:
        address = cls.fleet.process_by_name['entry'].printed_addresses['entry']
        connection = HTTPConnection(address, timeout=20)
        path = f'/tracings/files/1?bulk={_FILE_BYTES}&cut={abort_offset}'
        connection.request('GET', path)
        return connection, connection.getresponse()

    def _paused_streams(self) -> int:
        return self.fleet.state('exit')['counters'].get('stream.paused', 0)

    def _running_requests(self) -> int:
        address = self.fleet.process_by_name['exit-backend'].printed_addresses[
            'address'
        ]
        return call('GET', f'http://{address}/_control').decoded_body['running']

    def _resident_bytes(self) -> int:
        return max(
            resident_bytes(self.fleet.process_by_name[name].popen.pid)
            for name in ('entry', 'exit')
        )
