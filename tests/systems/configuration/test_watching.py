"""Tests that changes in the store reach all nodes through a few watchers."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from figlane.entities.kind_feed import KindFailed
from figlane.systems.membership.domains import is_taken_out
from figlane.systems.membership.rendezvous import watcher_ids
from tests.systems.fleet_model import DOMAIN, FleetModel

_DOMAINS = ('a', 'b', 'c')
_MANY_DOMAINS = ('a', 'b', 'c', 'd', 'e', 'f')
# Time in which a change has to be in force at all nodes, in seconds.
_APPLY_SECONDS = 2.0


@dataclass(slots=True)
class CostAtRest:
    """Messages and bytes that a node sends in a second."""

    messages: float
    bytes: float


class WatcherTest(unittest.TestCase):
    """A fleet of 30 nodes in three failure domains that is at rest."""

    def setUp(self) -> None:
        """Start the fleet and wait until it is at rest."""
        self.model = FleetModel(_DOMAINS, 30)
        self.model.run_until(self.model.is_complete, 10)
        self.model.run(10)

    def test_change_reaches_all(self) -> None:
        """A change is in force everywhere at a price per watcher."""
        self.model.reset_counts()
        self._require_change()
        # Each of six watchers is answered and watches again.
        self.assertLessEqual(self.model.price_by_node.total(), 2 * 6)

    def test_price_at_rest(self) -> None:
        """Only watchers call the store, at intervals of a watch."""
        self.model.reset_counts()
        self.model.run(30)
        callers = self.model.price_by_node
        self.assertLessEqual(len(callers), 6 + 6)
        # Watches of 28 s for two kinds, and the contacts' stale reads.
        self.assertLessEqual(callers.total(), 6 * 2 * 2 + 6 * 0.2)

    def test_nodes_turned_away(self) -> None:
        """The store turns a third of the nodes away, watchers among them."""
        for number in range(3):
            with self.subTest(number=number):
                self.model.turned_away = {
                    f'n{index}' for index in range(number, 30, 3)
                }
                self.model.run(1)
                self._require_change()

    def test_paused_watchers(self) -> None:
        """All watchers of a failure domain are paused."""
        world = self.model.worlds['n0']
        self.model.paused = set(watcher_ids(world)) - {'n0'}
        self._require_change()
        self.model.paused.clear()
        self._require_change()

    def test_domain_cut_off(self) -> None:
        """A failure domain reaches the store and no other domain."""
        own = {f'n{number}' for number in range(0, 30, 3)}
        self.model.cut_off(own)
        self._require_change()

    def test_first_watchers_turned_away(self) -> None:
        """The store turns the first watcher of each failure domain away.

        With few failure domains, both watchers follow the store; with more, the
        standby does once the first one tells that it does not reach the store.
        """
        for domains in (_DOMAINS, _MANY_DOMAINS):
            with self.subTest(domains=len(domains)):
                self.model = _rested_fleet(domains)
                self.model.turned_away = _first_watchers(self.model)
                self.model.run(3)
                self._require_change()

    def test_first_watchers_silent(self) -> None:
        """Of few failure domains, the store is silent to each first watcher.

        A watch without an answer looks like one without changes.
        """
        self.model = _rested_fleet(_DOMAINS)
        first = _first_watchers(self.model)
        self.model.watches = [
            watch for watch in self.model.watches if watch.node_id not in first
        ]
        self._require_change()

    def test_change_after_silent_store(self) -> None:
        """A silent store does not hide changes made after it answers again.

        Watches that were opened while it was silent are never answered.
        """
        for domains in (_DOMAINS, _MANY_DOMAINS):
            with self.subTest(domains=len(domains)):
                self.model = _rested_fleet(domains)
                self.model.configure()
                self.model.run(0.1)
                self.model.unanswered = set(self.model.worlds)
                self.model.run(3)
                self.model.unanswered.clear()
                self.model.run(1)
                self._require_change()

    def test_change_while_store_silent_to_watchers(self) -> None:
        """A store that is silent to all watchers hides no change.

        The other nodes reach it, and have no other impairment.
        """
        for domains in (_DOMAINS, _MANY_DOMAINS):
            with self.subTest(domains=len(domains)):
                self.model = _rested_fleet(domains)
                for world in self.model.worlds.values():
                    self.model.unanswered.update(watcher_ids(world))
                self.model.run(0.5)
                self._require_change()

    def test_standby(self) -> None:
        """Of many failure domains, one is cut off from its watcher and all."""
        self.model = _rested_fleet(_MANY_DOMAINS)
        world = self.model.worlds['n0']
        own = {f'n{number}' for number in range(0, 36, 6)}
        self.model.cut_off(own)
        self.model.paused = {watcher_ids(world)[0]}
        self._require_change()

    def test_domain_without_its_watcher(self) -> None:
        """A failure domain is cut off, and its first watcher does not run."""
        own = {f'n{number}' for number in range(0, 30, 3)}
        self.model.cut_off(own)
        self.model.paused = {watcher_ids(self.model.worlds['n0'])[0]}
        self._require_change()

    def test_single_domain(self) -> None:
        """The first watcher of a fleet in one failure domain does not run."""
        self.model = FleetModel(('a',), 12)
        self.model.run_until(self.model.is_complete, 10)
        self.model.run(10)
        self.model.paused = {watcher_ids(self.model.worlds['n0'])[0]}
        self._require_change()

    def test_node_cut_off(self) -> None:
        """A node that reaches the store and no peer asks the store itself."""
        self.model.cut_off({'n4'})
        self._require_change()
        self.model.run(3)
        self._require_change()

    def test_paused_node_confirms_first(self) -> None:
        """Calls that arrived during a pause go by the new configuration.

        They may carry a key that was withdrawn while the process was paused.
        """
        for seconds in (3, 8):
            with self.subTest(seconds=seconds):
                self.model.paused = {'n4'}
                version = self.model.configure()
                self.model.call('n4')
                self.model.run(seconds)
                self.model.paused.clear()
                self.model.answers.clear()
                self.model.run(0.5)
                self.assertEqual([version], self._answered_versions())

    def test_pause_without_change(self) -> None:
        """Calls wait for one round trip only if nothing has changed."""
        self.model.paused = {'n4'}
        self.model.call('n4')
        self.model.run(5)
        self.model.paused.clear()
        began = self.model.now
        self.model.run(0.3)
        self.assertEqual(len(self.model.answers), 1)
        # A message takes one step of the model in each direction.
        at, _ = self.model.answers[0]
        self.assertLessEqual(at - began, 0.2)

    def test_pause_of_a_node_alone(self) -> None:
        """Calls do not wait long if no peer answers."""
        self.model.cut_off({'n4'})
        self.model.paused = {'n4'}
        self.model.call('n4')
        self.model.run(3)
        self.model.paused.clear()
        self.model.run(0.8)
        self.assertEqual(len(self.model.answers), 1)

    def test_lost_history(self) -> None:
        """The store has dropped its history."""
        for node_id in self.model.worlds:
            for kind in ('configuration', DOMAIN):
                row = KindFailed(kind, 'status 410', is_history_lost=True)
                self.model.in_flight.append((node_id, row))
        self._require_change()

    def test_evacuation_taken_back(self) -> None:
        """A deletion that no node has seen is not undone by a peer."""
        self.model.take_out('a')
        seconds = self.model.run_until(lambda: self._out_count() == 30, 3)
        self.assertLessEqual(seconds, _APPLY_SECONDS)
        # All nodes but one end, and the evacuation ends meanwhile.
        self.model.paused = {'n5'}
        self.model.take_out('a', taken_out=False)
        self.model.is_first_start = False
        for number in range(30):
            if number != 5:
                self.model.start(f'n{number}')
        self.model.run(3)
        self.model.paused.clear()
        self.model.run(4)
        self.assertEqual(self._out_count(), 0)

    def test_cost_at_rest(self) -> None:
        """Messages and bytes of a node do not grow with the fleet."""
        small = _cost_at_rest(10, seconds=30)
        for count, seconds in ((100, 30), (1000, 5)):
            with self.subTest(count=count):
                large = _cost_at_rest(count, seconds)
                self.assertLessEqual(large.messages, 1.1 * small.messages)
                self.assertLessEqual(large.bytes, 1.1 * small.bytes)

    def _answered_versions(self) -> list[int]:
        return [version for _, version in self.model.answers]

    def _out_count(self) -> int:
        return sum(
            is_taken_out(world, 'a') for world in self.model.worlds.values()
        )

    def _require_change(self) -> None:
        version = self.model.configure()
        seconds = self.model.run_until(
            lambda: self.model.versions() == {version}, 5
        )
        self.assertLessEqual(seconds, _APPLY_SECONDS)


def _cost_at_rest(count: int, seconds: float) -> CostAtRest:
    model = FleetModel(_DOMAINS, count)
    model.introduce_all()
    model.run(12)
    model.reset_counts()
    model.run(seconds)
    return CostAtRest(
        model.sent_by_node.total() / count / seconds,
        model.bytes_by_node.total() / count / seconds,
    )


def _rested_fleet(domains: tuple[str, ...]) -> FleetModel:
    model = FleetModel(domains, 36)
    model.run_until(model.is_complete, 10)
    model.run(10)
    return model


def _first_watchers(model: FleetModel) -> set[str]:
    return {watcher_ids(world)[0] for world in model.worlds.values()}
