"""Tests that each safeguard of minted tokens is effective and needed.

Each scenario is run twice: as built, when the quota must hold, and with one
safeguard disabled, when it must be exceeded.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from unittest import TestCase, mock

from figlane.entities.inbox import ObjectWritten, PeerMessage, WriteStatus
from figlane.entities.member import MemberPhase
from figlane.entities.quota_messages import TokenGrant
from figlane.entities.right import Right, RightPhase, RightRecord
from figlane.entities.service import Allowance
from figlane.entities.world import World
from figlane.systems import quota_minting, quota_records, quota_rights
from figlane.systems.registry import peer_handlers, write_handlers
from standins.quota_fleet import Faults
from tests.systems.quota_harness import QuotaHarness

# Holds three of the quota's five rights.
_LOST = 'node-1'


def _pause_spender() -> QuotaHarness:
    """Pause entry nodes that have tokens in stock, resume and overload them."""
    harness = QuotaHarness(Allowance(100, 200, 1))
    harness.fleet.run(10)
    spenders = tuple(harness.fleet.node_by_id)[1:]
    for node_id in spenders:
        harness.offer(node_id, 50, 0.7)
        harness.node(node_id).is_paused = True
    harness.fleet.run(harness.fleet.now + 10)
    for node_id in spenders:
        harness.fleet.resume(node_id)
    harness.fleet.run(harness.fleet.now + 3)
    for node_id in harness.fleet.node_by_id:
        harness.offer(node_id, 150, 0.01)
    harness.flow(1)
    return harness


def _cut_holder() -> QuotaHarness:
    """Cut a holder off from the store until its rights have been taken over."""
    harness = QuotaHarness()
    harness.node(_LOST).is_cut_from_store = True
    harness.distrust(_LOST, MemberPhase.DEAD)
    harness.age(10, 15)
    harness.flow(40)
    return harness


def _repeat_messages() -> QuotaHarness:
    """Deliver each message twice, and some of them late."""
    harness = QuotaHarness()
    harness.fleet.faults = Faults(duplicated=1, slow=0.1)
    harness.flow(20)
    return harness


def _pause_holder() -> QuotaHarness:
    """Pause a holder until its leases have expired, then resume it."""
    harness = QuotaHarness()
    harness.node(_LOST).is_paused = True
    harness.distrust(_LOST, MemberPhase.DEAD)
    harness.age(10, 15)
    harness.node(_LOST).is_cut_from_store = True
    harness.fleet.resume(_LOST)
    harness.flow(40)
    return harness


def _full_share(right: Right, now: float) -> float:
    if right.phase is not RightPhase.HELD or now < right.mint_from:
        return 0
    return right.record.share if right.record else 0


def _whole_record(world: World, right: Right, now: float) -> RightRecord:
    return replace(
        quota_records.renewed_record(world, right, now),
        orphans=(),
    )


def _grant_again(world: World, row: PeerMessage, now: float) -> None:
    stock = next(iter(world.quota.stocks))
    asked = stock.asked_by_id.get(row.message.request_id)
    _HANDLE_GRANT(world, row, now)
    if asked is not None:
        stock.asked_by_id[row.message.request_id] = asked


def _believe_written(world: World, row: ObjectWritten, now: float) -> None:
    if row.status is WriteStatus.UNKNOWN:
        right = world.quota.rights.by_id[row.name]
        row = replace(
            row,
            status=WriteStatus.WRITTEN,
            version=right.version + 1,
        )
    _HANDLE_WRITTEN(world, row, now)


_HANDLE_GRANT = peer_handlers.find(TokenGrant)
_HANDLE_WRITTEN = write_handlers.find('right')


class SafeguardTest(TestCase):
    """Each safeguard, in a scenario that needs it."""

    def test_expiry(self) -> None:
        """Tokens that expired while an entry node was paused are not spent."""
        self._compare(
            _pause_spender,
            mock.patch(
                'figlane.systems.quota_stock.drop_expired',
                lambda stock, now: None,
            ),
        )

    def test_lapse(self) -> None:
        """A holder that cannot renew mints less after its lease has expired."""
        patch = mock.patch.object(quota_minting, 'minting_share', _full_share)
        self._compare(_cut_holder, patch)

    def test_pause(self) -> None:
        """A holder that was paused beyond its lease mints less."""
        patch = mock.patch.object(quota_minting, 'minting_share', _full_share)
        self._compare(_pause_holder, patch)

    def test_orphan(self) -> None:
        """A new holder does not mint what a former holder may still mint."""
        patch = mock.patch.object(quota_rights, 'taken_record', _whole_record)
        self._compare(_cut_holder, patch)

    def test_duplicates(self) -> None:
        """A grant that is delivered twice counts once."""
        patch = mock.patch.dict(
            peer_handlers.by_key,
            {TokenGrant: _grant_again},
        )
        self._compare(_repeat_messages, patch)

    def test_lost_answers(self) -> None:
        """A write with unknown outcome does not count as a renewal."""
        patch = mock.patch.dict(
            write_handlers.by_key,
            {'right': _believe_written},
        )
        self._compare(_cut_holder, patch)

    def _compare(
        self,
        scenario: Callable[[], QuotaHarness],
        without_safeguard: mock._patch,
    ) -> None:
        found = scenario().excess()
        with without_safeguard:
            without = scenario().excess()
        self.assertLessEqual(found, 0)
        self.assertGreater(without, 0)
