"""Readiness of this node to take calls."""

from __future__ import annotations

from figlane.entities.node_drain import DRAIN_ID
from figlane.entities.table import NEVER
from figlane.entities.world import World

_MEMBER_KIND = 'member'


def is_ready(world: World) -> bool:
    """Check whether this node is ready to take calls.

    :param world: the tables.
    :return: False while the node is leaving, and until it has a configuration
        and a member list.
    """
    if world.node_drains.get(DRAIN_ID) is not None:
        return False
    return bool(world.ingress.version) and has_member_list(world)


def has_member_list(world: World) -> bool:
    """Check whether this node has read the member records or has a peer.

    Without a member list, nodes that start at the same time would each take
    the whole of a quota as their own share.

    :param world: the tables.
    :return: whether it has; True also if this node reads no member records
        from the store.
    """
    feed = world.kind_feeds.get(_MEMBER_KIND)
    is_read = feed is None or feed.answered_at != -NEVER
    return is_read or len(world.members) > 1
