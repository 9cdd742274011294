"""Tests that each safeguard of minted tokens is effective and needed.

Each scenario is run twice: with all safeguards, when the quota must hold, and
with one safeguard disabled, when the quota must be exceeded.
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
from figlane.systems.quotas import minting, records, rights
from figlane.systems.registry import peer_handlers, write_handlers
from standins.quota_fleet import Faults
from tests.systems.quota_harness import QuotaHarness

# Holds six of the quota's ten rights, the most of all nodes.
_LOST_HOLDER = 'node-1'


def _pause_entry_nodes() -> QuotaHarness:
    """Pause entry nodes that have tokens in stock, resume and overload them."""
    harness = QuotaHarness(Allowance(100, 200, 1))
    harness.fleet.run(10)
    paused = tuple(harness.fleet.node_by_id)[1:]
    for node_id in paused:
        harness.offer(node_id, 50, 0.7)
        harness.node(node_id).is_paused = True
    harness.fleet.run(harness.fleet.now + 10)
    for node_id in paused:
        harness.fleet.resume(node_id)
    harness.fleet.run(harness.fleet.now + 3)
    for node_id in harness.fleet.node_by_id:
        harness.offer(node_id, 150, 0.01)
    harness.overload(1)
    return harness


def _cut_holder() -> QuotaHarness:
    """Cut a holder off from the store until its rights have been taken over."""
    harness = QuotaHarness()
    harness.node(_LOST_HOLDER).is_cut_from_store = True
    harness.set_phase_at_peers(_LOST_HOLDER, MemberPhase.DEAD)
    harness.skip_time(10, 15)
    harness.overload(40)
    return harness


def _duplicate_messages() -> QuotaHarness:
    """Deliver each message twice, and some of them late."""
    harness = QuotaHarness()
    harness.fleet.faults = Faults(duplicated=1, slow=0.1)
    harness.overload(20)
    return harness


def _pause_holder() -> QuotaHarness:
    """Pause a holder until its leases have expired, then resume it."""
    harness = QuotaHarness()
    harness.node(_LOST_HOLDER).is_paused = True
    harness.set_phase_at_peers(_LOST_HOLDER, MemberPhase.DEAD)
    harness.skip_time(10, 15)
    harness.node(_LOST_HOLDER).is_cut_from_store = True
    harness.fleet.resume(_LOST_HOLDER)
    harness.overload(40)
    return harness


def _share_without_expiry(right: Right, now: float) -> float:
    if right.phase is not RightPhase.HELD or now < right.minting_starts_at:
        return 0
    return right.record.share if right.record else 0


def _record_without_former_holders(
    world: World, right: Right, now: float
) -> RightRecord:
    return replace(
        records.renewal_record(world, right, now),
        orphans=(),
    )


def _accept_duplicate_grant(world: World, row: PeerMessage, now: float) -> None:
    stock = next(iter(world.quota.stocks))
    pending = stock.pending_by_id.get(row.message.request_id)
    _HANDLE_GRANT(world, row, now)
    if pending is not None:
        stock.pending_by_id[row.message.request_id] = pending


def _treat_unknown_as_written(
    world: World, row: ObjectWritten, now: float
) -> None:
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

    def test_paused_node_drops_expired_tokens(self) -> None:
        """Tokens that expired while an entry node was paused are not spent."""
        self._compare(
            _pause_entry_nodes,
            mock.patch(
                'figlane.systems.quotas.stock.drop_expired',
                lambda stock, now: None,
            ),
        )

    def test_unrenewed_holder_mints_less(self) -> None:
        """A holder that cannot renew mints less after its lease has expired."""
        patch = mock.patch.object(
            minting, 'minting_share', _share_without_expiry
        )
        self._compare(_cut_holder, patch)

    def test_paused_holder_mints_less(self) -> None:
        """A holder that was paused beyond its lease mints less."""
        patch = mock.patch.object(
            minting, 'minting_share', _share_without_expiry
        )
        self._compare(_pause_holder, patch)

    def test_new_holder_leaves_former_holder_share(self) -> None:
        """A new holder does not mint what a former holder may still mint."""
        patch = mock.patch.object(
            rights, 'takeover_record', _record_without_former_holders
        )
        self._compare(_cut_holder, patch)

    def test_duplicate_grant_counts_once(self) -> None:
        """A grant that is delivered twice counts once."""
        patch = mock.patch.dict(
            peer_handlers.by_key,
            {TokenGrant: _accept_duplicate_grant},
        )
        self._compare(_duplicate_messages, patch)

    def test_unknown_write_is_no_renewal(self) -> None:
        """A write with unknown outcome does not count as a renewal."""
        patch = mock.patch.dict(
            write_handlers.by_key,
            {'right': _treat_unknown_as_written},
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
