"""Maps quotas to minting rights and assigns rights to members."""

from __future__ import annotations

import functools
import hashlib
import heapq
from collections.abc import Collection

from figlane.entities.member import MemberPhase
from figlane.entities.right import KnownHolder
from figlane.entities.service import Allowance, ConfigurationPhase
from figlane.entities.world import World

# Rights in the whole fleet; each is one object of the platform's object store.
RIGHT_COUNT = 128
# Largest number of rights over which one quota is divided.
MAX_RIGHTS_PER_QUOTA = 16
# Smallest burst, in tokens, of one right's part of a quota.
_MIN_BURST_PER_RIGHT = 4
_SCORE_BYTES = 8
# Number of quotas whose ranked rights are cached.
_RANKING_CACHE_SIZE = 16_384
# Number of members and quotas whose hashes are cached.
_DIGEST_CACHE_SIZE = 2048

RIGHT_IDS = tuple(f'right-{number:03}' for number in range(RIGHT_COUNT))
# Rate policies that mint tokens under rights.
MINTING_POLICIES = frozenset(('tokens', 'single-holder'))


def quota_id(service_id: str, organisation_id: str) -> str:
    """Build the id of a quota.

    :param service_id: the service.
    :param organisation_id: the organisation.
    :return: the quota's id.
    """
    return f'{service_id}/{organisation_id}'


def find_allowance(
    world: World,
    service_id: str,
    organisation_id: str,
) -> Allowance | None:
    """Look up the allowance of an organisation at a service.

    :param world: the tables.
    :param service_id: the service.
    :param organisation_id: the organisation.
    :return: the allowance, or None if there is none in force.
    """
    service = world.services.get(service_id)
    if service is None or service.phase is not ConfigurationPhase.IN_FORCE:
        return None
    return service.allowance_by_organisation.get(organisation_id)


def rights_of_quota(
    world: World,
    quota: str,
    allowance: Allowance,
) -> tuple[str, ...]:
    """List the rights over which a quota is divided in equal parts.

    Under a given rate policy, the rights depend only on the quota and its
    burst, so that all nodes that have the same service document agree on them.

    :param world: the tables.
    :param quota: the quota's id.
    :param allowance: its allowance.
    :return: the ids of the rights, the same at every node.
    """
    count = int(allowance.burst // _MIN_BURST_PER_RIGHT)
    count = max(1, min(MAX_RIGHTS_PER_QUOTA, count))
    if world.policies.rate == 'single-holder':
        count = 1
    return _ranked_rights(quota)[:count]


def choose_preferred_holders(
    member_ids: Collection[str],
    previous_ids: Collection[str],
    previous: dict[str, str],
) -> dict[str, str]:
    """Choose the member that should hold each right.

    Rendezvous hashing: a member that joins or leaves moves only the rights
    that it gains or loses. The scores of all members are compared only for
    rights whose member has left; otherwise only new members compete.

    :param member_ids: the members that may hold rights.
    :param previous_ids: the members on which ``previous`` is based.
    :param previous: the previous result.
    :return: the chosen member's id by the id of the right.
    """
    present = set(member_ids)
    added = present.difference(previous_ids)
    chosen = {}
    for number, right_id in enumerate(RIGHT_IDS):
        known = previous.get(right_id, '')
        candidates = {known, *added} if known in present else present
        if candidates:
            score = functools.partial(_score, number)
            chosen[right_id] = max(candidates, key=score)
    return chosen


def eligible_members(world: World) -> tuple[str, ...]:
    """List the members that may hold rights.

    This node is included unless it is leaving.

    :param world: the tables.
    :return: their ids, sorted.
    """
    ids = {member.id for member in world.members.in_phase(MemberPhase.ALIVE)}
    ids.add(world.identity.node_id)
    if world.quota.is_leaving:
        ids.discard(world.identity.node_id)
    return tuple(sorted(ids))


def update_known_holder(
    world: World, right_id: str, known: KnownHolder
) -> None:
    """Store the holder of a right unless an equal or newer version is known.

    :param world: the tables.
    :param right_id: the right's id.
    :param known: its holder, with the version of the right's object.
    """
    present = world.quota.holder_by_right.get(right_id)
    if present is None or present.version < known.version:
        world.quota.holder_by_right[right_id] = known


@functools.lru_cache(maxsize=_RANKING_CACHE_SIZE)
def _ranked_rights(quota: str) -> tuple[str, ...]:
    numbers = heapq.nlargest(
        MAX_RIGHTS_PER_QUOTA,
        range(RIGHT_COUNT),
        key=lambda number: _score(number, quota),
    )
    return tuple(RIGHT_IDS[number] for number in numbers)


def _score(number: int, name: str) -> bytes:
    start = number * _SCORE_BYTES
    end = start + _SCORE_BYTES
    return _digest(name)[start:end]


@functools.lru_cache(maxsize=_DIGEST_CACHE_SIZE)
def _digest(name: str) -> bytes:
    return hashlib.shake_128(name.encode()).digest(RIGHT_COUNT * _SCORE_BYTES)
