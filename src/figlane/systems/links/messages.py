"""Sends messages to nodes, this node included."""

from __future__ import annotations

from typing import Any

from figlane.entities.inbox import PeerMessage
from figlane.entities.outbox import SendToPeer
from figlane.entities.world import World
from figlane.systems.links.rows import mark_link_used


def send_message(
    world: World,
    node_id: str,
    message: Any,
    body: bytes = b'',
) -> bool:
    """Send a message to a node; one to this node itself goes to its inbox.

    :param world: the tables.
    :param node_id: the receiver.
    :param message: the message.
    :param body: bytes sent along with the message.
    :return: False if no address of the receiver is known.
    """
    if node_id == world.identity.node_id:
        world.inbox.append(PeerMessage(node_id, message, body))
        return True
    address = _peer_address(world, node_id)
    if not address:
        world.counters['peer.unknown'] += 1
        return False
    mark_link_used(world, node_id)
    world.outbox.append(SendToPeer(node_id, address, message, body))
    return True


def _peer_address(world: World, node_id: str) -> str:
    member = world.members.get(node_id)
    if member is not None:
        return member.peer_address
    link = world.links.get(node_id)
    return '' if link is None else link.address
