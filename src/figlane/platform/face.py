"""Wires the adapters for the platform's callers, back ends and store."""

from __future__ import annotations

from figlane.adapters.backend_client import BackendClient
from figlane.adapters.http_front import HttpFront
from figlane.adapters.ticker import Sink
from figlane.composition import FaceParts
from figlane.entities.departure import (
    LeaveRequested,
    NodeDraining,
)
from figlane.entities.ingress import ApplyCallerLimits
from figlane.entities.kind_feed import ReadKind, WatchKind
from figlane.entities.outbox import (
    AnswerCaller,
    BeginCallerStream,
    CancelOnBackend,
    CheckBackend,
    PauseBackend,
    ResumeBackend,
    RunOnBackend,
    SendCallerChunk,
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

# Part of the grace period that is reserved for the shutdown of the process
# after the last call, in seconds.
_END_SECONDS = 0.8


class PlatformFace:
    """The node's adapters towards the platform."""

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

    def __init__(self, settings: PlatformSettings, parts: FaceParts) -> None:
        """Create the adapters; ``start`` opens the listening sockets.

        :param settings: validated settings.
        :param parts: the node's tables, event loop and callbacks.
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
        """Map types of outbox rows to the adapters that execute them.

        :return: the handler of outbox rows by their type.
        """
        return {
            AnswerCaller: self._callers.answer,
            RunOnBackend: self._backend_client.run,
            CancelOnBackend: self._backend_client.cancel,
            CheckBackend: self._health.check,
            PauseBackend: self._backend_client.pause,
            ResumeBackend: self._backend_client.resume,
            BeginCallerStream: self._callers.begin_stream,
            SendCallerChunk: self._callers.send_chunk,
            WriteObject: self._feed.write,
            ReadKind: self._feed.read,
            WatchKind: self._feed.watch,
            NodeDraining: self._begin_closing,
            ApplyCallerLimits: self._apply_limits,
        }

    async def start(self) -> None:
        """Listen on all addresses."""
        for front, address in self._fronts:
            await front.start(*split_address(address))
        host, _ = split_address(self._settings.entry)
        await self._metrics.start(host, self._settings.metrics_port)

    async def stop(self) -> None:
        """Close the listening sockets, after all open requests have ended."""
        for front, _ in self._fronts:
            front.close()
        self._metrics.close()

    def close(self) -> None:
        """Close the clients of backend servers and the store."""
        self._backend_client.close()
        self._health.close()
        self._feed.close()
        self._store.close()

    def leave(self) -> None:
        """Request a graceful shutdown within the grace period."""
        seconds = max(0, self._settings.grace_seconds - _END_SECONDS)
        self._deliver(
            LeaveRequested(seconds, exits=True, keeps_callers=True),
        )

    def _begin_closing(self, row: NodeDraining) -> None:
        self._entry.begin_closing()

    def _apply_limits(self, row: ApplyCallerLimits) -> None:
        self._entry.state.limits = row.limits
