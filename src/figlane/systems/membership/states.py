"""Merges member states from gossip and from the store into the member table.

Of two states of a member the one with the higher incarnation wins; within one
incarnation, the phase with the higher rank in ``_PHASE_RANK`` wins (Das et al.,
SWIM, 2002). Only the member itself raises its incarnation.
"""

from __future__ import annotations

import dataclasses
import math
from types import MappingProxyType

from figlane.entities.backend_server import BackendServerPhase
from figlane.entities.gossip import MemberState
from figlane.entities.inbox import MemberRecord
from figlane.entities.member import Member, MemberPhase
from figlane.entities.outbox import LogDecision
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.scheduling import bring_forward

# Routine that writes this node's member object to the store.
WRITE_MEMBER_ROUTINE = 'write-member'

# Suspicion timeout: a suspect that does not refute in time is declared dead.
SUSPICION_TIMEOUT_SECONDS = 4.0
# Time for which a dead member is kept before its object is removed.
DEAD_RETENTION_SECONDS = 600.0
# Retransmission multiplier: a state is sent this many times the logarithm to
# base 2 of the number of members.
_RETRANSMISSION_FACTOR = 3

_PHASE_RANK = MappingProxyType(
    {
        MemberPhase.ALIVE: 0,
        MemberPhase.SUSPECT: 1,
        MemberPhase.LEAVING: 2,
        MemberPhase.DEAD: 3,
    }
)


def own_member(world: World) -> Member:
    """Return this node's own row of the member table.

    :param world: the tables.
    :return: the row, created if it does not exist yet.
    """
    identity = world.identity
    member = world.members.get(identity.node_id)
    if member is None:
        member = Member(
            id=identity.node_id,
            incarnation=identity.incarnation,
            failure_domain=identity.failure_domain,
            peer_address=identity.peer_address,
            entry_address=identity.entry_address,
            admin_address=identity.admin_address,
            gossip_address=identity.gossip_address,
        )
        world.members.insert(member)
        world.gossip.id_by_address[member.peer_address] = member.id
    return member


def publish_own_member(world: World) -> None:
    """Publish a change of this node's own row to peers and to the store.

    :param world: the tables.
    """
    member = own_member(world)
    backends = world.backend_servers.in_phase(BackendServerPhase.SERVING)
    member.service = backends[0].service_id if backends else ''
    world.members.move(member, member.phase)
    refute(world, member.incarnation)
    world.gossip.is_write_needed = True
    bring_forward(world, WRITE_MEMBER_ROUTINE, 0)


def refute(world: World, incarnation: int) -> None:
    """Raise this node's incarnation above the one in a peer's gossip.

    :param world: the tables.
    :param incarnation: the incarnation to exceed.
    """
    member = own_member(world)
    member.incarnation = max(member.incarnation, incarnation) + 1
    queue_gossip(world, member.id)


def record_change(world: World, member_id: str) -> None:
    """Number a change of a member, so that peers can ask for later ones.

    :param world: the tables.
    :param member_id: the member.
    """
    gossip = world.gossip
    gossip.last_change += 1
    gossip.change_by_id[member_id] = gossip.last_change


def queue_gossip(world: World, member_id: str) -> None:
    """Queue a member's state to be piggybacked on the next datagrams.

    :param world: the tables.
    :param member_id: the member.
    """
    gossip = world.gossip
    record_change(world, member_id)
    doublings = math.ceil(math.log2(len(world.members) + 2))
    count = doublings * _RETRANSMISSION_FACTOR
    gossip.transmissions_by_id[member_id] = count


def record_of(member: Member) -> MemberRecord:
    """Build the record of a member for messages and for the store.

    :param member: the row.
    :return: the record.
    """
    return MemberRecord(
        id=member.id,
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
        peer_address=member.peer_address,
        entry_address=member.entry_address,
        admin_address=member.admin_address,
        service=member.service,
        leaving=member.phase is MemberPhase.LEAVING,
        gossip_address=member.gossip_address,
    )


def merge_state(
    world: World,
    state: MemberState,
    now: float,
    *,
    spreads: bool = True,
) -> None:
    """Merge a member's state from a peer if it is newer than the known one.

    A wrong state of this node itself is refuted.

    :param world: the tables.
    :param state: the member's state.
    :param now: the present time in seconds.
    :param spreads: whether to pass the state on by gossip. States of a whole
        member list have reached other members already.
    """
    record = state.record
    phase = MemberPhase(state.phase)
    if record.id == world.identity.node_id:
        _refute_if_wrong(world, record, phase)
        return
    known = world.members.get(record.id)
    if known is None:
        if phase is not MemberPhase.DEAD:
            set_member(world, record, phase, now, spreads=spreads)
        return
    received = (record.incarnation, _PHASE_RANK[phase])
    if received > (known.incarnation, _PHASE_RANK[known.phase]):
        set_member(world, record, phase, now, spreads=spreads)


def _refute_if_wrong(
    world: World, record: MemberRecord, phase: MemberPhase
) -> None:
    member = own_member(world)
    if record.incarnation < member.incarnation:
        return
    if record.incarnation > member.incarnation or phase is not member.phase:
        world.counters['member.refuted'] += 1
        refute(world, record.incarnation)


def set_member(
    world: World,
    record: MemberRecord,
    phase: MemberPhase,
    now: float,
    *,
    spreads: bool = True,
) -> None:
    """Replace a member's row and queue its state for gossip.

    Version, load hints and weight are carried over from the previous row.

    :param world: the tables.
    :param record: the member's record.
    :param phase: its new phase.
    :param now: the present time in seconds.
    :param spreads: whether to queue the state for gossip.
    """
    known = world.members.get(record.id)
    fields = {
        field.name: getattr(record, field.name)
        for field in dataclasses.fields(record)
        if field.name != 'leaving'
    }
    member = Member(**fields, phase=phase)
    if known is not None:
        member.version = known.version
        member.outstanding = known.outstanding
        member.limit = known.limit
        member.refused_part = known.refused_part
        member.load_reported_at = known.load_reported_at
        member.weight = known.weight
    if known is None or known.phase is not phase:
        _log_change(world, known, member)
    member.due = _phase_due(phase, now)
    world.members.insert(member)
    world.counters[f'member.{phase.value}'] += 1
    if spreads:
        queue_gossip(world, record.id)
    else:
        record_change(world, record.id)
    if phase is not MemberPhase.DEAD and member.peer_address:
        _declare_predecessors_dead(world, member, now)


def _declare_predecessors_dead(
    world: World, member: Member, now: float
) -> None:
    # Only one node can listen on an address, so of several members with the
    # same address all but the one with the highest incarnation are dead.
    id_by_address = world.gossip.id_by_address
    previous = world.members.get(id_by_address.get(member.peer_address, ''))
    id_by_address[member.peer_address] = member.id
    if previous is None or previous.id == member.id:
        return
    is_sharing = previous.peer_address == member.peer_address
    if not is_sharing or previous.phase is MemberPhase.DEAD:
        return
    older, newer = sorted(
        (previous, member), key=lambda other: other.incarnation
    )
    id_by_address[member.peer_address] = newer.id
    if older.id != world.identity.node_id:
        set_member(world, record_of(older), MemberPhase.DEAD, now)


def _log_change(world: World, known: Member | None, member: Member) -> None:
    world.outbox.append(
        LogDecision(
            'member_changed',
            {
                'member': member.id,
                'before': known.phase.value if known else 'unknown',
                'after': member.phase.value,
                'incarnation': member.incarnation,
                'service': member.service,
            },
        ),
    )


def _phase_due(phase: MemberPhase, now: float) -> float:
    if phase is MemberPhase.SUSPECT:
        return now + SUSPICION_TIMEOUT_SECONDS
    if phase is MemberPhase.DEAD:
        return now + DEAD_RETENTION_SECONDS
    return NEVER


def merge_record(
    world: World,
    record: MemberRecord,
    version: int,
    now: float,
) -> None:
    """Merge a member's record that was read from the store.

    :param world: the tables.
    :param record: the record in the store.
    :param version: the record's version in the store.
    :param now: the present time in seconds.
    """
    phase = MemberPhase.LEAVING if record.leaving else MemberPhase.ALIVE
    merge_state(world, MemberState(record, phase.value), now)
    member = world.members.get(record.id)
    if member is not None:
        member.version = max(member.version, version)


def handle_record_deleted(world: World, node_id: str) -> None:
    """Handle the deletion of a member's record in the store.

    A dead or leaving member is removed; a live one is kept. If it is this
    node's own record, the node writes it again.

    :param world: the tables.
    :param node_id: the member.
    """
    member = world.members.get(node_id)
    if member is None:
        return
    member.version = 0
    if node_id == world.identity.node_id:
        publish_own_member(world)
        return
    if member.phase in {MemberPhase.DEAD, MemberPhase.LEAVING}:
        world.members.remove(node_id)
