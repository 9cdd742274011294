"""Handshake that fetches a node's ledger epoch before a call is sent to it."""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.link import Link, LinkPhase, ReplaceConnection
from figlane.entities.link_messages import Ping
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.admission.ledger import ledger_epoch
from figlane.systems.links.messages import send_message
from figlane.systems.links.rows import get_link

# Time for which a call waits for the epoch of the selected node.
HANDSHAKE_TIMEOUT_SECONDS = 0.5


def needs_handshake(world: World, node_id: str) -> bool:
    """Check whether a node's epoch must be fetched before a call is sent.

    An attempt is bound to one epoch of a node: a duplicate that arrives after
    a restart must not run, since the new ledger has no record of the attempt.

    :param world: the tables.
    :param node_id: the selected node.
    :return: whether the epoch is needed and unknown.
    """
    if node_id == world.identity.node_id:
        return False
    link = get_link(world, node_id)
    member = world.members.get(node_id)
    if member is not None and member.incarnation != link.incarnation:
        link.incarnation = member.incarnation
        link.epoch = 0
    return not link.epoch


def start_handshake(world: World, call: Call, node_id: str, now: float) -> None:
    """Request a node's epoch by a ping and let the call wait for the pong.

    :param world: the tables.
    :param call: the call.
    :param node_id: the selected node.
    :param now: the present time in seconds.
    """
    world.counters['call.greeting'] += 1
    link = get_link(world, node_id)
    waiting = {
        row_id for row_id in link.handshake_call_ids if row_id in world.calls
    }
    link.handshake_call_ids = waiting | {call.id}
    call.node_id = node_id
    call.is_in_handshake = True
    due = min(call.deadline, now + HANDSHAKE_TIMEOUT_SECONDS)
    world.calls.schedule(call, due)
    world.calls.move(call, CallPhase.WAITING)
    send_ping(world, link, now)


def abort_handshake(world: World, call: Call) -> None:
    """Abort a handshake that timed out; the call is routed to another node.

    :param world: the tables.
    :param call: a call in phase ``WAITING``.
    """
    if not call.is_in_handshake:
        return
    call.is_in_handshake = False
    call.tried_node_ids.add(call.node_id)
    world.outbox.append(ReplaceConnection(call.node_id))
    world.outbox.append(ReplaceConnection(call.node_id))
    call.last_refusal = Refusal(
        ErrorKind.UNREACHABLE,
        'the node did not answer a ping',
    )


def send_ping(world: World, link: Link, now: float) -> None:
    """Send a ping; the pong carries the receiver's epoch.

    :param world: the tables.
    :param link: the link.
    :param now: the present time in seconds.
    """
    ping = Ping(
        sent_at=now,
        epoch=ledger_epoch(world),
        hears_nothing=link.phase is LinkPhase.SILENT,
        reply_address=world.identity.peer_address,
    )
    send_message(world, link.id, ping)


def complete_handshakes(world: World, link: Link) -> None:
    """Make routable the calls that waited for a node's epoch.

    :param world: the tables.
    :param link: the link to the node.
    """
    call_ids = link.handshake_call_ids
    link.handshake_call_ids = set()
    for call_id in sorted(call_ids):
        _resume_call(world, link, call_id)


def _resume_call(world: World, link: Link, call_id: str) -> None:
    call = world.calls.get(call_id)
    if call is None or not call.is_in_handshake or call.node_id != link.id:
        return
    world.calls.schedule(call, call.deadline)
    world.calls.move(call, CallPhase.ROUTABLE)
