"""Selects members for a purpose by rendezvous hashing."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash

from figlane.entities.member import Member, MemberPhase
from figlane.entities.member_index import LiveIndex
from figlane.entities.world import World

# Nodes per failure domain that watch the platform API for changes.
WATCHERS_PER_DOMAIN = 2
# Further nodes per failure domain that watch while the watchers get no answers.
_DEPUTIES_PER_DOMAIN = 3


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


def live_members(world: World) -> tuple[Member, ...]:
    """List the other members that are alive or suspect.

    :param world: the tables.
    :return: the members.
    """
    return _live_index(world).members


def live_ids_by_domain(world: World) -> dict[str, list[str]]:
    """Group the other members that are alive or suspect.

    :param world: the tables.
    :return: their ids by failure domain; a domain without any is missing.
    """
    return _live_index(world).ids_by_domain


def _live_index(world: World) -> LiveIndex:
    # Rebuilt only after a change of the members, so that the cost of periodic
    # work does not grow with the fleet.
    if world.live_index.revision != world.members.revision:
        world.live_index = _build_live_index(world)
    return world.live_index


def _build_live_index(world: World) -> LiveIndex:
    own_id = world.identity.node_id
    phases = (MemberPhase.ALIVE, MemberPhase.SUSPECT)
    members = tuple(
        member
        for phase in phases
        for member in world.members.in_phase(phase)
        if member.id != own_id
    )
    index = LiveIndex(world.members.revision, members)
    for member in members:
        ids = index.ids_by_domain.setdefault(member.failure_domain, [])
        ids.append(member.id)
    return index


def watcher_ids(world: World) -> tuple[str, ...]:
    """Choose the nodes of this failure domain that watch the platform API.

    :param world: the tables.
    :return: ids of the chosen nodes, which may include this one.
    """
    return _ranked_ids(world)[:WATCHERS_PER_DOMAIN]


def deputy_ids(world: World) -> tuple[str, ...]:
    """Choose the nodes that take over while the first watcher is not answered.

    :param world: the tables.
    :return: ids of the other watchers and of the nodes next in their order.
    """
    return _ranked_ids(world)[1:]


def _ranked_ids(world: World) -> tuple[str, ...]:
    index = _live_index(world)
    if not index.ranked_ids:
        domain = world.identity.failure_domain
        ids = {world.identity.node_id, *index.ids_by_domain.get(domain, ())}
        count = WATCHERS_PER_DOMAIN + _DEPUTIES_PER_DOMAIN
        index.ranked_ids = tuple(choose_members(f'watch/{domain}', ids, count))
    return index.ranked_ids


def is_watcher(world: World) -> bool:
    """Tell whether this node is chosen to watch the platform API.

    :param world: the tables.
    :return: True if it is.
    """
    return world.identity.node_id in watcher_ids(world)
