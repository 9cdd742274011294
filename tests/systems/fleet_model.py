"""A fleet of nodes' worlds, their messages and a model of the object store."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import permutations
from random import Random
from typing import Any

from figlane.entities.call import Call
from figlane.entities.gossip import SendDatagram
from figlane.entities.http import Request
from figlane.entities.inbox import (
    CallArrived,
    NodeStarted,
    ObjectChanged,
    ObjectWritten,
    PeerMessage,
    WriteStatus,
)
from figlane.entities.ingress import CallerLimits, ConfigurationReplaced
from figlane.entities.kind_feed import (
    CheckStore,
    FollowKinds,
    KindFailed,
    KindListed,
    KindWatched,
    ReadKind,
    StoreChecked,
    WatchKind,
)
from figlane.entities.member import CONTACT_KIND, FindContacts, Member
from figlane.entities.outbox import AnswerCaller, SendToPeer, WriteObject
from figlane.entities.service import FailureDomain
from figlane.entities.world import Identity, Policies, World
from figlane.systems.membership.readiness import is_ready
from figlane.systems.tick import run_tick
from figlane.wire.peer import encode

CONFIGURATION = 'configuration'
DOMAIN = 'domain'
STEP_SECONDS = 0.05
# Prices of a call to the store and of one that allows stale answers.
_CALL_PRICE = 1.0
_STALE_PRICE = 0.1
_STALE_SECONDS = 2.0
# Time without an answer after which a client gives up a request; a watch adds
# its own length.
_TIMEOUT_SECONDS = 1.5


@dataclass(slots=True)
class Stored:
    """An object of the store; ``entity`` is None if it was deleted."""

    version: int
    entity: Any
    written_at: float


@dataclass(slots=True)
class PendingWatch:
    """A watch without an answer so far; ``is_lost`` if none will come."""

    node_id: str
    kind: str
    revision: int
    until: float
    is_lost: bool = False


@dataclass(slots=True)
class LostRequest:
    """A read or write that the store does not answer."""

    node_id: str
    row: Any
    until: float


@dataclass(slots=True)
class FleetModel:
    """The nodes of a fleet.

    ``paused`` nodes do not run, ``turned_away`` ones get errors from the store
    and ``cut`` holds pairs of nodes without a path between them, in both
    orders. ``is_store_down`` makes every call to the store fail. To the nodes
    in ``unanswered`` the store is silent: it takes their requests, and what it
    would answer meanwhile is lost for good. The prices of
    the calls are counted in ``price_by_node``, messages between nodes in
    ``sent_by_node`` and their bytes in ``bytes_by_node``. ``answers`` holds
    the time of each answer to a caller, and the version in force then.
    """

    domains: tuple[str, ...]
    count: int
    is_first_start: bool = True
    random: Random = field(default_factory=lambda: Random(5))
    now: float = 100.0
    revision: int = 10
    worlds: dict[str, World] = field(default_factory=dict)
    objects: dict[tuple[str, str], Stored] = field(default_factory=dict)
    watches: list[PendingWatch] = field(default_factory=list)
    in_flight: list[tuple[str, Any]] = field(default_factory=list)
    paused: set[str] = field(default_factory=set)
    turned_away: set[str] = field(default_factory=set)
    cut: set[tuple[str, str]] = field(default_factory=set)
    unanswered: set[str] = field(default_factory=set)
    lost_requests: list[LostRequest] = field(default_factory=list)
    is_store_down: bool = False
    price_by_node: Counter[str] = field(default_factory=Counter)
    sent_by_node: Counter[str] = field(default_factory=Counter)
    bytes_by_node: Counter[str] = field(default_factory=Counter)
    starts: int = 0
    answers: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Write the first configuration and start all nodes."""
        self.configure()
        for number in range(self.count):
            self.start(f'n{number}')

    def start(self, node_id: str) -> None:
        """Start a node, or start it again with empty tables.

        :param node_id: the node.
        """
        self.starts += 1
        domain = self.domains[int(node_id[1:]) % len(self.domains)]
        world = World(
            Identity(node_id, domain, self.starts, peer_address=node_id),
            Random(self.starts),
            Policies(rate='none'),
        )
        disabled = frozenset(('follow-platform', 'write-member'))
        world.inbox += [
            NodeStarted(disabled),
            FindContacts(self.domains, 2 if self.is_first_start else 0),
            FollowKinds(
                (CONFIGURATION, DOMAIN),
                0.2,
                6 if self.is_first_start else 0,
                1.0,
            ),
        ]
        self.worlds[node_id] = world

    def restart_all(self) -> None:
        """Start all nodes again at the same time; nothing is in flight."""
        self.is_first_start = False
        self.in_flight.clear()
        self.watches.clear()
        self.lost_requests.clear()
        for node_id in tuple(self.worlds):
            self.start(node_id)

    def configure(self) -> int:
        """Write a new configuration.

        :return: its version.
        """
        return self._write(CONFIGURATION, 'main', True)

    def introduce_all(self) -> None:
        """Let all nodes know each other, as long after they have joined."""
        self.step()
        for world in self.worlds.values():
            for other in self.worlds.values():
                identity = other.identity
                if other is not world:
                    own = other.members.by_id[identity.node_id]
                    world.members.insert(
                        Member(
                            identity.node_id,
                            own.incarnation,
                            identity.failure_domain,
                            identity.peer_address,
                        )
                    )
            world.join.has_joined = True
            world.join.joined_at = 0
            world.gossip.is_settled = True
            world.gossip.transmissions_by_id.clear()

    def take_out(self, domain: str, *, taken_out: bool = True) -> None:
        """Take a failure domain out of service, or return it.

        :param domain: the failure domain.
        :param taken_out: False to return it.
        """
        self._write(DOMAIN, domain, taken_out or None)

    def cut_off(self, part: set[str]) -> None:
        """Cut the paths between some of the nodes and all others.

        :param part: the nodes on one side.
        """
        for pair in permutations(self.worlds, 2):
            if len(part.intersection(pair)) == 1:
                self.cut.add(pair)

    def call(self, node_id: str) -> None:
        """Let a call without a route arrive at a node.

        :param node_id: the entry node; the call waits while it is paused.
        """
        request = Request('GET', '/', ())
        call = Call(f'c{self.now}', '', request, self.now, host='a.example')
        self.in_flight.append((node_id, CallArrived(call)))

    def run(self, seconds: float) -> None:
        """Advance the time.

        :param seconds: seconds to advance by.
        """
        end = self.now + seconds
        while self.now < end:
            self.step()

    def run_until(self, condition: Any, seconds: float) -> float:
        """Advance the time until a condition holds.

        :param condition: function without arguments.
        :param seconds: the longest time in seconds.
        :return: the seconds that it took; more than ``seconds`` if it did not
            come to hold.
        """
        began = self.now
        while not condition() and self.now - began <= seconds:
            self.step()
        return self.now - began

    def step(self) -> None:
        """Deliver messages, answer watches and tick each node."""
        self.now += STEP_SECONDS
        self._deliver_arrived()
        self._answer_watches()
        self._end_lost_requests()
        for node_id, world in self.worlds.items():
            is_due = world.inbox or world.wake_time() <= self.now
            if is_due and node_id not in self.paused:
                self._tick(node_id, world)

    def versions(self) -> set[int]:
        """Collect the configuration versions in force.

        :return: the versions of all nodes that run.
        """
        return {
            world.ingress.version
            for node_id, world in self.worlds.items()
            if node_id not in self.paused
        }

    def is_ready(self) -> bool:
        """Check that each node has joined and has a configuration.

        :return: whether it is so.
        """
        return all(map(is_ready, self.worlds.values()))

    def is_complete(self) -> bool:
        """Check that each node is ready and knows all nodes.

        :return: whether it is so.
        """
        return self.is_ready() and all(
            len(world.members) == len(self.worlds)
            for world in self.worlds.values()
        )

    def reset_counts(self) -> None:
        """Set all counters to zero."""
        self.price_by_node.clear()
        self.sent_by_node.clear()
        self.bytes_by_node.clear()

    def _tick(self, node_id: str, world: World) -> None:
        run_tick(world, self.now)
        assert not world.failures, world.failures
        rows = world.outbox
        world.outbox = []
        for row in rows:
            if isinstance(row, SendToPeer | SendDatagram):
                self._transmit(node_id, row)
            if isinstance(row, AnswerCaller):
                self.answers.append((self.now, world.ingress.version))
            if isinstance(row, ReadKind | WatchKind | WriteObject):
                self._call_store(node_id, row)
            if isinstance(row, CheckStore):
                self._check_store(node_id, row)

    def _deliver_arrived(self) -> None:
        arrived = self.in_flight
        self.in_flight = []
        for node_id, row in arrived:
            world = self.worlds.get(node_id)
            if node_id in self.paused:
                self.in_flight.append((node_id, row))
            elif world is not None:
                world.inbox.append(row)

    def _transmit(self, node_id: str, row: SendToPeer | SendDatagram) -> None:
        self.sent_by_node[node_id] += 1
        self.bytes_by_node[node_id] += len(encode(node_id, row.message))
        if (node_id, row.address) not in self.cut:
            message = PeerMessage(node_id, row.message)
            self.in_flight.append((row.address, message))

    def _call_store(self, node_id: str, row: Any) -> None:
        is_stale = isinstance(row, ReadKind) and row.allow_stale
        # A later request for the same kind takes the place of an open watch.
        self.watches = [
            watch
            for watch in self.watches
            if (watch.node_id, watch.kind) != (node_id, row.kind)
        ]
        self.price_by_node[node_id] += _STALE_PRICE if is_stale else _CALL_PRICE
        if self.is_store_down or node_id in self.turned_away:
            self._fail(node_id, row)
        elif isinstance(row, WatchKind):
            self._begin_watch(node_id, row)
        elif node_id in self.unanswered:
            until = self.now + _TIMEOUT_SECONDS
            self.lost_requests.append(LostRequest(node_id, row, until))
        else:
            self._answer(node_id, row)

    def _answer(self, node_id: str, row: ReadKind | WriteObject) -> None:
        if isinstance(row, ReadKind):
            self._list(node_id, row)
        else:
            self._write_if(node_id, row)

    def _check_store(self, node_id: str, row: CheckStore) -> None:
        self.price_by_node[node_id] += _STALE_PRICE
        failing = self.is_store_down or node_id in self.turned_away
        if not failing and node_id not in self.unanswered:
            checked = StoreChecked(row.asked_at, is_answered=True)
            self.in_flight.append((node_id, checked))
            return
        wait = 0 if failing else row.seconds
        lost = LostRequest(node_id, row, self.now + wait)
        self.lost_requests.append(lost)

    def _begin_watch(self, node_id: str, row: WatchKind) -> None:
        self.watches.append(
            PendingWatch(
                node_id,
                row.kind,
                row.revision,
                self.now + row.seconds,
                is_lost=node_id in self.unanswered,
            )
        )

    def _end_lost_requests(self) -> None:
        ended = [row for row in self.lost_requests if row.until <= self.now]
        for lost in ended:
            self.lost_requests.remove(lost)
            self._fail(lost.node_id, lost.row)

    def _fail(self, node_id: str, row: Any) -> None:
        if isinstance(row, CheckStore):
            checked = StoreChecked(row.asked_at, is_answered=False)
            self.in_flight.append((node_id, checked))
        elif isinstance(row, WriteObject):
            failed = ObjectWritten(
                row.request_id, row.kind, row.name, WriteStatus.UNKNOWN
            )
            self.in_flight.append((node_id, failed))
        else:
            self.in_flight.append((node_id, KindFailed(row.kind, 'down')))

    def _list(self, node_id: str, row: ReadKind) -> None:
        names = []
        for (kind, name), stored in self.objects.items():
            is_hidden = row.allow_stale and (
                self.now - stored.written_at < _STALE_SECONDS
            )
            if kind == row.kind and stored.entity is not None and not is_hidden:
                names.append(name)
                self._deliver(node_id, kind, name, is_news=False)
        version = 2 * self.revision + 1
        if row.allow_stale:
            version = 1
        listed = KindListed(row.kind, self.revision, version, frozenset(names))
        self.in_flight.append((node_id, listed))

    def _deliver(
        self, node_id: str, kind: str, name: str, *, is_news: bool
    ) -> None:
        stored = self.objects[kind, name]
        if kind == CONFIGURATION:
            row: Any = ConfigurationReplaced(
                stored.version, (), (), (), CallerLimits()
            )
            row.is_news = is_news
        else:
            entity = stored.entity
            if kind == DOMAIN and entity is not None:
                entity = FailureDomain(name, stored.version, taken_out=True)
            version = stored.version + (entity is None)
            row = ObjectChanged(kind, name, version, entity, is_news)
        self.in_flight.append((node_id, row))

    def _write_if(self, node_id: str, row: WriteObject) -> None:
        current = self.objects.get((row.kind, row.name))
        version = 0 if current is None else current.version
        status = WriteStatus.WRITTEN
        if row.if_version is not None and row.if_version != version:
            status = WriteStatus.CONFLICT
            self._deliver(node_id, row.kind, row.name, is_news=False)
        else:
            version = self._write(row.kind, row.name, row.entity)
        written = ObjectWritten(
            row.request_id, row.kind, row.name, status, version
        )
        self.in_flight.append((node_id, written))

    def _write(self, kind: str, name: str, entity: Any) -> int:
        self.revision += 1
        version = 2 * self.revision
        self.objects[kind, name] = Stored(version, entity, self.now)
        return version

    def _answer_watches(self) -> None:
        self.watches = [
            watch for watch in self.watches if not self._answer_watch(watch)
        ]

    def _watch_failure(self, watch: PendingWatch) -> str:
        if self.is_store_down or watch.node_id in self.turned_away:
            return 'down'
        is_over = self.now >= watch.until + _TIMEOUT_SECONDS
        return 'timeout' if watch.is_lost and is_over else ''

    def _answer_watch(self, watch: PendingWatch) -> bool:
        reason = self._watch_failure(watch)
        if reason:
            failed = KindFailed(watch.kind, reason)
            self.in_flight.append((watch.node_id, failed))
            return True
        changed = [
            name
            for (kind, name), stored in self.objects.items()
            if kind == watch.kind and stored.version > 2 * watch.revision
        ]
        if watch.is_lost or (not changed and self.now < watch.until):
            return False
        if watch.node_id in self.unanswered:
            watch.is_lost = True
            return False
        for name in changed:
            self._deliver(watch.node_id, watch.kind, name, is_news=True)
        row = KindWatched(watch.kind, self.revision)
        self.in_flight.append((watch.node_id, row))
        return True


def contact_ids(model: FleetModel) -> set[str]:
    """List the members that the store names as contacts.

    :param model: the fleet.
    :return: their ids.
    """
    return {
        stored.entity.id
        for (kind, _), stored in model.objects.items()
        if kind == CONTACT_KIND
    }
