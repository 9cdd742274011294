"""Measures the latency that two nodes add to a direct call.

Each run sends direct calls, calls through one node and calls through two
nodes as independent Poisson processes to the same backend server.
"""

from __future__ import annotations

import argparse
import sys

from figlane.load.plan import Plan, SourcePlan, StepPlan
from figlane.load.report import Report, format_table
from standins.fleet import BackendOptions, Fleet, call, wait_until
from tools.experiments.load_process import send_load
from tools.experiments.usage import processor_seconds

_SERVICE = 'rotations'
_ENTRY = 'entry'
_EXIT = 'exit'
_OK = 200
_SECONDS = 20
_SLOTS = 200
_ROUTES = (
    {
        'name': 'all',
        'path': '/**',
        'methods': ['GET', 'POST'],
        'open': True,
        'idempotent': True,
    },
)
# The response has about 500 bytes and no processing time.
_PATH = '/items/1?ms=0&size=250'
# Target for the 99th percentile of the added latency.
_TARGET_P99_MS = 0.53
_MS_PER_SECOND = 1000


def main() -> int:
    """Measure each rate and print latencies and processor times.

    :return: exit code, always 0.
    """
    parser = argparse.ArgumentParser(prog='tools/latency', description=__doc__)
    parser.add_argument('--rates', type=int, nargs='+', default=[50, 200, 400])
    parser.add_argument('--seconds', type=int, default=_SECONDS)
    options = parser.parse_args()
    with Fleet() as fleet:
        _start(fleet)
        for rate in options.rates:
            _measure(fleet, rate, options.seconds)
    return 0


def _start(fleet: Fleet) -> None:
    document = {'service': _SERVICE, 'routes': list(_ROUTES)}
    fleet.put_object('service', _SERVICE, document)
    fleet.start_node(_ENTRY, 'domain-a')
    fleet.start_node(_EXIT, 'domain-b')
    fleet.start_backend(_EXIT, _SERVICE, BackendOptions(_SLOTS, _SLOTS))
    url = f'http://{_entry_address(fleet, _ENTRY)}/{_SERVICE}{_PATH}'
    wait_until(lambda: call('GET', url).status == _OK)


def _measure(fleet: Fleet, rate: int, seconds: int) -> None:
    before = _processor_seconds(fleet)
    report = send_load(fleet, _plan(fleet, rate, seconds))
    after = _processor_seconds(fleet)
    _print_line(f'{rate} calls per second on each path')
    _print_line(format_table(report))
    _print_added_latency(report)
    for node_id in after:
        spent = (after[node_id] - before[node_id]) / (rate * seconds)
        _print_line(
            f'{node_id}: {spent * _MS_PER_SECOND:.2f} ms of processor time '
            'per call on each path',
        )


def _plan(fleet: Fleet, rate: int, seconds: int) -> Plan:
    direct = fleet.process_by_name['exit-backend'].printed_addresses['address']
    proxied_path = f'/{_SERVICE}{_PATH}'
    paths = {
        'direct': (direct, _PATH),
        'same-node': (_entry_address(fleet, _EXIT), proxied_path),
        'two-nodes': (_entry_address(fleet, _ENTRY), proxied_path),
    }
    return Plan(
        targets=[direct],
        seconds=seconds,
        sources=[
            SourcePlan(name, path, [StepPlan(rate)], [target])
            for name, (target, path) in paths.items()
        ],
    )


def _processor_seconds(fleet: Fleet) -> dict[str, float]:
    return {
        name: processor_seconds(fleet.process_by_name[name].popen.pid)
        for name in (_ENTRY, _EXIT)
    }


def _print_added_latency(report: Report) -> None:
    latency_by_name = {
        source.name: source.latency_ms for source in report.sources
    }
    direct = latency_by_name['direct']
    for name in ('same-node', 'two-nodes'):
        latency = latency_by_name[name]
        _print_line(
            f'{name}: added p50 {latency.p50 - direct.p50:.2f} ms, '
            f'p99 {latency.p99 - direct.p99:.2f} ms '
            f'(target: p99 {_TARGET_P99_MS} ms)',
        )


def _entry_address(fleet: Fleet, node_id: str) -> str:
    return fleet.process_by_name[node_id].printed_addresses[_ENTRY]


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
