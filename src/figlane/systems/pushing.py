"""Pushes new versions of configuration objects to other nodes."""

from __future__ import annotations

from typing import Any

from figlane.entities.configuration_messages import (
    ConfigurationPush,
    ObjectPush,
)
from figlane.entities.inbox import ObjectChanged
from figlane.entities.world import World
from figlane.systems.node_messages import send_message
from figlane.systems.rendezvous import live_members

# Gossip fan-out: number of members to which a node pushes a version that is new
# to it.
FANOUT = 4


def push_to_random_members(world: World, row: ObjectChanged) -> None:
    """Push a new version of an object to ``FANOUT`` random members.

    :param world: the tables.
    :param row: the new version.
    """
    members = live_members(world)
    chosen = world.random.sample(members, min(FANOUT, len(members)))
    for member in chosen:
        push_object(
            world, member.id, row.kind, row.name, row.version, row.entity
        )


def push_configuration_to_random_members(world: World) -> None:
    """Push a new whole configuration to ``FANOUT`` random members.

    :param world: the tables.
    """
    members = live_members(world)
    chosen = world.random.sample(members, min(FANOUT, len(members)))
    for member in chosen:
        push_configuration(world, member.id)


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
