"""Tests of ``deploy/node.py`` as a process."""

from __future__ import annotations

import asyncio
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
from standins.platform_backend import send
from standins.platform_fleet import configuration
from standins.platform_store import PlatformStore

_SCRIPT = Path(__file__).parents[2] / 'deploy' / 'node.py'
# Time for a signal to reach a process.
_SIGNAL_SECONDS = 0.1
# Grace period of a process that handles its signal late, in seconds.
_LATE_GRACE = 3
_SETTINGS = """
self: {{node: vm-1, ip: 127.0.0.1, zone: a, app_addr: "{app}", service: shop}}
network:
  listen: {{outbound: "{entry}", ready: "{ready}", control: "{control}"}}
  internal_ports: [{peer}, {peer}]
platform: {{heartbeat: 300ms, platform: {{address: "{store}"}}}}
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
        events = [_event_name(line) for line in output.splitlines()]
        for event in (
            'node_started',
            'configuration_in_force',
            'settings_changed',
            'node_stopping',
            'node_stopped',
        ):
            with self.subTest(event=event):
                self.assertIn(event, events)

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

    async def _send_half_request(self) -> None:
        address = split_address(self.addresses['entry'])
        _, writer = await asyncio.open_connection(*address)
        self.addCleanup(writer.close)
        writer.write(b'POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\n')
        await asyncio.sleep(_SIGNAL_SECONDS)

    async def _start(self) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(_SCRIPT),
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


def _kill_if_running(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()


def _event_name(line: bytes) -> Any:
    return json.loads(line).get('event')
