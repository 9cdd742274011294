"""Cold start, drain and loss of backend servers, as separate processes."""

from __future__ import annotations

import contextlib
import json
import threading
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.fleet import BackendOptions, Fleet, Reply, call, wait_until

_SLOTS = 20
_CALLERS = 24
_CALL_MS = 100
_LONG_CALL_MS = 1500
_COLD_SECONDS = 3
# Requests that may get 503 from the backend server during one unannounced
# cold start of three seconds.
_MAX_OVERLOADS = 12
# Pause of a caller after a refusal.
_RETRY_DELAY_SECONDS = 0.05


class ColdStartTest(unittest.TestCase):
    """A node with the ramp policy and one without, each with its service."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start both nodes and their backend servers."""
        cls.fleet = Fleet()
        cls.enterClassContext(cls.fleet)
        for name, policy in (('ramp', 'ramp'), ('baseline', 'none')):
            cls.fleet.put_object('service', name, _document(name))
            cls.fleet.node_settings = {'policies': {'cold_start': policy}}
            cls.fleet.start_node(name, 'domain-a')
            cls.fleet.start_backend(
                name,
                name,
                BackendOptions(_SLOTS, 10 * _SLOTS),
            )
        wait_until(lambda: cls._call('ramp').status == 200)
        wait_until(lambda: cls._call('baseline').status == 200)

    def test_unannounced_cold_start(self) -> None:
        """An unannounced cold start lowers the concurrency limit.

        Few requests exceed the capacity of the cold server, and the limit
        returns to the number of slots afterwards.
        """
        with self._load('ramp'):
            wait_until(lambda: self._limit('ramp') == _SLOTS)
            self._control('ramp', {'cold_seconds': _COLD_SECONDS})
            wait_until(lambda: self._limit('ramp') < _SLOTS)
            wait_until(lambda: self._limit('ramp') == _SLOTS)
        overloads = self._overloads('ramp')
        self.assertGreater(overloads, 0)
        self.assertLessEqual(overloads, _MAX_OVERLOADS)

    def test_cold_start_without_ramp(self) -> None:
        """Without the ramp the same load exceeds the capacity throughout."""
        with self._load('baseline'):
            self._control('baseline', {'cold_seconds': _COLD_SECONDS})
            wait_until(lambda: self._overloads('baseline') > 8 * _MAX_OVERLOADS)

    def test_draining_server(self) -> None:
        """A draining server finishes its open call and gets no new calls."""
        with ThreadPoolExecutor(1) as pool:
            long_call = pool.submit(self._call, 'ramp', _LONG_CALL_MS)
            wait_until(lambda: self._counts('ramp')['running'] > 0)
            self._control('ramp', {'draining': True})
            wait_until(lambda: not self._published_service('ramp'), 3)
            self.assertEqual(self._call('ramp').status, 503)
            self.assertEqual(long_call.result().status, 200)
        self._control('ramp', {'draining': False})
        wait_until(lambda: self._call('ramp').status == 200)

    def test_stopped_server(self) -> None:
        """A stopped server is withdrawn within 5 s, and calls are refused."""
        self.fleet.process_by_name['baseline-backend'].stop()
        wait_until(lambda: not self._published_service('baseline'), 5)
        reply = self._call('baseline')
        self.assertEqual(reply.decoded_body['kind'], 'no-backend-server')
        self.assertEqual(reply.headers['figlane-outcome'], 'not-run')

    @classmethod
    def _call(cls, service: str, milliseconds: int = _CALL_MS) -> Reply:
        address = cls.fleet.process_by_name[service].printed_addresses['entry']
        path = f'/{service}/items/1?ms={milliseconds}'
        return call('GET', f'http://{address}{path}')

    @contextlib.contextmanager
    def _load(self, service: str) -> Iterator[None]:
        stopping = threading.Event()

        def call_repeatedly() -> None:
            while not stopping.is_set():
                if self._call(service).status != 200:
                    time.sleep(_RETRY_DELAY_SECONDS)

        with ThreadPoolExecutor(_CALLERS) as pool:
            for _ in range(_CALLERS):
                pool.submit(call_repeatedly)
            try:
                yield
            finally:
                stopping.set()

    def _limit(self, service: str) -> int:
        return self.fleet.state(service)['load']['limit']

    def _published_service(self, node_id: str) -> str:
        url = f'http://{self.fleet.platform_address}/v1/objects/member/'
        return call('GET', url + node_id).decoded_body['value']['service']

    def _control(self, service: str, content: Any) -> None:
        body = json.dumps(content).encode()
        call('PUT', self._control_url(service), body=body)

    def _counts(self, service: str) -> dict[str, Any]:
        return call('GET', self._control_url(service)).decoded_body

    def _overloads(self, service: str) -> int:
        return self._counts(service)['overloads']

    def _control_url(self, service: str) -> str:
        backend = self.fleet.process_by_name[f'{service}-backend']
        return f'http://{backend.printed_addresses["address"]}/_control'


def _document(service: str) -> dict[str, Any]:
    route = {
        'name': 'read',
        'path': '/items/**',
        'methods': ['GET'],
        'idempotent': True,
        'open': True,
        'deadline_ms': 5000,
    }
    return {'service': service, 'routes': [route]}
