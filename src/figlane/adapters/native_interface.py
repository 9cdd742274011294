"""Native network interface: callers, backend servers, admin, platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from figlane.adapters.backend_client import BackendClient
from figlane.adapters.http_admin import HttpAdmin
from figlane.adapters.http_drain import HttpDrain
from figlane.adapters.http_entry import HttpEntry
from figlane.adapters.http_objects import HttpObjects
from figlane.adapters.http_server import HttpServer
from figlane.adapters.platform_client import PlatformClient
from figlane.adapters.platform_feed import PlatformFeed
from figlane.adapters.platform_writer import PlatformWriter
from figlane.adapters.ticker import Sink
from figlane.entities.feed import ReadObjects, WatchObjects
from figlane.entities.node_drain import NodeDraining
from figlane.entities.outbox import (
    AnswerCaller,
    CancelOnBackend,
    PauseBackend,
    ReadObject,
    ResumeBackend,
    RunOnBackend,
    SendCallerChunk,
    StartCallerStream,
    WriteObject,
)
from figlane.entities.world import World
from figlane.settings import NodeSettings

# Time for the answers that are left if the node ends at once, in seconds.
_LAST_ANSWERS_SECONDS = 0.2


class NativeInterface:
    """Adapters of figlane's native network interface."""

    __slots__ = (
        '_backend_client',
        '_drain',
        '_entry',
        '_feed',
        '_loop',
        '_platform',
        '_server_tasks',
        '_servers',
        '_writer',
    )

    def __init__(
        self,
        settings: NodeSettings,
        world: World,
        loop: asyncio.AbstractEventLoop,
        deliver: Callable[[Any], None],
    ) -> None:
        """Create the adapters and bind the listening sockets.

        :param settings: validated settings.
        :param world: the entity tables; the bound addresses are stored in its
            identity.
        :param loop: the event loop.
        :param deliver: receives inbox rows.
        """
        self._loop = loop
        self._entry = HttpEntry(deliver)
        admin = HttpAdmin(world, deliver)
        HttpObjects(admin.application, deliver)
        self._drain = HttpDrain(
            self._entry.application,
            admin.application,
            settings.drain_seconds,
            deliver,
        )
        self._backend_client = BackendClient(loop, deliver)
        self._platform = PlatformClient(loop, settings.platform)
        self._writer = PlatformWriter(self._platform, loop, deliver)
        self._feed = PlatformFeed(self._platform, loop, deliver)
        self._servers = (
            HttpServer(
                self._entry.application,
                settings.entry,
                report_cut_off=deliver,
            ),
            HttpServer(admin.application, settings.admin),
        )
        world.identity.entry_address = self._servers[0].address
        world.identity.admin_address = self._servers[1].address
        self._server_tasks: list[asyncio.Task[None]] = []

    @property
    def sinks(self) -> dict[type, Sink]:
        """Handlers for the outbox rows of this interface.

        :return: the handler of each outbox row type.
        """
        return {
            AnswerCaller: self._entry.answer,
            RunOnBackend: self._backend_client.run,
            CancelOnBackend: self._backend_client.cancel,
            PauseBackend: self._backend_client.pause,
            ResumeBackend: self._backend_client.resume,
            StartCallerStream: self._entry.begin_stream,
            SendCallerChunk: self._entry.send_chunk,
            WriteObject: self._writer.write,
            NodeDraining: self._drain.start_closing,
            ReadObjects: self._feed.read,
            WatchObjects: self._feed.watch,
            ReadObject: self._writer.read,
        }

    async def start(self) -> None:
        """Start the HTTP servers."""
        loop = asyncio.get_running_loop()
        self._server_tasks = [
            loop.create_task(server.run()) for server in self._servers
        ]

    async def stop(self) -> None:
        """Stop the HTTP servers after their open requests."""
        for server in self._servers:
            server.stop()
        await asyncio.gather(*self._server_tasks)

    def close(self) -> None:
        """Close the connections to backend servers and to the platform."""
        self._backend_client.close()
        self._feed.close()
        self._platform.close()

    def request_shutdown(self, late_seconds: float) -> None:
        """Request a graceful shutdown; the process exits after the drain.

        :param late_seconds: the part of the drain's time that may be over.
        """
        self._drain.request_shutdown(late_seconds, stops_process=True)

    def shorten_stop(self) -> None:
        """Leave only the time for the last answers."""
        for server in self._servers:
            self._loop.call_later(_LAST_ANSWERS_SECONDS, server.stop_now)
