"""Tests of how announcements decide whether a backend server gets calls."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.entities.backend_server import BackendServerPhase
from figlane.entities.inbox import BackendAnnounced, BackendChecked
from figlane.entities.outbox import CheckBackend, WriteObject
from figlane.entities.server_notice import BackendNoticed, ServerNotice
from figlane.entities.service import Service
from figlane.errors import ErrorKind, Refusal
from figlane.systems.admission.announcement import ANNOUNCEMENT_TIMEOUT_SECONDS
from figlane.systems.admission.concurrency_limit import concurrency_limit
from figlane.systems.membership.states import own_member
from tests.systems.exit_node import BACKEND, SERVICE, ExitNode

_INTERVAL_SECONDS = 0.5
_REFUSED = Refusal(ErrorKind.NO_BACKEND_SERVER)


class AnnouncementTest(unittest.TestCase):
    """A node with a backend server that announces itself every 0.5 s."""

    def setUp(self) -> None:
        """Deliver the first announcement."""
        self.node = ExitNode()
        self._announce(0)

    def test_draining_server_gets_no_new_calls(self) -> None:
        """A draining server finishes running calls and gets no new ones."""
        self.node.offer()
        running = self.node.tick(0)[0]
        self._announce(_INTERVAL_SECONDS, draining=True)
        self.assertEqual(self._written_service(), '')
        self.node.offer()
        self.assertEqual(self.node.tick(1), [])
        self.assertEqual(self._refusal_kinds(), [ErrorKind.DRAINING.value])
        self.assertEqual(self.node.running, (running,))
        self._announce(2)
        self.assertEqual(self._written_service(), SERVICE)

    def test_server_that_says_it_leaves_gets_no_calls(self) -> None:
        """Later announcements that it is ready do not bring it back."""
        self.node.offer()
        running = self.node.tick(0)
        notice = BackendNoticed(running[0].id, ServerNotice(is_leaving=True))
        self.node.world.inbox.append(notice)
        self.node.finish(running[0])
        self.node.offer()
        self.assertEqual(self.node.tick(0.1), [])
        self.assertEqual(self._written_service(), '')
        self.assertEqual(self._refusal_kinds()[-1], ErrorKind.DRAINING.value)
        for now in (0.5, 1.0, 1.5):
            self._announce(now)
            self.node.offer()
            self.assertEqual(self.node.tick(now + 0.1), [])
        self._announce(2, instance='rotations-instance-2')
        self.node.offer()
        self.assertEqual(len(self.node.tick(2.1)), 1)

    def test_restarted_node_hears_that_server_leaves(self) -> None:
        """A node that has restarted hears from the health check that it leaves.

        The announcements of the server do not say so.
        """
        for is_healthy in (True, False):
            with self.subTest(is_healthy=is_healthy):
                node = _node_with_health_path()
                node.world.inbox.append(_announced_with_sequence(20))
                node.tick(0)
                notice = ServerNotice(is_leaving=True)
                node.world.inbox.append(
                    BackendChecked('late', 5, is_healthy, 0, notice)
                )
                for sequence in (21, 22):
                    announced = _announced_with_sequence(sequence)
                    node.world.inbox.append(announced)
                    node.offer()
                    self.assertEqual(node.tick(sequence - 20), [])

    def test_announcement_timeout(self) -> None:
        """A server whose announcements time out gets no new calls."""
        due = self.node.world.backend_servers.next_due()
        self.assertLessEqual(due, ANNOUNCEMENT_TIMEOUT_SECONDS)
        self.node.tick(due)
        self.assertEqual(self._written_service(), '')
        self.node.offer()
        self.assertEqual(self.node.tick(due), [])
        self.assertEqual(
            self._refusal_kinds(), [ErrorKind.NO_BACKEND_SERVER.value]
        )

    def test_returned_server_starts_cold(self) -> None:
        """A server that announces itself again after a timeout starts cold."""
        self.node.tick(ANNOUNCEMENT_TIMEOUT_SECONDS)
        self._announce(ANNOUNCEMENT_TIMEOUT_SECONDS + 1)
        self.assertEqual(self._written_service(), SERVICE)
        backend = self.node.world.backend_servers.by_id[BACKEND]
        self.assertEqual(concurrency_limit(backend), 1)

    def test_new_instance_starts_cold(self) -> None:
        """A new instance replaces the previous one and starts cold."""
        self._announce(1, instance='rotations-instance-2')
        backends = self.node.world.backend_servers
        self.assertEqual(list(backends.by_id), ['rotations-instance-2'])
        backend = backends.by_id['rotations-instance-2']
        self.assertEqual(concurrency_limit(backend), 1)

    def test_ejection_after_refused_connections(self) -> None:
        """A server that refuses three connections is ejected for a time."""
        for _ in range(3):
            self.node.offer()
            execution = self.node.tick(0)[0]
            self.node.finish(execution, _REFUSED)
        self.node.tick(0.1)
        self.assertEqual(self._written_service(), '')
        self._announce(_INTERVAL_SECONDS)
        self.node.offer()
        self.assertEqual(self.node.tick(_INTERVAL_SECONDS), [])
        self._announce(3)
        self.assertEqual(self._written_service(), SERVICE)

    def test_delayed_announcement_needs_health_check(self) -> None:
        """A possibly delayed announcement is confirmed by a health check.

        After a restart of the node, the announcement may be older than a drain
        that was acknowledged before. Only a healthy server gets calls at once.
        """
        for is_healthy, starts in ((True, 1), (False, 0), (None, 0)):
            with self.subTest(is_healthy=is_healthy):
                node = _node_with_health_path()
                node.world.inbox.append(_announced_with_sequence(20))
                node.tick(0)
                checks = _health_checks(node)
                self.assertEqual([check.path for check in checks], ['/health'])
                node.world.inbox.append(BackendChecked('late', 5, is_healthy))
                node.offer()
                self.assertEqual(len(node.tick(0.1)), starts)

    def test_next_announcement_confirms_server(self) -> None:
        """The next announcement confirms a server unless it is unhealthy."""
        for is_healthy, starts in ((None, 1), (False, 0)):
            with self.subTest(is_healthy=is_healthy):
                node = _node_with_health_path()
                node.world.inbox.append(_announced_with_sequence(20))
                node.tick(0)
                node.world.inbox.append(BackendChecked('late', 5, is_healthy))
                node.tick(0.1)
                node.world.inbox.append(_announced_with_sequence(21))
                node.offer()
                self.assertEqual(len(node.tick(1.5)), starts)
                self.assertEqual(len(_health_checks(node)), 1 - starts)

    def test_first_announcement_needs_no_check(self) -> None:
        """A server that has just started needs no health check."""
        node = _node_with_health_path()
        node.world.inbox.append(_announced_with_sequence(1))
        node.offer()
        self.assertEqual(len(node.tick(0)), 1)

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('announce', 'drain', 'refuse')),
                st.floats(0, 3),
            ),
            max_size=20,
        ),
    )
    def test_starts_only_while_serving(
        self,
        steps: list[tuple[str, float]],
    ) -> None:
        """Calls start only on a server that is announced and not draining."""
        node = ExitNode()
        announced_at: float = 0
        draining = False
        now: float = 0
        node.world.inbox.append(_announced())
        node.tick(now)
        for step, pause in steps:
            now += pause
            if step == 'refuse':
                for execution in node.running:
                    node.finish(execution, _REFUSED)
            else:
                draining = step == 'drain'
                announced_at = now
                node.world.inbox.append(_announced(draining=draining))
            node.offer()
            if node.tick(now):
                self.assertFalse(draining)
                self.assertLess(
                    now - announced_at, ANNOUNCEMENT_TIMEOUT_SECONDS
                )
            serving = node.world.backend_servers.count(
                BackendServerPhase.SERVING,
            )
            self.assertFalse(node.queued and not serving)

    def _announce(self, now: float, **changes: Any) -> None:
        self.node.world.inbox.append(_announced(**changes))
        self.node.tick(now)

    def _written_service(self) -> str:
        written = any(isinstance(row, WriteObject) for row in self.node.outbox)
        self.assertTrue(written or self.node.world.gossip.is_write_needed)
        return own_member(self.node.world).service

    def _refusal_kinds(self) -> list[str]:
        return [refusal.kind for refusal in self.node.refusals]


def _node_with_health_path() -> ExitNode:
    node = ExitNode()
    node.world.backend_servers.remove(BACKEND)
    node.world.services.insert(Service(SERVICE, 1, health_path='/health'))
    return node


def _announced_with_sequence(sequence: int) -> BackendAnnounced:
    return BackendAnnounced(
        'late', SERVICE, '127.0.0.1:2', 4, 40, born=5, sequence=sequence
    )


def _health_checks(node: ExitNode) -> list[CheckBackend]:
    return [row for row in node.outbox if isinstance(row, CheckBackend)]


def _announced(
    instance: str = BACKEND,
    draining: bool = False,
) -> BackendAnnounced:
    return BackendAnnounced(
        instance,
        SERVICE,
        '127.0.0.1:2',
        4,
        40,
        draining,
    )
