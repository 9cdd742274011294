"""The local backend server that runs a node's calls."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.latency import LatencyEstimate, LatencyWindow
from figlane.entities.ramp import Ramp
from figlane.entities.server_notice import NamedLimit
from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class BackendServerPhase(IdentityHashMixin, enum.Enum):
    """Availability of the backend server as seen by its node.

    ``UNCONFIRMED``: the announcement may be older than a drain that this node
    acknowledged before this node was restarted. ``SERVING``: the backend server
    gets calls. ``DRAINING``: it finishes running calls and gets no new ones.
    ``GONE``: its announcements timed out or it refused connections.
    """

    UNCONFIRMED = 'unconfirmed'
    SERVING = 'serving'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(slots=True)
class BackendServer:
    """A backend server that announced itself; ``id`` is its instance id.

    ``slots`` and ``connections`` are the announced bounds on concurrent
    requests and on open connections. ``limit`` is the concurrency limit in
    force and ``latency_limit`` the limit derived from latencies, None while
    they have not lowered it. ``latency`` estimates the latency of all answers,
    ``latency_by_importance`` that of each importance. ``refused_part`` is the
    fraction of recent calls that the backend server refused itself, as of
    ``refused_at``. ``refused_count`` counts consecutive refused connections;
    after too many of them it gets no calls until ``ejected_until``. Until
    ``cold_until`` its call rate is limited by a token bucket whose fill level
    was ``cold_tokens`` at ``cold_refilled_at``. While ``is_warmth_doubted`` is
    set, the next announcement that tells of no cold start may be older than
    the cold start, and is not believed. ``born`` identifies the start
    of the backend server and ``sequence`` is the number of its newest
    announcement. ``is_unhealthy`` is set if its last health check reported it
    as unhealthy. ``named_limit`` is the limit on its rate that it names in its
    answers, and ``is_leaving`` is set once one of them said that it leaves.
    While ``awaits_first_answer`` is set, neither is known yet.
    """

    id: str
    service_id: str
    address: str
    slots: int
    connections: int
    announced_at: float
    limit: int = 0
    latency_limit: float | None = None
    latency: LatencyEstimate = field(default_factory=LatencyEstimate)
    latency_by_importance: dict[int, LatencyEstimate] = field(
        default_factory=dict,
    )
    window: LatencyWindow = field(default_factory=LatencyWindow)
    ramp: Ramp = field(default_factory=Ramp)
    refused_count: int = 0
    refused_part: float = 0
    refused_at: float = 0
    ejected_until: float = 0
    cold_until: float = 0
    cold_tokens: float = 0
    cold_refilled_at: float = 0
    is_warmth_doubted: bool = False
    born: int = 0
    sequence: float = 0
    is_unhealthy: bool = False
    named_limit: NamedLimit | None = None
    is_leaving: bool = False
    awaits_first_answer: bool = False
    phase: BackendServerPhase = BackendServerPhase.SERVING
    due: float = NEVER

    @property
    def concurrency(self) -> int:
        """Announced bound on concurrent requests.

        :return: the smaller of slots and connections.
        """
        return min(self.slots, self.connections)
