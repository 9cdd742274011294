"""The world: all state of a node that systems read and change."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, fields
from random import Random
from typing import Any

from figlane.entities.backend_server import BackendServer
from figlane.entities.call import Call
from figlane.entities.execution import Execution
from figlane.entities.feed import ConfigurationExchange, Feed
from figlane.entities.flow import Flow
from figlane.entities.gossip import Gossip, OpenProbe
from figlane.entities.ingress import Ingress, IngressRoute
from figlane.entities.kind_feed import KindFeed, StoreCheck
from figlane.entities.latencies import Latencies, RouteDuration
from figlane.entities.ledger import Ledger
from figlane.entities.link import Link
from figlane.entities.member import Contact, JoinState, Member
from figlane.entities.member_index import LiveIndex, MemberIndex
from figlane.entities.node_drain import NodeDrain
from figlane.entities.quota import QuotaState
from figlane.entities.refused_call import RefusedCall
from figlane.entities.retry_budget import RetryBudget
from figlane.entities.routine import Routine
from figlane.entities.service import FailureDomain, Organisation, Service
from figlane.entities.span import Tracing
from figlane.entities.stream import IncomingStream, OutgoingStream
from figlane.entities.table import NEVER, Alarm, Table
from figlane.registry import BoundSystems


@dataclass(slots=True)
class Identity:
    """Identity of this node; addresses are ``host:port``.

    ``incarnation`` distinguishes the starts of a node and grows with each.
    """

    node_id: str
    failure_domain: str
    incarnation: int
    peer_address: str = ''
    entry_address: str = ''
    admin_address: str = ''
    gossip_address: str = ''


@dataclass(slots=True)
class Policies:
    """Names of the selected policies, one for each policy registry."""

    routing: str = 'two-choices'
    rate: str = 'tokens'
    shedding: str = 'weighted-fair'
    deadline: str = 'predicted'
    limit: str = 'aimd'
    cold_start: str = 'ramp'
    retry: str = 'ratio'
    outage: str = 'majority'


@dataclass(slots=True, frozen=True)
class RetryBounds:
    """Parameters of the retry budgets, one per service and importance.

    A budget is a token bucket: each first attempt adds ``ratio`` retries, up to
    ``max_balance``. If ``fleet_balance`` is not 0, it is the largest balance of
    all nodes together, in equal parts. Up to ``free_retries`` further
    attempts of a call are not charged to the budget as long as no backend
    server has received it.
    """

    ratio: float = 0.1
    max_balance: float = 10.0
    fleet_balance: float = 0
    free_retries: int = 0


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """Agreed tolerance of the windows in which quotas are enforced.

    In each window of ``window_seconds`` an organisation may make as many calls
    as its rate and burst allow for that time, plus the fraction ``overage`` of
    them, plus ``slack`` calls. A window of 0 seconds means that only rate and
    burst apply.
    """

    window_seconds: float = 0
    overage: float = 0
    slack: float = 0


@dataclass(slots=True, frozen=True)
class TickGap:
    """Time from when a tick was due until it began."""

    began_at: float = 0
    ended_at: float = -NEVER

    @property
    def seconds(self) -> float:
        """Length of the gap.

        :return: the time in seconds.
        """
        return self.ended_at - self.began_at


@dataclass(slots=True)
class World:
    """The tables, the inbox and the outbox of one node.

    ``failures`` holds exceptions raised by systems and handlers, to be logged.
    ``bound_systems`` are the registered systems, bound to these tables.
    ``random`` is the only source of randomness that systems use. All tables
    share ``alarm``. ``started_at`` is when the node started, ``ticked_at`` the
    start time of the latest tick, and ``seconds_since_last_tick`` the time
    between it and the previous tick. ``tick_gap`` is the latest delay of a
    tick in which the process may have been paused.
    """

    identity: Identity
    random: Random
    policies: Policies = field(default_factory=Policies)
    retry_bounds: RetryBounds = field(default_factory=RetryBounds)
    quota_bounds: QuotaBounds = field(default_factory=QuotaBounds)
    tracing: Tracing = field(default_factory=Tracing)
    calls: Table[Call] = field(default_factory=Table)
    executions: Table[Execution] = field(default_factory=Table)
    members: Table[Member] = field(default_factory=Table)
    services: Table[Service] = field(default_factory=Table)
    organisations: Table[Organisation] = field(default_factory=Table)
    ingress: Ingress = field(default_factory=Ingress)
    ingress_routes: Table[IngressRoute] = field(default_factory=Table)
    failure_domains: Table[FailureDomain] = field(default_factory=Table)
    backend_servers: Table[BackendServer] = field(default_factory=Table)
    feeds: Table[Feed] = field(default_factory=Table)
    configuration_exchange: ConfigurationExchange = field(
        default_factory=ConfigurationExchange
    )
    kind_feeds: Table[KindFeed] = field(default_factory=Table)
    store_check: StoreCheck = field(default_factory=StoreCheck)
    routines: Table[Routine] = field(default_factory=Table)
    probes: Table[OpenProbe] = field(default_factory=Table)
    node_drains: Table[NodeDrain] = field(default_factory=Table)
    gossip: Gossip = field(default_factory=Gossip)
    contacts: Table[Contact] = field(default_factory=Table)
    join: JoinState = field(default_factory=JoinState)
    contacted_at_by_domain: dict[str, float] = field(default_factory=dict)
    flows: Table[Flow] = field(default_factory=Table)
    links: Table[Link] = field(default_factory=Table)
    retry_budgets: Table[RetryBudget] = field(default_factory=Table)
    route_durations: Table[RouteDuration] = field(default_factory=Table)
    ledger: Ledger = field(default_factory=Ledger)
    refused_calls: Table[RefusedCall] = field(default_factory=Table)
    outgoing_streams: Table[OutgoingStream] = field(default_factory=Table)
    incoming_streams: Table[IncomingStream] = field(default_factory=Table)
    virtual_time_by_importance: dict[int, float] = field(default_factory=dict)
    quota: QuotaState = field(default_factory=QuotaState)
    member_index: MemberIndex = field(default_factory=MemberIndex)
    live_index: LiveIndex = field(default_factory=LiveIndex)
    organisation_by_key_hash: dict[str, str] = field(default_factory=dict)
    execution_by_token: dict[str, str] = field(default_factory=dict)
    failures: list[Exception] = field(default_factory=list)
    inbox: list[Any] = field(default_factory=list)
    outbox: list[Any] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    latencies: Latencies = field(default_factory=Latencies)
    tables: tuple[Table[Any], ...] = ()
    bound_systems: BoundSystems = BoundSystems()
    alarm: Alarm = field(default_factory=Alarm)
    started_at: float = NEVER
    ticked_at: float = NEVER
    seconds_since_last_tick: float = 0
    tick_gap: TickGap = TickGap()

    def __post_init__(self) -> None:
        """Collect all tables and let them share one alarm."""
        attributes = (getattr(self, entry.name) for entry in fields(self))
        self.tables = tuple(
            attribute
            for attribute in (*attributes, *self.quota.tables)
            if isinstance(attribute, Table)
        )
        for table in self.tables:
            table.alarm = self.alarm

    def next_due(self) -> float:
        """Compute the earliest due time over all tables.

        :return: the time in seconds, or ``NEVER``.
        """
        due = NEVER
        for table in self.tables:
            if table.due_heap:
                due = min(due, table.next_due())
        return due

    def wake_time(self) -> float:
        """Return a lower bound on ``next_due`` without visiting the tables.

        :return: the time in seconds, or ``NEVER``.
        """
        return self.alarm.at
