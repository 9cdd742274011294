"""Readiness of this node to take calls."""

from __future__ import annotations

from figlane.entities.node_drain import DRAIN_ID
from figlane.entities.world import World


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
    """Check whether this node has joined the fleet.

    Without a member list, nodes that start at the same time would each take
    themselves for the owner of every quota.

    :param world: the tables.
    :return: whether it has; True also if this node does not look for contacts.
    """
    return world.join.has_joined or not world.join.is_enabled
