"""Planned stop of a whole node whose callers keep their connections."""

from __future__ import annotations

import asyncio
import functools
import random
import socket
import time
from collections import Counter
from collections.abc import Callable

from figlane.adapters.http_exchange import HttpFailure
from figlane.entities.http import Answer
from figlane.settings import split_address
from standins.platform_fleet import API_KEY, HOST
from tests.adapters.test_http_server_stop import wait_until_refused
from tests.platform.test_node import FleetTestCase

_GRACE_SECONDS = 4.0
# Shorter than the time limit of the routes.
_SHORT_GRACE_SECONDS = 1.5
# Part of the grace period after the drain.
_RESERVE_SECONDS = 0.6
_CALLERS = 8
_MIN_WORK_SECONDS = 0.2
_MAX_WORK_SECONDS = 0.6
# Time in the grace period after which the servers turn slow, how much slower
# they are then, and their times of work before.
_SLOW_AFTER_SECONDS = 2.4
_SLOWDOWN = 6
_MIN_FAST_SECONDS = 0.05
_MAX_FAST_SECONDS = 0.3
_SLOW_CALLERS = 20
# Time until what a node has written has reached its callers.
_DELIVERY_SECONDS = 0.05
_OK = 200
_UNAVAILABLE = 503
_TIME_LIMIT_REACHED = 504
# More than the kernel's buffers hold, and less than the flow-control window.
_SLOW_BODY_BYTES = 1_000_000
_SLOW_SECONDS = 2.8
# The segment size of Ethernet and a small window, so that the kernel's buffers
# stay small.
_SEGMENT_BYTES = 1460
_WINDOW_BYTES = 16_384

# Times of further requests to stop, in seconds after the first one.
_REPEATED_AFTER_SECONDS = (0.05, 1.0, 2.4, 3.0)
# Time for which a node serves callers until they know that it stops.
_ENTRY_GRACE_SECONDS = 2.0
# A call that begins while the node accepts every call, and lasts until shortly
# before its drain ends.
_LONG_CALL_AFTER_SECONDS = 1.3
_LONG_CALL_SECONDS = 1.8

# Id, time of sending, outcome and duration of a request.
_Row = tuple[str, float, Answer | HttpFailure, float]
_LoadTask = asyncio.Task[list[_Row]]


_work_times = random.Random(4)


def _draw_fast() -> float:
    return _work_times.uniform(_MIN_FAST_SECONDS, _MAX_FAST_SECONDS)


def _draw_slow() -> float:
    return _SLOWDOWN * _draw_fast()


def _request(request_id: bytes) -> bytes:
    return (
        b'GET /read/a HTTP/1.1\r\nhost: %b\r\n'
        b'figlane-request-id: %b\r\napi-key: %b\r\n\r\n'
        % (HOST.encode(), request_id, API_KEY)
    )


class PlannedStopTest(FleetTestCase):
    """The node of the callers stops; their requests run at other VMs."""

    grace_seconds = _GRACE_SECONDS

    async def test_no_request_is_cut_off(self) -> None:
        """Guards against requests that are taken and cut off by the stop.

        Callers without another node send requests until the process is gone.
        Each that is read gets an answer, and none that ran is refused.
        """
        loads = await self._start_load()
        self.caller_vm.node.stop()
        stopped_at = time.monotonic()
        await self.caller_vm.task
        self.assertLess(time.monotonic() - stopped_at, _GRACE_SECONDS)
        rows = [row for load in await asyncio.gather(*loads) for row in load]
        self._check_outcomes(rows)
        self._check_last_served(stopped_at, rows)

    async def test_repeated_stops_cut_off_no_request(self) -> None:
        """Guards against a repeated signal that ends the process at once."""
        loads = await self._start_load()
        loads.append(asyncio.create_task(self._call_for_long()))
        seconds = await self._stop_repeatedly()
        rows = [row for load in await asyncio.gather(*loads) for row in load]
        self._check_outcomes(rows)
        self.assertLess(seconds, _GRACE_SECONDS)
        self.assertGreater(seconds, _GRACE_SECONDS - _RESERVE_SECONDS)

    async def test_slower_servers_cut_no_request_off(self) -> None:
        """Guards against requests cut off by the stop at slower servers.

        Requests that the servers can no longer end in time get the servers'
        own answer at the time limit, and none that ran is refused.
        """
        for vm in self.shop_vms:
            vm.backend.keeps_time_limit = True
            vm.backend.draw_seconds = _draw_fast
        loads = self._start_loads(_SLOW_CALLERS)
        await asyncio.sleep(2 * _MAX_FAST_SECONDS)
        self.caller_vm.node.stop()
        await asyncio.sleep(_SLOW_AFTER_SECONDS)
        for slow_vm in self.shop_vms:
            slow_vm.backend.draw_seconds = _draw_slow
        rows = await self._end_loads(loads)
        self._check_slow_outcomes(rows)

    async def test_unanswered_request_gets_a_final_answer(self) -> None:
        """Guards against connections that are closed while servers hang."""
        for vm in self.shop_vms:
            vm.backend.draw_seconds = _draw_fast
        loads = self._start_loads(_CALLERS)
        await asyncio.sleep(2 * _MAX_FAST_SECONDS)
        self.caller_vm.node.stop()
        await asyncio.sleep(_SLOW_AFTER_SECONDS)
        for hanging_vm in self.shop_vms:
            hanging_vm.backend.faults.hangs = True
        rows = await self._end_loads(loads)
        runs = self._runs_by_id()
        statuses = {
            getattr(outcome, 'status', 0)
            for request_id, _, outcome, _ in rows
            if runs[request_id]
        }
        self.assertEqual(statuses, {_OK, _TIME_LIMIT_REACHED})

    async def test_slow_reader_gets_the_whole_answer(self) -> None:
        """Guards against answers that are cut off while a caller reads them.

        The call has ended at all nodes long before its caller has read the
        answer that waits in the node that stops, which gets further requests
        to stop meanwhile, one of them when its drain has ended.
        """
        for vm in self.shop_vms:
            vm.backend.body_bytes = _SLOW_BODY_BYTES
        reader = asyncio.create_task(self._read_slowly())
        await asyncio.sleep(0.3)
        seconds = await self._stop_repeatedly()
        received = await reader
        self.assertGreater(received, _SLOW_BODY_BYTES)
        self.assertLess(seconds, _GRACE_SECONDS)

    async def test_idle_node_stops_early(self) -> None:
        """A node without work does not use up the grace period."""
        stopped_at = time.monotonic()
        self.caller_vm.node.stop()
        await self.caller_vm.task
        self.assertLess(time.monotonic() - stopped_at, _GRACE_SECONDS - 1)

    async def test_repeated_stops_of_an_idle_node(self) -> None:
        """An idle node stops no earlier and no later for further signals."""
        seconds = await self._stop_repeatedly()
        self.assertGreater(seconds, _ENTRY_GRACE_SECONDS)
        self.assertLess(seconds, _GRACE_SECONDS - 1)

    async def test_last_request_is_refused_as_not_run(self) -> None:
        """Guards against requests that are cut off as the sockets close.

        The node is idle and stops early; the request is sent once nothing
        listens any more.
        """
        address = split_address(self.caller_vm.entry)
        reader, writer = await asyncio.open_connection(*address)
        self.caller_vm.node.stop()
        await wait_until_refused(address)
        writer.write(_request(b'last'))
        answer = await reader.read()
        writer.close()
        self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer)
        for text in (b'"outcome":"not-run"', b'retry-after', b'connection: cl'):
            self.assertIn(text, answer)
        self.assertEqual(self.execution_count(), 0)

    async def test_stop_before_the_start(self) -> None:
        """A node that is told to stop before it has started ends."""
        for title in ('stop', 'stop_now'):
            with self.subTest(title):
                vm = await self.fleet.add('front', 'b')
                getattr(vm.node, title)()
                await asyncio.wait_for(vm.task, _GRACE_SECONDS)

    async def _start_load(self) -> list[_LoadTask]:
        draw_seconds = functools.partial(
            random.Random(4).uniform, _MIN_WORK_SECONDS, _MAX_WORK_SECONDS
        )
        self._draw_work(draw_seconds)
        loads = self._start_loads(_CALLERS)
        await asyncio.sleep(2 * _MAX_WORK_SECONDS)
        return loads

    async def _call_for_long(self) -> list[_Row]:
        await asyncio.sleep(_LONG_CALL_AFTER_SECONDS)
        draw_seconds = self.shop_vms[0].backend.draw_seconds
        self._draw_work(lambda: _LONG_CALL_SECONDS)
        call = asyncio.create_task(self._call('long'))
        await self.wait_until(lambda: self._runs_by_id()['long'])
        self._draw_work(draw_seconds)
        return [await call]

    async def _stop_repeatedly(self) -> float:
        """Stop the callers' node several times and wait for its end.

        :return: seconds from the first request to stop to the end.
        """
        node = self.caller_vm.node
        loop = asyncio.get_running_loop()
        stopped_at = time.monotonic()
        node.stop()
        for seconds in _REPEATED_AFTER_SECONDS:
            loop.call_later(seconds, node.stop)
        await self.caller_vm.task
        return time.monotonic() - stopped_at

    def _check_last_served(self, stopped_at: float, rows: list[_Row]) -> None:
        """Check that a request with twice the longest time left is served."""
        served = [row for row in rows if getattr(row[2], 'status', 0) == _OK]
        longest = max(seconds for _, _, _, seconds in served)
        last_sent_at = max(sent_at for _, sent_at, _, _ in served)
        drain_ends_at = stopped_at + _GRACE_SECONDS - _RESERVE_SECONDS
        self.assertGreater(last_sent_at, drain_ends_at - 2 * longest)

    def _check_outcomes(self, rows: list[_Row]) -> None:
        runs = self._runs_by_id()
        for request_id, _, outcome, _ in rows:
            with self.subTest(request=request_id):
                if isinstance(outcome, HttpFailure):
                    self.assertEqual(runs[request_id], 0, outcome.reason)
                elif outcome.status == _UNAVAILABLE:
                    self.assertEqual(runs[request_id], 0)
                else:
                    self.assertEqual(outcome.status, _OK)

    def _draw_work(self, draw_seconds: Callable[[], float] | None) -> None:
        for vm in self.shop_vms:
            vm.backend.draw_seconds = draw_seconds

    def _runs_by_id(self) -> Counter[str]:
        return Counter(
            request_id
            for vm in self.shop_vms
            for request_id in vm.backend.request_log.run_count_by_id.elements()
        )

    def _check_slow_outcomes(self, rows: list[_Row]) -> None:
        runs = self._runs_by_id()
        statuses: Counter[int] = Counter()
        for request_id, _, outcome, _ in rows:
            status = getattr(outcome, 'status', 0)
            statuses[status] += 1
            with self.subTest(request=request_id):
                if status == _TIME_LIMIT_REACHED:
                    # The server's answer, and not one of the node.
                    names = {name for name, _ in outcome.headers}
                    self.assertIn(b'figlane-response-seal', names)
                elif status != _OK:
                    self.assertEqual(runs[request_id], 0, outcome)
        self.assertGreater(statuses[_TIME_LIMIT_REACHED], 0, statuses)

    def _start_loads(self, count: int) -> list[_LoadTask]:
        return [
            asyncio.create_task(self._load(f'{number}'))
            for number in range(count)
        ]

    async def _end_loads(self, loads: list[_LoadTask]) -> list[_Row]:
        await self.caller_vm.task
        await asyncio.sleep(_DELIVERY_SECONDS)
        # As the end of a process does with the connections that are left.
        self.caller_vm.clients.close()
        return [row for load in await asyncio.gather(*loads) for row in load]

    async def _load(self, name: str) -> list[_Row]:
        rows = []
        while not self.caller_vm.task.done():
            rows.append(await self._call(f'{name}-{len(rows)}'))
            await asyncio.sleep(0.02)
        return rows

    async def _call(self, request_id: str) -> _Row:
        sent_at = time.monotonic()
        outcome = await self.fleet.call(
            self.caller_vm, '/book/a', 'POST', figlane_request_id=request_id
        )
        return request_id, sent_at, outcome, time.monotonic() - sent_at

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
        writer.write(_request(b'slow'))
        received = len(await reader.read(_SEGMENT_BYTES))
        await asyncio.sleep(_SLOW_SECONDS)
        self.assertFalse(self.caller_vm.task.done())
        while part := await reader.read(1 << 16):
            received += len(part)
        writer.close()
        return received


class ExitStopTest(FleetTestCase):
    """A node stops whose backend server works past the grace period."""

    grace_seconds = _SHORT_GRACE_SECONDS

    async def test_unanswered_run_is_reported(self) -> None:
        """Guards against callers that wait for an exit node that is gone."""
        for vm in self.shop_vms:
            vm.backend.faults.hangs = True
        sent_at = time.monotonic()
        answer = await self._call_and_stop('/book/a', 'POST')
        self.assertEqual(answer.status, _TIME_LIMIT_REACHED)
        self.assertLess(time.monotonic() - sent_at, _SHORT_GRACE_SECONDS)

    async def test_idempotent_run_is_repeated(self) -> None:
        """An idempotent request that outlasts its exit node runs elsewhere."""
        for vm in self.shop_vms:
            vm.backend.faults.hangs = True
        answer = await self._call_and_stop('/read/a', 'GET')
        self.assertEqual(answer.status, _OK)
        self.assertEqual(self.execution_count(), 2)

    async def _call_and_stop(self, path: str, method: str) -> Answer:
        """Stop the node whose server runs a request; the other ones answer."""
        call = asyncio.ensure_future(
            self.fleet.call(self.caller_vm, path, method)
        )
        await self.wait_until(self.running_count)
        for vm in self.shop_vms:
            if vm.backend.request_log.running:
                vm.node.stop()
            else:
                vm.backend.faults.hangs = False
        return await call
