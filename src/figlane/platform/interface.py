"""Wires the adapters for callers, the backend server and the store."""

from __future__ import annotations

from figlane.adapters.backend_client import BackendClient
from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.adapters.ticker import Sink
from figlane.composition import InterfaceContext
from figlane.entities.ingress import ApplyCallerLimits
from figlane.entities.kind_feed import CheckStore, ReadKind, WatchKind
from figlane.entities.node_drain import (
    DrainEndRequested,
    DrainRequested,
    NodeDraining,
)
from figlane.entities.outbox import (
    AnswerCaller,
    CancelOnBackend,
    CheckBackend,
    PauseBackend,
    ResumeBackend,
    RunOnBackend,
    SendCallerChunk,
    StartCallerStream,
    WriteObject,
)
from figlane.platform.announcements import AnnouncementHandler, ReadinessHandler
from figlane.platform.backend import PlatformDialect
from figlane.platform.callers import CallerHandler
from figlane.platform.feed import StoreFeed
from figlane.platform.health import HealthChecker
from figlane.platform.metrics import MetricsHandler
from figlane.platform.objects import ObjectStore
from figlane.platform.settings import PlatformSettings
from figlane.settings import split_address

# Parts of the grace period, in seconds: the last one is reserved for the end of
# the process, and the one before it for the answers that are left after the
# drain.
_EXIT_SECONDS = 0.45
_LAST_ANSWERS_SECONDS = 0.15


class PlatformInterface:
    """The node's adapters towards the platform."""

    __slots__ = (
        '_backend_client',
        '_caller_handler',
        '_deliver',
        '_entry_server',
        '_feed',
        '_health_checker',
        '_loop',
        '_metrics_server',
        '_servers',
        '_settings',
        '_stops_by',
        '_store',
    )

    def __init__(
        self, settings: PlatformSettings, context: InterfaceContext
    ) -> None:
        """Create the adapters; ``start`` opens the listening sockets.

        :param settings: validated settings.
        :param context: the node's tables, event loop and callbacks.
        """
        loop = context.loop
        deliver = context.deliver
        self._settings = settings
        self._loop = loop
        self._deliver = deliver
        self._stops_by: float = 0
        self._store = ObjectStore(loop, settings.store)
        self._feed = StoreFeed(self._store, loop, deliver)
        self._backend_client = BackendClient(loop, deliver, PlatformDialect())
        self._health_checker = HealthChecker(loop, deliver)
        self._caller_handler = CallerHandler(settings.service_id, deliver)
        self._entry_server = CallbackHttpServer(
            loop, self._caller_handler, self._caller_handler.report_cut_off
        )
        self._servers = (
            (self._entry_server, settings.entry),
            (
                CallbackHttpServer(loop, ReadinessHandler(context.is_ready)),
                settings.readiness,
            ),
            (
                CallbackHttpServer(
                    loop,
                    AnnouncementHandler(deliver, settings.announcement_seconds),
                ),
                settings.control,
            ),
        )
        self._metrics_server = CallbackHttpServer(
            loop, MetricsHandler(context.world)
        )
        context.world.identity.entry_address = settings.entry
        context.world.identity.admin_address = settings.control

    @property
    def sinks(self) -> dict[type, Sink]:
        """Map types of outbox rows to the adapters that execute them.

        :return: the handler of outbox rows by their type.
        """
        return {
            AnswerCaller: self._caller_handler.answer,
            RunOnBackend: self._backend_client.run,
            CancelOnBackend: self._backend_client.cancel,
            CheckBackend: self._health_checker.check,
            PauseBackend: self._backend_client.pause,
            ResumeBackend: self._backend_client.resume,
            StartCallerStream: self._caller_handler.begin_stream,
            SendCallerChunk: self._caller_handler.send_chunk,
            WriteObject: self._feed.write,
            ReadKind: self._feed.read,
            WatchKind: self._feed.watch,
            CheckStore: self._feed.check,
            NodeDraining: self._begin_closing,
            ApplyCallerLimits: self._apply_limits,
        }

    async def start(self) -> None:
        """Listen on all addresses."""
        for server, address in self._servers:
            await server.start(*split_address(address))
        host, _ = split_address(self._settings.entry)
        await self._metrics_server.start(host, self._settings.metrics_port)

    async def stop(self) -> None:
        """Close the listening sockets once all callers have their answers.

        Callers that read slowly are waited for within the grace period.
        """
        seconds_left = self._stops_by - self._loop.time()
        await self._entry_server.stop(
            max(_LAST_ANSWERS_SECONDS, seconds_left), self._end_drain
        )
        for server, _ in self._servers:
            server.close()
        self._metrics_server.close()

    def close(self) -> None:
        """Close the clients of backend servers and the store."""
        self._backend_client.close()
        self._health_checker.close()
        self._feed.close()
        self._store.close()

    def request_shutdown(self, late_seconds: float) -> None:
        """Request a graceful shutdown within the grace period.

        :param late_seconds: the part of the grace period that may be over.
        """
        reserve = _EXIT_SECONDS + late_seconds
        seconds = max(0, self._settings.grace_seconds - reserve)
        self._stops_by = self._loop.time() + seconds
        self._deliver(
            DrainRequested(
                max(0, seconds - _LAST_ANSWERS_SECONDS),
                stops_process=True,
                accepts_root_calls=True,
            ),
        )

    def shorten_stop(self) -> None:
        """Leave only the time for the last answers."""
        self._stops_by = self._loop.time()
        self._entry_server.shorten_stop(_LAST_ANSWERS_SECONDS)

    def _end_drain(self) -> None:
        self._deliver(DrainEndRequested())

    def _begin_closing(self, row: NodeDraining) -> None:
        self._entry_server.start_closing()

    def _apply_limits(self, row: ApplyCallerLimits) -> None:
        self._entry_server.state.limits = row.limits
