"""Computes the records of rights that holders write to the object store."""

from __future__ import annotations

from dataclasses import replace

from figlane.entities.right import Orphan, Right, RightRecord
from figlane.entities.world import World
from figlane.systems.quota_minting import (
    HORIZON_SECONDS,
    KEPT_FRACTION,
    OUTLAST_FACTOR,
    TERM_SECONDS,
)


def note_orphans(right: Right, now: float) -> None:
    """Track when each former holder of a right was first seen in its record.

    :param right: the right.
    :param now: the current time in seconds.
    """
    orphans = right.record.orphans if right.record else ()
    keys = {_key(orphan) for orphan in orphans}
    right.orphan_seen_at = {
        key: right.orphan_seen_at.get(key, now) for key in keys
    }


def is_orphan(world: World, right: Right) -> bool:
    """Check whether a right's record lists this node as a former holder.

    :param world: the tables.
    :param right: the right.
    :return: True if it does.
    """
    orphans = right.record.orphans if right.record else ()
    return any(_is_self(world, orphan) for orphan in orphans)


def is_takeable(world: World, right: Right, now: float) -> bool:
    """Check whether a right may be taken: it is free or its lease expired.

    The lease began before this node first saw the current version, and if it
    has been renewed since, the conditional update fails.

    :param world: the tables.
    :param right: the right, as last read.
    :param now: the current time in seconds.
    :return: True if it may be taken.
    """
    record = right.record
    if record is None or not record.holder:
        return True
    if _is_self(world, record):
        return True
    return now >= right.observed_at + TERM_SECONDS * OUTLAST_FACTOR


def taken_record(world: World, right: Right, now: float) -> RightRecord:
    """Compute the record with which this node takes a right.

    The former holder keeps the share that it may mint without a renewal until
    it acknowledges the loss or certainly no longer mints, even if its clock
    runs slow.

    :param world: the tables.
    :param right: the right.
    :param now: the current time in seconds.
    :return: the record.
    """
    old = right.record
    orphans = _living_orphans(world, right, now)
    if old is not None and old.holder and not _is_self(world, old):
        kept = old.share * KEPT_FRACTION
        orphans = (*orphans, Orphan(old.holder, old.incarnation, kept))
    return _own_record(world, right, orphans)


def renewed_record(world: World, right: Right, now: float) -> RightRecord:
    """Compute the record with which this node renews a right.

    :param world: the tables.
    :param right: a right that this node holds.
    :param now: the current time in seconds.
    :return: the record.
    """
    return _own_record(world, right, _living_orphans(world, right, now))


def released_record(right: Right) -> RightRecord:
    """Compute the record with which this node releases a right.

    :param right: a right that this node held.
    :return: the record.
    """
    orphans = right.record.orphans if right.record else ()
    return RightRecord('', 0, right.sequence + 1, orphans)


def record_without_self(world: World, right: Right) -> RightRecord:
    """Compute the record that acknowledges the loss of a right.

    :param world: the tables.
    :param right: a right whose record lists this node as a former holder.
    :return: the record.
    """
    assert right.record is not None
    orphans = tuple(
        orphan for orphan in right.record.orphans if not _is_self(world, orphan)
    )
    return replace(right.record, orphans=orphans)


def _own_record(
    world: World,
    right: Right,
    orphans: tuple[Orphan, ...],
) -> RightRecord:
    identity = world.identity
    return RightRecord(
        identity.node_id,
        identity.incarnation,
        right.sequence + 1,
        orphans,
    )


def _living_orphans(
    world: World,
    right: Right,
    now: float,
) -> tuple[Orphan, ...]:
    orphans = right.record.orphans if right.record else ()
    horizon = HORIZON_SECONDS * OUTLAST_FACTOR
    return tuple(
        orphan
        for orphan in orphans
        if not _is_self(world, orphan)
        and now < right.orphan_seen_at.get(_key(orphan), now) + horizon
    )


def _key(orphan: Orphan) -> tuple[str, int]:
    return orphan.holder, orphan.incarnation


def _is_self(world: World, named: Orphan | RightRecord) -> bool:
    identity = world.identity
    return (named.holder, named.incarnation) == (
        identity.node_id,
        identity.incarnation,
    )
