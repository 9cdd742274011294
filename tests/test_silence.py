"""Links that lose data silently, and exit nodes that pause or restart.

Guards against calls that are executed twice or are never answered.
"""

from __future__ import annotations

import signal
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from types import MappingProxyType

from standins.fleet import Fleet, Reply, call, wait_until
from standins.relay import tell

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


class SilenceTest(unittest.TestCase):
    """An entry node and an exit node, each behind a relay."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the relays, both nodes and a backend server."""
        cls.fleet = Fleet()
        cls.enterClassContext(cls.fleet)
        cls.callers = cls.enterClassContext(ThreadPoolExecutor())
        cls.fleet.put_object('service', 'dues', dict(_DOCUMENT))
        for node in (_ENTRY, _EXIT):
            cls.fleet.start(f'relay-{node}', 'standins.relay')
            cls._start(node)
        cls.fleet.start_backend(_EXIT, 'dues')
        wait_until(lambda: cls._call('warm').status == 200)

    def setUp(self) -> None:
        """Wait until the exit node has recovered from an earlier fault."""
        wait_until(lambda: self._call('ready').status == 200)

    def test_requests_go_silent(self) -> None:
        """A lost request is sent again on a new link and executed once."""
        self._tell(_EXIT, 'silence')
        replies = [self._begin(f'lost-{number}') for number in range(5)]
        for number, reply in enumerate(replies):
            self._assert_whole(reply.result(), f'lost-{number}')

    def test_answers_go_silent(self) -> None:
        """A lost answer is sent again on a new link without execution."""
        reply = self._begin('unheard', 1000)
        self._wait_for_run('unheard')
        self._tell(_ENTRY, 'silence')
        self._assert_whole(reply.result(), 'unheard')

    def test_pause(self) -> None:
        """Calls are answered after a pause of their exit node."""
        reply = self._begin('paused', 500)
        self._wait_for_run('paused')
        process = self.fleet.process_by_name[_EXIT]
        queried = self._counter('link.replaced')
        process.signal(signal.SIGSTOP)
        late = self._begin('late', 1)
        wait_until(lambda: self._counter('link.replaced') > queried)
        process.signal(signal.SIGCONT)
        self._assert_whole(reply.result(), 'paused')
        self._assert_whole(late.result(), 'late')

    def test_replacement(self) -> None:
        """A call whose exit node is killed has an unknown outcome."""
        reply = self._begin('killed', 3000)
        self._wait_for_run('killed')
        process = self.fleet.process_by_name[_EXIT]
        process.signal(signal.SIGKILL)
        process.stop()
        self._start(_EXIT)
        ended = reply.result()
        runs = self._runs('killed')
        self.fleet.process_by_name[f'{_EXIT}-backend'].stop()
        self.fleet.start_backend(_EXIT, 'dues')
        self.assertEqual(ended.headers['figlane-outcome'], 'unknown')
        self.assertEqual(ended.plain['kind'], 'outcome-unknown')
        # Depends on which arrives first: the handshake of the restarted
        # node, or its answer to the query about the call.
        self.assertIn(ended.plain['detail'], _DETAILS_AFTER_RESTART)
        self.assertEqual(runs, 1)
        wait_until(lambda: self._call('again').status == 200)

    @classmethod
    def _start(cls, node: str) -> None:
        relay = cls.fleet.process_by_name[f'relay-{node}']
        cls.fleet.node_settings['peer_advertised'] = relay.told['address']
        process = cls.fleet.start_node(node, 'domain')
        cls._tell(node, f'target {process.told["peer_bound"]}')

    @classmethod
    def _tell(cls, node: str, line: str) -> None:
        relay = cls.fleet.process_by_name[f'relay-{node}']
        tell(relay.told['control'], line)

    @classmethod
    def _call(cls, token: str, milliseconds: int = 1) -> Reply:
        address = cls.fleet.process_by_name[_ENTRY].told['entry']
        query = f'token={token}&ms={milliseconds}'
        return call('POST', f'http://{address}/dues/x?{query}')

    def _begin(self, token: str, milliseconds: int = 1) -> Future[Reply]:
        return self.callers.submit(self._call, token, milliseconds)

    def _wait_for_run(self, token: str) -> None:
        wait_until(lambda: self._runs(token) == 1)

    def _runs(self, token: str) -> int:
        told = self.fleet.process_by_name[f'{_EXIT}-backend'].told
        counts = call('GET', f'http://{told["address"]}/_control').plain
        return counts['runs'].get(token, 0)

    def _counter(self, name: str) -> int:
        return self.fleet.state(_ENTRY)['counters'].get(name, 0)

    def _assert_whole(self, reply: Reply, token: str) -> None:
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(reply.plain['token'], token)
        self.assertEqual(self._runs(token), 1)
