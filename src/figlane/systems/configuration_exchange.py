"""Anti-entropy of configuration objects between nodes.

Answers also carry the age of the peer's configuration. Nodes that do not watch
the platform's object store derive the age of their own configuration from it.
"""

from __future__ import annotations

import xxhash

from figlane.entities.configuration_messages import (
    ConfigurationQuery,
    ConfigurationStatus,
    ObjectPush,
    ObjectRequest,
)
from figlane.entities.inbox import ObjectChanged, PeerMessage
from figlane.entities.service import ConfigurationPhase
from figlane.entities.world import World
from figlane.systems.configuration import configuration_tables, get_feed
from figlane.systems.node_messages import send_message
from figlane.systems.pushing import push_configuration, push_object
from figlane.systems.registry import peer_handlers, routines
from figlane.systems.rendezvous import live_members, watcher_ids
from figlane.systems.scheduling import jittered

ROUTINE = 'compare-configuration'

# Object name that stands for the whole configuration.
CONFIGURATION_NAME = 'configuration/main'
# Mean time between two exchanges started by a node.
EXCHANGE_INTERVAL_SECONDS = 1.0
# Age of its configuration above which a node contacts one peer in each failure
# domain.
_STALE_SECONDS = 3.0
# Probability that a node that is not a watcher contacts a watcher of its own
# failure domain rather than any member.
_WATCHER_PROBABILITY = 0.75


@routines.register(ROUTINE)
def compare_configuration(world: World, now: float) -> float:
    """Send a checksum to one peer, or to one in each failure domain.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: time of the next exchange, in seconds.
    """
    question = ConfigurationQuery(now, checksum(world))
    for node_id in _choose_peers(world, now):
        send_message(world, node_id, question)
    return now + jittered(world, EXCHANGE_INTERVAL_SECONDS)


def _choose_peers(world: World, now: float) -> list[str]:
    members = live_members(world)
    if not members:
        return []
    if now - get_feed(world).current_at > _STALE_SECONDS:
        world.random.shuffle(members)
        by_domain = {member.failure_domain: member.id for member in members}
        return list(by_domain.values())
    watchers = watcher_ids(world)
    if world.identity.node_id not in watchers:
        if world.random.random() < _WATCHER_PROBABILITY:
            return [world.random.choice(watchers)]
    return [world.random.choice(members).id]


def checksum(world: World) -> int:
    """Compute a checksum of the objects in force.

    :param world: the tables.
    :return: the checksum, equal for equal names and versions.
    """
    lines = [f'{CONFIGURATION_NAME}/{world.ingress.version}']
    lines += sorted(
        f'{kind}/{row.id}/{row.version}'
        for kind, table in configuration_tables(world).items()
        for row in table.in_phase(ConfigurationPhase.IN_FORCE)
    )
    return xxhash.xxh64_intdigest('\n'.join(lines).encode())


@peer_handlers.register(ConfigurationQuery)
def handle_configuration_question(
    world: World, row: PeerMessage, now: float
) -> None:
    """Answer with the age of this node's configuration.

    If the checksums differ, the answer also lists the versions of its objects.

    :param world: the tables.
    :param row: the peer's checksum.
    :param now: the present time in seconds.
    """
    question: ConfigurationQuery = row.message
    is_same = question.checksum == checksum(world)
    send_message(
        world,
        row.sender,
        ConfigurationStatus(
            question.asked_at,
            now - get_feed(world).current_at,
            is_same,
            {} if is_same else version_by_name(world),
        ),
    )


def version_by_name(world: World) -> dict[str, int]:
    """Collect the versions of all objects, deleted ones included.

    :param world: the tables.
    :return: versions by ``kind/name``.
    """
    versions = {
        f'{kind}/{row.id}': row.version
        for kind, table in configuration_tables(world).items()
        for row in table
    }
    if world.ingress.version:
        versions[CONFIGURATION_NAME] = world.ingress.version
    return versions


@peer_handlers.register(ConfigurationStatus)
def handle_configuration_status(
    world: World, row: PeerMessage, now: float
) -> None:
    """Push objects that the peer lacks and request those that are newer there.

    A peer without newer objects counts as a recent contact in its failure
    domain.

    :param world: the tables.
    :param row: the peer's answer.
    :param now: the present time in seconds.
    """
    status: ConfigurationStatus = row.message
    if status.asked_at > now:
        return
    if not status.is_same:
        missing = _synchronise(world, row.sender, status.version_by_name)
        if missing:
            send_message(world, row.sender, ObjectRequest(missing))
            return
    _record_contact(world, row.sender, status)


def _synchronise(
    world: World,
    sender: str,
    peer_versions: dict[str, int],
) -> list[str]:
    lowest_version = get_feed(world).listed_revision
    own_versions = version_by_name(world)
    newer = [
        name
        for name in own_versions
        if own_versions[name] > peer_versions.get(name, 0)
    ]
    _push_objects(world, sender, newer)
    return [
        name
        for name, version in peer_versions.items()
        if version > own_versions.get(name, lowest_version)
    ]


def _record_contact(
    world: World,
    sender: str,
    status: ConfigurationStatus,
) -> None:
    feed = get_feed(world)
    feed.current_at = max(feed.current_at, status.asked_at - status.age)
    member = world.members.get(sender)
    if member is None:
        return
    domain = member.failure_domain
    contacts = world.contacted_at_by_domain
    contacts[domain] = max(contacts.get(domain, 0), status.asked_at)


@peer_handlers.register(ObjectRequest)
def handle_object_request(world: World, row: PeerMessage, now: float) -> None:
    """Push the objects that a peer requests.

    :param world: the tables.
    :param row: the names of the objects.
    :param now: the present time in seconds.
    """
    _push_objects(world, row.sender, row.message.names)


def _push_objects(world: World, node_id: str, names: list[str]) -> None:
    tables = configuration_tables(world)
    if CONFIGURATION_NAME in names:
        push_configuration(world, node_id)
    for qualified in names:
        kind, _, name = qualified.partition('/')
        found = tables[kind].get(name) if kind in tables else None
        if found is None:
            continue
        in_force = found.phase is ConfigurationPhase.IN_FORCE
        entity = found if in_force else None
        push_object(world, node_id, kind, name, found.version, entity)


@peer_handlers.register(ObjectPush)
def handle_object_push(world: World, row: PeerMessage, now: float) -> None:
    """Queue an object pushed by a peer; if it is new, it is pushed further.

    :param world: the tables.
    :param row: the pushed version.
    :param now: the present time in seconds.
    """
    message: ObjectPush = row.message
    entity = message.service or message.organisation or message.domain
    world.inbox.append(
        ObjectChanged(
            message.kind,
            message.name,
            message.version,
            entity,
            is_news=True,
        ),
    )
