"""figlane's own interface: callers, backend servers, operators, platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from figlane.adapters.backend_client import BackendClient
from figlane.adapters.http_admin import HttpAdmin
from figlane.adapters.http_entry import HttpEntry
from figlane.adapters.http_leaving import HttpLeaving
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


class OwnFace:
    """The adapters of figlane's own interface."""

    __slots__ = (
        '_backend_client',
        '_entry',
        '_feed',
        '_leaving',
        '_platform',
        '_served',
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
        """Wire the adapters; the sockets are bound.

        :param settings: checked settings.
        :param world: the tables; the identity gets the addresses.
        :param loop: the event loop.
        :param deliver: takes inbox rows.
        """
        self._entry = HttpEntry(deliver)
        admin = HttpAdmin(world, deliver)
        HttpObjects(admin.application, deliver)
        self._leaving = HttpLeaving(
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
            HttpServer(self._entry.application, settings.entry),
            HttpServer(admin.application, settings.admin),
        )
        world.identity.entry_address = self._servers[0].address
        world.identity.admin_address = self._servers[1].address
        self._served: list[asyncio.Task[None]] = []

    @property
    def sinks(self) -> dict[type, Sink]:
        """Find the adapters of this face.

        :return: what carries out an outbox row, by the row's type.
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
            NodeDraining: self._leaving.begin,
            ReadObjects: self._feed.read,
            WatchObjects: self._feed.watch,
            ReadObject: self._writer.read,
        }

    async def start(self) -> None:
        """Serve."""
        loop = asyncio.get_running_loop()
        self._served = [
            loop.create_task(server.run()) for server in self._servers
        ]

    async def stop(self) -> None:
        """Take no more requests and finish the open ones."""
        for server in self._servers:
            server.stop()
        await asyncio.gather(*self._served)

    def close(self) -> None:
        """Close what is left."""
        self._backend_client.close()
        self._feed.close()
        self._platform.close()

    def leave(self) -> None:
        """Ask the systems for a planned stop."""
        self._leaving.leave(exits=True)
