"""Access to the links table and estimates of message delay."""

from __future__ import annotations

from figlane.entities.link import Link, LinkPhase
from figlane.entities.world import World

# Bound on the relative drift of two clocks, in seconds per second.
_MAX_CLOCK_DRIFT = 0.0002


def get_link(world: World, node_id: str) -> Link:
    """Return the link to a node.

    :param world: the tables.
    :param node_id: the node.
    :return: the row, created if it does not exist yet.
    """
    link = world.links.get(node_id)
    if link is None:
        link = Link(node_id)
        world.links.insert(link)
    return link


def mark_link_used(world: World, node_id: str) -> None:
    """Mark a link as used by a message, and open it if it is closed.

    :param world: the tables.
    :param node_id: the receiver.
    """
    link = get_link(world, node_id)
    link.is_used = True
    if link.phase is LinkPhase.CLOSED:
        world.links.move(link, LinkPhase.OPENING)


def message_delay(
    link: Link,
    sent_at: float,
    sender_epoch: int,
    now: float,
) -> float:
    """Estimate a message's delay in excess of the fastest message.

    The clocks of two nodes have no common origin, so the smallest difference
    of receive and send time seen is taken as the clock offset. It may rise by
    the drift that is possible since the previous message.

    :param link: the link to the sender.
    :param sent_at: the send time in seconds by the sender's clock.
    :param sender_epoch: the sender's ledger epoch, new with each start.
    :param now: the present time in seconds.
    :return: the delay in seconds; 0 for the first message of an epoch.
    """
    difference = now - sent_at
    if link.clock_epoch != sender_epoch or link.clock_offset is None:
        link.clock_epoch = sender_epoch
        link.clock_offset = difference
        link.offset_at = now
        return 0
    possible_drift = _MAX_CLOCK_DRIFT * max(0, now - link.offset_at)
    link.offset_at = now
    link.clock_offset = min(difference, link.clock_offset + possible_drift)
    return difference - link.clock_offset
