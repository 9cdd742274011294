"""Periodically sends aggregated counters, gauges and timers to statsd."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import statsd

from figlane.adapters.node_report import describe_load
from figlane.entities.world import World
from figlane.settings import split_address

_MS_PER_SECOND = 1000


class StatsdReporter:
    """Sends counter increments and gauges at a fixed interval.

    Counters are aggregated in the node, so that the number of datagrams does
    not depend on the number of calls.
    """

    __slots__ = ('_client', '_interval_seconds', '_last_counts', '_world')

    def __init__(
        self, world: World, address: str, interval_seconds: float
    ) -> None:
        """Open the socket.

        :param world: the tables.
        :param address: ``host:port`` of statsd.
        :param interval_seconds: time between two flushes in seconds.
        """
        host, port = split_address(address)
        self._client = statsd.StatsClient(
            host,
            port,
            prefix=f'figlane.{world.identity.node_id}',
        )
        self._world = world
        self._interval_seconds = interval_seconds
        self._last_counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Flush periodically until cancelled, and once more at the end."""
        try:
            while True:
                await asyncio.sleep(self._interval_seconds)
                self.flush()
        finally:
            self.flush()
            self._client.close()

    def flush(self) -> None:
        """Send all gauges and the counter increments since the last flush."""
        started_at = time.perf_counter()
        with self._client.pipeline() as batch:
            for name, count in self._world.counters.items():
                increase = count - self._last_counts[name]
                if increase:
                    batch.incr(name, increase)
                self._last_counts[name] = count
            for name, level in read_gauges(self._world).items():
                batch.gauge(name, level)
            elapsed = time.perf_counter() - started_at
            batch.timing('telemetry.flush', elapsed * _MS_PER_SECOND)


def read_gauges(world: World) -> dict[str, int]:
    """Read the current values of all gauges.

    :param world: the tables.
    :return: the value of each gauge by name.
    """
    load = describe_load(world)
    return {
        'calls.open': len(world.calls),
        'executions.running': load['running'],
        'executions.queued': load['queued'],
        'members.known': len(world.members),
        'backend.limit': load['limit'],
    }
