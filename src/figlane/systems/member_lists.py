"""Anti-entropy of member lists, which repairs gaps left by lost datagrams."""

from __future__ import annotations

import xxhash

from figlane.entities.gossip import (
    MembersRequest,
    MembersResponse,
    MemberState,
)
from figlane.entities.inbox import PeerMessage
from figlane.entities.member import MemberPhase
from figlane.entities.world import World
from figlane.systems.membership import merge_state, record_of
from figlane.systems.node_messages import send_message
from figlane.systems.registry import peer_handlers, routines
from figlane.systems.rendezvous import live_members
from figlane.systems.scheduling import jittered

# Mean time between two exchanges, and between attempts while no peer is known.
EXCHANGE_INTERVAL_SECONDS = 15.0
_RETRY_SECONDS = 0.5
# Member states in one message.
_BATCH_SIZE = 200


@routines.register('compare-members')
def compare_members(world: World, now: float) -> float:
    """Send the checksum of this node's member list to a random member.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: time of the next exchange, in seconds.
    """
    members = live_members(world)
    if not members:
        return now + jittered(world, _RETRY_SECONDS)
    question = MembersRequest(checksum(world))
    send_message(world, world.random.choice(members).id, question)
    return now + jittered(world, EXCHANGE_INTERVAL_SECONDS)


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
    """Send this node's member list if its checksum differs from the peer's.

    :param world: the tables.
    :param row: the peer's checksum.
    :param now: the present time in seconds.
    """
    if row.message.checksum == checksum(world):
        return
    states = [
        MemberState(record_of(member), member.phase.value)
        for member in world.members
    ]
    for start in range(0, len(states), _BATCH_SIZE):
        end = start + _BATCH_SIZE
        batch = states[start:end]
        send_message(world, row.sender, MembersResponse(batch))


@peer_handlers.register(MembersResponse)
def handle_members_answer(world: World, row: PeerMessage, now: float) -> None:
    """Merge the member states of a peer.

    :param world: the tables.
    :param row: a batch of the peer's member list.
    :param now: the present time in seconds.
    """
    for state in row.message.states:
        merge_state(world, state, now)
