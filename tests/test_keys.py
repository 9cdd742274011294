"""Deduplication of calls by idempotency key across node processes."""

from __future__ import annotations

import hashlib
import unittest
from types import MappingProxyType

from standins.fleet import Fleet, Reply, call, wait_until

_KEY = 'secret-of-waco'
_NODES = ('dues-a', 'dues-b')
_DOCUMENT = MappingProxyType(
    {
        'service': 'dues',
        'routes': [{'name': 'charge', 'path': '/**', 'methods': ['POST']}],
        'organisations': {'waco': {'rate': 100, 'burst': 100}},
    }
)


class KeyTest(unittest.TestCase):
    """Two nodes, each with a backend server of the same service."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start both nodes and wait until each serves."""
        cls.fleet = Fleet()
        cls.enterClassContext(cls.fleet)
        digest = hashlib.sha256(_KEY.encode()).hexdigest()
        organisation = {'organisation': 'waco', 'key_hashes': [digest]}
        cls.fleet.put_object('service', 'dues', dict(_DOCUMENT))
        cls.fleet.put_object('organisation', 'waco', organisation)
        for name in _NODES:
            cls.fleet.start_node(name, name)
            cls.fleet.start_backend(name, 'dues')
        wait_until(cls._all_serve)

    def test_repeat_through_other_node(self) -> None:
        """A key repeated at either node gets the first answer.

        The call is executed once.
        """
        for number in range(5):
            token = f'charge-{number}'
            replies = [self._charge(node, token) for node in _NODES * 2]
            with self.subTest(token=token):
                self.assertEqual({reply.status for reply in replies}, {200})
                self.assertEqual(len({reply.body for reply in replies}), 1)
                self.assertEqual(self._execution_count(token), 1)

    @classmethod
    def _all_serve(cls) -> bool:
        return all(cls._charge(node).status == 200 for node in _NODES)

    @classmethod
    def _charge(cls, node: str, token: str = '') -> Reply:
        entry = cls.fleet.process_by_name[node].printed_addresses['entry']
        headers = {'authorization': f'Bearer {_KEY}'}
        if token:
            headers['idempotency-key'] = token
        return call('POST', f'http://{entry}/dues/x?token={token}', headers)

    def _execution_count(self, token: str) -> int:
        execution_count = 0
        for node in _NODES:
            addresses = self.fleet.process_by_name[
                f'{node}-backend'
            ].printed_addresses
            counts = call(
                'GET', f'http://{addresses["address"]}/_control'
            ).decoded_body
            execution_count += counts['runs'].get(token, 0)
        return execution_count
