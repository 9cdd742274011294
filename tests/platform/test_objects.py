"""Tests of the store client against a stand-in with injected faults."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from figlane.platform.objects import (
    Changes,
    Listing,
    ObjectStore,
    RevisionMismatch,
    StoredObject,
    Unavailable,
)
from figlane.settings import split_address
from standins.addresses import reserve_addresses
from standins.platform_store import PlatformStore


class ObjectStoreTest(IsolatedAsyncioTestCase):
    """Requests of one client to one store."""

    async def asyncSetUp(self) -> None:
        """Start the store and create the client."""
        loop = asyncio.get_running_loop()
        self.store = PlatformStore(loop)
        address = reserve_addresses(1)[0]
        await self.store.server.start(*split_address(address))
        self.client = ObjectStore(loop, address)
        self.addCleanup(self.store.server.close)
        self.addCleanup(self.client.close)

    async def test_write_and_list(self) -> None:
        """A created object is listed; replacing it raises its revision."""
        created = await self.client.create('k', 'a', {'x': 1})
        self.assertIsInstance(created, StoredObject)
        replaced = await self.client.put('k', 'a', {'x': 2})
        self.assertGreater(
            replaced.metadata.revision,
            created.metadata.revision,
        )
        listing = await self.client.list_page('k')
        self.assertIsInstance(listing, Listing)
        self.assertEqual(len(listing.objects), 1)
        self.assertEqual(listing.at, replaced.metadata.revision)

    async def test_revision_conditions(self) -> None:
        """A write that does not match the object's revision is refused."""
        created = await self.client.create('k', 'a', 1)
        revision = created.metadata.revision
        cases = (
            ('create', self.client.create('k', 'a', 2), revision),
            ('put', self.client.put('k', 'a', 2, revision - 1), revision),
            ('missing', self.client.put('k', 'b', 2), 0),
        )
        for name, call, expected in cases:
            with self.subTest(name=name):
                outcome = await call
                self.assertIsInstance(outcome, RevisionMismatch)
                self.assertEqual(outcome.revision, expected)
                revision_of_current = 0
                if outcome.current is not None:
                    revision_of_current = outcome.current.metadata.revision
                self.assertEqual(revision_of_current, expected)
        deleted = await self.client.delete('k', 'a', revision - 1)
        self.assertIsInstance(deleted, RevisionMismatch)
        self.assertIsNone(await self.client.delete('k', 'a', revision))
        self.assertIsNone(await self.client.delete('k', 'a'))

    async def test_watch(self) -> None:
        """A watch returns at the first change of its kind or at its timeout."""
        waiting = asyncio.ensure_future(self.client.watch('k', 1, 5))
        await asyncio.sleep(0.05)
        self.store.table.write('other', 'a', 1)
        self.store.table.write('k', 'a', 1)
        changes = await waiting
        self.assertIsInstance(changes, Changes)
        self.assertEqual(len(changes.events), 1)
        nothing = await self.client.watch('k', changes.at, 0.05)
        self.assertEqual(nothing.events, [])

    async def test_watch_with_lost_history(self) -> None:
        """A watch from a revision that the store has discarded fails."""
        self.store.table.write('k', 'a', 1)
        self.store.table.compact_history()
        changes = await self.client.watch('k', 1, 1)
        self.assertEqual(changes, Unavailable('status 410', True))

    async def test_faults_return_unavailable(self) -> None:
        """Each fault of the store is returned as unavailable."""
        cases = (('status', 503), ('status', 429), ('silent', True))
        for name, content in cases:
            with self.subTest(name=name, content=content):
                setattr(self.store.faults, name, content)
                for call in (
                    self.client.list_page('k'),
                    self.client.create('k', 'a', 1),
                    self.client.put('k', 'a', 1),
                    self.client.delete('k', 'a'),
                ):
                    self.assertIsInstance(await call, Unavailable)
                self.store.faults.status = 0
                self.store.faults.silent = False

    async def test_lost_response(self) -> None:
        """A write whose response is lost is unavailable but takes effect."""
        self.store.faults.lost_writes = 1
        written = await self.client.create('k', 'a', 1)
        self.assertIsInstance(written, Unavailable)
        self.assertIn(('k', 'a'), self.store.table.by_key)
