"""Composition root of a node: wires the tables, systems and adapters."""

from __future__ import annotations

import asyncio
import functools
import json
import random
import secrets
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import structlog

from figlane.adapters.datagrams import DatagramLink
from figlane.adapters.decision_log import (
    Allow,
    DecisionLog,
    allow_all_lines,
)
from figlane.adapters.peer_link import PeerLink
from figlane.adapters.peer_sockets import bind_peer_sockets
from figlane.adapters.ticker import Sink, Ticker
from figlane.clock import current_time
from figlane.entities.gossip import SendDatagram
from figlane.entities.inbox import NodeStarted
from figlane.entities.link import CloseConnection, ReplaceConnection
from figlane.entities.node_drain import DrainEndRequested, NodeDrained
from figlane.entities.outbox import LogDecision, SendToPeer
from figlane.entities.world import (
    Identity,
    Policies,
    QuotaBounds,
    RetryBounds,
    World,
)
from figlane.settings import TelemetrySettings
from figlane.systems.cut_offs import count_cut_offs
from figlane.systems.gaps import earliest_arrival
from figlane.systems.membership.leaving import count_open_executions
from figlane.systems.membership.readiness import is_ready
from figlane.systems.tick import run_tick
from figlane.telemetry.telemetry import Telemetry

_log = structlog.get_logger()

_NANOSECONDS_PER_MS = 1_000_000
_SEED_BITS = 64
# Seconds in log events are rounded to milliseconds.
_SECONDS_DECIMALS = 3

Deliver = Callable[[Any], None]


class NodeInterface(Protocol):
    """Adapters towards callers, the backend server and the platform."""

    @property
    def sinks(self) -> dict[type, Sink]:
        """Return the outbox handlers of this interface.

        :return: the function that executes an outbox row, by type of row.
        """

    async def start(self) -> None:
        """Open the listeners and start serving."""

    async def stop(self) -> None:
        """Stop accepting requests and wait for the open ones to finish."""

    def close(self) -> None:
        """Close the remaining connections."""

    def request_shutdown(self, late_seconds: float) -> None:
        """Deliver the request for a graceful shutdown to the systems.

        It is called once.

        :param late_seconds: the longest time for which the request may have
            waited, which is over already.
        """

    def shorten_stop(self) -> None:
        """Leave only the time for answers that are ready, from now on.

        This also applies to a ``stop`` that is already waiting.
        """


@dataclass(slots=True)
class NodePlan:
    """Configuration of a node.

    ``peer`` is the ``host:port`` to bind for traffic between nodes, and
    ``advertised`` the address that is announced to other nodes if it differs.
    ``seeds`` are peer addresses of other nodes, contacted at start-up.
    ``disabled_routines`` holds the keys of routines that are not started, and
    ``initial_rows`` are delivered to the inbox at start-up. ``allow_line``
    limits the rate of log lines per event.
    """

    identity: Identity
    peer: str
    policies: Policies
    advertised: str | None = None
    seeds: tuple[str, ...] = ()
    retry_bounds: RetryBounds = RetryBounds()
    quota_bounds: QuotaBounds = QuotaBounds()
    telemetry: TelemetrySettings = TelemetrySettings()
    disabled_routines: frozenset[str] = frozenset()
    initial_rows: tuple[Any, ...] = field(default_factory=tuple)
    allow_line: Allow = allow_all_lines


@dataclass(slots=True)
class InterfaceContext:
    """Dependencies that a node passes to its interface.

    ``deliver`` puts a row into the inbox, and ``is_ready`` returns whether
    load balancers should route callers to this node.
    """

    world: World
    loop: asyncio.AbstractEventLoop
    deliver: Deliver
    is_ready: Callable[[], bool]


InterfaceFactory = Callable[[InterfaceContext], NodeInterface]


class Node:
    """A node: its world, its ticker and its adapters."""

    __slots__ = (
        '_bound_address',
        '_cut_offs_before',
        '_datagram_link',
        '_decision_log',
        '_interface',
        '_peer_link',
        '_plan',
        '_stop_requested_at',
        '_stopping',
        '_tasks',
        '_telemetry',
        '_ticker',
        'world',
    )

    def __init__(
        self,
        plan: NodePlan,
        loop: asyncio.AbstractEventLoop,
        make_interface: InterfaceFactory,
    ) -> None:
        """Wire all parts and bind the peer sockets, without serving yet.

        :param plan: the configuration of the node.
        :param loop: the event loop that runs the node.
        :param make_interface: factory of the adapters towards callers, the
            backend server and the platform.
        """
        self._plan = plan
        self.world = _new_world(plan)
        self._ticker = Ticker(self.world, loop, run_tick)
        deliver = self._ticker.deliver
        identity = plan.identity
        sockets = bind_peer_sockets(plan.peer)
        self._bound_address = sockets.address
        self._datagram_link = DatagramLink(
            identity.node_id, sockets.datagrams, deliver
        )
        self._peer_link = PeerLink(identity.node_id, sockets.listener, deliver)
        self._decision_log = DecisionLog(identity.node_id, plan.allow_line)
        identity.peer_address = plan.advertised or sockets.address
        identity.gossip_address = sockets.address
        is_node_ready = functools.partial(is_ready, self.world)
        self._interface = make_interface(
            InterfaceContext(self.world, loop, deliver, is_node_ready)
        )
        self._ticker.sink_by_type = {**self._interface.sinks, **self._sinks()}
        self._telemetry = Telemetry(
            plan.telemetry,
            self.world,
            self._ticker.sink_by_type,
        )
        self._stop_requested_at: float | None = None
        self._cut_offs_before = 0
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until a graceful shutdown has completed."""
        await self._start(asyncio.get_running_loop())
        self._announce_addresses()
        await self._stopping.wait()
        await self._interface.stop()
        # Log the requests that the interface has cut off.
        self._ticker.run()
        await self._close()

    def stop(self, signal_name: str = '') -> None:
        """Start a graceful shutdown; further calls change nothing.

        :param signal_name: name of the signal that requests it, if any.
        """
        self._log_stop_request(signal_name)
        self._request_shutdown()

    def stop_now(self, signal_name: str = '') -> None:
        """End the node without waiting for calls that run.

        Calls that have not run are refused, and answers that are ready are
        sent.

        :param signal_name: name of the signal that requests it, if any.
        """
        self._log_stop_request(signal_name, is_immediate=True)
        self._request_shutdown()
        self._ticker.deliver(DrainEndRequested())
        self._ticker.run()
        self._interface.shorten_stop()
        self._stopping.set()

    async def _start(self, loop: asyncio.AbstractEventLoop) -> None:
        self._peer_link.start(loop)
        self._spawn(self._telemetry.run())
        await self._datagram_link.start(loop)
        await self._interface.start()
        self._ticker.deliver(NodeStarted(self._plan.disabled_routines))
        for row in self._plan.initial_rows:
            self._ticker.deliver(row)

    def _handle_drained(self, row: NodeDrained) -> None:
        self._stopping.set()

    def _request_shutdown(self) -> None:
        if self._stop_requested_at is not None:
            return
        now = current_time()
        self._stop_requested_at = now
        self._cut_offs_before = count_cut_offs(self.world)
        late_seconds = now - earliest_arrival(self.world, now)
        self._interface.request_shutdown(late_seconds)

    def _log_stop_request(
        self, signal_name: str, *, is_immediate: bool = False
    ) -> None:
        now = current_time()
        late_seconds = now - earliest_arrival(self.world, now)
        line = {
            'node': self.world.identity.node_id,
            'signal': signal_name,
            'late_seconds': round(late_seconds, _SECONDS_DECIMALS),
            'is_repeated': self._stop_requested_at is not None,
            'is_immediate': is_immediate,
            'calls': len(self.world.calls),
            'executions': count_open_executions(self.world),
        }
        self._decision_log.write(LogDecision('node_stopping', line))

    def _log_stopped(self, now: float) -> None:
        requested_at = self._stop_requested_at
        seconds = 0 if requested_at is None else now - requested_at
        _log.info(
            'node_stopped',
            node=self.world.identity.node_id,
            seconds=round(seconds, _SECONDS_DECIMALS),
            requests_cut_off=count_cut_offs(self.world) - self._cut_offs_before,
        )

    def _sinks(self) -> dict[type, Sink]:
        return {
            SendToPeer: self._peer_link.send,
            ReplaceConnection: self._peer_link.replace,
            CloseConnection: self._peer_link.disconnect,
            SendDatagram: self._datagram_link.send,
            NodeDrained: self._handle_drained,
            LogDecision: self._decision_log.write,
        }

    def _announce_addresses(self) -> None:
        identity = self.world.identity
        addresses = {
            'node': identity.node_id,
            'entry': identity.entry_address,
            'admin': identity.admin_address,
            'peer': identity.peer_address,
            'peer_bound': self._bound_address,
        }
        sys.stdout.write(f'{json.dumps(addresses)}\n')
        sys.stdout.flush()
        _log.info('node_started', **addresses)

    async def _close(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._interface.close()
        self._datagram_link.close()
        self._peer_link.close()
        self._telemetry.close()
        self._log_stopped(current_time())

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def new_identity(node_id: str, failure_domain: str) -> Identity:
    """Create the identity of a newly started node.

    :param node_id: id of the node.
    :param failure_domain: the failure domain in which the node runs.
    :return: the identity; its incarnation is the wall-clock time in
        milliseconds, so that a later start has a higher one.
    """
    return Identity(
        node_id=node_id,
        failure_domain=failure_domain,
        incarnation=time.time_ns() // _NANOSECONDS_PER_MS,
    )


def _new_world(plan: NodePlan) -> World:
    world = World(
        identity=plan.identity,
        random=random.Random(secrets.randbits(_SEED_BITS)),
        policies=plan.policies,
        retry_bounds=plan.retry_bounds,
        quota_bounds=plan.quota_bounds,
    )
    world.gossip.seeds = plan.seeds
    return world
