"""Starts and stops nodes and simulated external systems as processes."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

_STOP_TIMEOUT_SECONDS = 15
_CALL_TIMEOUT_SECONDS = 15


@dataclass(slots=True)
class Process:
    """A running process and the addresses that it printed at start."""

    name: str
    popen: subprocess.Popen[str]
    printed_addresses: dict[str, str]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process.

        :param number: the signal.
        """
        self.popen.send_signal(number)

    def stop(self) -> int:
        """Terminate the process, and kill it if it does not exit in time.

        :return: its exit code.
        """
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(_STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@dataclass(slots=True, frozen=True)
class Reply:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def decoded_body(self) -> Any:
        """Decode the JSON body.

        :return: the decoded body.
        """
        return json.loads(self.body)


@dataclass(slots=True)
class BackendOptions:
    """Size of a backend server and duration of its cold start."""

    slots: int = 20
    connections: int = 200
    cold_seconds: float = 0


@dataclass(slots=True)
class Fleet:
    """A simulated platform, and nodes with a backend server beside each."""

    process_by_name: dict[str, Process] = field(default_factory=dict)
    node_settings: dict[str, Any] = field(default_factory=dict)
    service_by_node: dict[str, str] = field(default_factory=dict)
    options_by_node: dict[str, BackendOptions] = field(default_factory=dict)
    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix='figlane-')),
    )

    def __enter__(self) -> Fleet:
        """Start the simulated platform.

        :return: the fleet.
        """
        self.start('platform', 'standins.platform')
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop all processes, the last started first."""
        for process in reversed(self.process_by_name.values()):
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.terminate()
        for process in reversed(self.process_by_name.values()):
            process.stop()

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start a process and read the addresses that it prints.

        :param name: the process's name within this fleet.
        :param module: the Python module to run.
        :param arguments: its command-line arguments.
        :return: the process.
        """
        log_path = self.folder / f'{name}.log'
        with log_path.open('a', encoding='utf-8') as log:
            popen = subprocess.Popen(
                (sys.executable, '-m', module, *arguments),
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                env={**os.environ, 'PYTHONPATH': _python_path()},
            )
        assert popen.stdout is not None
        line = popen.stdout.readline()
        if not line:
            popen.wait()
            raise RuntimeError(
                f'{name} exited during start: {log_path.read_text()}',
            )
        process = Process(name, popen, json.loads(line))
        self.process_by_name[name] = process
        return process

    def start_node(self, node_id: str, failure_domain: str) -> Process:
        """Start a node without a backend server.

        :param node_id: the node's id.
        :param failure_domain: the node's failure domain.
        :return: the process.
        """
        settings = {
            'node_id': node_id,
            'failure_domain': failure_domain,
            'platform': self.platform_address,
            **self.node_settings,
        }
        path = self.folder / f'{node_id}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        return self.start(node_id, 'figlane.node', '--settings', str(path))

    def start_backend(
        self,
        node_id: str,
        service: str,
        options: BackendOptions | None = None,
    ) -> Process:
        """Start a backend server beside a node.

        :param node_id: the node's id.
        :param service: the backend server's service.
        :param options: its size, by default that of ``BackendOptions()``.
        :return: the process.
        """
        options = options or BackendOptions()
        self.service_by_node[node_id] = service
        self.options_by_node[node_id] = options
        node = self.process_by_name[node_id]
        return self.start(
            f'{node_id}-backend',
            'standins.backend',
            f'--service={service}',
            f'--admin={node.printed_addresses["admin"]}',
            f'--entry={node.printed_addresses["entry"]}',
            f'--slots={options.slots}',
            f'--connections={options.connections}',
            f'--cold-seconds={options.cold_seconds}',
        )

    @property
    def platform_address(self) -> str:
        """Return the address of the simulated platform.

        :return: ``host:port``.
        """
        return self.process_by_name['platform'].printed_addresses['address']

    def put_object(self, kind: str, name: str, content: Any) -> Reply:
        """Write an object unconditionally.

        :param kind: the object's kind.
        :param name: the object's name.
        :param content: the value, which must be serialisable as JSON.
        :return: the simulated platform's response.
        """
        return call(
            'PUT',
            f'http://{self.platform_address}/v1/objects/{kind}/{name}',
            body=json.dumps({'value': content}).encode(),
        )

    def state(self, node_id: str) -> dict[str, Any]:
        """Read a node's state from its admin interface.

        :param node_id: the node's id.
        :return: the decoded state.
        """
        address = self.process_by_name[node_id].printed_addresses['admin']
        return call('GET', f'http://{address}/state').decoded_body


def call(
    method: str,
    url: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> Reply:
    """Send an HTTP request and read the whole response.

    :param method: HTTP method.
    :param url: URL on this machine.
    :param headers: request headers.
    :param body: request body.
    :return: the response, also for error statuses.
    """
    request = Request(
        url,
        data=body,
        headers=headers or {},
        method=method,
    )
    try:
        with urlopen(
            request,
            timeout=_CALL_TIMEOUT_SECONDS,
        ) as response:
            return Reply(
                response.status,
                dict(response.headers),
                response.read(),
            )
    except HTTPError as error:
        with contextlib.closing(error):
            return Reply(error.code, dict(error.headers), error.read())


def wait_until(condition: Callable[[], bool], seconds: float = 20) -> None:
    """Poll until a condition holds; raises ``TimeoutError`` on time-out.

    :param condition: the condition, polled every 20 ms.
    :param seconds: the timeout.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError('condition not met before the time-out')
        time.sleep(0.02)


def _python_path() -> str:
    # The sources of this checkout go before those of the environment, which may
    # belong to another one.
    root = Path(__file__).parent.parent
    paths = [str(root / 'src'), str(root), os.environ.get('PYTHONPATH', '')]
    return os.pathsep.join(filter(None, paths))
