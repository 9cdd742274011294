"""Links that lose data silently, and exit nodes that pause or restart.

Guards against calls that are executed twice or are never answered.
"""

from __future__ import annotations

import signal
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from types import MappingProxyType

from standins.fleet import Fleet, Reply, call, wait_until
from standins.relay import send_command

_EXIT = 'dues-a'
_ENTRY = 'entry-b'
_DOCUMENT = MappingProxyType(
    {
        'service': 'dues',
        'routes': [
            {
                'name': 'charge',
                'path': '/**',
                'methods': ['POST'],
                'open': True,
                'deadline_ms': 12000,
            },
        ],
        'organisations': {'waco': {'rate': 100, 'burst': 100}},
    }
)

_DETAILS_AFTER_RESTART = frozenset(
    (
        'the node has been restarted',
        'the node cannot tell',
    ),
)


class LinkFaultTest(unittest.TestCase):
    """An entry node and an exit node, each behind a relay."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the relays, both nodes and a backend server."""
        cls.fleet = Fleet()
        cls.enterClassContext(cls.fleet)
        cls.pool = cls.enterClassContext(ThreadPoolExecutor())
        cls.fleet.put_object('service', 'dues', dict(_DOCUMENT))
        for node in (_ENTRY, _EXIT):
            cls.fleet.start(f'relay-{node}', 'standins.relay')
            cls._start(node)
        cls.fleet.start_backend(_EXIT, 'dues')
        wait_until(lambda: cls._call('warm').status == 200)

    def setUp(self) -> None:
        """Wait until the exit node has recovered from an earlier fault."""
        wait_until(lambda: self._call('ready').status == 200)

    def test_requests_are_lost(self) -> None:
        """A lost request is sent again on a new link and executed once."""
        self._send_relay_command(_EXIT, 'silence')
        replies = [self._submit(f'lost-{number}') for number in range(5)]
        for number, reply in enumerate(replies):
            self._assert_executed_once(reply.result(), f'lost-{number}')

    def test_answer_is_lost(self) -> None:
        """A lost answer is sent again on a new link without execution."""
        reply = self._submit('unheard', 1000)
        self._wait_for_execution('unheard')
        self._send_relay_command(_ENTRY, 'silence')
        self._assert_executed_once(reply.result(), 'unheard')

    def test_exit_node_is_paused(self) -> None:
        """Calls are answered after a pause of their exit node."""
        reply = self._submit('paused', 500)
        self._wait_for_execution('paused')
        process = self.fleet.process_by_name[_EXIT]
        replaced = self._counter('link.replaced')
        process.signal(signal.SIGSTOP)
        late = self._submit('late', 1)
        wait_until(lambda: self._counter('link.replaced') > replaced)
        process.signal(signal.SIGCONT)
        self._assert_executed_once(reply.result(), 'paused')
        self._assert_executed_once(late.result(), 'late')

    def test_exit_node_is_replaced(self) -> None:
        """A call whose exit node is killed has an unknown outcome."""
        reply = self._submit('killed', 3000)
        self._wait_for_execution('killed')
        process = self.fleet.process_by_name[_EXIT]
        process.signal(signal.SIGKILL)
        process.stop()
        self._start(_EXIT)
        response = reply.result()
        execution_count = self._execution_count('killed')
        self.fleet.process_by_name[f'{_EXIT}-backend'].stop()
        self.fleet.start_backend(_EXIT, 'dues')
        self.assertEqual(response.headers['figlane-outcome'], 'unknown')
        self.assertEqual(response.decoded_body['kind'], 'outcome-unknown')
        # Depends on which arrives first: the handshake of the restarted
        # node, or its answer to the query about the call.
        self.assertIn(response.decoded_body['detail'], _DETAILS_AFTER_RESTART)
        self.assertEqual(execution_count, 1)
        wait_until(lambda: self._call('again').status == 200)

    @classmethod
    def _start(cls, node: str) -> None:
        relay = cls.fleet.process_by_name[f'relay-{node}']
        cls.fleet.node_settings['peer_advertised'] = relay.printed_addresses[
            'address'
        ]
        process = cls.fleet.start_node(node, 'domain')
        cls._send_relay_command(
            node, f'target {process.printed_addresses["peer_bound"]}'
        )

    @classmethod
    def _send_relay_command(cls, node: str, command: str) -> None:
        relay = cls.fleet.process_by_name[f'relay-{node}']
        send_command(relay.printed_addresses['control'], command)

    @classmethod
    def _call(cls, token: str, milliseconds: int = 1) -> Reply:
        address = cls.fleet.process_by_name[_ENTRY].printed_addresses['entry']
        query = f'token={token}&ms={milliseconds}'
        return call('POST', f'http://{address}/dues/x?{query}')

    def _submit(self, token: str, milliseconds: int = 1) -> Future[Reply]:
        return self.pool.submit(self._call, token, milliseconds)

    def _wait_for_execution(self, token: str) -> None:
        wait_until(lambda: self._execution_count(token) == 1)

    def _execution_count(self, token: str) -> int:
        addresses = self.fleet.process_by_name[
            f'{_EXIT}-backend'
        ].printed_addresses
        counts = call(
            'GET', f'http://{addresses["address"]}/_control'
        ).decoded_body
        return counts['runs'].get(token, 0)

    def _counter(self, name: str) -> int:
        return self.fleet.state(_ENTRY)['counters'].get(name, 0)

    def _assert_executed_once(self, reply: Reply, token: str) -> None:
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(reply.decoded_body['token'], token)
        self.assertEqual(self._execution_count(token), 1)
