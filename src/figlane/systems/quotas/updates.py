"""Handles object store answers and peer messages about minting rights."""

from __future__ import annotations

from figlane.entities.inbox import (
    ObjectChanged,
    ObjectRead,
    ObjectWritten,
    PeerMessage,
    WriteStatus,
)
from figlane.entities.quota_messages import RightReleased, RightRequest
from figlane.entities.right import Right, RightPhase
from figlane.entities.world import World
from figlane.systems.configuration.versions import object_appliers
from figlane.systems.quotas.rights import (
    RIGHT_KIND,
    apply_right_version,
    ensure_right,
    schedule_retry,
)
from figlane.systems.registry import (
    inbox_handlers,
    peer_handlers,
    read_handlers,
    write_handlers,
)


@object_appliers.register(RIGHT_KIND)
def apply_right(world: World, row: ObjectChanged, now: float) -> bool:
    """Store a new version of a right and schedule its review in this tick.

    :param world: the tables.
    :param row: the new version.
    :param now: the present time in seconds.
    :return: False, since rights are not pushed to peers.
    """
    right = ensure_right(world, row.name)
    if row.entity is None or row.version <= right.version:
        return False
    right.version = row.version
    right.record = row.entity
    right.observed_at = -1
    world.quota.rights.schedule(right, 0)
    return False


@inbox_handlers.register(ObjectRead)
def handle_object_read(world: World, row: ObjectRead, now: float) -> None:
    """Dispatch an object that was read to the handler of its kind.

    :param world: the tables.
    :param row: the result of the read.
    :param now: the present time in seconds.
    """
    read_handlers.find(row.kind)(world, row, now)


@read_handlers.register(RIGHT_KIND)
def handle_right_read(world: World, row: ObjectRead, now: float) -> None:
    """Apply the record of a right that was read from the object store.

    :param world: the tables.
    :param row: the result of the read.
    :param now: the present time in seconds.
    """
    right = ensure_right(world, row.name)
    if row.request_id != right.request_id:
        return
    right.request_id = ''
    if not row.is_known:
        schedule_retry(world, right, now)
        return
    right.is_stale = False
    if row.version > right.version:
        right.record = row.entity
    _adopt_version(world, right, row.version, now)


@write_handlers.register(RIGHT_KIND)
def handle_right_written(world: World, row: ObjectWritten, now: float) -> None:
    """Apply the outcome of a write; unless it succeeded, read the right back.

    :param world: the tables.
    :param row: the outcome of the write.
    :param now: the present time in seconds.
    """
    right = ensure_right(world, row.name)
    if row.request_id != right.request_id:
        return
    right.request_id = ''
    if row.status is not WriteStatus.WRITTEN:
        right.is_stale = True
        schedule_retry(world, right, now)
        return
    if row.version > right.version:
        right.record = right.last_written
    _adopt_version(world, right, row.version, now)


def _adopt_version(
    world: World,
    right: Right,
    version: int,
    now: float,
) -> None:
    if version > right.version:
        right.version = version
        apply_right_version(world, right, now)
    world.quota.rights.schedule(right, now)


@peer_handlers.register(RightRequest)
def handle_right_request(world: World, row: PeerMessage, now: float) -> None:
    """Schedule the release of a right to the member that should hold it.

    :param world: the tables.
    :param row: the message, which names the right.
    :param now: the present time in seconds.
    """
    right = ensure_right(world, row.message.right_id)
    if right.phase is not RightPhase.HELD:
        return
    if world.quota.preferred_holder_by_right.get(right.id) != row.sender:
        return
    right.release_to = row.sender
    world.quota.rights.schedule(right, now)


@peer_handlers.register(RightReleased)
def handle_right_released(world: World, row: PeerMessage, now: float) -> None:
    """Schedule a read of a right that its holder has released.

    :param world: the tables.
    :param row: the message, which names the right.
    :param now: the present time in seconds.
    """
    right = ensure_right(world, row.message.right_id)
    right.is_stale = True
    world.quota.rights.schedule(right, now)
