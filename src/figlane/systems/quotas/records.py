"""Computes the records of rights that holders write to the object store."""

from __future__ import annotations

from dataclasses import replace

from figlane.entities.right import FormerHolder, Right, RightRecord
from figlane.entities.world import World
from figlane.systems.quotas.minting import (
    CLOCK_MARGIN_FACTOR,
    LEASE_SECONDS,
    MAX_UNRENEWED_SECONDS,
    UNRENEWED_FRACTION,
)


def track_former_holders(right: Right, now: float) -> None:
    """Track when each former holder of a right was first seen in its record.

    :param right: the right.
    :param now: the present time in seconds.
    """
    orphans = right.record.orphans if right.record else ()
    keys = {_holder_key(former) for former in orphans}
    right.former_holder_seen_at = {
        key: right.former_holder_seen_at.get(key, now) for key in keys
    }


def is_former_holder(world: World, right: Right) -> bool:
    """Check whether a right's record lists this node as a former holder.

    :param world: the tables.
    :param right: the right.
    :return: True if it does.
    """
    orphans = right.record.orphans if right.record else ()
    return any(_is_self(world, former) for former in orphans)


def can_take(world: World, right: Right, now: float) -> bool:
    """Check whether a right may be taken: it is free or its lease expired.

    The lease began before this node first saw the current version, and if it
    has been renewed since, the conditional update fails.

    :param world: the tables.
    :param right: the right, as last read.
    :param now: the present time in seconds.
    :return: True if it may be taken.
    """
    record = right.record
    if record is None or not record.holder:
        return True
    if _is_self(world, record):
        return True
    return now >= right.observed_at + LEASE_SECONDS * CLOCK_MARGIN_FACTOR


def takeover_record(world: World, right: Right, now: float) -> RightRecord:
    """Compute the record with which this node takes a right.

    The former holder keeps the share that it may mint without a renewal until
    it acknowledges the loss or certainly no longer mints, even if its clock
    runs slow.

    :param world: the tables.
    :param right: the right.
    :param now: the present time in seconds.
    :return: the record.
    """
    old = right.record
    orphans = _unexpired_former_holders(world, right, now)
    if old is not None and old.holder and not _is_self(world, old):
        residual_share = old.share * UNRENEWED_FRACTION
        orphans = (
            *orphans,
            FormerHolder(old.holder, old.incarnation, residual_share),
        )
    return _own_record(world, right, orphans)


def renewal_record(world: World, right: Right, now: float) -> RightRecord:
    """Compute the record with which this node renews a right.

    :param world: the tables.
    :param right: a right that this node holds.
    :param now: the present time in seconds.
    :return: the record.
    """
    return _own_record(
        world, right, _unexpired_former_holders(world, right, now)
    )


def release_record(right: Right) -> RightRecord:
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
        former for former in right.record.orphans if not _is_self(world, former)
    )
    return replace(right.record, orphans=orphans)


def _own_record(
    world: World,
    right: Right,
    orphans: tuple[FormerHolder, ...],
) -> RightRecord:
    identity = world.identity
    return RightRecord(
        identity.node_id,
        identity.incarnation,
        right.sequence + 1,
        orphans,
    )


def _unexpired_former_holders(
    world: World,
    right: Right,
    now: float,
) -> tuple[FormerHolder, ...]:
    orphans = right.record.orphans if right.record else ()
    max_unrenewed = MAX_UNRENEWED_SECONDS * CLOCK_MARGIN_FACTOR
    return tuple(
        former
        for former in orphans
        if not _is_self(world, former)
        and now
        < right.former_holder_seen_at.get(_holder_key(former), now)
        + max_unrenewed
    )


def _holder_key(former: FormerHolder) -> tuple[str, int]:
    return former.holder, former.incarnation


def _is_self(world: World, entry: FormerHolder | RightRecord) -> bool:
    identity = world.identity
    return (entry.holder, entry.incarnation) == (
        identity.node_id,
        identity.incarnation,
    )
