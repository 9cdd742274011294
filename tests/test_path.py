"""Calls from the caller to the backend server across node processes."""

from __future__ import annotations

import hashlib
import unittest
from types import MappingProxyType

from standins.fleet import Fleet, Reply, call, wait_until

_KEY = 'secret-of-waco'
_DOCUMENT = MappingProxyType(
    {
        'routes': [
            {
                'name': 'read',
                'path': '/items/**',
                'methods': ['GET'],
                'importance': 80,
                'idempotent': True,
            },
            {
                'name': 'open-read',
                'path': '/open/**',
                'methods': ['GET'],
                'idempotent': True,
                'open': True,
            },
            {
                'name': 'book',
                'path': '/items/*',
                'methods': ['POST'],
                'body_limit': 100,
            },
        ],
        'organisations': {'waco': {'rate': 100, 'burst': 100}},
    }
)


class PathTest(unittest.TestCase):
    """An entry node and two services in three failure domains."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the entry node, and a node and backend server per service."""
        cls.fleet = Fleet()
        cls.enterClassContext(cls.fleet)
        for service in ('rotations', 'bookings'):
            document = {'service': service, **_DOCUMENT}
            cls.fleet.put_object('service', service, document)
        cls.fleet.put_object(
            'organisation',
            'waco',
            {
                'organisation': 'waco',
                'key_hashes': [hashlib.sha256(_KEY.encode()).hexdigest()],
            },
        )
        cls.fleet.start_node('entry-a', 'domain-a')
        cls.fleet.start_node('rotations-b', 'domain-b')
        cls.fleet.start_backend('rotations-b', 'rotations')
        cls.fleet.start_node('bookings-c', 'domain-c')
        cls.fleet.start_backend('bookings-c', 'bookings')
        wait_until(lambda: cls._serves('/rotations/open/x'))
        wait_until(lambda: cls._serves('/bookings/open/x'))

    def test_answer_from_other_domain(self) -> None:
        """A keyed call is answered by a backend server in another domain.

        The backend server does not see the caller's key.
        """
        reply = self._call('GET', '/rotations/items/1?token=abc')
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(reply.decoded_body['service'], 'rotations')
        self.assertEqual(reply.decoded_body['token'], 'abc')
        self.assertFalse(reply.decoded_body['key_seen'])

    def test_child_call(self) -> None:
        """A child call is made in the name of the caller's organisation."""
        reply = self._call(
            'GET',
            '/rotations/items/1?call=/bookings/items/2',
        )
        self.assertEqual(reply.status, 200, reply.body)
        child = reply.decoded_body['children'][0]
        self.assertEqual(child['status'], 200)
        self.assertEqual(child['body']['service'], 'bookings')
        self.assertFalse(child['body']['key_seen'])

    def test_body_is_unchanged(self) -> None:
        """A request body reaches the backend server unchanged."""
        body = b'barrel'
        reply = self._call('POST', '/bookings/items/1', body=body)
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(
            reply.decoded_body['digest'],
            hashlib.sha256(body).hexdigest(),
        )

    def test_refusal_kinds(self) -> None:
        """Refusals carry their kind and state that nothing was executed."""
        cases = (
            ('GET', '/nowhere/items/1', _KEY, b'', 404, 'unknown-service'),
            ('GET', '/rotations/none', _KEY, b'', 404, 'unknown-route'),
            ('GET', '/rotations/items/1', 'bad', b'', 401, 'unauthenticated'),
            ('GET', '/rotations/items/1', '', b'', 401, 'unauthenticated'),
            (
                'POST',
                '/bookings/items/1',
                _KEY,
                bytes(101),
                413,
                'body-too-large',
            ),
        )
        for method, path, key, body, status, kind in cases:
            with self.subTest(path=path, key=key):
                reply = self._call(method, path, key=key, body=body)
                self.assertEqual(reply.status, status)
                self.assertEqual(reply.decoded_body['kind'], kind)
                self.assertEqual(reply.headers['figlane-outcome'], 'not-run')

    def test_forged_context_token(self) -> None:
        """A context token that no node has issued is not accepted."""
        reply = self._call(
            'GET',
            '/rotations/items/1',
            headers={'figlane-context': 'f' * 32},
        )
        self.assertEqual(reply.status, 401)

    @classmethod
    def _serves(cls, path: str) -> bool:
        return cls._call('GET', path).status == 200

    @classmethod
    def _call(
        cls,
        method: str,
        path: str,
        key: str = _KEY,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        address = cls.fleet.process_by_name['entry-a'].printed_addresses[
            'entry'
        ]
        sent = dict(headers or {})
        if key:
            sent['authorization'] = f'Bearer {key}'
        return call(method, f'http://{address}{path}', sent, body)
