"""Tests of ``deploy/node.py`` as a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any
from unittest import IsolatedAsyncioTestCase

from figlane.entities.http import Request
from figlane.settings import split_address
from standins.addresses import reserve_addresses, reserve_peer_address
from standins.platform_backend import PlatformBackend, send
from standins.platform_fleet import API_KEY, HOST, configuration
from standins.platform_store import PlatformStore

_SCRIPT = Path(__file__).parents[2] / 'deploy' / 'node.py'
# Time for a signal to reach a process.
_SIGNAL_SECONDS = 0.1
# Grace period of the settings, which is the default one.
_GRACE_SECONDS = 6.0
_SIGNAL_TIMEOUT_SECONDS = 10
# Time of processing of the request that is open while the signals come.
_WORK_SECONDS = 1.2
# Signals that come while the request is open, and the pauses after each.
_SERIES = (
    (signal.SIGTERM, 0.05),
    (signal.SIGHUP, 0.05),
    (signal.SIGTERM, 0.5),
    (signal.SIGINT, 0.05),
    (signal.SIGTERM, 0),
)
_INTERRUPTS = ((signal.SIGINT, _SIGNAL_SECONDS), (signal.SIGINT, 0))
# Longest stop of a node that has not served anything.
_EMPTY_STOP_SECONDS = 1.0
# Runs a node that gets SIGTERM as soon as it handles signals.
_STOPPED_AT_START = """
import os, signal, sys
from figlane.platform import node

handle_signals = node.handle_signals

def handle_and_send(*arguments):
    handle_signals(*arguments)
    os.kill(os.getpid(), signal.SIGTERM)

node.handle_signals = handle_and_send
sys.exit(node.main(()))
"""
# Grace period of a process that handles its signal late, in seconds.
_LATE_GRACE = 3
_SETTINGS = """
self: {{node: vm-1, ip: 127.0.0.1, zone: a, app_addr: "{app}", service: shop}}
network:
  listen: {{outbound: "{entry}", ready: "{ready}", control: "{control}"}}
  internal_ports: [{peer}, {peer}]
platform: {{heartbeat: 300ms, platform: {{address: "{store}"}}}}
"""


# Runs a node that gets a signal when the interpreter clears its last module.
_STOPPED_AT_THE_END = """
import os, signal, sys
from figlane.platform import node

class Signal:
    def __del__(self, kill=os.kill, id=os.getpid(), number=signal.SIGTERM):
        kill(id, number)

sys.signal_at_the_end = Signal()
sys.exit(node.main(()))
"""


class ProcessTest(IsolatedAsyncioTestCase):
    """Life cycle of one node process."""

    async def asyncSetUp(self) -> None:
        """Start a store and write a settings file."""
        loop = asyncio.get_running_loop()
        self.store = PlatformStore(loop)
        self.store.table.write('config', 'main', configuration())
        names = ('app', 'entry', 'ready', 'control', 'store')
        self.addresses = dict(zip(names, reserve_addresses(5), strict=True))
        await self.store.server.start(*split_address(self.addresses['store']))
        self.addCleanup(self.store.server.close)
        peer = split_address(reserve_peer_address())[1]
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / 'local.yaml'
        text = _SETTINGS.format(peer=peer, **self.addresses)
        self.path.write_text(text, encoding='utf-8')

    async def test_reload_while_starting(self) -> None:
        """Guards against a reload that ends a process before it serves.

        The process waits for its settings, which it reads from a pipe.
        """
        text = self.path.read_bytes()
        self.path.unlink()
        os.mkfifo(self.path)
        process = await self._start()
        # The pipe opens once the process has opened it too.
        pipe = await asyncio.to_thread(self.path.open, 'wb')
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(_SIGNAL_SECONDS)
        with pipe:
            pipe.write(text)
        await self._until_ready()
        process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(process.communicate(), 10)
        self.assertEqual(process.returncode, 0)

    async def test_start_and_stop(self) -> None:
        """A node becomes ready, logs its state changes and stops on SIGTERM."""
        process = await self._start()
        await self._until_ready()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        output, _ = await asyncio.wait_for(process.communicate(), 10)
        self.assertEqual(process.returncode, 0)
        lines = [json.loads(line) for line in output.splitlines()]
        events = [line.get('event') for line in lines]
        for event in (
            'node_started',
            'configuration_in_force',
            'settings_changed',
            'node_stopping',
            'node_stopped',
        ):
            with self.subTest(event=event):
                self.assertIn(event, events)
        stopping = lines[events.index('node_stopping')]
        self.assertEqual(stopping['signal'], 'SIGTERM')
        self.assertEqual(lines[-1]['event'], 'node_stopped')
        self.assertEqual(lines[-1]['requests_cut_off'], 0)
        self.assertLess(lines[-1]['seconds'], 6)

    async def test_repeated_signals_cut_off_no_request(self) -> None:
        """Guards against a second SIGTERM that cuts off open requests."""
        process = await self._start()
        call = await self._open_call()
        await _send_series(process, _SERIES)
        lines = await self._read_to_the_end(process)
        self.assertEqual(await call, 200)
        last = lines[-1]
        stops = [line for line in lines if line['event'] == 'node_stopping']
        self.assertEqual(
            [line['is_repeated'] for line in stops], [False, True, True, True]
        )
        self.assertEqual(last['event'], 'node_stopped')
        self.assertEqual(last['requests_cut_off'], 0)
        self.assertGreater(last['seconds'], _WORK_SECONDS - _SIGNAL_SECONDS)
        self.assertLess(last['seconds'], _GRACE_SECONDS)

    async def test_second_interrupt(self) -> None:
        """Guards against calls that are cut off by a second SIGINT.

        The backend server runs one request, the other one waits for it.
        """
        process = await self._start()
        running = await self._open_call()
        queued = asyncio.create_task(self._call(b'queued'))
        lines = await self._interrupt(process)
        self.assertEqual(await queued, 503)
        self.assertEqual(await running, 504)
        line_by_event = {line['event']: line for line in lines}
        self.assertTrue(line_by_event['node_stopping']['is_immediate'])
        self.assertNotIn('request_cut_off', line_by_event)
        stopped = line_by_event['node_stopped']
        self.assertEqual(stopped['requests_cut_off'], 0)
        self.assertLess(stopped['seconds'], _WORK_SECONDS - _SIGNAL_SECONDS)

    async def test_stop_while_starting(self) -> None:
        """Guards against a SIGTERM that gets lost before the sockets open."""
        process = await self._start('-c', _STOPPED_AT_START)
        lines = await self._read_to_the_end(process)
        last = lines[-1]
        self.assertEqual(last['event'], 'node_stopped')
        self.assertLess(last['seconds'], _EMPTY_STOP_SECONDS)

    async def test_late_signal_ends_in_time(self) -> None:
        """Guards against a grace period that begins when the signal is seen.

        The process is paused when the signal comes. A request that stays half
        received makes it use the whole grace period.
        """
        with self.path.open('a', encoding='utf-8') as settings:
            settings.write(f'terms: {{bounds: {{grace: {_LATE_GRACE}s}}}}\n')
        process = await self._start()
        await self._until_ready()
        await self._send_half_request()
        process.send_signal(signal.SIGSTOP)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_LATE_GRACE):
            await asyncio.sleep(_LATE_GRACE / 2)
            process.send_signal(signal.SIGCONT)
            await process.communicate()
        self.assertEqual(process.returncode, 0)

    async def test_stop_at_the_end_of_the_interpreter(self) -> None:
        """Guards against an exit code that tells of a failure.

        SIGTERM comes again when the process has done all of its work.
        """
        process = await self._start('-c', _STOPPED_AT_THE_END)
        await self._until_ready()
        process.send_signal(signal.SIGTERM)
        lines = await self._read_to_the_end(process)
        self.assertEqual(lines[-1]['event'], 'node_stopped')

    async def _start_backend(self) -> PlatformBackend:
        loop = asyncio.get_running_loop()
        address = self.addresses['app']
        backend = PlatformBackend(loop, 'i-1', 'shop', address)
        backend.processing_seconds = _WORK_SECONDS
        backend.slots = 1
        await backend.start()
        self.addCleanup(backend.server.close)
        return backend

    async def _open_call(self) -> asyncio.Task[int]:
        """Send a request and wait until a backend server runs it.

        :return: the task that waits for the status of the answer.
        """
        backend = await self._start_backend()
        await self._until_ready()
        self.assertEqual(await backend.announce(self.addresses['control']), 200)
        call = asyncio.create_task(self._call())
        async with asyncio.timeout(_SIGNAL_TIMEOUT_SECONDS):
            while not backend.request_log.running:
                await asyncio.sleep(0.02)
        return call

    async def _call(self, request_id: bytes = b'open') -> int:
        headers = (
            (b'host', HOST.encode()),
            (b'figlane-request-id', request_id),
            (b'api-key', API_KEY),
        )
        request = Request('POST', '/book/a', headers, b'body')
        loop = asyncio.get_running_loop()
        return await send(loop, self.addresses['entry'], request)

    async def _interrupt(
        self, process: asyncio.subprocess.Process
    ) -> list[dict[str, Any]]:
        await asyncio.sleep(_SIGNAL_SECONDS)
        await _send_series(process, _INTERRUPTS)
        return await self._read_to_the_end(process)

    async def _read_to_the_end(
        self, process: asyncio.subprocess.Process
    ) -> list[dict[str, Any]]:
        output, _ = await asyncio.wait_for(
            process.communicate(), _SIGNAL_TIMEOUT_SECONDS
        )
        self.assertEqual(process.returncode, 0)
        return [
            line
            for line in map(json.loads, output.splitlines())
            if 'event' in line
        ]

    async def _send_half_request(self) -> None:
        address = split_address(self.addresses['entry'])
        _, writer = await asyncio.open_connection(*address)
        self.addCleanup(writer.close)
        writer.write(b'POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\n')
        await asyncio.sleep(_SIGNAL_SECONDS)

    async def _start(self, *arguments: str) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(arguments or (str(_SCRIPT),)),
            env={**os.environ, 'FIGLANE_CONFIG': str(self.path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self.addCleanup(_kill_if_running, process)
        return process

    async def _until_ready(self) -> None:
        loop = asyncio.get_running_loop()
        check = Request('GET', '/readiness', ())
        async with asyncio.timeout(10):
            while await send(loop, self.addresses['ready'], check) != 200:
                await asyncio.sleep(0.1)


async def _send_series(
    process: asyncio.subprocess.Process,
    series: tuple[tuple[signal.Signals, float], ...],
) -> None:
    for number, seconds in series:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
        await asyncio.sleep(seconds)


def _kill_if_running(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
