"""Pushes new versions of configuration objects to other nodes."""

from __future__ import annotations

from typing import Any

from figlane.entities.configuration_messages import (
    ConfigurationNotice,
    ConfigurationPush,
    ObjectPush,
)
from figlane.entities.inbox import ObjectChanged
from figlane.entities.world import World
from figlane.systems.links.messages import send_message
from figlane.systems.membership.rendezvous import live_ids_by_domain

# Gossip fan-out: number of members to which a node pushes an object whose
# version is new to it, and to which it tells the version of a new
# configuration. About exp(-fan-out) of the members of a failure domain are
# missed and only find out by their next comparison.
_PUSH_FANOUT = 4
_NOTICE_FANOUT = 8
# Part of them in other failure domains.
_FAR_FRACTION = 0.25


def push_to_random_members(world: World, row: ObjectChanged) -> None:
    """Push a new version of an object to random members.

    :param world: the tables.
    :param row: the new version.
    """
    for node_id in _random_members(world, _PUSH_FANOUT):
        push_object(world, node_id, row.kind, row.name, row.version, row.entity)


def announce_configuration(world: World) -> None:
    """Tell random members the version of the configuration in force.

    Those that lack it request it, so that each node receives it only once.

    :param world: the tables.
    """
    notice = ConfigurationNotice(world.ingress.version)
    for node_id in _random_members(world, _NOTICE_FANOUT):
        send_message(world, node_id, notice)


def _random_members(world: World, fanout: int) -> list[str]:
    # Most of them are in the own failure domain, where bytes cost less; each
    # failure domain has watchers that learn of changes by themselves.
    near: list[str] = []
    far: list[str] = []
    for domain, ids in live_ids_by_domain(world).items():
        side = near if domain == world.identity.failure_domain else far
        side.extend(ids)
    far_count = min(int(fanout * _FAR_FRACTION), len(far))
    near_count = min(fanout - far_count, len(near))
    far_count = min(fanout - near_count, len(far))
    return [
        *world.random.sample(near, near_count),
        *world.random.sample(far, far_count),
    ]


def push_configuration(world: World, node_id: str) -> None:
    """Send the whole configuration in force to one node.

    :param world: the tables.
    :param node_id: the receiver.
    """
    if world.ingress.current is not None:
        send_message(world, node_id, ConfigurationPush(world.ingress.current))


def push_object(
    world: World,
    node_id: str,
    kind: str,
    name: str,
    version: int,
    entity: Any | None,
) -> None:
    """Send one version of an object to one node.

    :param world: the tables.
    :param node_id: the receiver.
    :param kind: the object's kind: service, organisation or domain.
    :param name: the object's name.
    :param version: the object's version.
    :param entity: the object's row, None if the object was deleted.
    """
    message = ObjectPush(kind, name, version)
    if entity is not None:
        setattr(message, kind, entity)
    send_message(world, node_id, message)
