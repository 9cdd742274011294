"""What callers, backend servers and signals of a run did, in tables by id.

All times are in seconds of the run's monotonic clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.table import NEVER

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
_SUCCESS_CLASS = 2
_STATUSES_OF_CLASS = 100


class RequestEnd(enum.Enum):
    """How a request ended for its caller."""

    OPEN = 'open'
    ANSWERED = 'answered'
    # The node closed or reset the connection before a complete answer.
    CLOSED = 'closed by the node'
    # The bytes received are no HTTP response.
    GARBLED = 'not an HTTP response'
    TIME_LIMIT = 'time limit'
    NOT_SENT = 'not sent'
    # The run that made the nested call has ended.
    ABANDONED = 'abandoned by its caller'


class RunEnd(enum.Enum):
    """How a run ended at a backend server."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    # The connection was closed by the node.
    CLOSED = 'closed by the node'
    BROKE_OFF = 'broken off by the server'


@dataclass(slots=True)
class Answer:
    """Response as a caller received it.

    ``sealed_id`` and ``sealed_status`` are parts of the backend server's seal,
    empty and 0 without one. ``is_body_sealed`` is set if the seal belongs to
    the received body. ``extra_bytes`` came after the response.
    """

    status: int = 0
    request_id: str = ''
    sealed_id: str = ''
    sealed_status: int = 0
    is_body_sealed: bool = False
    retry_after: float = 0
    closes: bool = False
    extra_bytes: int = 0

    @property
    def is_success(self) -> bool:
        """Tell whether the status is a success.

        :return: True for 2xx.
        """
        return self.status // _STATUSES_OF_CLASS == _SUCCESS_CLASS


@dataclass(slots=True)
class Content:
    """Parts of a request that nodes forward or derive from the caller."""

    method: str
    path: str
    body: bytes
    caller_service: str
    organisation: str


@dataclass(slots=True)
class SentRequest:
    """One request of a caller, or of a backend server's run.

    ``process_id`` is the node process that received it, ``time_limit`` the
    shorter of the caller's deadline and the route's timeout. The last byte was
    sent between ``began_at`` and ``sent_at``, which differ if this process is
    late.
    """

    id: str
    route: str
    is_safe: bool
    vm: str
    process_id: int
    content: Content
    time_limit: float
    key: str = ''
    is_nested: bool = False
    is_first_of_connection: bool = True
    began_at: float = NEVER
    sent_at: float = NEVER
    ended_at: float = NEVER
    end: RequestEnd = RequestEnd.OPEN
    received_bytes: int = 0
    answer: Answer | None = None


@dataclass(slots=True)
class Run:
    """One run of a request at a backend server."""

    id: int
    request_id: str
    instance: str
    vm: str
    service: str
    content: Content
    started_at: float
    ended_at: float = NEVER
    end: RunEnd = RunEnd.RUNNING
    status: int = 0
    is_cold: bool = False


@dataclass(slots=True)
class NodeProcess:
    """One life of a node's process; ``exit_code`` is None while it runs.

    ``is_ready_at_stop`` and ``is_ready_after_stop`` tell whether the platform
    counted it as ready at its first SIGTERM and, still running, 4 s later.
    """

    id: int
    vm: str
    pid: int
    log_path: str
    started_at: float
    ended_at: float = NEVER
    exit_code: int | None = None
    is_ready_at_stop: bool = False
    is_ready_after_stop: bool = False


@dataclass(slots=True)
class SentSignal:
    """A signal to a node's process."""

    id: int
    process_id: int
    number: int
    sent_at: float


@dataclass(slots=True)
class Version:
    """A version of the configuration; routes that it lacks have no service."""

    number: int
    acked_at: float
    service_by_route: dict[str, str]


@dataclass(slots=True)
class DomainDrain:
    """Time in which the operators have taken a failure domain out."""

    domain: str
    acked_at: float
    ended_at: float = NEVER


@dataclass(slots=True)
class Event:
    """A disturbance other than a signal, for the record."""

    at: float
    text: str


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds of the rules in seconds.

    Long work is excused for requests that were sent no later than
    ``excused_sending`` after the SIGTERM. ``cold_requests`` is how many
    requests a cold server bears in one second.
    """

    grace: float = 6.0
    loss_slack: float = 0.2
    config_apply: float = 2.0
    rollback_slack: float = 0.25
    drain: float = 2.0
    domain_drain: float = 5.0
    cold_requests: int = 35
    stable_window: float = 3.0
    excused_sending: float = 3.0


@dataclass(slots=True)
class History:
    """The tables of one run, and the bounds of its rules.

    ``left_at_by_instance`` holds when a node acknowledged that a backend server
    leaves. ``versions`` are in the order in which they were written.
    ``max_lag`` is the largest delay of the event loop that runs the callers and
    the backend servers.
    """

    bounds: Bounds = field(default_factory=Bounds)
    requests_by_id: dict[str, SentRequest] = field(default_factory=dict)
    runs_by_id: dict[int, Run] = field(default_factory=dict)
    run_ids_by_request_id: dict[str, list[int]] = field(default_factory=dict)
    processes_by_id: dict[int, NodeProcess] = field(default_factory=dict)
    signals_by_id: dict[int, SentSignal] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    domain_by_vm: dict[str, str] = field(default_factory=dict)
    domain_drains: list[DomainDrain] = field(default_factory=list)
    left_at_by_instance: dict[str, float] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    max_lag: float = 0

    def add_run(self, run: Run) -> None:
        """Add a run to the table and its index.

        :param run: the run.
        """
        self.runs_by_id[run.id] = run
        run_ids = self.run_ids_by_request_id.setdefault(run.request_id, [])
        run_ids.append(run.id)

    def runs_of(self, request_id: str) -> list[Run]:
        """List the runs of a request in the order of their starts.

        :param request_id: the request's id.
        :return: the runs.
        """
        run_ids = self.run_ids_by_request_id.get(request_id, ())
        return [self.runs_by_id[run_id] for run_id in run_ids]

    def add_signal(self, process_id: int, number: int, now: float) -> None:
        """Add a sent signal.

        :param process_id: id of the process row.
        :param number: the signal's number.
        :param now: the present time.
        """
        row = SentSignal(len(self.signals_by_id) + 1, process_id, number, now)
        self.signals_by_id[row.id] = row

    def signal_times(self, process_id: int, number: int) -> list[float]:
        """List when a process got a signal, in order.

        :param process_id: id of the process row.
        :param number: the signal's number.
        :return: the times.
        """
        return [
            row.sent_at
            for row in self.signals_by_id.values()
            if row.process_id == process_id and row.number == number
        ]
