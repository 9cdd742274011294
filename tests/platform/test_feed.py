"""Tests of requests to the store that replace one another."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast

from figlane.entities.kind_feed import (
    CheckStore,
    KindListed,
    ReadKind,
    StoreChecked,
    WatchKind,
)
from figlane.platform.feed import DOMAIN_KIND, StoreFeed
from figlane.platform.objects import Listing, ObjectStore, Unavailable


class _SilentStore:
    """Store that answers reads and leaves watches and checks open."""

    __slots__ = ('cancelled',)

    def __init__(self) -> None:
        self.cancelled = 0

    async def list_page(
        self,
        kind: str,
        after_name: str = '',
        *,
        allow_stale: bool = False,
        timeout_seconds: float = 0,
    ) -> Listing | Unavailable:
        if allow_stale:
            await asyncio.sleep(timeout_seconds)
            return Unavailable('timeout')
        return Listing(7, [])

    async def watch(self, kind: str, revision: int, seconds: float) -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


class StoreFeedTest(unittest.IsolatedAsyncioTestCase):
    """A feed on a store that never answers a watch."""

    async def asyncSetUp(self) -> None:
        """Create the feed and open a watch."""
        self.store = _SilentStore()
        self.rows: list[Any] = []
        self.feed = StoreFeed(
            cast(ObjectStore, self.store),
            asyncio.get_running_loop(),
            self.rows.append,
        )
        self.feed.watch(WatchKind(DOMAIN_KIND, 5, 28))
        await asyncio.sleep(0)

    async def test_read_ends_watch_without_answer(self) -> None:
        """A read or another watch of a kind ends the open watch of it."""
        self.feed.read(ReadKind(DOMAIN_KIND))
        await asyncio.sleep(0.01)
        self.assertEqual(self.store.cancelled, 1)
        self.assertEqual(self.rows, [KindListed(DOMAIN_KIND, 7, 15)])
        for count in (1, 2):
            self.feed.watch(WatchKind(DOMAIN_KIND, 7, 28))
            await asyncio.sleep(0.01)
            self.assertEqual(self.store.cancelled, count)

    async def test_silent_store_fails_check(self) -> None:
        """A check without an answer ends after its own time-out."""
        self.feed.check(CheckStore(1.0, 0.01))
        await asyncio.sleep(0.1)
        expected = StoreChecked(1.0, is_answered=False)
        self.assertEqual(self.rows, [expected])
        self.assertEqual(self.store.cancelled, 0)
