"""Disturbs real node processes under load and checks the rules.

Exits with 0 if no rule is broken, 1 if one is, and 2 if a run is not possible.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import shutil
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

import uvloop

from figlane.settings import split_address
from standins.platform_site import (
    PORT_BY_USE,
    SERVICE_BY_ROUTE,
    SiteVm,
    site_vm,
)
from standins.platform_store import PlatformStore
from tools.soaking import (  # registers them
    answer_rules,
    deployment_rules,
    stop_rules,
)
from tools.soaking.callers import MANNERS
from tools.soaking.changes import FAULTS, draw_run
from tools.soaking.entities import History
from tools.soaking.fleet import Fleet, Load, perform_steps
from tools.soaking.processes import ProcessPlan
from tools.soaking.report import report
from tools.soaking.rules import check_all

REGISTERED_MODULES = (answer_rules, deployment_rules, stop_rules)

_ROOT = Path(__file__).resolve().parent.parent.parent
_EXIT_OK = 0
_EXIT_BROKEN = 1
_EXIT_NOT_RUN = 2
_DEFAULT_VMS = 19
_SMALL_VMS = 8
_DEFAULT_SECONDS = 60
_SMALL_SECONDS = 30
# Requests a second of all callers together, without nested calls.
_RATE = 45
_SPARE_VMS = 4
_LOCK_PORT = 8539
_MAX_NETWORK = 250
# Announcements of all backend servers have spread by then.
_SPREAD_SECONDS = 3
# The longest request that is open at the end of the load.
_LAST_REQUESTS_SECONDS = 7
_START_LIMIT_SECONDS = 60


class NotRun(Exception):
    """A run is not possible."""


@dataclass(slots=True)
class Options:
    """Options of a run."""

    seconds: float
    vms: int
    faults: list[str]
    node_root: Path
    keep: bool


def main() -> int:
    """Run the seeds named on the command line.

    :return: exit code.
    """
    arguments = _parser().parse_args()
    vms, seconds = _DEFAULT_VMS, _DEFAULT_SECONDS
    if arguments.small:
        vms, seconds = _SMALL_VMS, _SMALL_SECONDS
    options = Options(
        arguments.seconds or seconds,
        arguments.vms or vms,
        arguments.fault or FAULTS,
        arguments.node_root.resolve(),
        arguments.keep,
    )
    code = _EXIT_OK
    try:
        for seed in arguments.seeds:
            code = max(code, _run_seed(seed, options))
    except asyncio.CancelledError:
        _print('interrupted')
        return _EXIT_NOT_RUN
    return code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='tools/soak', description=__doc__)
    seeds = parser.add_mutually_exclusive_group()
    seeds.add_argument(
        '--seed', dest='seeds', type=_seeds, metavar='N', default=[1]
    )
    seeds.add_argument('--seeds', dest='seeds', type=_seeds, metavar='FROM-TO')
    parser.add_argument(
        '--seconds', type=float, help='length of the load of a run'
    )
    parser.add_argument('--vms', type=int, help='VMs at the start')
    parser.add_argument(
        '--small', action='store_true', help='fewer VMs and a shorter load'
    )
    parser.add_argument(
        '--fault',
        action='append',
        metavar='NAME',
        choices=FAULTS,
        help=f'only these disturbances: {", ".join(FAULTS)}',
    )
    parser.add_argument(
        '--node-root',
        type=Path,
        metavar='DIR',
        default=_ROOT,
        help='checkout whose nodes are run',
    )
    parser.add_argument(
        '--keep', action='store_true', help='keep the logs in any case'
    )
    return parser


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


def _run_seed(seed: int, options: Options) -> int:
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    code = _EXIT_NOT_RUN
    try:
        code = uvloop.run(_bounded_run(seed, options, folder))
    except (NotRun, TimeoutError) as error:
        _print(f'seed {seed}: could not run: {type(error).__name__} {error}')
    if code == _EXIT_OK and not options.keep:
        shutil.rmtree(folder)
    else:
        _print(f'seed {seed}: logs in {folder}')
    return code


async def _bounded_run(seed: int, options: Options, folder: Path) -> int:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, _cancel_once, task)
    limit = options.seconds + _START_LIMIT_SECONDS + _LAST_REQUESTS_SECONDS
    async with asyncio.timeout(limit):
        with contextlib.closing(_lock_network()) as lock:
            network = lock.getsockname()[0].rpartition('.')[0]
            return await _run(seed, options, folder, network)


def _cancel_once(task: asyncio.Task[int]) -> None:
    # A second signal must not interrupt the end of the processes.
    if not task.cancelling():
        task.cancel()


async def _run(seed: int, options: Options, folder: Path, network: str) -> int:
    loop = asyncio.get_running_loop()
    store = PlatformStore(loop)
    address = f'{network}.2:{PORT_BY_USE["store"]}'
    await store.server.start(*split_address(address))
    plan = ProcessPlan(options.node_root, folder, address)
    fleet = Fleet(History(), plan, store.table, seed)
    fleet.configure(SERVICE_BY_ROUTE)
    fleet.spares_by_name = _site_vms(network, _DEFAULT_VMS, _SPARE_VMS)
    fleet.start_task(fleet.measure_lag())
    try:
        return await _judge(seed, options, fleet, network)
    finally:
        await fleet.end()
        store.server.close()


async def _judge(
    seed: int, options: Options, fleet: Fleet, network: str
) -> int:
    for vm in _site_vms(network, 0, options.vms).values():
        await fleet.add(vm, first_start=True)
    if not await fleet.wait_until_ready():
        raise NotRun('the nodes are not ready')
    await asyncio.sleep(_SPREAD_SECONDS)
    started_at = monotonic()
    await _disturb(seed, options, fleet)
    breaches = check_all(fleet.history)
    _print(report(seed, fleet.history, breaches, started_at))
    return _EXIT_BROKEN if breaches else _EXIT_OK


async def _disturb(seed: int, options: Options, fleet: Fleet) -> None:
    steps = draw_run(
        seed,
        [vm.node.vm for vm in fleet.vms_by_name.values()],
        list(fleet.spares_by_name.values()),
        options.faults,
        options.seconds,
    )
    ends_at = monotonic() + options.seconds
    callers = len(MANNERS) * len(fleet.vms_by_name)
    fleet.start_load(Load(ends_at, callers / _RATE))
    await perform_steps(fleet, steps)
    await asyncio.sleep(ends_at + _LAST_REQUESTS_SECONDS - monotonic())


def _site_vms(network: str, first: int, count: int) -> dict[str, SiteVm]:
    vms = (site_vm(network, first + index) for index in range(count))
    return {vm.name: vm for vm in vms}


def _lock_network() -> socket.socket:
    """Reserve a network 127.0.N.* for a run until the socket is closed."""
    offset = os.getpid()
    for number in range(_MAX_NETWORK):
        lock = socket.socket()
        try:
            lock.bind(
                (f'127.0.{1 + (offset + number) % _MAX_NETWORK}.1', _LOCK_PORT)
            )
        except OSError:
            lock.close()
            continue
        return lock
    raise NotRun('no network is free')


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
