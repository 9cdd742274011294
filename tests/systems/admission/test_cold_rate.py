"""Rate limit of a backend server in cold start."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from figlane.entities.backend_server import BackendServer
from figlane.entities.inbox import BackendAnnounced, BackendChecked
from figlane.entities.outbox import CheckBackend
from figlane.entities.service import FailureDomain, Service
from figlane.entities.table import NEVER
from figlane.entities.world import Identity, Policies, World
from figlane.systems.admission.cold_rate import (
    next_token_time,
    take_start_token,
)
from figlane.systems.membership.domains import start_weight_ramp
from figlane.systems.tick import run_tick
from tests.systems.exit_node import BACKEND, SERVICE, ExitNode

_RATE = 30.0


def _world() -> tuple[World, BackendServer]:
    world = World(Identity('node', 'a', 1), Random(1))
    world.services.insert(Service('shop', 1, cold_rate=_RATE))
    backend = BackendServer('i-1', 'shop', '127.0.0.1:1', 20, 20, 0)
    world.backend_servers.insert(backend)
    return world, backend


class RateTest(unittest.TestCase):
    """Token bucket for starts while a backend server is cold."""

    @settings(
        derandomize=True,
        max_examples=100,
        deadline=None,
        # A busy machine must not fail the test by slow data generation.
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(st.lists(st.floats(0, 0.1), min_size=1, max_size=400))
    def test_rate_in_any_second(self, pauses: list[float]) -> None:
        """No window of one second has more starts than the configured rate."""
        world, backend = _world()
        backend.cold_until = 1000
        now = 10.0
        starts = []
        for pause in pauses:
            now += pause
            if take_start_token(world, backend, now):
                starts.append(now)
        for first in starts:
            inside = [at for at in starts if first <= at < first + 1]
            self.assertLessEqual(len(inside), _RATE)

    def test_warm_server_is_not_limited(self) -> None:
        """The rate of a warm backend server is not limited."""
        world, backend = _world()
        backend.cold_until = 5
        self.assertTrue(
            all(take_start_token(world, backend, 5) for _ in range(99))
        )

    def test_next_start(self) -> None:
        """A call may start at the time that ``next_token_time`` returned."""
        world, backend = _world()
        backend.cold_until = 1000
        now = 10.0
        for _ in range(50):
            self._drain_bucket(world, backend, now)
            due = next_token_time(world, backend, now)
            self.assertGreater(due, now)
            now = due + 1e-6
            self.assertTrue(take_start_token(world, backend, now))

    def test_server_without_cold_rate_needs_no_token(self) -> None:
        """A queue on a cold server without a configured rate waits for slots.

        A due time in the present would start a tick at once, again and again.
        """
        world, backend = _world()
        world.services.insert(Service('shop', 2))
        backend.cold_until = 1000
        self.assertTrue(take_start_token(world, backend, 10))
        self.assertEqual(next_token_time(world, backend, 10), NEVER)

    def _drain_bucket(
        self, world: World, backend: BackendServer, now: float
    ) -> None:
        has_token = True
        while has_token:
            has_token = take_start_token(world, backend, now)


class UnconfiguredTest(unittest.TestCase):
    """A node that has heard a cold backend server before its configuration."""

    def test_unconfigured_cold_server_is_not_flooded(self) -> None:
        """No call starts before the rate is known; the queue starts then.

        After a loss of power, peers with a configuration send calls to a node
        that has none yet.
        """
        node = ExitNode(slots=100)
        node.world.services.remove(SERVICE)
        node.world.backend_servers.by_id[BACKEND].cold_until = 1000
        for _ in range(60):
            node.offer()
        self.assertEqual(node.tick(10), [])
        node.world.services.insert(Service(SERVICE, 1, cold_rate=_RATE))
        self.assertTrue(0 < len(node.tick(10.1)) <= _RATE)


class EndTest(unittest.TestCase):
    """The end of a cold start with calls that wait."""

    def test_queue_waits_until_server_is_surely_warm(self) -> None:
        """The announced rest of a cold start may be rounded down.

        The server has announced 999 ms and is cold for up to a millisecond
        longer.
        """
        node = ExitNode(Policies(limit='none', cold_start='none'), slots=200)
        service = Service(SERVICE, 1, cold_rate=_RATE)
        node.world.services.insert(service)
        announced = BackendAnnounced(
            BACKEND,
            SERVICE,
            '127.0.0.1:2',
            200,
            200,
            born=1,
            sequence=1,
            cold_seconds=0.999,
        )
        node.world.inbox.append(announced)
        node.tick(10)
        for step in range(20):
            for _ in range(5):
                node.offer()
            node.tick(10 + step * 0.05)
        self.assertGreater(len(node.queued), 30)
        self.assertLessEqual(len(node.tick(10.9999)), 3)
        self.assertLessEqual(len(node.started), _RATE)
        self.assertGreater(len(node.tick(11.1)), 30)

    def test_queue_waits_after_rest_of_zero(self) -> None:
        """An announced rest of 0 ms may still be a part of a millisecond."""
        world, backend = _world()
        backend.born = 1
        backend.cold_until = 60
        announced = BackendAnnounced(
            'i-1', 'shop', '127.0.0.1:1', 20, 20, born=1, sequence=1
        )
        world.inbox.append(announced)
        run_tick(world, 59.9995)
        self.assertGreater(backend.cold_until, 60)


class ReturnTest(unittest.TestCase):
    """Return of a failure domain that was taken out."""

    def test_late_announcement_ends_no_cold_start(self) -> None:
        """An announcement sent before the cold start does not end it.

        The server's answer to a health check does, or a second announcement.
        """
        for is_checked in (True, False):
            with self.subTest(is_checked=is_checked):
                node = _returned_node()
                node.world.inbox.append(_warm_announcement(4))
                node.tick(10.1)
                if is_checked:
                    checked = BackendChecked(BACKEND, 1, True, cold_seconds=2)
                    node.world.inbox.append(checked)
                self.assertLessEqual(_starts(node, 10.2, 11.1), _RATE)
                node.world.inbox.append(_warm_announcement(5))
                self.assertGreater(_starts(node, 12.3, 12.4), _RATE)

    def test_health_check_ends_doubt_at_once(self) -> None:
        """A server that says that it is warm gets its usual rate at once."""
        node = _returned_node()
        self.assertEqual(
            [row for row in node.outbox if isinstance(row, CheckBackend)],
            [CheckBackend(BACKEND, 1, '127.0.0.1:2', '/health')],
        )
        checked = BackendChecked(BACKEND, 1, True, cold_seconds=0)
        node.world.inbox.append(checked)
        self.assertGreater(_starts(node, 10.1, 10.2), _RATE)

    def test_cold_until_announced(self) -> None:
        """A backend server counts as cold until it announces otherwise."""
        world, backend = _world()
        backend.born = 1
        world.failure_domains.insert(FailureDomain('a', 2))
        start_weight_ramp(world, 'a', 49)
        self.assertGreater(backend.cold_until, 1e9)
        for sequence, cold_seconds in ((1, 2.0), (2, 0)):
            world.inbox.append(
                BackendAnnounced(
                    'i-1',
                    'shop',
                    '127.0.0.1:1',
                    20,
                    20,
                    born=1,
                    sequence=sequence,
                    cold_seconds=cold_seconds,
                ),
            )
            run_tick(world, 50)
            # A margin follows the announced end.
            self.assertGreaterEqual(backend.cold_until, 50 + cold_seconds)
            self.assertLessEqual(backend.cold_until, 50.1 + cold_seconds)


def _returned_node() -> ExitNode:
    # The failure domain returns at 10 s; the server was warm until then.
    node = ExitNode(Policies(limit='none', cold_start='none'), slots=200)
    service = Service(SERVICE, 1, cold_rate=_RATE, health_path='/health')
    node.world.services.insert(service)
    node.world.inbox.append(_warm_announcement(1))
    node.tick(9)
    start_weight_ramp(node.world, node.world.identity.failure_domain, 10)
    node.tick(10)
    return node


def _warm_announcement(sequence: int) -> BackendAnnounced:
    return BackendAnnounced(
        BACKEND, SERVICE, '127.0.0.1:2', 200, 200, born=1, sequence=sequence
    )


def _starts(node: ExitNode, since: float, until: float) -> int:
    for _ in range(60):
        node.offer()
    started = len(node.tick(since))
    return started + len(node.tick(until))
