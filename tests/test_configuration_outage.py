"""Distribution of configuration and API keys while the store is down."""

from __future__ import annotations

import hashlib
import json
import signal
import time
import unittest
from typing import Any

from standins.fleet import Fleet, Reply, call, wait_until

_KEY = 'secret-of-waco'
_HASH = hashlib.sha256(_KEY.encode()).hexdigest()
_NODES = ('node-a', 'node-b', 'node-c')
_PROPAGATION_TIMEOUT_SECONDS = 5
_STALE_TIMEOUT_SECONDS = 15
# Exceeds the time for which a node serves without confirmation that its
# configuration is current.
_PAUSE_SECONDS = 7


class ConfigurationOutageTest(unittest.TestCase):
    """Three nodes in three failure domains, one with a backend server."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the nodes and the backend server."""
        cls.fleet = Fleet()
        cls.enterClassContext(cls.fleet)
        cls.fleet.put_object(
            'service',
            'rotations',
            {
                'service': 'rotations',
                'routes': [
                    {'name': 'read', 'path': '/**', 'methods': ['GET']},
                ],
                'organisations': {'waco': {'rate': 100, 'burst': 100}},
            },
        )
        for node_id in _NODES:
            domain = f'domain-{node_id}'
            cls.fleet.put_object('domain', domain, {'domain': domain})
            cls.fleet.start_node(node_id, domain)
        cls.fleet.start_backend('node-a', 'rotations')

    def setUp(self) -> None:
        """Write the key and wait until all nodes accept it."""
        self._inject_faults(down=False)
        self.version = self._put_keys([_HASH])
        wait_until(lambda: self._statuses() == {200})

    def test_store_fails_after_revocation(self) -> None:
        """A revoked key is refused although the store fails at once.

        The operator pushes the revocation to one node, which pushes it to the
        others. A later push of the older version has no effect.
        """
        version = self._put_keys([])
        self._inject_faults(down=True)
        self._push('node-b', version, [])
        wait_until(
            lambda: self._statuses() == {401}, _PROPAGATION_TIMEOUT_SECONDS
        )
        self._push('node-b', self.version, [_HASH])
        self.assertEqual(self._statuses(), {401})

    def test_majority_serves_during_outage(self) -> None:
        """Nodes that reach a majority of nodes serve during an outage."""
        self._inject_faults(down=True)
        self._wait_until_stale('node-b')
        self.assertEqual(self._statuses(), {200})

    def test_start_from_seeds_during_outage(self) -> None:
        """A node started during an outage gets all objects from its seeds."""
        self._inject_faults(down=True)
        peer = self.fleet.process_by_name['node-a'].printed_addresses['peer']
        self.fleet.node_settings['seeds'] = [peer]
        self.fleet.start_node('node-d', 'domain-node-b')
        self.fleet.node_settings.clear()
        wait_until(lambda: self._get('node-d').status == 200)

    def test_isolated_node_refuses_keyed_calls(self) -> None:
        """A node that reaches neither store nor peers refuses keyed calls."""
        self._inject_faults(down=True)
        try:
            self._signal(signal.SIGSTOP)
            wait_until(
                lambda: (
                    self._get('node-b').decoded_body['kind']
                    == 'stale-configuration'
                ),
                _STALE_TIMEOUT_SECONDS,
            )
        finally:
            self._signal(signal.SIGCONT)
        wait_until(lambda: self._statuses() == {200})

    def test_node_paused_during_revocation(self) -> None:
        """A node paused during a revocation never accepts the revoked key."""
        paused = self.fleet.process_by_name['node-c']
        paused.signal(signal.SIGSTOP)
        self.addCleanup(paused.signal, signal.SIGCONT)
        self._put_keys([])
        wait_until(lambda: self._get('node-b').status == 401)
        resume_at = time.monotonic() + _PAUSE_SECONDS
        wait_until(lambda: time.monotonic() > resume_at)
        paused.signal(signal.SIGCONT)
        statuses = {self._get('node-c').status for _ in range(20)}
        self.assertLessEqual(statuses, {401, 503})
        wait_until(lambda: self._get('node-c').status == 401)

    def test_one_conflicting_update_wins(self) -> None:
        """Of two updates conditional on one version, the first one wins."""
        statuses = [
            self._write([_HASH], self.version).status,
            self._write([], self.version).status,
        ]
        self.assertEqual(statuses, [200, 409])
        wait_until(lambda: len(self._versions()) == 1)
        self.assertEqual(self._statuses(), {200})

    def _refuses_as_stale(self) -> bool:
        return self._get('node-b').decoded_body['kind'] == 'stale-configuration'

    def _wait_until_stale(self, node_id: str) -> None:
        def is_stale() -> bool:
            age = self.fleet.state(node_id)['configuration_age']
            return age is not None and age > _PAUSE_SECONDS

        wait_until(is_stale)

    def _versions(self) -> set[int]:
        return {
            self.fleet.state(node_id)['versions']['organisation/waco']
            for node_id in _NODES
        }

    def _signal(self, number: signal.Signals) -> None:
        for process in self.fleet.process_by_name.values():
            if process.name in {'node-a', 'node-c', 'node-d'}:
                process.signal(number)

    def _statuses(self) -> set[int]:
        return {self._get(node_id).status for node_id in _NODES}

    def _get(self, node_id: str) -> Reply:
        address = self.fleet.process_by_name[node_id].printed_addresses['entry']
        headers = {'authorization': f'Bearer {_KEY}'}
        return call('GET', f'http://{address}/rotations/x', headers)

    def _inject_faults(self, **faults: Any) -> None:
        url = f'http://{self.fleet.platform_address}/control'
        call('PUT', url, body=json.dumps(faults).encode())

    def _put_keys(self, hashes: list[str]) -> int:
        return self._write(hashes, None).decoded_body['version']

    def _write(self, hashes: list[str], if_version: int | None) -> Reply:
        url = f'http://{self.fleet.platform_address}'
        return call(
            'PUT',
            f'{url}/v1/objects/organisation/waco',
            body=json.dumps(
                {'value': _document(hashes), 'if_version': if_version},
            ).encode(),
        )

    def _push(self, node_id: str, version: int, hashes: list[str]) -> None:
        admin = self.fleet.process_by_name[node_id].printed_addresses['admin']
        reply = call(
            'PUT',
            f'http://{admin}/objects/organisation/waco',
            body=json.dumps(
                {'version': version, 'value': _document(hashes)},
            ).encode(),
        )
        self.assertEqual(reply.status, 200, reply.body)


def _document(hashes: list[str]) -> dict[str, Any]:
    return {'organisation': 'waco', 'key_hashes': hashes}
