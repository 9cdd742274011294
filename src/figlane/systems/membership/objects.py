"""Writes this node's member object to the store and removes dead members'."""

from __future__ import annotations

from figlane.entities.inbox import ObjectWritten, WriteStatus
from figlane.entities.member import Member, MemberPhase
from figlane.entities.outbox import WriteObject
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.membership.rendezvous import choose_members, live_members
from figlane.systems.membership.states import (
    DEAD_RETENTION_SECONDS,
    WRITE_MEMBER_ROUTINE,
    own_member,
    record_of,
)
from figlane.systems.registry import inbox_handlers, routines, write_handlers
from figlane.systems.scheduling import bring_forward, jittered

# Request id of writes of this node's own member object.
MEMBER_REQUEST_ID = 'member'
_MEMBER_KIND = 'member'
_RETRY_SECONDS = 5.0


@routines.register(WRITE_MEMBER_ROUTINE)
def write_own_member_object(world: World, now: float) -> float:
    """Write this node's member object if it changed, one write at a time.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: ``NEVER``; a change or the end of a write reschedules the routine.
    """
    gossip = world.gossip
    if gossip.is_write_in_flight or not gossip.is_write_needed:
        return NEVER
    gossip.is_write_in_flight = True
    gossip.is_write_needed = False
    member = own_member(world)
    world.outbox.append(
        WriteObject(
            MEMBER_REQUEST_ID, _MEMBER_KIND, member.id, record_of(member)
        ),
    )
    return NEVER


@inbox_handlers.register(ObjectWritten)
def handle_object_written(
    world: World,
    row: ObjectWritten,
    now: float,
) -> None:
    """Count failed writes and dispatch the outcome by kind of object.

    :param world: the tables.
    :param row: the outcome of one write.
    :param now: the present time in seconds.
    """
    if row.status is not WriteStatus.WRITTEN:
        world.counters[f'platform.write.{row.status.value}'] += 1
    if row.kind in write_handlers.by_key:
        write_handlers.find(row.kind)(world, row, now)


@write_handlers.register(_MEMBER_KIND)
def handle_member_written(
    world: World,
    row: ObjectWritten,
    now: float,
) -> None:
    """Store the version of a successful write, or retry a failed one.

    Writes other than those of this node's own member object are ignored.

    :param world: the tables.
    :param row: the outcome of one write.
    :param now: the present time in seconds.
    """
    if row.request_id != MEMBER_REQUEST_ID:
        return
    world.gossip.is_write_in_flight = False
    if row.status is WriteStatus.WRITTEN:
        own_member(world).version = row.version
        bring_forward(world, WRITE_MEMBER_ROUTINE, now)
        return
    world.gossip.is_write_needed = True
    bring_forward(
        world, WRITE_MEMBER_ROUTINE, now + jittered(world, _RETRY_SECONDS)
    )


def remove_member_object(world: World, member: Member, now: float) -> None:
    """Remove a dead member's object by a conditional delete.

    Rendezvous hashing selects the one live node that sends the delete. The
    delete is conditional on the object's last known version: a member that came
    back has written its object again, so the delete fails and the object stays.

    :param world: the tables.
    :param member: a member that has been dead for ``DEAD_RETENTION_SECONDS``.
    :param now: the present time in seconds.
    """
    if not member.version:
        world.members.remove(member.id)
        return
    world.members.schedule(member, now + DEAD_RETENTION_SECONDS)
    ids = {live.id for live in live_members(world)}
    ids.add(world.identity.node_id)
    chosen = choose_members(f'remove/{member.id}', ids, 1)
    if chosen != [world.identity.node_id]:
        return
    if member.phase is MemberPhase.DEAD:
        world.outbox.append(
            WriteObject(
                'remove', _MEMBER_KIND, member.id, None, member.version
            ),
        )
