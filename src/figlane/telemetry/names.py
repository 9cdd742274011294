"""Declarations of all metrics: name, type and meaning."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@enum.unique
class MetricType(enum.Enum):
    """Metric types of statsd."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMER = 'timer'


@dataclass(slots=True, frozen=True)
class Metric:
    """A metric; a name that ends in ``*`` covers every name with its prefix."""

    name: str
    type: MetricType
    meaning: str

    def covers(self, name: str) -> bool:
        """Return whether this declaration applies to a metric name.

        :param name: the name of a counter, gauge or timer.
        :return: True if the name matches.
        """
        if self.name.endswith('*'):
            return name.startswith(self.name[:-1])
        return name == self.name


def _counter(name: str, meaning: str) -> Metric:
    return Metric(name, MetricType.COUNTER, meaning)


def _gauge(name: str, meaning: str) -> Metric:
    return Metric(name, MetricType.GAUGE, meaning)


COUNTERS = (
    _counter(
        'backend.announced', 'announcements received from the backend server'
    ),
    _counter(
        'backend.cold-call', 'calls started on a backend server in cold start'
    ),
    _counter(
        'backend.leaving', 'servers that said in an answer that they leave'
    ),
    _counter(
        'backend.limit-named',
        'changes of the limit that the backend server names',
    ),
    _counter(
        'backend.outdated-announcement',
        'late announcements of an earlier start',
    ),
    _counter(
        'backend.refused', 'removals from service after refused connections'
    ),
    _counter(
        'backend.silent', 'removals from service for missing announcements'
    ),
    _counter('call.answered', 'calls answered by a backend server'),
    _counter('call.arrived', 'calls received by this entry node'),
    _counter('call.backed-off', 'retries delayed by back-off after a refusal'),
    _counter('call.crossed', 'replies to another attempt of a call, dropped'),
    _counter('call.damaged', 'answers with a wrong length or checksum'),
    _counter('call.greeting', 'calls that waited to learn the epoch of a peer'),
    _counter('call.late', 'replies to calls that had already ended'),
    _counter('call.lost', 'attempts whose outcome could not be determined'),
    _counter(
        'call.open-after-drain',
        'calls whose attempt was open when the drain of a stopping node ended',
    ),
    _counter('call.queried', 'status queries to peers about open calls'),
    _counter('call.refused.*', 'refusals by error kind'),
    _counter('call.repeated', 'child calls repeated by the backend server'),
    _counter('call.retried', 'calls retried on another node'),
    _counter('configuration.replaced', 'configurations replaced as a whole'),
    _counter(
        'execution.barred', 'attempts recorded in the ledger as not to be run'
    ),
    _counter('execution.cancelled', 'executions cancelled by the entry node'),
    _counter(
        'execution.key-repeated',
        'calls answered from an earlier Idempotency-Key',
    ),
    _counter('execution.late', 'answers of executions that had already ended'),
    _counter('execution.offered', 'attempts offered to this exit node'),
    _counter('execution.repeated', 'repeated attempts found in the ledger'),
    _counter(
        'execution.wrong-epoch', 'attempts addressed to another ledger epoch'
    ),
    _counter('inbox.failed', 'inbox rows whose handler failed; see the log'),
    _counter('ledger.answer-dropped', 'stored answers evicted from the ledger'),
    _counter('limit.lowered', 'reductions of the adaptive concurrency limit'),
    _counter('link.replaced', 'peer connections replaced because of silence'),
    _counter('member.*', 'membership changes by phase, and refutations'),
    _counter('peer.send-failed', 'messages that could not be sent'),
    _counter(
        'peer.unknown', 'messages dropped because the peer has no address'
    ),
    _counter('platform.failed', 'requests to the platform that failed'),
    _counter('platform.silent', 'silences of the store found by a check'),
    _counter(
        'platform.write.*', 'platform writes that were not applied, by outcome'
    ),
    _counter(
        'queue.impatient', 'queued executions refused for waiting too long'
    ),
    _counter('ramp.lowered', 'reductions of the cold-start concurrency ramp'),
    _counter('ramp.restarted', 'restarts of the cold-start ramp'),
    _counter(
        'quota.*',
        'quota events: tokens, rights to mint them, claims of buckets',
    ),
    _counter(
        'request.cut-off.*',
        'requests whose connection this node closed before the answer, '
        'by reason',
    ),
    _counter(
        'retry.exhausted', 'retries refused because no attempts were left'
    ),
    _counter('retry.suppressed', 'retries refused by the retry budget'),
    _counter('stream.begun', 'streamed answers started'),
    _counter('stream.cut', 'streamed answers aborted'),
    _counter('stream.paused', 'pauses of streamed answers by back-pressure'),
    _counter('system.failed', 'systems that raised an exception; see the log'),
)

GAUGES = (
    _gauge('calls.open', 'calls open at this entry node'),
    _gauge('executions.running', 'executions running on the backend server'),
    _gauge('executions.queued', 'executions waiting in the queue'),
    _gauge('members.known', 'members known to this node'),
    _gauge('backend.limit', 'concurrency limit of the backend server'),
)

TIMERS = (
    Metric(
        'telemetry.flush',
        MetricType.TIMER,
        'milliseconds spent collecting and sending all metrics',
    ),
)

METRICS = (*COUNTERS, *GAUGES, *TIMERS)
