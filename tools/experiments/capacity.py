"""Measures the resource usage of idle nodes for several sizes of the fleet.

The nodes are processes without backend servers and get no calls. No other
process may use the loopback interface meanwhile, as its bytes are counted.
"""

from __future__ import annotations

import argparse
import itertools
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from standins.deployment import BRAZOS_BEND, write_documents
from standins.fleet import Fleet, call, wait_until
from tools.experiments.usage import processor_seconds, resident_bytes

_SIZES = (10, 40, 120)
_START_THREADS = 8
_SETTLE_SECONDS = 15
_MEASURED_SECONDS = 20
_START_TIMEOUT_SECONDS = 120
_MIB = 1_048_576
_KB = 1000
_PERCENT = 100
# Field number of the sent bytes after the colon in /proc/net/dev.
_SENT_BYTES_FIELD = 8


@dataclass(slots=True, frozen=True)
class Sample:
    """Totals over all nodes at one time; time and CPU time in seconds."""

    at: float
    processor: float
    sent_bytes: int
    platform_calls: int


def main() -> int:
    """Measure each size of the fleet and print a row for it.

    :return: exit code, always 0.
    """
    parser = argparse.ArgumentParser(
        prog='tools/capacity',
        description=__doc__,
    )
    parser.add_argument('--sizes', type=int, nargs='+', default=_SIZES)
    parser.add_argument('--seconds', type=int, default=_MEASURED_SECONDS)
    options = parser.parse_args()
    _print_line(
        f'{"nodes":>6}{"% of a core":>13}{"mean MiB":>10}{"max MiB":>10}'
        f'{"KB/s sent":>11}{"platform calls/s":>18}',
    )
    for size in options.sizes:
        with Fleet() as fleet:
            _start(fleet, size)
            _measure(fleet, size, options.seconds)
    return 0


def _start(fleet: Fleet, size: int) -> None:
    write_documents(fleet, BRAZOS_BEND, {})
    domains = itertools.cycle(BRAZOS_BEND.failure_domains)
    with ThreadPoolExecutor(_START_THREADS) as pool:
        started = [
            pool.submit(fleet.start_node, f'node-{number}', next(domains))
            for number in range(size)
        ]
        for future in started:
            future.result()
    wait_until(lambda: _all_nodes_joined(fleet, size), _START_TIMEOUT_SECONDS)
    time.sleep(_SETTLE_SECONDS)


def _all_nodes_joined(fleet: Fleet, size: int) -> bool:
    return all(
        len(fleet.state(f'node-{number}')['members']) == size
        for number in range(size)
    )


def _measure(fleet: Fleet, size: int, seconds: int) -> None:
    before = _take_sample(fleet)
    time.sleep(seconds)
    after = _take_sample(fleet)
    elapsed = after.at - before.at
    memory = [resident_bytes(pid) / _MIB for pid in _process_ids(fleet)]
    processor = (after.processor - before.processor) / elapsed / size
    sent = (after.sent_bytes - before.sent_bytes) / elapsed / size
    calls = (after.platform_calls - before.platform_calls) / elapsed
    _print_line(
        f'{size:6}{processor * _PERCENT:13.2f}{statistics.mean(memory):10.1f}'
        f'{max(memory):10.1f}{sent / _KB:11.2f}{calls:18.2f}',
    )


def _take_sample(fleet: Fleet) -> Sample:
    control = f'http://{fleet.platform_address}/control'
    return Sample(
        at=time.monotonic(),
        processor=sum(map(processor_seconds, _process_ids(fleet))),
        sent_bytes=_loopback_bytes(),
        platform_calls=call('GET', control).decoded_body['calls'],
    )


def _process_ids(fleet: Fleet) -> list[int]:
    return [
        process.popen.pid
        for name, process in fleet.process_by_name.items()
        if name != 'platform'
    ]


def _loopback_bytes() -> int:
    lines = Path('/proc/net/dev').read_text(encoding='utf-8').splitlines()
    line = next(line for line in lines if line.strip().startswith('lo:'))
    return int(line.partition(':')[2].split()[_SENT_BYTES_FIELD])


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
