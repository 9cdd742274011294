"""A simulated store, nodes and backend servers in one event loop."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec

from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import HttpOutcome
from figlane.composition import Node
from figlane.entities.http import Request
from figlane.platform.node import create_platform_node
from figlane.platform.settings import PlatformSettings, parse_settings
from figlane.systems.membership.readiness import is_ready
from standins.addresses import reserve_addresses
from standins.platform_backend import HEALTH_PATH, PlatformBackend
from standins.platform_store import PlatformStore

HOST = 'shop.example'
API_KEY = b'key-of-acme'
# The settings must name a port; nodes of the fleet bind any free port instead.
_ANY_PORT = 1
_LOOPBACK = '127.0.0.1'
_ANNOUNCE_INTERVAL_SECONDS = 0.3
_READY_TIMEOUT_SECONDS = 10
_CLIENT_CONNECTIONS = 200


@dataclass(slots=True)
class PlatformVm:
    """One VM: a node, the backend server beside it and their addresses."""

    node: Node
    backend: PlatformBackend
    entry: str
    control: str
    readiness: str
    task: asyncio.Task[None]
    clients: HttpPool


@dataclass(slots=True)
class PlatformFleet:
    """A store and the VMs that use it.

    ``grace_seconds`` is the grace period of the nodes that are added.
    """

    loop: asyncio.AbstractEventLoop
    store: PlatformStore
    store_address: str
    vms: list[PlatformVm] = field(default_factory=list)
    announcement_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    request_count: int = 0
    grace_seconds: float = 6.0

    async def add(self, service: str, zone: str) -> PlatformVm:
        """Start a VM with a node and a backend server.

        :param service: the backend server's service.
        :param zone: the VM's failure domain.
        :return: the VM.
        """
        name = f'vm-{len(self.vms) + 1}'
        entry, readiness, control, app = reserve_addresses(4)
        settings = self._settings(
            [name, zone, service],
            [entry, readiness, control, app],
        )
        backend = PlatformBackend(self.loop, f'i-{name}', service, app)
        await backend.start()
        node = create_platform_node(settings, self.loop)
        vm = PlatformVm(
            node,
            backend,
            entry,
            control,
            readiness,
            self.loop.create_task(node.run()),
            HttpPool(self.loop, entry, _CLIENT_CONNECTIONS),
        )
        self.vms.append(vm)
        self.announcement_tasks.append(
            self.loop.create_task(_announce_periodically(vm))
        )
        return vm

    async def wait_until_ready(self) -> None:
        """Wait until each node is ready and has a member for each VM."""
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            while not self._are_all_ready():
                await asyncio.sleep(0.05)

    async def call(
        self,
        vm: PlatformVm,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> HttpOutcome:
        """Send a request to the entry address of a VM's node.

        :param vm: the VM.
        :param path: path and query.
        :param method: HTTP method.
        :param body: request body.
        :param headers: headers that replace the default ones, with
            underscores for hyphens; an empty value removes a header.
        :return: the response, or the reason why there is none.
        """
        self.request_count += 1
        defaults = {
            'host': HOST,
            'figlane-request-id': f'request-{self.request_count}',
            'figlane-deadline-ms': '3000',
            'api-key': API_KEY.decode(),
        }
        defaults.update(
            (name.replace('_', '-'), content)
            for name, content in headers.items()
        )
        encoded = tuple(
            (name.encode(), content.encode())
            for name, content in defaults.items()
            if content
        )
        waiter: asyncio.Future[HttpOutcome] = self.loop.create_future()
        request = Request(method, path, encoded, body)
        vm.clients.request(request, waiter.set_result)
        return await asyncio.wait_for(waiter, 8)

    async def close(self) -> None:
        """End all nodes, backend servers and the store at once."""
        for task in self.announcement_tasks:
            task.cancel()
        for vm in self.vms:
            vm.clients.close()
            vm.node.stop_now()
        tasks = [ended.task for ended in self.vms]
        await asyncio.gather(*tasks, return_exceptions=True)
        for stopped in self.vms:
            stopped.backend.server.close()
        self.store.server.close()

    def _settings(
        self,
        names: list[str],
        addresses: list[str],
    ) -> PlatformSettings:
        entry, readiness, control = addresses[:3]
        settings = parse_settings(
            {
                'self': {
                    'node': names[0],
                    'ip': _LOOPBACK,
                    'zone': names[1],
                    'app_addr': addresses[3],
                    'service': names[2],
                },
                'network': {
                    'listen': {
                        'outbound': entry,
                        'ready': readiness,
                        'control': control,
                    },
                    'internal_ports': [_ANY_PORT, _ANY_PORT],
                    'zones': {'a': 'region', 'b': 'region'},
                },
                'platform': {
                    'heartbeat': f'{int(_ANNOUNCE_INTERVAL_SECONDS * 1000)}ms',
                    'platform': {'address': self.store_address},
                },
            },
        )
        return msgspec.structs.replace(
            settings,
            peer=f'{_LOOPBACK}:0',
            grace_seconds=self.grace_seconds,
        )

    def _is_vm_ready(self, vm: PlatformVm) -> bool:
        world = vm.node.world
        serving = [member for member in world.members if member.service]
        return is_ready(world) and len(serving) >= len(self.vms)

    def _are_all_ready(self) -> bool:
        return all(map(self._is_vm_ready, self.vms))


async def start_fleet(config: dict[str, Any] | None) -> PlatformFleet:
    """Start a store with a configuration and without VMs.

    :param config: the operators' configuration, or None to start without one.
    :return: the fleet.
    """
    loop = asyncio.get_running_loop()
    store = PlatformStore(loop)
    address = reserve_addresses(1)[0]
    host, _, port = address.partition(':')
    await store.server.start(host, int(port))
    if config is not None:
        store.table.write('config', 'main', config)
    return PlatformFleet(loop, store, address)


def configuration(**changes: Any) -> dict[str, Any]:
    """Build a configuration with one service in the platform's format.

    :param changes: top-level entries that replace the default ones.
    :return: the configuration.
    """
    defaults: dict[str, Any] = {
        'version': 1,
        'routes': {
            'columns': [
                'name',
                'host',
                'path_prefix',
                'kind',
                'timeout',
                'priority',
                'max_attempts',
                'allow_anonymous',
                'service',
            ],
            'rows': [
                ['r1', HOST, '/read/', 'safe', '2s', 2, 2, False, 'shop'],
                ['r2', HOST, '/book/', 'unsafe', '2s', 0, 2, False, 'shop'],
                ['r3', HOST, '/open/', 'safe', '2s', 2, 2, True, 'shop'],
            ],
        },
        'services': {
            'columns': ['name', 'cold_start', 'cold_per_s', 'health_path'],
            'rows': [['shop', '3s', 30.0, HEALTH_PATH]],
        },
        'tenants': {
            'columns': ['name', 'api_keys', 'rate_per_s', 'burst'],
            'rows': [['acme', [API_KEY.decode()], 10_000, 10_000]],
        },
        'limits': {'max_header_bytes': 16_384, 'idle_timeout': '15s'},
    }
    defaults.update(changes)
    return defaults


async def _announce_periodically(vm: PlatformVm) -> None:
    while True:
        await vm.backend.announce(vm.control)
        await asyncio.sleep(_ANNOUNCE_INTERVAL_SECONDS)
