"""Starts and stops the export of metrics and traces."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from figlane.entities.outbox import RecordSpan
from figlane.entities.span import Tracing
from figlane.entities.world import World
from figlane.settings import TelemetrySettings
from figlane.telemetry.statsd_flush import StatsdReporter


class Telemetry:
    """Metrics and trace export of one node."""

    __slots__ = ('_recorder', '_settings', '_world')

    def __init__(
        self,
        settings: TelemetrySettings,
        world: World,
        sink_by_type: dict[type, Callable[[Any], None]],
    ) -> None:
        """Enable tracing if the settings select an exporter.

        :param settings: settings of metrics and tracing.
        :param world: the tables.
        :param sink_by_type: outbox handlers by type of row; the handler of
            finished spans is added to it.
        """
        self._settings = settings
        self._world = world
        self._recorder: Any = None
        tracing = settings.tracing
        if tracing.exporter == 'none':
            return
        # Imported on use, because the SDK costs memory and start-up time.
        from figlane.telemetry import span_recorder  # noqa: PLC0415

        self._recorder = span_recorder.SpanRecorder(
            world.identity.node_id,
            span_recorder.make_exporter(tracing),
        )
        world.tracing = Tracing(is_on=True, ratio=tracing.ratio)
        sink_by_type[RecordSpan] = self._recorder.record

    async def run(self) -> None:
        """Send metrics until cancelled; return if no statsd address is set."""
        address = self._settings.statsd_address
        if address is None:
            return
        seconds = self._settings.flush_seconds
        await StatsdReporter(self._world, address, seconds).run()

    def close(self) -> None:
        """Export the remaining spans."""
        if self._recorder is not None:
            self._recorder.close()
