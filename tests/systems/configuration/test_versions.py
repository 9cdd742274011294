"""Tests that configuration converges with the store in any order of events."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figlane.entities.feed import ObjectsListed
from figlane.entities.inbox import ObjectChanged
from figlane.entities.service import (
    ConfigurationPhase,
    FailureDomain,
    Organisation,
)
from figlane.entities.world import Identity, World
from figlane.systems.tick import run_tick

_KEYS = ('key-a', 'key-b', 'key-c')
_NAMES = ('waco', 'temple', 'killeen')


def new_world(node_id: str = 'node-a', domain: str = 'domain-a') -> World:
    """Create a world with empty tables.

    :param node_id: id of the node.
    :param domain: failure domain of the node.
    :return: the world.
    """
    return World(Identity(node_id, domain, 1), random.Random(1))


def _organisation(
    name: str, version: int, keys: frozenset[str]
) -> ObjectChanged:
    row = Organisation(name, version, keys)
    return ObjectChanged('organisation', name, version, row)


_Listing = tuple[ObjectsListed, list[ObjectChanged]]


class ConfigurationMachine(RuleBasedStateMachine):
    """A store, and a node whose events are delayed, repeated or lost.

    ``delivered`` holds the highest version of each object that was delivered to
    the node, and ``absent_at`` the highest revision of a delivered listing
    that lacks the object.
    """

    def __init__(self) -> None:
        """Start with an empty store."""
        super().__init__()
        self.world = new_world()
        self.revision = 0
        self.stored: dict[str, ObjectChanged] = {}
        self.history: list[ObjectChanged] = []
        self.listings: list[_Listing] = []
        self.delivered: dict[str, ObjectChanged] = {}
        self.absent_at: dict[str, int] = {}

    @rule(
        name=st.sampled_from(_NAMES), keys=st.frozensets(st.sampled_from(_KEYS))
    )
    def write(self, name: str, keys: frozenset[str]) -> None:
        """Write a new version of an object to the store."""
        self.revision += 1
        row = _organisation(name, self.revision, keys)
        self.stored[name] = row
        self.history.append(row)

    @rule(name=st.sampled_from(_NAMES))
    def delete(self, name: str) -> None:
        """Delete an object from the store."""
        if self.stored.pop(name, None) is None:
            return
        self.revision += 1
        row = ObjectChanged('organisation', name, self.revision, None)
        self.history.append(row)

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """Deliver any past event, possibly for the second time."""
        if self.history:
            self._deliver_version(data.draw(st.sampled_from(self.history)))

    @rule()
    def read_listing(self) -> None:
        """Read all objects; the listing is delivered later."""
        names = frozenset(('organisation', name) for name in self.stored)
        listing = ObjectsListed(self.revision, names)
        self.listings.append((listing, list(self.stored.values())))

    @rule(data=st.data())
    def deliver_listing(self, data: st.DataObject) -> None:
        """Deliver any past listing."""
        if not self.listings:
            return
        listing, rows = data.draw(st.sampled_from(self.listings))
        for row in rows:
            self._deliver_version(row)
        self._run(listing)
        for name in _NAMES:
            if ('organisation', name) not in listing.names:
                before = self.absent_at.get(name, 0)
                self.absent_at[name] = max(before, listing.revision)

    @invariant()
    def holds_highest(self) -> None:
        """Exactly the highest delivered version of each object is in force."""
        expected = self._expected()
        in_force = {
            row.id: row.version
            for row in self.world.organisations.in_phase(
                ConfigurationPhase.IN_FORCE,
            )
        }
        versions = {name: row.version for name, row in expected.items()}
        assert in_force == versions, (in_force, versions)

    @invariant()
    def keys_belong_to_latest(self) -> None:
        """A key belongs to the organisation with the highest version."""
        expected: dict[str, str] = {}
        rows = sorted(self._expected().values(), key=lambda row: row.version)
        for row in rows:
            for key in row.entity.key_hashes:
                expected[key] = row.name
        assert self.world.organisation_by_key_hash == expected

    def _expected(self) -> dict[str, ObjectChanged]:
        return {
            name: row
            for name, row in self.delivered.items()
            if row.entity is not None
            and row.version > self.absent_at.get(name, 0)
        }

    def _deliver_version(self, row: ObjectChanged) -> None:
        known = self.delivered.get(row.name)
        if known is None or known.version < row.version:
            self.delivered[row.name] = row
        self._run(row)

    def _run(self, row: ObjectChanged | ObjectsListed) -> None:
        self.world.inbox.append(row)
        run_tick(self.world, 0)


ConfigurationMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
)
ConfigurationTest = ConfigurationMachine.TestCase


class ListingTest(unittest.TestCase):
    """Single cases of complete listings and of keys that move."""

    def test_unlisted_object_is_deleted(self) -> None:
        """An object that the listing lacks is deleted."""
        world = new_world()
        world.inbox += [
            ObjectChanged('domain', 'temple', 3, FailureDomain('temple', 3)),
            ObjectsListed(5, frozenset()),
        ]
        run_tick(world, 0)
        row = world.failure_domains.by_id['temple']
        self.assertIs(row.phase, ConfigurationPhase.DELETED)
        self.assertEqual(row.version, 5)

    def test_older_listing_keeps_object(self) -> None:
        """A listing older than an object does not delete it."""
        world = new_world()
        world.inbox += [
            ObjectChanged('domain', 'temple', 7, FailureDomain('temple', 7)),
            ObjectsListed(5, frozenset()),
        ]
        run_tick(world, 0)
        row = world.failure_domains.by_id['temple']
        self.assertIs(row.phase, ConfigurationPhase.IN_FORCE)

    def test_key_moves_to_other_organisation(self) -> None:
        """A moved key belongs to its new organisation in any event order."""
        granting = _organisation('temple', 6, frozenset(('key-a',)))
        revoking = _organisation('waco', 5, frozenset())
        for rows in ((granting, revoking), (revoking, granting)):
            with self.subTest(first=rows[0].name):
                world = new_world()
                first = _organisation('waco', 4, frozenset(('key-a',)))
                world.inbox += [first, *rows]
                run_tick(world, 0)
                holder = world.organisation_by_key_hash.get('key-a')
                self.assertEqual(holder, 'temple')
