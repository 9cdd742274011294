"""Chooses the member that owns an organisation's bucket.

Consistent hashing (Karger et al., STOC 1997): members and organisations are
points on a ring, and the first member at or after an organisation's point owns
its bucket. A member that joins or leaves changes the owner of the buckets on
its own arc only.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from itertools import chain, islice

import xxhash

from figlane.entities.charge import OwnerRing
from figlane.entities.member import Member, MemberPhase
from figlane.entities.world import World

_PHASES = (MemberPhase.ALIVE, MemberPhase.SUSPECT, MemberPhase.LEAVING)


def ring_members(world: World, organisation_id: str) -> Iterator[Member]:
    """List the members in the order in which they may own a bucket.

    :param world: the tables; this node's own row must exist.
    :param organisation_id: the organisation.
    :return: the members that are not dead, leaving ones included.
    """
    points = _points(world)
    start = bisect_left(points, (_point(organisation_id), ''))
    for _, member_id in chain(points[start:], islice(points, start)):
        member = world.members.get(member_id)
        if member is not None:
            yield member


def owner_of(world: World, organisation_id: str) -> str:
    """Determine the owner of a bucket.

    :param world: the tables.
    :param organisation_id: the organisation.
    :return: id of the member, empty if all members are leaving.
    """
    for member in ring_members(world, organisation_id):
        if member.phase is not MemberPhase.LEAVING:
            return member.id
    return ''


def previous_owners_of(world: World, organisation_id: str) -> Iterator[str]:
    """List the members of which one may hold the bucket that this node owns.

    :param world: the tables.
    :param organisation_id: the organisation.
    :return: ids of the members that are leaving or silent, up to the first live
        one, which would own the bucket without this node.
    """
    for member in ring_members(world, organisation_id):
        if member.id == world.identity.node_id:
            continue
        yield member.id
        if member.phase is MemberPhase.ALIVE:
            return


def _points(world: World) -> list[tuple[int, str]]:
    ring: OwnerRing = world.quota.owner_ring
    if ring.revision != world.members.revision:
        ring.revision = world.members.revision
        ring.points = sorted(
            (_point(member.id), member.id)
            for phase in _PHASES
            for member in world.members.in_phase(phase)
        )
    return ring.points


def _point(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
