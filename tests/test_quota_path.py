"""Enforcement of an organisation's rate across node processes."""

from __future__ import annotations

import hashlib
import json
import threading
import time
import unittest
from itertools import product
from types import MappingProxyType

from standins.fleet import Fleet, call, wait_until
from standins.quota_fleet import excess

_RATE = 20.0
_BURST = 40.0
_SECONDS = 6.0
_NODES = ('node-a', 'node-b', 'node-c')
# Concurrent callers of each organisation at each node.
_CALLERS_PER_NODE = 4
# Offered calls per second over all nodes, by organisation.
_OFFERED_RATES = MappingProxyType({'waco': 5 * _RATE, 'temple': 0.5 * _RATE})
_DOCUMENT = MappingProxyType(
    {
        'service': 'rotations',
        'routes': [
            {
                'name': 'read',
                'path': '/**',
                'methods': ['GET'],
                'idempotent': True,
            },
        ],
        'organisations': {
            name: {'rate': _RATE, 'burst': _BURST} for name in _OFFERED_RATES
        },
    },
)


class QuotaPathTest(unittest.TestCase):
    """Three nodes; the store becomes unavailable under load."""

    def setUp(self) -> None:
        """Start the fleet and wait until all nodes obtain tokens."""
        self.fleet = Fleet(node_settings={'policies': {'rate': 'tokens'}})
        self.enterContext(self.fleet)
        self.fleet.put_object('service', 'rotations', dict(_DOCUMENT))
        for name in _OFFERED_RATES:
            key_hash = hashlib.sha256(name.encode()).hexdigest()
            self.fleet.put_object(
                'organisation',
                name,
                {'organisation': name, 'key_hashes': [key_hash]},
            )
        for node_id in _NODES:
            self.fleet.start_node(node_id, f'domain-{node_id}')
        self.fleet.start_backend(_NODES[0], 'rotations')
        wait_until(lambda: all(map(self._serves, _NODES)))

    def test_organisation_over_its_rate(self) -> None:
        """An organisation over its rate is limited, and no other is refused."""
        # The token buckets start empty and are filled first.
        time.sleep(_BURST / _RATE)
        replies: list[tuple[str, float, int]] = []
        started_at = time.monotonic()
        outage_timer = threading.Timer(_SECONDS / 2, self._stop_store)
        outage_timer.start()
        callers = tuple(
            product(_NODES, _OFFERED_RATES, range(_CALLERS_PER_NODE))
        )
        threads = [
            threading.Thread(
                target=self._send_calls,
                args=(node_id, name, started_at, replies),
            )
            for node_id, name, _ in callers
        ]
        for thread in threads:
            thread.start()
        for thread in (*threads, outage_timer):
            thread.join()
        served = {
            name: sorted(
                at
                for organisation, at, status in replies
                if organisation == name and status == 200
            )
            for name in _OFFERED_RATES
        }
        refused = [
            reply
            for reply in replies
            if reply[0] == 'temple' and reply[2] != 200
        ]
        self.assertEqual(refused, [])
        # Replies are recorded when they arrive, which may be later than the
        # admission; half a second of rate allows for that.
        self.assertLessEqual(
            excess(served['waco'], _RATE, _BURST + _RATE / 2),
            0,
        )
        self.assertLessEqual(
            len(served['waco']),
            _BURST + _RATE * (_SECONDS + 0.5),
        )
        self.assertGreater(len(served['waco']), 0.8 * _RATE * _SECONDS)

    def _stop_store(self) -> None:
        call(
            'PUT',
            f'http://{self.fleet.platform_address}/control',
            body=json.dumps({'down': True}).encode(),
        )

    def _send_calls(
        self,
        node_id: str,
        name: str,
        started_at: float,
        replies: list[tuple[str, float, int]],
    ) -> None:
        interval = _CALLERS_PER_NODE * len(_NODES) / _OFFERED_RATES[name]
        ends_at = started_at + _SECONDS
        due = started_at
        while max(due, time.monotonic()) < ends_at:
            time.sleep(max(0, due - time.monotonic()))
            status = self._call(node_id, name)
            replies.append((name, time.monotonic(), status))
            due += interval

    def _serves(self, node_id: str) -> bool:
        return all(self._call(node_id, name) == 200 for name in _OFFERED_RATES)

    def _call(self, node_id: str, name: str) -> int:
        address = self.fleet.process_by_name[node_id].printed_addresses['entry']
        headers = {'authorization': f'Bearer {name}'}
        return call('GET', f'http://{address}/rotations/x', headers).status
