"""Measures the latency that two nodes add to a direct call.

Each run sends direct calls, calls through one node and calls through two
nodes as independent Poisson processes to the same backend server.
"""

from __future__ import annotations

import argparse
import sys

from figlane.load.plan import Plan, SourcePlan, StepPlan
from figlane.load.report import Report, format_table
from standins.fleet import BackendShape, Fleet, call, wait_until
from tools.experiments.load_process import send_load
from tools.experiments.usage import processor_seconds

_SERVICE = 'rotations'
_ENTRY = 'entry'
_EXIT = 'exit'
_OK = 200
_SECONDS = 20
_SLOTS = 200
_DOCUMENT = (
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
_TARGET_MS = 0.53
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
    document = {'service': _SERVICE, 'routes': list(_DOCUMENT)}
    fleet.put_object('service', _SERVICE, document)
    fleet.start_node(_ENTRY, 'domain-a')
    fleet.start_node(_EXIT, 'domain-b')
    fleet.start_backend(_EXIT, _SERVICE, BackendShape(_SLOTS, _SLOTS))
    url = f'http://{_entry(fleet, _ENTRY)}/{_SERVICE}{_PATH}'
    wait_until(lambda: call('GET', url).status == _OK)


def _measure(fleet: Fleet, rate: int, seconds: int) -> None:
    before = _processor_seconds(fleet)
    report = send_load(fleet, _plan(fleet, rate, seconds))
    after = _processor_seconds(fleet)
    _say(f'{rate} calls per second on each path')
    _say(format_table(report))
    _say_added(report)
    for node_id in after:
        spent = (after[node_id] - before[node_id]) / (rate * seconds)
        _say(
            f'{node_id}: {spent * _MS_PER_SECOND:.2f} ms of processor time '
            'per call on each path',
        )


def _plan(fleet: Fleet, rate: int, seconds: int) -> Plan:
    direct = fleet.process_by_name['exit-backend'].told['address']
    through = f'/{_SERVICE}{_PATH}'
    paths = {
        'direct': (direct, _PATH),
        'same-node': (_entry(fleet, _EXIT), through),
        'two-nodes': (_entry(fleet, _ENTRY), through),
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


def _say_added(report: Report) -> None:
    latency_by_name = {
        source.name: source.latency_ms for source in report.sources
    }
    direct = latency_by_name['direct']
    for name in ('same-node', 'two-nodes'):
        latency = latency_by_name[name]
        _say(
            f'{name}: added p50 {latency.p50 - direct.p50:.2f} ms, '
            f'p99 {latency.p99 - direct.p99:.2f} ms '
            f'(target: p99 {_TARGET_MS} ms)',
        )


def _entry(fleet: Fleet, node_id: str) -> str:
    return fleet.process_by_name[node_id].told[_ENTRY]


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
