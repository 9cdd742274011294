"""Acquires, renews and releases rights by conditional updates.

Each right is one object of the platform's object store. A version conflict
makes all but one of several competing writes fail.
"""

from __future__ import annotations

from figlane.entities.outbox import ReadObject, WriteObject
from figlane.entities.quota_messages import RightReleased, RightRequest
from figlane.entities.right import KnownHolder, Right, RightPhase, RightRecord
from figlane.entities.world import World
from figlane.registry import RunCondition
from figlane.systems.links.messages import send_message
from figlane.systems.quotas.minting import (
    CLOCK_MARGIN_FACTOR,
    LEASE_SECONDS,
    MAX_TOKEN_LIFETIME_SECONDS,
    refill_buckets,
)
from figlane.systems.quotas.records import (
    can_take,
    is_former_holder,
    record_without_self,
    release_record,
    renewal_record,
    takeover_record,
    track_former_holders,
)
from figlane.systems.quotas.shares import update_known_holder
from figlane.systems.registry import Stage, system

RIGHT_KIND = 'right'
# Interval between two renewals of a lease.
_RENEWAL_INTERVAL_SECONDS = 20.0
# Interval between two reads of a right that this node waits to take over.
_POLL_INTERVAL_SECONDS = 15.0
# Shortest pause before a failed read or write is retried.
_MIN_RETRY_SECONDS = 2.0
# Time after which a read or write times out.
_STORE_TIMEOUT_SECONDS = 15.0
# Delay between taking a right that somebody has held and minting from it: by
# then all tokens that the former holder granted have expired.
_HANDOVER_SECONDS = 2 * MAX_TOKEN_LIFETIME_SECONDS * CLOCK_MARGIN_FACTOR


@system(Stage.QUOTA, RunCondition('quota.rights'))
def review_rights(world: World, now: float) -> None:
    """Read, take, renew or release the rights that are due.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for right in world.quota.rights.pop_due(now):
        if right.observed_at < 0:
            apply_right_version(world, right, now)
        _review(world, right, now)


def ensure_right(world: World, right_id: str) -> Right:
    """Return the row of a right, creating it if needed.

    :param world: the tables.
    :param right_id: the right's id.
    :return: the row.
    """
    right = world.quota.rights.get(right_id)
    if right is None:
        right = Right(right_id)
        world.quota.rights.insert(right)
    return right


def _review(world: World, right: Right, now: float) -> None:
    if (
        right.request_id
        and now < right.request_sent_at + _STORE_TIMEOUT_SECONDS
    ):
        world.quota.rights.schedule(
            right, right.request_sent_at + _STORE_TIMEOUT_SECONDS
        )
        return
    if right.request_id:
        right.is_stale = True
    if right.phase is RightPhase.HELD:
        _review_held(world, right, now)
        return
    if right.phase is RightPhase.RELEASED or is_former_holder(world, right):
        _review_lost(world, right, now)
        return
    if (
        world.quota.preferred_holder_by_right.get(right.id)
        == world.identity.node_id
    ):
        _review_preferred(world, right, now)


def _review_held(world: World, right: Right, now: float) -> None:
    is_release_due = right.release_to and right.release_to == (
        world.quota.preferred_holder_by_right.get(right.id)
    )
    if is_release_due or world.quota.is_leaving:
        _stop_holding(world, right, RightPhase.RELEASED, now)
        _review_lost(world, right, now)
        return
    if now < right.renewed_at + _RENEWAL_INTERVAL_SECONDS:
        world.quota.rights.schedule(
            right, right.renewed_at + _RENEWAL_INTERVAL_SECONDS
        )
        return
    if right.is_stale:
        _read_record(world, right, now)
        return
    _write_record(world, right, renewal_record(world, right, now), now)


def _review_lost(world: World, right: Right, now: float) -> None:
    if right.is_stale:
        _read_record(world, right, now)
        return
    if right.phase is RightPhase.RELEASED:
        _write_record(world, right, release_record(right), now)
        return
    _write_record(world, right, record_without_self(world, right), now)


def _review_preferred(world: World, right: Right, now: float) -> None:
    if right.is_stale or now >= right.read_at + _POLL_INTERVAL_SECONDS:
        _read_record(world, right, now)
        return
    if can_take(world, right, now):
        _write_record(world, right, takeover_record(world, right, now), now)
        return
    holder = right.record.holder if right.record else ''
    if holder != world.identity.node_id and holder in world.members:
        send_message(world, holder, RightRequest(right.id))
    lease_end = right.observed_at + LEASE_SECONDS * CLOCK_MARGIN_FACTOR
    world.quota.rights.schedule(
        right,
        min(lease_end, right.read_at + _POLL_INTERVAL_SECONDS),
    )


def apply_right_version(world: World, right: Right, now: float) -> None:
    """Apply a new version of a right, from which this node may gain or lose it.

    :param world: the tables.
    :param right: the right, with the new version and its record.
    :param now: the present time in seconds.
    """
    right.observed_at = now
    track_former_holders(right, now)
    record = right.record
    if record is None:
        return
    update_known_holder(
        world, right.id, KnownHolder(record.holder, right.version)
    )
    identity = world.identity
    is_own = (record.holder, record.incarnation) == (
        identity.node_id,
        identity.incarnation,
    )
    if not is_own:
        _stop_holding(world, right, RightPhase.OBSERVED, now)
        return
    if right.phase is RightPhase.RELEASED or record != right.last_written:
        return
    right.renewed_at = max(right.renewed_at, right.last_write_at)
    if right.phase is RightPhase.HELD:
        return
    refill_buckets(world, now)
    handover_seconds = 0 if right.is_creating else _HANDOVER_SECONDS
    right.minting_starts_at = now + handover_seconds
    right.release_to = ''
    world.counters['quota.right.taken'] += 1
    world.quota.rights.move(right, RightPhase.HELD)


def _stop_holding(
    world: World,
    right: Right,
    phase: RightPhase,
    now: float,
) -> None:
    was_held = right.phase is RightPhase.HELD
    release_to = right.release_to
    was_released = right.phase is RightPhase.RELEASED
    world.quota.rights.move(right, phase)
    if was_held:
        world.counters['quota.right.given_up'] += 1
        refill_buckets(world, now)
    if was_released and release_to:
        send_message(world, release_to, RightReleased(right.id))
        right.release_to = ''


def schedule_retry(world: World, right: Right, now: float) -> None:
    """Schedule the next review of a right after a failed read or write.

    The pause has jitter.

    :param world: the tables.
    :param right: the right.
    :param now: the present time in seconds.
    """
    pause = _MIN_RETRY_SECONDS * (1 + world.random.random())
    world.quota.rights.schedule(right, now + pause)


def _read_record(world: World, right: Right, now: float) -> None:
    _start_request(world, right, now)
    right.read_at = now
    world.outbox.append(ReadObject(right.request_id, RIGHT_KIND, right.id))


def _write_record(
    world: World,
    right: Right,
    record: RightRecord,
    now: float,
) -> None:
    _start_request(world, right, now)
    right.last_written = record
    right.last_write_at = now
    right.is_creating = right.version <= 0
    world.outbox.append(
        WriteObject(
            right.request_id,
            RIGHT_KIND,
            right.id,
            record,
            if_version=max(right.version, 0),
        ),
    )


def _start_request(world: World, right: Right, now: float) -> None:
    right.sequence += 1
    right.request_id = f'{right.id}:{right.sequence}'
    right.request_sent_at = now
    world.quota.rights.schedule(right, now + _STORE_TIMEOUT_SECONDS)
