"""Backend servers that send a second copy of a rejection, late."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import dataclass, field
from unittest import IsolatedAsyncioTestCase, TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import AttemptKey, HttpOutcome
from figlane.entities.http import Request
from figlane.entities.outbox import RunOnBackend
from figlane.platform import headers as names
from figlane.platform.backend import PlatformDialect
from figlane.settings import split_address
from standins.addresses import reserve_addresses
from tests.platform.test_node import FleetTestCase

_END_OF_HEAD = b'\r\n\r\n'
_OK = 200
_REJECTIONS = (400, 421, 429, 500, 503)
_COPY_DELAY_SECONDS = 0.01
_ANSWER_DELAY_SECONDS = 0.03
_REQUESTS = 12
# More than a connection remembers.
_MANY = 1100


@dataclass(slots=True)
class _Server:
    """Rejects the first arrival of each id and runs the next one.

    A copy of each rejection comes just before the next answer on the same
    connection. ``connection_by_arrival`` has the id and the number of the
    connection of each arrival.
    """

    status: int = 503
    copy_has_id: bool = True
    sends_copies: bool = True
    is_quick: bool = False
    connection_by_arrival: list[tuple[bytes, int]] = field(default_factory=list)
    seen_ids: set[bytes] = field(default_factory=set)
    connections: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection.

        :param reader: receives the requests.
        :param writer: sends the answers.
        """
        self.connections += 1
        number = self.connections
        copy = b''
        try:
            while True:
                head = await reader.readuntil(_END_OF_HEAD)
                request_id = head.split(b'request-id: ')[1].split(b'\r')[0]
                await self._send_late(writer, copy)
                copy = self._answer(writer, request_id, number)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _send_late(
        self, writer: asyncio.StreamWriter, copy: bytes
    ) -> None:
        if self.is_quick:
            return
        await asyncio.sleep(_COPY_DELAY_SECONDS)
        writer.write(copy)
        await asyncio.sleep(_ANSWER_DELAY_SECONDS)

    def _answer(
        self, writer: asyncio.StreamWriter, request_id: bytes, number: int
    ) -> bytes:
        is_first = request_id not in self.seen_ids
        self.seen_ids.add(request_id)
        self.connection_by_arrival.append((request_id, number))
        status = self.status if is_first else _OK
        writer.write(_response(status, request_id))
        if not is_first or not self.sends_copies:
            return b''
        return _response(status, request_id if self.copy_has_id else b'')


def _response(status: int, request_id: bytes) -> bytes:
    lines = [b'HTTP/1.1 %d x' % status, b'content-length: 1']
    if request_id:
        lines.append(b'%b: %b' % (names.REQUEST_ID, request_id))
    if status != _OK:
        lines.append(b'%b: 1' % names.NOT_EXECUTED)
    return b'\r\n'.join(lines) + _END_OF_HEAD + b'x'


class SecondAnswerTest(IsolatedAsyncioTestCase):
    """Requests that are sent again after a rejection."""

    async def test_copy_is_not_the_next_attempts_answer(self) -> None:
        """Guards against unsafe requests that run twice, or are refused.

        The copy has the id of the next attempt. Taken for its answer, it says
        that this attempt has not run, although it has.
        """
        for status in _REJECTIONS:
            for copy_has_id in (True, False):
                with self.subTest(status=status, copy_has_id=copy_has_id):
                    server = _Server(status, copy_has_id)
                    outcomes = await self._play(server, (b'1', b'1', b'2'))
                    statuses = [outcome.status for outcome in outcomes]
                    self.assertEqual(statuses, [status, _OK, status])

    async def test_full_pool_replaces_a_connection(self) -> None:
        """With one connection allowed, the next attempt still gets its own."""
        server = _Server()
        outcomes = await self._play(server, (b'1', b'1'), limit=1)
        self.assertEqual(outcomes[-1].status, _OK)
        self.assertEqual(server.connections, 2)

    async def test_connection_is_kept_for_other_requests(self) -> None:
        """A rejection alone does not cost the connection."""
        server = _Server(sends_copies=False)
        await self._play(server, (b'1', b'2', b'3'))
        self.assertEqual(server.connections, 1)

    async def test_connection_with_foreign_answer_is_closed(self) -> None:
        """A connection that has carried an answer to no request is not reused.

        The second request gets a copy of the first one's answer before its
        own, and the third one uses another connection.
        """
        server = _Server()
        outcomes = await self._play(server, (b'1', b'2', b'3'))
        self.assertEqual({outcome.status for outcome in outcomes}, {503})
        numbers = [number for _, number in server.connection_by_arrival]
        self.assertEqual(numbers, [1, 1, 2])

    async def test_rejections_cost_no_connection(self) -> None:
        """Guards against new connections to a server that is overloaded.

        A connection is kept however many requests are rejected on it, as long
        as it can remember those that may still be sent again.
        """
        server = _Server(sends_copies=False, is_quick=True)
        await self._play(server, _ids(_MANY), seconds=0.01)
        self.assertEqual(server.connections, 1)

    async def test_ids_on_a_connection_are_bounded(self) -> None:
        """A connection is closed before it has to remember too many ids."""
        server = _Server(sends_copies=False, is_quick=True)
        await self._play(server, _ids(_MANY), seconds=60)
        self.assertEqual(server.connections, 2)

    async def _play(
        self,
        server: _Server,
        request_ids: tuple[bytes, ...],
        limit: int = 4,
        seconds: float = 10,
    ) -> list[HttpOutcome]:
        address = reserve_addresses(1)[0]
        listener = await asyncio.start_server(
            server.serve, *split_address(address)
        )
        pool = HttpPool(asyncio.get_running_loop(), address, limit)
        outcomes = [
            await _request(pool, request_id, seconds)
            for request_id in request_ids
        ]
        pool.close()
        listener.close()
        # The server closes its connections before the event loop ends.
        await asyncio.sleep(_COPY_DELAY_SECONDS)
        return outcomes


class SequenceTest(TestCase):
    """Random sequences of attempts on one pool."""

    @settings(max_examples=25, deadline=None)
    @given(
        st.lists(
            st.sampled_from((b'1', b'2', b'3')), min_size=2, max_size=_REQUESTS
        ),
        st.sampled_from(_REJECTIONS),
        st.booleans(),
    )
    def test_each_attempt_gets_its_own_answer(
        self, request_ids: list[bytes], status: int, copy_has_id: bool
    ) -> None:
        """The first attempt of each id is rejected, all others have run."""
        outcomes = asyncio.run(
            SecondAnswerTest._play(
                SecondAnswerTest(),
                _Server(status, copy_has_id),
                tuple(request_ids),
            )
        )
        for index, outcome in enumerate(outcomes):
            is_first = request_ids[index] not in request_ids[:index]
            self.assertEqual(outcome.status, status if is_first else _OK)


class RetriedCallTest(FleetTestCase):
    """Calls of whole nodes whose backend server rejects each call once."""

    async def test_unsafe_call_runs_once(self) -> None:
        """Guards against unsafe calls that run twice after a rejection.

        The only server rejects the first arrival of each call and sends a copy
        of the rejection while it runs the next one. A call that is refused has
        not run.
        """
        await self._stop_second_server()
        backend = self.shop_vms[0].backend
        backend.faults.rejects_first_with_copy = True
        backend.processing_seconds = 0.05
        statuses = set()
        for number in range(_REQUESTS):
            request_id = f'call-{number}'
            outcome = await self.fleet.call(
                self.caller_vm,
                '/book/a',
                'POST',
                figlane_request_id=request_id,
            )
            runs = backend.request_log.run_count_by_id[request_id]
            self.assertEqual(runs, int(outcome.status == _OK))
            statuses.add(outcome.status)
        # The retry budget lets some calls run, if not all.
        self.assertIn(_OK, statuses)

    async def _stop_second_server(self) -> None:
        leaving = self.shop_vms[1]
        leaving.backend.state = 'draining'
        await leaving.backend.announce(leaving.control)
        members = self.caller_vm.node.world.members
        await self.wait_until(lambda: not members.by_id['vm-3'].service)


def _ids(count: int) -> tuple[bytes, ...]:
    return tuple(b'%d' % number for number in range(count))


async def _request(
    pool: HttpPool, request_id: bytes, seconds: float
) -> HttpOutcome:
    request = Request('POST', '/', ((names.REQUEST_ID, request_id),))
    row = RunOnBackend('e', 'i', 1, '', 1, request, 1, '', '', '')
    dialect = PlatformDialect()
    finished: asyncio.Future[HttpOutcome] = (
        asyncio.get_running_loop().create_future()
    )
    pool.request(
        request,
        finished.set_result,
        matches_request=functools.partial(dialect.is_response_to, row),
        key=AttemptKey(dialect.response_id(row), seconds),
    )
    return await asyncio.wait_for(finished, 2)
