"""Anti-entropy of configuration objects between nodes.

Answers also carry the age of the peer's configuration. Nodes that do not watch
the platform's object store derive the age of their own configuration from it.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from figlane.entities.configuration_messages import (
    ConfigurationNotice,
    ConfigurationQuery,
    ConfigurationStatus,
    ObjectPush,
    ObjectRequest,
)
from figlane.entities.inbox import ObjectChanged, PeerMessage
from figlane.entities.member import Member
from figlane.entities.service import ConfigurationPhase
from figlane.entities.world import World
from figlane.systems.configuration.pushing import (
    push_configuration,
    push_object,
)
from figlane.systems.configuration.versions import (
    configuration_tables,
    get_feed,
)
from figlane.systems.configuration.watching import (
    follow_store,
    is_in_charge,
    is_store_unreachable,
    lacks_answers,
)
from figlane.systems.links.messages import send_message
from figlane.systems.membership.rendezvous import (
    live_ids_by_domain,
    live_members,
    watcher_ids,
)
from figlane.systems.registry import peer_handlers, routines
from figlane.systems.scheduling import jittered

ROUTINE = 'compare-configuration'

# Object name that stands for the whole configuration.
CONFIGURATION_NAME = 'configuration/main'
# Longest time between two exchanges started by a node, and the shortest as a
# fraction of it.
EXCHANGE_INTERVAL_SECONDS = 1.2
_MIN_INTERVAL_FACTOR = 0.6
# Time between two exchanges of a node that has no configuration yet: after a
# restart of all nodes, the watchers are about to read it from the store.
_START_INTERVAL_SECONDS = 0.25
# Time for which an answer is awaited, and number of peers that are asked after
# a missed one.
ANSWER_TIMEOUT_SECONDS = 0.25
_PEERS_AFTER_MISS = 2
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
    exchange = world.configuration_exchange
    is_answered = exchange.answered_at >= exchange.asked_at
    if is_answered and now < exchange.next_at:
        return exchange.next_at
    if not is_answered:
        exchange.misses += 1
        exchange.silent_id = exchange.asked_id or exchange.silent_id
        if lacks_answers(world) or is_in_charge(world, now):
            follow_store(world, now)
    question = ConfigurationQuery(now, checksum(world))
    peers = _choose_peers(world, now)
    exchange.asked_id = peers[0] if len(peers) == 1 else ''
    for node_id in peers:
        send_message(world, node_id, question)
    if not peers:
        return now + jittered(world, EXCHANGE_INTERVAL_SECONDS)
    exchange.asked_at = now
    exchange.next_at = now + _interval(world)
    return now + ANSWER_TIMEOUT_SECONDS


def _interval(world: World) -> float:
    if not world.ingress.version and world.join.has_joined:
        return _START_INTERVAL_SECONDS
    factor = 1 - (1 - _MIN_INTERVAL_FACTOR) * world.random.random()
    return EXCHANGE_INTERVAL_SECONDS * factor


def _choose_peers(world: World, now: float) -> list[str]:
    members = live_members(world)
    if not members:
        return []
    if world.configuration_exchange.misses:
        count = min(_PEERS_AFTER_MISS, len(members))
        return [peer.id for peer in world.random.sample(members, count)]
    if not world.kind_feeds and (
        now - get_feed(world).current_at > _STALE_SECONDS
    ):
        ids_by_domain = live_ids_by_domain(world)
        return [world.random.choice(ids) for ids in ids_by_domain.values()]
    return [_choose_peer(world, members)]


def _choose_peer(world: World, members: Sequence[Member]) -> str:
    watchers = watcher_ids(world)
    own_id = world.identity.node_id
    if own_id in watchers[1:] and world.kind_feeds:
        # A standby finds out within one exchange that the first is silent.
        return watchers[0]
    is_other = own_id not in watchers
    if is_other and world.random.random() < _WATCHER_PROBABILITY:
        return world.random.choice(watchers)
    return world.random.choice(members).id


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
            is_store_unreachable(world),
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
    exchange = world.configuration_exchange
    exchange.answered_at = max(exchange.answered_at, status.asked_at)
    exchange.misses = 0
    if status.is_store_unreachable and row.sender in watcher_ids(world):
        exchange.silent_id = row.sender
        if is_in_charge(world, now):
            follow_store(world, now)
    elif exchange.silent_id == row.sender:
        exchange.silent_id = ''
    if not status.is_same:
        missing = _synchronise(world, row.sender, status.version_by_name)
        if missing:
            send_message(world, row.sender, ObjectRequest(missing))
            return
    if status.asked_at >= exchange.resumed_at:
        exchange.confirm_by = now
    _record_contact(world, row.sender, status)


def _synchronise(
    world: World,
    sender: str,
    peer_versions: dict[str, int],
) -> list[str]:
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
        if version > own_versions.get(name, _lowest_version(world, name))
    ]


def _lowest_version(world: World, name: str) -> int:
    # A listing says nothing about the whole configuration, which is never
    # deleted.
    if name == CONFIGURATION_NAME:
        return 0
    return get_feed(world).listed_revision


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


@peer_handlers.register(ConfigurationNotice)
def handle_configuration_notice(
    world: World, row: PeerMessage, now: float
) -> None:
    """Request a configuration that this node lacks, once.

    :param world: the tables.
    :param row: the version that the peer has.
    :param now: the present time in seconds.
    """
    version = row.message.version
    exchange = world.configuration_exchange
    if version <= world.ingress.version:
        return
    is_requested = now < exchange.requested_at + ANSWER_TIMEOUT_SECONDS
    if is_requested and version <= exchange.requested_version:
        return
    exchange.requested_at = now
    exchange.requested_version = version
    send_message(world, row.sender, ObjectRequest([CONFIGURATION_NAME]))


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
