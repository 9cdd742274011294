"""The platform's interface: callers, the backend server and the store."""

from __future__ import annotations

from figlane.adapters.backend_client import BackendClient
from figlane.adapters.http_front import HttpFront
from figlane.adapters.ticker import Sink
from figlane.composition import InterfaceContext
from figlane.entities.ingress import ApplyCallerLimits
from figlane.entities.kind_feed import ReadKind, WatchKind
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
from figlane.platform.announcements import Announcements, Readiness
from figlane.platform.backend import PlatformDialect
from figlane.platform.callers import Callers
from figlane.platform.feed import StoreFeed
from figlane.platform.health import HealthChecks
from figlane.platform.metrics import Metrics
from figlane.platform.objects import ObjectStore
from figlane.platform.settings import PlatformSettings
from figlane.settings import split_address

# Seconds of the grace that are left for the end of the process itself.
_END_SECONDS = 0.8


class PlatformFace:
    """The adapters of the platform's interface."""

    __slots__ = (
        '_backend_client',
        '_callers',
        '_deliver',
        '_entry',
        '_feed',
        '_fronts',
        '_health',
        '_metrics',
        '_settings',
        '_store',
    )

    def __init__(
        self, settings: PlatformSettings, parts: InterfaceContext
    ) -> None:
        """Wire the adapters.

        :param settings: checked settings.
        :param parts: what they are wired to.
        """
        loop = parts.loop
        deliver = parts.deliver
        self._settings = settings
        self._deliver = deliver
        self._store = ObjectStore(loop, settings.store)
        self._feed = StoreFeed(self._store, loop, deliver)
        self._backend_client = BackendClient(loop, deliver, PlatformDialect())
        self._health = HealthChecks(loop, deliver)
        self._callers = Callers(settings.service_id, deliver)
        self._entry = HttpFront(loop, self._callers)
        self._fronts = (
            (self._entry, settings.entry),
            (HttpFront(loop, Readiness(parts.is_ready)), settings.readiness),
            (
                HttpFront(
                    loop,
                    Announcements(deliver, settings.announcement_seconds),
                ),
                settings.control,
            ),
        )
        self._metrics = HttpFront(loop, Metrics(parts.world))
        parts.world.identity.entry_address = settings.entry
        parts.world.identity.admin_address = settings.control

    @property
    def sinks(self) -> dict[type, Sink]:
        """Find the adapters of this face.

        :return: what carries out an outbox row, by the row's type.
        """
        return {
            AnswerCaller: self._callers.answer,
            RunOnBackend: self._backend_client.run,
            CancelOnBackend: self._backend_client.cancel,
            CheckBackend: self._health.check,
            PauseBackend: self._backend_client.pause,
            ResumeBackend: self._backend_client.resume,
            StartCallerStream: self._callers.begin_stream,
            SendCallerChunk: self._callers.send_chunk,
            WriteObject: self._feed.write,
            ReadKind: self._feed.read,
            WatchKind: self._feed.watch,
            NodeDraining: self._begin_closing,
            ApplyCallerLimits: self._apply_limits,
        }

    async def start(self) -> None:
        """Serve."""
        for front, address in self._fronts:
            await front.start(*split_address(address))
        host, _ = split_address(self._settings.entry)
        await self._metrics.start(host, self._settings.metrics_port)

    async def stop(self) -> None:
        """Take no more requests; those that are open have ended."""
        for front, _ in self._fronts:
            front.close()
        self._metrics.close()

    def close(self) -> None:
        """Close what is left."""
        self._backend_client.close()
        self._health.close()
        self._feed.close()
        self._store.close()

    def leave(self) -> None:
        """Ask the systems for a planned stop."""
        seconds = max(0, self._settings.grace_seconds - _END_SECONDS)
        self._deliver(
            DrainRequested(
                seconds, stops_process=True, accepts_root_calls=True
            ),
        )

    def _begin_closing(self, row: NodeDraining) -> None:
        self._entry.begin_closing()

    def _apply_limits(self, row: ApplyCallerLimits) -> None:
        self._entry.state.limits = row.limits
