"""Wires the adapters for callers, the backend server and the store."""

from __future__ import annotations

from figlane.adapters.backend_client import BackendClient
from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.adapters.ticker import Sink
from figlane.composition import InterfaceContext
from figlane.entities.ingress import ApplyCallerLimits
from figlane.entities.kind_feed import CheckStore, ReadKind, WatchKind
from figlane.entities.node_drain import (
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

# Part of the grace period that is reserved for the shutdown of the process
# after the last call, in seconds, and part of it in which requests that arrive
# after the drain are answered.
_EXIT_RESERVE_SECONDS = 0.8
_STOP_SECONDS = 0.4


class PlatformInterface:
    """The node's adapters towards the platform."""

    __slots__ = (
        '_backend_client',
        '_caller_handler',
        '_deliver',
        '_entry_server',
        '_feed',
        '_health_checker',
        '_metrics_server',
        '_servers',
        '_settings',
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
        self._deliver = deliver
        self._store = ObjectStore(loop, settings.store)
        self._feed = StoreFeed(self._store, loop, deliver)
        self._backend_client = BackendClient(loop, deliver, PlatformDialect())
        self._health_checker = HealthChecker(loop, deliver)
        self._caller_handler = CallerHandler(settings.service_id, deliver)
        self._entry_server = CallbackHttpServer(loop, self._caller_handler)
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
        """Close the listening sockets after the requests that have arrived."""
        await self._entry_server.stop(_STOP_SECONDS)
        for server, _ in self._servers:
            server.close()
        self._metrics_server.close()

    def close(self) -> None:
        """Close the clients of backend servers and the store."""
        self._backend_client.close()
        self._health_checker.close()
        self._feed.close()
        self._store.close()

    def request_shutdown(self) -> None:
        """Request a graceful shutdown within the grace period."""
        drain_seconds = max(
            0, self._settings.grace_seconds - _EXIT_RESERVE_SECONDS
        )
        self._deliver(
            DrainRequested(
                drain_seconds, stops_process=True, accepts_root_calls=True
            ),
        )

    def _begin_closing(self, row: NodeDraining) -> None:
        self._entry_server.start_closing()

    def _apply_limits(self, row: ApplyCallerLimits) -> None:
        self._entry_server.state.limits = row.limits
