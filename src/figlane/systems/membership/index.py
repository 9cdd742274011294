"""Index of the members that can run a service's calls."""

from __future__ import annotations

from figlane.entities.member import Member, MemberPhase
from figlane.entities.member_index import MemberIndex
from figlane.entities.world import World
from figlane.systems.membership.domains import is_taken_out


def serving_members(world: World, service_id: str) -> list[Member]:
    """List the members that have a backend server of a service.

    The index is rebuilt only after a change of the members or the failure
    domains, so that the cost of a call does not grow with the fleet.

    :param world: the tables.
    :param service_id: the service.
    :return: the members that are alive and in a failure domain that is in
        service.
    """
    index = world.member_index
    if (
        index.member_revision != world.members.revision
        or index.domain_revision != world.failure_domains.revision
    ):
        _rebuild(world, index)
    return index.by_service.get(service_id, [])


def _rebuild(world: World, index: MemberIndex) -> None:
    index.member_revision = world.members.revision
    index.domain_revision = world.failure_domains.revision
    index.by_service.clear()
    for member in world.members.in_phase(MemberPhase.ALIVE):
        if not is_taken_out(world, member.failure_domain):
            index.by_service.setdefault(member.service, []).append(member)
