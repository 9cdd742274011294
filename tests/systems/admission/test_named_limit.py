"""Rate limit that a backend server names in its answers."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from figlane.entities.inbox import BackendAnnounced, BackendChecked
from figlane.entities.server_notice import BackendNoticed, ServerNotice
from figlane.entities.service import Service
from tests.systems.exit_node import BACKEND, SERVICE, ExitNode

_RATE = 10.0
_STEP_SECONDS = 0.05
# Bound of the platform: in any window from ``_STABLE_SECONDS`` after the limit
# was named first.
_STABLE_SECONDS = 3.0
_WINDOW_SECONDS = 4.0
_OVERAGE = 1.5
_SLACK_CALLS = 5


@dataclass(slots=True)
class LimitedNode:
    """A node whose server has not named a limit yet.

    ``starts`` holds the time of each call that was started.
    """

    node: ExitNode = field(default_factory=lambda: ExitNode(slots=200))
    now: float = 10.0
    starts: list[float] = field(default_factory=list)

    def run(
        self, seconds: float, named: float | None, calls_per_step: int = 2
    ) -> int:
        """Offer calls, and answer each of them one step after its start.

        :param seconds: how long.
        :param named: the limit that the answers name, None for none.
        :param calls_per_step: calls that are offered in each step.
        :return: the number of calls that were started.
        """
        before = len(self.starts)
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_SECONDS
            for execution in self.node.running:
                notice = BackendNoticed(execution.id, ServerNotice(named))
                self.node.world.inbox.append(notice)
                self.node.finish(execution)
            for _ in range(calls_per_step):
                self.node.offer(budget=1)
            started = self.node.tick(self.now)
            self.starts += [call.started_at for call in started]
        return len(self.starts) - before


class NamedLimitTest(unittest.TestCase):
    """An exit node whose server names a limit."""

    def test_server_gets_no_more_than_it_names(self) -> None:
        """No window has more calls than allowed, and most of them are used."""
        for rate in (0.7, 4.0, _RATE, 25.5):
            with self.subTest(rate=rate):
                model = LimitedNode()
                model.run(1, None)
                named_at = model.now
                model.run(15, rate)
                self._require_windows(model, named_at + _STABLE_SECONDS, rate)
                used = model.run(4, rate)
                self.assertGreaterEqual(used, int(0.8 * 4 * rate))

    def test_limit_is_lifted_by_later_answers(self) -> None:
        """Only an answer to a later request tells that there is no limit."""
        model = LimitedNode()
        model.run(1, _RATE)
        execution = model.node.running[0]
        # Was sent before the latest answer that named the limit.
        execution.started_at = model.now - 1
        notice = BackendNoticed(execution.id, ServerNotice())
        model.node.world.inbox.append(notice)
        model.node.tick(model.now)
        backend = model.node.world.backend_servers.by_id[BACKEND]
        self.assertIsNotNone(backend.named_limit)
        self.assertGreater(model.run(2, None), 60)

    def test_health_check_lifts_no_limit(self) -> None:
        """A health check without a limit says nothing about calls."""
        model = LimitedNode()
        model.run(1, _RATE)
        backend = model.node.world.backend_servers.by_id[BACKEND]
        cases = (
            (ServerNotice(), _RATE),
            (ServerNotice(_RATE / 2), _RATE / 2),
        )
        for notice, expected in cases:
            with self.subTest(notice=notice):
                checked = BackendChecked(BACKEND, 0, True, 0, notice)
                model.node.world.inbox.append(checked)
                model.node.tick(model.now)
                limit = backend.named_limit
                self.assertIsNotNone(limit)
                self.assertEqual(limit.rate, expected)

    def test_limit_of_zero_is_tried_again(self) -> None:
        """Few calls find out when a server takes calls again."""
        model = LimitedNode()
        model.run(1, 0)
        self.assertLessEqual(model.run(8, 0), 2 * _SLACK_CALLS)
        self.assertGreater(model.run(4, None), 60)

    def test_pause_saves_no_calls_up(self) -> None:
        """A node that was frozen starts no more than a short burst."""
        model = LimitedNode()
        model.run(2, _RATE)
        model.now += 20
        self.assertLessEqual(model.run(_WINDOW_SECONDS, _RATE), 4 * _RATE + 5)

    def test_restarted_node_waits_for_first_answer(self) -> None:
        """A node that knows a server anew starts few calls until it answers.

        The limit was named to an earlier start of the node, and to callers on
        other VMs.
        """
        node = ExitNode()
        node.world.backend_servers.remove(BACKEND)
        service = Service(SERVICE, 1, health_path='/health')
        node.world.services.insert(service)
        announced = BackendAnnounced(
            BACKEND, SERVICE, '127.0.0.1:2', 200, 200, born=5, sequence=20
        )
        checked = BackendChecked(BACKEND, 5, True, cold_seconds=0)
        node.world.inbox += [announced, checked]
        for _ in range(60):
            node.offer()
        started = node.tick(0)
        self.assertLessEqual(len(started), _SLACK_CALLS)
        notice = BackendNoticed(started[0].id, ServerNotice(_RATE))
        node.world.inbox.append(notice)
        node.finish(started[0])
        self.assertLessEqual(len(node.tick(0.1)), 1)

    @settings(
        derandomize=True,
        max_examples=50,
        deadline=None,
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(
        st.lists(
            st.tuples(st.floats(0, 3), st.integers(0, 8)),
            min_size=1,
            max_size=12,
        )
    )
    def test_any_load_stays_within_limit(
        self, phases: list[tuple[float, int]]
    ) -> None:
        """No window exceeds the bound, whatever the load and its pauses."""
        model = LimitedNode()
        model.run(1, _RATE)
        named_at = model.now
        for seconds, calls_per_step in phases:
            model.run(seconds, _RATE, calls_per_step)
        self._require_windows(model, named_at + _STABLE_SECONDS, _RATE)

    def _require_windows(
        self, model: LimitedNode, since: float, rate: float
    ) -> None:
        allowed = _OVERAGE * _WINDOW_SECONDS * rate + _SLACK_CALLS
        for first in model.starts:
            until = first + _WINDOW_SECONDS
            inside = [at for at in model.starts if first <= at < until]
            if first >= since:
                self.assertLessEqual(len(inside), allowed)
