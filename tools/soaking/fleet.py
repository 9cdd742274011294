"""The VMs of a run, and the actions that disturb them."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import sys
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from figlane.registry import Registry
from standins.platform_site import (
    CLASS_BY_NAME,
    TAKEN_OUT_KIND,
    SiteVm,
    configuration,
)
from standins.platform_store import ObjectTable
from tools.soaking.callers import BURST, BURST_CALLERS, MANNERS, Caller, Manner
from tools.soaking.disturbances import Step
from tools.soaking.entities import DomainDrain, Event, History, Version
from tools.soaking.processes import NodeSupervisor, ProcessPlan
from tools.soaking.servers import BackendServer

_BUSY_CODE = """
import sys, time
ends_at = time.monotonic() + float(sys.argv[1])
while time.monotonic() < ends_at:
    pass
"""
_READY_POLL_SECONDS = 0.1
_LAG_SECONDS = 0.02
# A new node takes no calls until it is ready.
_LAST_READY_SECONDS = 30
_BURST_PAUSE_SECONDS = 0.05
# When the callers beside all nodes ask for a changed route.
_ASK_AFTER_SECONDS = (0.5, 1.55)


@dataclass(slots=True)
class FleetVm:
    """A VM with its node, its backend server and their tasks."""

    node: NodeSupervisor
    server: BackendServer
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)


@dataclass(slots=True)
class Load:
    """Load of the callers: until when, and pause between requests."""

    ends_at: float
    mean_pause: float


class Fleet:
    """All VMs of a run."""

    def __init__(
        self, history: History, plan: ProcessPlan, table: ObjectTable, seed: int
    ) -> None:
        """Create a fleet without VMs.

        :param history: the tables of the run.
        :param plan: how processes are started.
        :param table: the objects of the store.
        :param seed: seed of the callers and the servers.
        """
        self.history = history
        self.vms_by_name: dict[str, FleetVm] = {}
        self.spares_by_name: dict[str, SiteVm] = {}
        self.slowdowns: dict[str, float] = {}
        self.load: Load | None = None
        self.plan = plan
        self.table = table
        self._seed = seed
        self._loop = asyncio.get_running_loop()
        self._caller_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def add(self, vm: SiteVm, first_start: bool) -> None:
        """Start the node and the backend server of a VM.

        :param vm: the VM.
        :param first_start: whether the whole deployment starts.
        """
        node = NodeSupervisor(self.history, self.plan, vm)
        source = random.Random(f'{self._seed}-{vm.name}')
        server = BackendServer(self.history, node, source, self.slowdowns)
        added = FleetVm(node, server)
        self.vms_by_name[vm.name] = added
        self.history.domain_by_vm[vm.name] = vm.domain
        await server.start(is_cold=not first_start)
        added.tasks.append(self._loop.create_task(node.run(first_start)))
        checks = self._loop.create_task(node.check_readiness())
        added.tasks.append(checks)
        if self.load is not None:
            self.start_callers(added, MANNERS, self.load)

    def configure(self, service_by_route: Mapping[str, str]) -> None:
        """Write a new version of the configuration.

        :param service_by_route: its routes.
        """
        versions = self.history.versions
        number = sum(range(len(versions) + 1)) + 1
        row = Version(number, monotonic(), dict(service_by_route))
        versions.append(row)
        written = configuration(number, service_by_route)
        self.table.write('config', 'main', written)

    def start_callers(
        self, vm: FleetVm, manners: tuple[Manner, ...], load: Load
    ) -> None:
        """Start callers beside a node.

        :param vm: the node's VM.
        :param manners: one for each caller.
        :param load: their load.
        """
        name = vm.node.vm.name
        for manner in manners:
            number = next(self._caller_numbers)
            caller = Caller(
                self.history,
                vm.node,
                self.gets_work,
                manner,
                random.Random(f'{self._seed}-{name}-{number}'),
                f'{name}-{number}',
            )
            running = caller.run(load.ends_at, load.mean_pause)
            vm.tasks.append(self._loop.create_task(running))

    def start_load(self, load: Load) -> None:
        """Start the callers beside all nodes.

        :param load: the load.
        """
        self.load = load
        self.history.max_lag = 0
        for vm in self.vms_by_name.values():
            self.start_callers(vm, MANNERS, load)

    async def wait_until_ready(self) -> bool:
        """Wait until all nodes are ready.

        :return: False if they are not within the limit.
        """
        try:
            async with asyncio.timeout(_LAST_READY_SECONDS):
                while not all(map(_is_ready, self.vms_by_name.values())):
                    await asyncio.sleep(_READY_POLL_SECONDS)
        except TimeoutError:
            return False
        return True

    def gets_work(self, vm: SiteVm) -> bool:
        """Tell whether the callers of a VM get new work.

        :param vm: the VM.
        :return: True if its node is in, or fewer than half of its failure
            domain are.
        """
        states = [
            other.node.state
            for other in self.vms_by_name.values()
            if other.node.vm.domain == vm.domain
        ]
        count_in = sum(state.is_in for state in states)
        if 2 * count_in < len(states):
            return True
        return self.vms_by_name[vm.name].node.state.is_in

    async def measure_lag(self) -> None:
        """Measure how late the event loop runs its timers."""
        while True:
            due = monotonic() + _LAG_SECONDS
            await asyncio.sleep(_LAG_SECONDS)
            lag = monotonic() - due
            self.history.max_lag = max(self.history.max_lag, lag)

    def start_task(self, running: Coroutine[Any, Any, Any]) -> None:
        """Run something beside the load until the fleet ends.

        :param running: the coroutine.
        """
        self._tasks.add(self._loop.create_task(running))

    async def end(self) -> None:
        """End all processes, servers and tasks."""
        vms = self.vms_by_name.values()
        await asyncio.gather(*(vm.node.end() for vm in vms))
        tasks = [*self._tasks, *itertools.chain(*(vm.tasks for vm in vms))]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for ended in vms:
            ended.server.close()


Action = Callable[[Fleet, Step], Coroutine[Any, Any, None]]
actions: Registry[Action] = Registry('action')


async def perform_steps(fleet: Fleet, steps: list[Step]) -> None:
    """Perform the steps at their times, counted from now.

    :param fleet: the VMs.
    :param steps: the steps in the order of their times.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for step in steps:
        await asyncio.sleep(max(0, started_at + step.at - loop.time()))
        fleet.history.events.append(Event(monotonic(), _describe(step)))
        fleet.start_task(actions.find(step.action)(fleet, step))


@actions.register('signal')
async def _send_signal(fleet: Fleet, step: Step) -> None:
    """Send a signal to a node."""
    fleet.vms_by_name[step.target].node.send_signal(step.number)


@actions.register('signal-next')
async def _signal_next_process(fleet: Fleet, step: Step) -> None:
    """Send a signal to the next process of a node, soon after its start."""
    state = fleet.vms_by_name[step.target].node.state
    state.signals_after_start.append((step.seconds, step.number))


@actions.register('remove')
async def _remove_vm(fleet: Fleet, step: Step) -> None:
    """Remove a VM: the backend server ends before the node gets SIGTERM."""
    vm = fleet.vms_by_name[step.target]
    await vm.server.leave(step.seconds, is_abrupt=bool(step.number))
    vm.node.state.is_wanted = False
    vm.node.send_signal(signal.SIGTERM)


@actions.register('add')
async def _add_vm(fleet: Fleet, step: Step) -> None:
    """Add a VM."""
    await fleet.add(fleet.spares_by_name[step.target], first_start=False)


@actions.register('slow')
async def _slow_servers(fleet: Fleet, step: Step) -> None:
    """Slow down the backend servers of a service for some seconds."""
    fleet.slowdowns[step.target] = step.factor
    await asyncio.sleep(step.seconds)
    fleet.slowdowns.pop(step.target, None)


@actions.register('configure')
async def _change_route(fleet: Fleet, step: Step) -> None:
    """Add, move or remove a route, and ask all nodes for it."""
    services = dict(fleet.history.versions[-1].service_by_route)
    services.pop(step.target, None)
    if step.service:
        services[step.target] = step.service
    fleet.configure(services)
    manner = Manner(
        keeps_connections=False, classes=(CLASS_BY_NAME[step.target],)
    )
    for seconds in _ASK_AFTER_SECONDS:
        await asyncio.sleep(seconds)
        _start_short_load(fleet, (manner,), seconds=_BURST_PAUSE_SECONDS)


@actions.register('take-out')
async def _take_out_domain(fleet: Fleet, step: Step) -> None:
    """Take a failure domain out for some seconds, unless it is out."""
    key = (TAKEN_OUT_KIND, step.target)
    if key in fleet.table.by_key:
        return
    drain = DomainDrain(step.target, monotonic())
    fleet.history.domain_drains.append(drain)
    fleet.table.write(*key, {})
    await asyncio.sleep(step.seconds)
    drain.ended_at = monotonic()
    fleet.table.delete(*key)


@actions.register('burst')
async def _send_burst(fleet: Fleet, step: Step) -> None:
    """Start more callers for some seconds."""
    _start_short_load(fleet, (BURST,) * BURST_CALLERS, step.seconds)


@actions.register('busy')
async def _keep_busy(fleet: Fleet, step: Step) -> None:
    """Run processes that compute; they end by themselves."""
    started = [
        await asyncio.create_subprocess_exec(
            sys.executable, '-c', _BUSY_CODE, str(step.seconds)
        )
        for _ in range(step.number)
    ]
    try:
        for process in started:
            await process.wait()
    finally:
        for left in started:
            if left.returncode is None:
                left.kill()
                await left.wait()


def _is_ready(vm: FleetVm) -> bool:
    return vm.node.state.row is not None and not vm.node.state.misses


def _start_short_load(
    fleet: Fleet, manners: tuple[Manner, ...], seconds: float
) -> None:
    ends_at = monotonic() + seconds
    for vm in fleet.vms_by_name.values():
        if vm.node.state.is_wanted:
            load = Load(ends_at, _BURST_PAUSE_SECONDS)
            fleet.start_callers(vm, manners, load)


def _describe(step: Step) -> str:
    parts = [step.action, step.target, step.service]
    if step.number:
        parts.append(str(step.number))
    if step.seconds:
        parts.append(f'{step.seconds:.2f} s')
    if step.factor > 1:
        parts.append(f'x {step.factor:.1f}')
    return ' '.join(part for part in parts if part)
