"""Detects failed members by direct and indirect probes (SWIM).

Each protocol period a node probes one member, in a shuffled round-robin order.
If the member does not answer, other nodes are asked to probe it; if it answers
none of them, it is suspected, and declared dead unless it refutes in time.
"""

from __future__ import annotations

from figlane.entities.gossip import (
    MemberState,
    OpenProbe,
    Probe,
    ProbeAck,
    ProbePhase,
    ProbeRequest,
    SendDatagram,
)
from figlane.entities.inbox import PeerMessage
from figlane.entities.member import Member, MemberPhase
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.registry import RunCondition
from figlane.systems.membership.objects import remove_member_object
from figlane.systems.membership.rendezvous import live_members
from figlane.systems.membership.states import (
    SUSPICION_TIMEOUT_SECONDS,
    merge_state,
    own_member,
    record_of,
    set_member,
)
from figlane.systems.registry import (
    Stage,
    peer_handlers,
    routines,
    system,
)

# Protocol period: time between two probes sent by a node.
PROTOCOL_PERIOD_SECONDS = 1.0
# Timeout of a direct probe, after which other nodes are asked to probe, and
# of these indirect probes, after which the member is suspected.
DIRECT_TIMEOUT_SECONDS = 0.3
INDIRECT_TIMEOUT_SECONDS = 0.6
# Number of nodes asked to probe a member that did not answer a direct probe.
_INDIRECT_PROBES = 3
# Member states piggybacked on one datagram, this node's own included.
STATES_PER_DATAGRAM = 5
# If the detector has not run for longer than this, the process was paused, and
# probes that timed out meanwhile are no evidence of failed members.
_MAX_PAUSE_SECONDS = 2.5
# Whenever the sequence number is a multiple of this, a dead member is probed as
# well, so that the sides of a healed partition find each other again.
_DEAD_PROBE_INTERVAL = 5

_PROBED_PHASES = (MemberPhase.ALIVE, MemberPhase.SUSPECT, MemberPhase.LEAVING)


@routines.register('probe-members')
def probe_next(world: World, now: float) -> float:
    """Probe the next member, or the seeds while no other member is known.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: time of the next probe, in seconds.
    """
    _probe_dead(world)
    target = _next_target(world)
    if target is None:
        for address in world.gossip.seeds:
            message = Probe(_next_sequence(world), piggybacked_states(world))
            world.outbox.append(SendDatagram(address, message))
        return now + PROTOCOL_PERIOD_SECONDS
    sequence = _next_sequence(world)
    due = now + DIRECT_TIMEOUT_SECONDS
    world.probes.insert(OpenProbe(str(sequence), target.id, due=due))
    _send(world, target, Probe(sequence, piggybacked_states(world)))
    return now + PROTOCOL_PERIOD_SECONDS


def _probe_dead(world: World) -> None:
    dead = world.members.in_phase(MemberPhase.DEAD)
    if not dead or world.gossip.sequence % _DEAD_PROBE_INTERVAL:
        return
    member = world.random.choice(dead)
    states = piggybacked_states(world)
    states.append(MemberState(record_of(member), member.phase.value))
    _send(world, member, Probe(_next_sequence(world), states))


def _next_target(world: World) -> Member | None:
    order = world.gossip.probe_order
    if not order:
        own_id = world.identity.node_id
        order.extend(
            member.id
            for phase in _PROBED_PHASES
            for member in world.members.in_phase(phase)
            if member.id != own_id
        )
        world.random.shuffle(order)
    while order:
        member = world.members.get(order.pop())
        if member is not None and member.phase in _PROBED_PHASES:
            return member
    return None


def _next_sequence(world: World) -> int:
    world.gossip.sequence += 1
    return world.gossip.sequence


def piggybacked_states(world: World) -> list[MemberState]:
    """Select the member states to piggyback on a datagram.

    Each selection uses up one of the transmissions that remain for a state.

    :param world: the tables.
    :return: this node's own state, then the states with the most
        transmissions left.
    """
    own = own_member(world)
    counts = world.gossip.transmissions_by_id
    chosen = sorted(counts, key=lambda key: -counts[key])
    states = [MemberState(record_of(own), own.phase.value)]
    for member_id in chosen[: STATES_PER_DATAGRAM - 1]:
        counts[member_id] -= 1
        member = world.members.get(member_id)
        if counts[member_id] < 1 or member is None:
            counts.pop(member_id)
        if member is not None and member is not own:
            states.append(MemberState(record_of(member), member.phase.value))
    return states


def _send(world: World, member: Member, message: object) -> None:
    address = member.gossip_address or member.peer_address
    world.outbox.append(SendDatagram(address, message))


@peer_handlers.register(Probe)
def handle_probe(world: World, row: PeerMessage, now: float) -> None:
    """Merge the piggybacked states and acknowledge a probe.

    :param world: the tables.
    :param row: the probe.
    :param now: the present time in seconds.
    """
    _merge_states(world, row, now)
    sender = world.members.get(row.sender)
    if sender is None:
        return
    states = piggybacked_states(world)
    if sender.phase in {MemberPhase.SUSPECT, MemberPhase.DEAD}:
        # The sender can refute this state only after receiving it.
        states.append(MemberState(record_of(sender), sender.phase.value))
    _send(world, sender, ProbeAck(row.message.sequence, states))


@peer_handlers.register(ProbeAck)
def handle_probe_answer(world: World, row: PeerMessage, now: float) -> None:
    """Close an acknowledged probe.

    If the probe was sent on behalf of a peer, the answer is relayed to it. A
    leaving member that answers is no longer due to be declared dead.

    :param world: the tables.
    :param row: the answer.
    :param now: the present time in seconds.
    """
    _merge_states(world, row, now)
    sender = world.members.get(row.sender)
    if sender is not None and sender.phase is MemberPhase.LEAVING:
        world.members.schedule(sender, NEVER)
    probe = world.probes.get(str(row.message.sequence))
    if probe is None or not _is_valid_answer(probe, row.sender):
        return
    world.probes.remove(probe.id)
    if probe.phase is not ProbePhase.FOR_PEER:
        return
    peer = world.members.get(probe.peer_id)
    if peer is not None:
        answer = ProbeAck(probe.peer_sequence, piggybacked_states(world))
        _send(world, peer, answer)


def _is_valid_answer(probe: OpenProbe, sender: str) -> bool:
    # The target's address may belong to another node by now, so only the target
    # itself can answer a direct probe. An indirect probe is answered by the
    # nodes that were asked to probe the target.
    return sender == probe.target_id or probe.phase is ProbePhase.INDIRECT


@peer_handlers.register(ProbeRequest)
def handle_probe_request(world: World, row: PeerMessage, now: float) -> None:
    """Probe a member on behalf of a peer (indirect probe).

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    _merge_states(world, row, now)
    target = world.members.get(row.message.target_id)
    if target is None:
        return
    sequence = _next_sequence(world)
    world.probes.insert(
        OpenProbe(
            str(sequence),
            target.id,
            ProbePhase.FOR_PEER,
            row.sender,
            row.message.sequence,
            now + INDIRECT_TIMEOUT_SECONDS,
        ),
    )
    _send(world, target, Probe(sequence, piggybacked_states(world)))


def _merge_states(world: World, row: PeerMessage, now: float) -> None:
    for state in row.message.states:
        merge_state(world, state, now)


@system(Stage.MEMBERSHIP, RunCondition('probes'), RunCondition('members'))
def expire_probes(world: World, now: float) -> None:
    """Handle the timeouts of probes and of suspect, leaving and dead members.

    After a pause of this process, open probes are dropped and suspicion
    timeouts start anew.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    was_paused = world.seconds_since_last_tick > _MAX_PAUSE_SECONDS
    for probe in world.probes.pop_due(now):
        if was_paused or probe.phase is not ProbePhase.DIRECT:
            world.probes.remove(probe.id)
        if not was_paused:
            _expire_probe(world, probe, now)
    for member in world.members.pop_due(now):
        _expire_member(world, member, now, was_paused=was_paused)


def _expire_probe(world: World, probe: OpenProbe, now: float) -> None:
    target = world.members.get(probe.target_id)
    if target is None or probe.phase is ProbePhase.FOR_PEER:
        return
    if probe.phase is ProbePhase.INDIRECT:
        _suspect(world, target, now)
        return
    world.probes.move(probe, ProbePhase.INDIRECT)
    world.probes.schedule(probe, now + INDIRECT_TIMEOUT_SECONDS)
    others = [member for member in live_members(world) if member is not target]
    count = min(_INDIRECT_PROBES, len(others))
    for member in world.random.sample(others, count):
        message = ProbeRequest(
            int(probe.id), target.id, piggybacked_states(world)
        )
        _send(world, member, message)


def _suspect(world: World, target: Member, now: float) -> None:
    if target.phase is MemberPhase.ALIVE:
        set_member(world, record_of(target), MemberPhase.SUSPECT, now)
    if target.phase is MemberPhase.LEAVING and target.due == NEVER:
        world.members.schedule(target, now + SUSPICION_TIMEOUT_SECONDS)


def _expire_member(
    world: World,
    member: Member,
    now: float,
    *,
    was_paused: bool,
) -> None:
    if member.phase is MemberPhase.DEAD:
        remove_member_object(world, member, now)
        return
    if was_paused:
        world.members.schedule(member, now + SUSPICION_TIMEOUT_SECONDS)
        return
    if member.phase is not MemberPhase.ALIVE:
        set_member(world, record_of(member), MemberPhase.DEAD, now)
