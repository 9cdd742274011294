"""Starts, signals and restarts the node processes of a run."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

from figlane.settings import split_address
from standins.platform_site import SiteVm, node_settings
from tools.soaking.entities import History, NodeProcess

_RESTART_SECONDS = 0.5
_START_POLL_SECONDS = 0.01
_READINESS_SECONDS = 1.0
_MISSES_UNTIL_OUT = 2
# Nodes are out so long after SIGTERM.
_UNREADY_SECONDS = 4
_INHERITED = ('PATH', 'HOME', 'LANG')


@dataclass(slots=True)
class ProcessPlan:
    """How node processes are started.

    ``node_root`` is the checkout whose nodes are run, ``folder`` gets the
    settings and the logs, ``store`` is the address of the object store.
    """

    node_root: Path
    folder: Path
    store: str


@dataclass(slots=True)
class NodeState:
    """Present state of a VM's node.

    ``is_stopping`` is set from the first SIGTERM until the next start.
    ``signals_after_start`` are sent to the next process, each so many seconds
    after its start. ``misses`` counts readiness checks without a 200 in a row.
    """

    process: asyncio.subprocess.Process | None = None
    row: NodeProcess | None = None
    start_count: int = 0
    is_wanted: bool = True
    is_stopping: bool = False
    is_starting: bool = False
    misses: int = 0
    signals_after_start: list[tuple[float, int]] = field(default_factory=list)

    @property
    def is_in(self) -> bool:
        """Tell whether the platform counts the node as ready.

        :return: False after two misses.
        """
        return self.misses < _MISSES_UNTIL_OUT


@dataclass(slots=True)
class NodeSupervisor:
    """Keeps the node process of one VM running, as the platform does."""

    history: History
    plan: ProcessPlan
    vm: SiteVm
    state: NodeState = field(default_factory=NodeState)
    timers: set[asyncio.Handle] = field(default_factory=set)

    async def run(self, first_start: bool) -> None:
        """Start the process, and again after each end while it is wanted.

        :param first_start: whether the whole deployment starts.
        """
        state = self.state
        while state.is_wanted:
            state.is_starting = True
            process = await self._start(first_start)
            state.is_starting = False
            first_start = False
            row = state.row
            assert row is not None
            row.exit_code = await process.wait()
            row.ended_at = monotonic()
            await asyncio.sleep(_RESTART_SECONDS)

    async def check_readiness(self) -> None:
        """Ask once a second whether the node is ready."""
        while True:
            is_ready = await _is_ready(self.vm.address('ready'))
            self.state.misses = 0 if is_ready else self.state.misses + 1
            await asyncio.sleep(_READINESS_SECONDS)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs.

        After the first SIGTERM, a process that has not ended by the end of its
        grace period gets SIGKILL.

        :param number: the signal's number.
        """
        row = self.state.row
        process = self.state.process
        if row is None or process is None or has_ended(row):
            return
        is_first = not self.history.signal_times(row.id, signal.SIGTERM)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
        self.history.add_signal(row.id, number, monotonic())
        if number == signal.SIGTERM and is_first:
            self.state.is_stopping = True
            row.is_ready_at_stop = self.state.is_in
            self._call_later(_UNREADY_SECONDS, self._note_readiness, row.id)
            self._call_later(self.history.bounds.grace, self._kill, row.id)

    async def end(self) -> None:
        """End the process at once and start no other one."""
        state = self.state
        state.is_wanted = False
        for timer in self.timers:
            timer.cancel()
        while state.is_starting:
            await asyncio.sleep(_START_POLL_SECONDS)
        if state.process is None:
            return
        if state.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                state.process.kill()
        await state.process.wait()

    async def _start(self, first_start: bool) -> asyncio.subprocess.Process:
        state = self.state
        state.start_count += 1
        name = self.vm.name
        log_path = self.plan.folder / f'{name}.{state.start_count}.log'
        environment = self._environment(first_start)
        with log_path.open('wb') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.plan.node_root / 'deploy' / 'node.py'),
                cwd=self.plan.node_root,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        state.process = process
        state.is_stopping = False
        state.row = NodeProcess(
            len(self.history.processes_by_id) + 1,
            name,
            process.pid,
            str(log_path),
            monotonic(),
        )
        self.history.processes_by_id[state.row.id] = state.row
        for seconds, number in state.signals_after_start:
            self._call_later(seconds, self._signal_row, state.row.id, number)
        state.signals_after_start.clear()
        return process

    def _environment(self, first_start: bool) -> dict[str, str]:
        plan = self.plan
        settings = plan.folder / f'{self.vm.name}.yaml'
        tables = node_settings(
            self.vm, plan.store, first_start, self.history.bounds.grace
        )
        settings.write_text(json.dumps(tables), encoding='utf-8')
        environment = {
            key: os.environ[key] for key in _INHERITED if key in os.environ
        }
        environment['FIGLANE_CONFIG'] = str(settings)
        return environment

    def _signal_row(self, process_id: int, number: int) -> None:
        if self.state.row is not None and self.state.row.id == process_id:
            self.send_signal(number)

    def _kill(self, process_id: int) -> None:
        row = self.history.processes_by_id[process_id]
        if not has_ended(row):
            self._signal_row(process_id, signal.SIGKILL)

    def _note_readiness(self, process_id: int) -> None:
        row = self.history.processes_by_id[process_id]
        row.is_ready_after_stop = self.state.is_in and not has_ended(row)

    def _call_later(self, seconds: float, callback: object, *args: int) -> None:
        self.timers.add(
            asyncio.get_running_loop().call_later(seconds, callback, *args)
        )


def has_ended(row: NodeProcess) -> bool:
    """Tell whether a process has ended, also if nobody has waited for it.

    :param row: the process.
    :return: True if its end is known to the kernel.
    """
    if row.exit_code is not None:
        return True
    try:
        ended = os.waitid(
            os.P_PID, row.pid, os.WEXITED | os.WNOHANG | os.WNOWAIT
        )
    except ChildProcessError:
        return True
    return ended is not None


async def _is_ready(address: str) -> bool:
    try:
        async with asyncio.timeout(_READINESS_SECONDS):
            reader, writer = await asyncio.open_connection(
                *split_address(address)
            )
            writer.write(
                b'GET /readiness HTTP/1.1\r\nhost: x\r\n'
                b'connection: close\r\n\r\n'
            )
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b' 200 ' in line
