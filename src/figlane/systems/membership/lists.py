"""Anti-entropy of member lists, which repairs gaps left by lost datagrams.

A node that joins gets its first member list in the same way.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence

import xxhash

from figlane.entities.gossip import (
    MembersRequest,
    MembersResponse,
    MemberState,
)
from figlane.entities.inbox import PeerMessage
from figlane.entities.member import Member, MemberPhase
from figlane.entities.outbox import LogDecision
from figlane.entities.world import World
from figlane.systems.configuration.watching import review_feeds
from figlane.systems.links.messages import send_message
from figlane.systems.membership.rendezvous import live_members
from figlane.systems.membership.states import merge_state, own_member, record_of
from figlane.systems.registry import peer_handlers, routines
from figlane.systems.scheduling import bring_forward, jittered

# Mean time between two exchanges, and between attempts while no peer is known.
EXCHANGE_INTERVAL_SECONDS = 15.0
_RETRY_SECONDS = 0.5
# Mean time between two exchanges while member lists differ, and shortly after
# this node has joined: other nodes may have started at the same time.
_EARLY_INTERVAL_SECONDS = 1.0
_EARLY_SECONDS = 8.0
# Probability of asking any member then: all contacts may lack a member.
_ANY_PEER_PROBABILITY = 0.2
_LIVE_PHASES = (MemberPhase.ALIVE, MemberPhase.SUSPECT)
# Hashes of a member's id and of its state in the summary of a member list.
_SUMMARY = struct.Struct('>II')
# Member states in one message.
_BATCH_SIZE = 200
_ROUTINE = 'compare-members'
# Routine that starts an exchange of the configuration.
_CONFIGURATION_ROUTINE = 'compare-configuration'


@routines.register(_ROUTINE)
def compare_members(world: World, now: float) -> float:
    """Send the checksum of this node's member list to a member.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: time of the next exchange, in seconds.
    """
    members = live_members(world)
    if not members:
        return now + jittered(world, _RETRY_SECONDS)
    gossip = world.gossip
    if gossip.is_settled and now >= world.join.joined_at + _EARLY_SECONDS:
        ask_for_members(world, world.random.choice(members).id)
        return now + jittered(world, EXCHANGE_INTERVAL_SECONDS)
    ask_for_members(world, _early_peer(world, members))
    return now + jittered(world, _EARLY_INTERVAL_SECONDS)


def _early_peer(world: World, members: Sequence[Member]) -> str:
    # Nodes that start at the same time learn of each other by their contacts,
    # and contacts by each other. A peer that was asked before sends only what
    # has changed since.
    contact_ids = _contact_ids(world)
    if world.identity.node_id not in contact_ids:
        contact_ids &= world.gossip.known_change_by_peer.keys()
    preferred: Sequence[Member] = [
        member for member in members if member.id in contact_ids
    ]
    if world.random.random() < _ANY_PEER_PROBABILITY:
        preferred = members
    return world.random.choice(preferred or members).id


def ask_for_members(world: World, node_id: str) -> None:
    """Ask a member for the changes of its member list.

    :param world: the tables.
    :param node_id: the member, whose address is known.
    """
    own = own_member(world)
    known = world.gossip.known_change_by_peer
    epoch, change = known.get(node_id, (0, 0))
    sender = MemberState(record_of(own), own.phase.value)
    request = MembersRequest(checksum(world), sender, change, epoch)
    if not change and not world.gossip.is_settled:
        request.summary = b''.join(map(_summary, world.members))
    send_message(world, node_id, request)


def _summary(member: Member) -> bytes:
    version = f'{member.incarnation}/{member.phase.value}'
    return _SUMMARY.pack(
        xxhash.xxh32_intdigest(member.id.encode()),
        xxhash.xxh32_intdigest(version.encode()),
    )


def checksum(world: World) -> int:
    """Compute a checksum of the member list; dead members are left out.

    :param world: the tables.
    :return: the checksum, equal for equal ids, incarnations and phases.
    """
    lines = sorted(
        f'{member.id}/{member.incarnation}/{member.phase.value}'
        for member in world.members
        if member.phase is not MemberPhase.DEAD
    )
    return xxhash.xxh64_intdigest('\n'.join(lines).encode())


@peer_handlers.register(MembersRequest)
def handle_members_question(world: World, row: PeerMessage, now: float) -> None:
    """Send the members that differ from those that the peer knows.

    :param world: the tables.
    :param row: the peer's checksum and what it knows of this node's list.
    :param now: the present time in seconds.
    """
    request: MembersRequest = row.message
    if request.sender is not None:
        _introduce_to_contacts(world, request.sender)
        merge_state(world, request.sender, now)
    gossip = world.gossip
    own_epoch = world.identity.incarnation
    since = request.since if request.epoch == own_epoch else 0
    is_same = request.checksum == checksum(world)
    states = [
        MemberState(record_of(member), member.phase.value)
        for member in _needed_members(world, request, since)
        if not is_same
    ]
    while len(states) > _BATCH_SIZE:
        batch = MembersResponse(states[:_BATCH_SIZE])
        send_message(world, row.sender, batch)
        states = states[_BATCH_SIZE:]
    last = MembersResponse(states, is_last=True, is_same=is_same)
    if is_same or since or request.summary:
        last.change = gossip.last_change
        last.epoch = own_epoch
    send_message(world, row.sender, last)


def _introduce_to_contacts(world: World, state: MemberState) -> None:
    # Each contact knows of all nodes that joined by any of them, so that nodes
    # that start at the same time soon have complete lists.
    contact_ids = _contact_ids(world)
    is_known = state.record.id in world.members
    if is_known or world.identity.node_id not in contact_ids:
        return
    introduction = MembersResponse([state], is_news=True)
    for contact_id in sorted(contact_ids):
        member = world.members.get(contact_id)
        is_other = contact_id != world.identity.node_id
        if is_other and member is not None and member.phase in _LIVE_PHASES:
            send_message(world, contact_id, introduction)


def _contact_ids(world: World) -> set[str]:
    return {
        contact.record.id
        for contact in world.contacts
        if contact.record is not None
    }


def _needed_members(
    world: World, request: MembersRequest, since: int
) -> list[Member]:
    if since:
        change_by_id = world.gossip.change_by_id
        return [
            member
            for member in world.members
            if change_by_id.get(member.id, 0) > since
        ]
    if len(request.summary) % _SUMMARY.size:
        return []
    known = dict(_SUMMARY.iter_unpack(request.summary))
    return [
        member for member in world.members if known and _differs(known, member)
    ]


def _differs(known: dict[int, int], member: Member) -> bool:
    # A dead member that the peer does not know is of no use to it.
    id_hash, version_hash = _SUMMARY.unpack(_summary(member))
    unknown = member.phase is not MemberPhase.DEAD
    if id_hash not in known:
        return unknown
    return known[id_hash] != version_hash


@peer_handlers.register(MembersResponse)
def handle_members_answer(world: World, row: PeerMessage, now: float) -> None:
    """Merge the member states of a peer.

    :param world: the tables.
    :param row: a batch of the peer's member list.
    :param now: the present time in seconds.
    """
    answer: MembersResponse = row.message
    for state in answer.states:
        merge_state(world, state, now, spreads=answer.is_news)
    if not answer.is_last:
        return
    world.gossip.is_settled = answer.is_same
    known = world.gossip.known_change_by_peer
    known.pop(row.sender, None)
    if answer.epoch:
        known[row.sender] = (answer.epoch, answer.change)
    if not answer.is_same:
        retry_at = now + jittered(world, _EARLY_INTERVAL_SECONDS)
        bring_forward(world, _ROUTINE, retry_at)
    if not world.join.has_joined:
        world.join.has_joined = True
        world.join.joined_at = now
        world.outbox.append(
            LogDecision(
                'fleet_joined',
                {
                    'contact': row.sender,
                    'members': len(world.members),
                    'seconds': round(now - world.join.started_at, 3),
                },
            )
        )
        review_feeds(world, now)
        bring_forward(world, _CONFIGURATION_ROUTINE, now)
