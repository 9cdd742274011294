"""Selects members for a purpose by rendezvous hashing."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash

from figlane.entities.member import Member, MemberPhase
from figlane.entities.world import World

# Nodes per failure domain that watch the platform API for changes.
WATCHERS_PER_DOMAIN = 2


def choose_members(
    purpose: str,
    member_ids: Iterable[str],
    count: int,
) -> list[str]:
    """Choose the members with the highest rendezvous hash for a purpose.

    Nodes with the same member list make the same choice.

    :param purpose: salt of the hash, one for each use of the selection.
    :param member_ids: the members to choose from.
    :param count: how many to choose.
    :return: ids of the chosen members, the highest hash first.
    """
    return heapq.nlargest(
        count,
        member_ids,
        key=lambda member_id: xxhash.xxh64_intdigest(
            f'{purpose}/{member_id}'.encode(),
        ),
    )


def live_members(world: World) -> list[Member]:
    """List the other members that are alive or suspect.

    :param world: the tables.
    :return: the members.
    """
    own_id = world.identity.node_id
    phases = (MemberPhase.ALIVE, MemberPhase.SUSPECT)
    return [
        member
        for phase in phases
        for member in world.members.in_phase(phase)
        if member.id != own_id
    ]


def watcher_ids(world: World) -> list[str]:
    """Choose the nodes of this failure domain that watch the platform API.

    :param world: the tables.
    :return: ids of the chosen nodes, which may include this one.
    """
    identity = world.identity
    ids = {
        member.id
        for member in live_members(world)
        if member.failure_domain == identity.failure_domain
    }
    ids.add(identity.node_id)
    purpose = f'watch/{identity.failure_domain}'
    return choose_members(purpose, ids, WATCHERS_PER_DOMAIN)


def is_watcher(world: World) -> bool:
    """Tell whether this node is chosen to watch the platform API.

    :param world: the tables.
    :return: True if it is.
    """
    return world.identity.node_id in watcher_ids(world)
