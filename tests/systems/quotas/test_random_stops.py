"""Tests that members that stop and return at random keep to the window."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from random import Random

from figlane.entities.member import MemberPhase
from figlane.entities.world import World
from figlane.systems.membership.states import own_member
from figlane.systems.quotas.ring import owner_of
from tests.systems.quotas.owner_fleet import (
    SURGE_RATE,
    WINDOW_LIMIT,
    Fleet,
    rested_fleet,
)

_STEP_SECONDS = 0.01
_LOAD_SECONDS = 8.0
# Mean time between two stops, and the largest number of members that are away.
_STOP_SECONDS = 0.4
_MAX_AWAY = 4
# Fraction of the stops that concern the owner of the bucket.
_OWNER_FRACTION = 0.7


@dataclass(slots=True)
class StopsModel:
    """Members that stop and return, and news of it that take up to ``delay``.

    ``news`` holds the time, the member that hears, the one that it hears of,
    and the phase of that one.
    """

    seed: int
    delay: float
    fleet: Fleet = field(default_factory=rested_fleet)
    random: Random = field(init=False)
    returns: dict[str, float] = field(default_factory=dict)
    news: list[tuple[float, str, str, MemberPhase]] = field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        """Offer more calls than the rate allows."""
        self.random = Random(self.seed)
        self.fleet.random = Random(self.seed)
        self.fleet.run(3, SURGE_RATE)

    def run(self) -> None:
        """Stop and start members under load."""
        ends = self.fleet.now + _LOAD_SECONDS
        while self.fleet.now < ends:
            if self.random.random() < _STEP_SECONDS / _STOP_SECONDS:
                self._stop_member()
            for node_id, at in tuple(self.returns.items()):
                if at <= self.fleet.now:
                    self._start_member(node_id)
            self._spread_news()
            self.fleet.run(_STEP_SECONDS, SURGE_RATE)

    def _stop_member(self) -> None:
        present = [
            world.identity.node_id
            for world in self.fleet.worlds
            if world.identity.node_id not in self.returns
        ]
        if len(self.returns) >= _MAX_AWAY:
            return
        chosen = self.random.choice(present)
        owner_id = owner_of(self._world(chosen), 'acme')
        if owner_id in present and self.random.random() < _OWNER_FRACTION:
            chosen = owner_id
        world = self._world(chosen)
        world.members.move(own_member(world), MemberPhase.LEAVING)
        self.returns[chosen] = self.fleet.now + self.random.uniform(0.4, 1.6)
        self._announce(chosen, MemberPhase.LEAVING)

    def _start_member(self, node_id: str) -> None:
        self.returns.pop(node_id)
        contact = self._world(
            self.random.choice(
                [
                    world.identity.node_id
                    for world in self.fleet.worlds
                    if world.identity.node_id not in {node_id, *self.returns}
                ]
            )
        )
        number = int(node_id[1:])
        started = self.fleet.start(number)
        for member in contact.members:
            row = started.members.get(member.id)
            if row is not None and member.id != contact.identity.node_id:
                row.incarnation = member.incarnation
                started.members.move(row, member.phase)
        self.fleet.worlds[self.fleet.numbers.index(number)] = started
        self._announce(node_id, MemberPhase.ALIVE)

    def _announce(self, node_id: str, phase: MemberPhase) -> None:
        for world in self.fleet.worlds:
            hearer = world.identity.node_id
            if hearer != node_id:
                at = self.fleet.now + self.random.random() * self.delay
                self.news.append((at, hearer, node_id, phase))

    def _spread_news(self) -> None:
        due = [row for row in self.news if row[0] <= self.fleet.now]
        self.news = [row for row in self.news if row[0] > self.fleet.now]
        for _, hearer, node_id, phase in due:
            is_away = node_id in self.returns
            if is_away is (phase is MemberPhase.LEAVING):
                world = self._world(hearer)
                member = world.members.by_id[node_id]
                if phase is MemberPhase.ALIVE:
                    member.incarnation = self.fleet.starts[int(node_id[1:])]
                world.members.move(member, phase)

    def _world(self, node_id: str) -> World:
        return self.fleet.worlds[self.fleet.numbers.index(int(node_id[1:]))]


class RandomStopsTest(unittest.TestCase):
    """Eight members of which up to four are away."""

    def test_random_stops(self) -> None:
        """No window exceeds the limit, however late the news of a stop is."""
        for delay in (0.05, 0.3, 1.0):
            for seed in range(8):
                with self.subTest(delay=delay, seed=seed):
                    model = StopsModel(seed, delay)
                    model.run()
                    found = model.fleet.max_in_window()
                    self.assertLessEqual(found, WINDOW_LIMIT)
