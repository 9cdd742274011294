"""Acquires, renews and releases rights by conditional updates.

Each right is one object of the platform's object store. A version conflict
makes all but one of several competing writes fail.
"""

from __future__ import annotations

from figlane.entities.outbox import ReadObject, WriteObject
from figlane.entities.quota_messages import RightReleased, RightWanted
from figlane.entities.right import KnownHolder, Right, RightPhase, RightRecord
from figlane.entities.world import World
from figlane.registry import Wake
from figlane.systems.post import post
from figlane.systems.quota_minting import (
    MAX_TOKEN_SECONDS,
    OUTLAST_FACTOR,
    TERM_SECONDS,
    refill_buckets,
)
from figlane.systems.quota_records import (
    is_orphan,
    is_takeable,
    note_orphans,
    record_without_self,
    released_record,
    renewed_record,
    taken_record,
)
from figlane.systems.quota_shares import learn_holder
from figlane.systems.registry import Stage, system

RIGHT_KIND = 'right'
# Interval between two renewals of a lease.
_RENEW_SECONDS = 20.0
# Interval between two reads of a right that this node waits to take over.
_POLL_SECONDS = 15.0
# Shortest pause before a failed read or write is retried.
_RETRY_SECONDS = 2.0
# Time after which a read or write times out.
_ANSWER_SECONDS = 15.0
# Delay between taking a right and minting from it: by then all tokens that the
# former holder granted have expired.
_HANDOVER_SECONDS = 2 * MAX_TOKEN_SECONDS * OUTLAST_FACTOR


@system(Stage.QUOTA, Wake('quota.rights'))
def review_rights(world: World, now: float) -> None:
    """Read, take, renew or release the rights that are due.

    :param world: the tables.
    :param now: the current time in seconds.
    """
    for right in world.quota.rights.pop_due(now):
        if right.observed_at < 0:
            observe_right(world, right, now)
        _review(world, right, now)


def find_right(world: World, right_id: str) -> Right:
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
    if right.request_id and now < right.asked_at + _ANSWER_SECONDS:
        world.quota.rights.schedule(right, right.asked_at + _ANSWER_SECONDS)
        return
    if right.request_id:
        right.is_stale = True
    if right.phase is RightPhase.HELD:
        _review_held(world, right, now)
        return
    if right.phase is RightPhase.RELEASED or is_orphan(world, right):
        _review_given_up(world, right, now)
        return
    if world.quota.successor_by_right.get(right.id) == world.identity.node_id:
        _review_wanted(world, right, now)


def _review_held(world: World, right: Right, now: float) -> None:
    is_wanted = right.wanted_by and right.wanted_by == (
        world.quota.successor_by_right.get(right.id)
    )
    if is_wanted or world.quota.is_leaving:
        _end_holding(world, right, RightPhase.RELEASED, now)
        _review_given_up(world, right, now)
        return
    if now < right.renewed_at + _RENEW_SECONDS:
        world.quota.rights.schedule(right, right.renewed_at + _RENEW_SECONDS)
        return
    if right.is_stale:
        _read(world, right, now)
        return
    _write(world, right, renewed_record(world, right, now), now)


def _review_given_up(world: World, right: Right, now: float) -> None:
    if right.is_stale:
        _read(world, right, now)
        return
    if right.phase is RightPhase.RELEASED:
        _write(world, right, released_record(right), now)
        return
    _write(world, right, record_without_self(world, right), now)


def _review_wanted(world: World, right: Right, now: float) -> None:
    if right.is_stale or now >= right.read_at + _POLL_SECONDS:
        _read(world, right, now)
        return
    if is_takeable(world, right, now):
        _write(world, right, taken_record(world, right, now), now)
        return
    holder = right.record.holder if right.record else ''
    if holder != world.identity.node_id and holder in world.members:
        post(world, holder, RightWanted(right.id))
    term_end = right.observed_at + TERM_SECONDS * OUTLAST_FACTOR
    world.quota.rights.schedule(
        right,
        min(term_end, right.read_at + _POLL_SECONDS),
    )


def observe_right(world: World, right: Right, now: float) -> None:
    """Apply a new version of a right: learn whether this node holds it.

    :param world: the tables.
    :param right: the right, with the new version and its record.
    :param now: the current time in seconds.
    """
    right.observed_at = now
    note_orphans(right, now)
    record = right.record
    if record is None:
        return
    learn_holder(world, right.id, KnownHolder(record.holder, right.version))
    identity = world.identity
    is_mine = (record.holder, record.incarnation) == (
        identity.node_id,
        identity.incarnation,
    )
    if not is_mine:
        _end_holding(world, right, RightPhase.OBSERVED, now)
        return
    if right.phase is RightPhase.RELEASED or record != right.written:
        return
    right.renewed_at = max(right.renewed_at, right.written_at)
    if right.phase is RightPhase.HELD:
        return
    refill_buckets(world, now)
    right.mint_from = now + _HANDOVER_SECONDS
    right.wanted_by = ''
    world.counters['quota.right.taken'] += 1
    world.quota.rights.move(right, RightPhase.HELD)


def _end_holding(
    world: World,
    right: Right,
    phase: RightPhase,
    now: float,
) -> None:
    was_held = right.phase is RightPhase.HELD
    wanted_by = right.wanted_by
    was_released = right.phase is RightPhase.RELEASED
    world.quota.rights.move(right, phase)
    if was_held:
        world.counters['quota.right.given_up'] += 1
        refill_buckets(world, now)
    if was_released and wanted_by:
        post(world, wanted_by, RightReleased(right.id))
        right.wanted_by = ''


def retry_right(world: World, right: Right, now: float) -> None:
    """Schedule another review of a right after a pause with jitter.

    :param world: the tables.
    :param right: the right.
    :param now: the current time in seconds.
    """
    pause = _RETRY_SECONDS * (1 + world.random.random())
    world.quota.rights.schedule(right, now + pause)


def _read(world: World, right: Right, now: float) -> None:
    _ask(world, right, now)
    right.read_at = now
    world.outbox.append(ReadObject(right.request_id, RIGHT_KIND, right.id))


def _write(
    world: World,
    right: Right,
    record: RightRecord,
    now: float,
) -> None:
    _ask(world, right, now)
    right.written = record
    right.written_at = now
    world.outbox.append(
        WriteObject(
            right.request_id,
            RIGHT_KIND,
            right.id,
            record,
            if_version=max(right.version, 0),
        ),
    )


def _ask(world: World, right: Right, now: float) -> None:
    right.sequence += 1
    right.request_id = f'{right.id}:{right.sequence}'
    right.asked_at = now
    world.quota.rights.schedule(right, now + _ANSWER_SECONDS)
