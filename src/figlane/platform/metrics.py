"""Serves the node's metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from figlane.adapters.http_connection import ServerConnection
from figlane.adapters.request_reader import HttpRequest
from figlane.entities.world import World

_OK = 200
_PREFIX = 'figlane_'
_TEXT_HEADERS = (
    (b'content-type', b'text/plain; version=0.0.4; charset=utf-8'),
)


class MetricsHandler:
    """Answers requests to the metrics address, whatever their path."""

    __slots__ = ('_render', '_world')

    def __init__(self, world: World) -> None:
        """Create a handler.

        :param world: the tables, which are read at each scrape.
        """
        self._world = world
        self._render: Callable[[], bytes] | None = None

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Answer a scrape with the current metrics.

        :param connection: connection of the metrics collector.
        :param request: the request.
        """
        if self._render is None:
            self._render = _make_renderer(self._world)
        connection.respond(_OK, _TEXT_HEADERS, self._render())

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Ignore a disconnect: scrapes are answered immediately.

        :param connection: connection of the metrics collector.
        """


def _make_renderer(world: World) -> Callable[[], bytes]:
    # Imported at the first scrape: the library takes memory and start-up time,
    # and most nodes are never scraped.
    from prometheus_client import (  # noqa: PLC0415
        CollectorRegistry,
        generate_latest,
    )

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(world))
    return lambda: generate_latest(registry)


class _Collector:
    """Collector of ``prometheus_client`` that reads the tables."""

    __slots__ = ('_world',)

    def __init__(self, world: World) -> None:
        self._world = world

    def collect(self) -> Iterator[Any]:
        """Yield the current metrics.

        :return: metric families: counters, gauges and histograms.
        """
        from prometheus_client import core  # noqa: PLC0415

        yield self._event_family(core)
        yield self._call_family(core)
        yield self._level_family(core)
        yield self._stage_family(core)

    def _event_family(self, core: Any) -> Any:
        events = core.CounterMetricFamily(
            f'{_PREFIX}events',
            'Events by name; docs/operators/metrics.md lists them.',
            labels=('event',),
        )
        for name, count in sorted(self._world.counters.items()):
            events.add_metric((name,), count)
        return events

    def _call_family(self, core: Any) -> Any:
        calls = core.CounterMetricFamily(
            f'{_PREFIX}calls',
            'Ended calls at their entry node.',
            labels=('service', 'route', 'organisation', 'outcome'),
        )
        for labels, count in self._world.latencies.calls_by_label.items():
            calls.add_metric(labels, count)
        return calls

    def _level_family(self, core: Any) -> Any:
        levels = core.GaugeMetricFamily(
            f'{_PREFIX}level',
            'Rows that are open now, and the configuration in force.',
            labels=('what',),
        )
        for what, level in _read_levels(self._world).items():
            levels.add_metric((what,), level)
        return levels

    def _stage_family(self, core: Any) -> Any:
        stages = core.HistogramMetricFamily(
            f'{_PREFIX}stage_seconds',
            'Seconds that calls spent in a stage, by service.',
            labels=('stage', 'service'),
        )
        for labels, histogram in self._world.latencies.by_label.items():
            buckets = histogram.cumulative()
            stages.add_metric(labels, buckets, histogram.total)
        return stages


def _read_levels(world: World) -> dict[str, int]:
    return {
        'calls': len(world.calls),
        'executions': len(world.executions),
        'members': len(world.members),
        'links': len(world.links),
        'configuration_version': world.ingress.version,
    }
