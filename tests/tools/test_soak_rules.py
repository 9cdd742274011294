"""Rules of the soak, on tables written by hand."""

from __future__ import annotations

import dataclasses
import signal
import unittest
from typing import Any

from figlane.entities.table import NEVER
from tools.soaking import answer_rules, deployment_rules, stop_rules
from tools.soaking.entities import (
    Answer,
    Content,
    DomainDrain,
    History,
    NodeProcess,
    RequestEnd,
    Run,
    RunEnd,
    SentRequest,
    Version,
)
from tools.soaking.rules import check_all

REGISTERED_MODULES = (answer_rules, deployment_rules, stop_rules)
_CONTENT = Content('DELETE', '/visit-confirm/r', b'', 'tracings', 'org-1')
_ENTRY = 1
_EXIT = 2
_OTHER = 3
_STOP_AT = 100.0


class HistoryTest(unittest.TestCase):
    """Three processes: entry node, exit node and another one."""

    def setUp(self) -> None:
        """Create a run without requests."""
        self.history = History()
        self.configure(0, 'bookings')
        for process_id, vm in ((_ENTRY, 'a'), (_EXIT, 'b'), (_OTHER, 'c')):
            self.history.processes_by_id[process_id] = NodeProcess(
                process_id, vm, 0, f'{vm}.log', 0
            )

    def configure(self, at: float, service: str) -> None:
        """Write a version of the configuration, '' removes the route."""
        versions = self.history.versions
        services = {'visit-confirm': service} if service else {}
        versions.append(Version(len(versions) + 1, at, services))

    def signal(self, number: int, at: float, process_id: int = _ENTRY) -> None:
        """Send a signal."""
        self.history.add_signal(process_id, number, at)

    def end_process(
        self, at: float, exit_code: int, process_id: int = _ENTRY
    ) -> None:
        """End a process."""
        process = self.history.processes_by_id[process_id]
        process.ended_at = at
        process.exit_code = exit_code

    def send(self, sent_at: float, ended_at: float, **changes: Any) -> None:
        """Send a request that the node closes without an answer."""
        row = SentRequest(
            id='r',
            route='visit-confirm',
            is_safe=False,
            vm='a',
            process_id=_ENTRY,
            content=_CONTENT,
            time_limit=5.0,
            began_at=sent_at,
            sent_at=sent_at,
            ended_at=ended_at,
            end=RequestEnd.CLOSED,
        )
        self.history.requests_by_id['r'] = dataclasses.replace(row, **changes)

    def run_at_server(
        self,
        started_at: float,
        ended_at: float = NEVER,
        end: RunEnd = RunEnd.CLOSED,
        **changes: Any,
    ) -> None:
        """Run the request at the server beside the exit node."""
        run = Run(
            id=len(self.history.runs_by_id) + 1,
            request_id='r',
            instance='i-b',
            vm='b',
            service='bookings',
            content=_CONTENT,
            started_at=started_at,
            ended_at=ended_at,
            end=end,
            status=200 if end is RunEnd.ANSWERED else 0,
        )
        self.history.add_run(dataclasses.replace(run, **changes))

    def answer(self, **changes: Any) -> None:
        """Answer the request after it has run."""
        answer = Answer(200, 'r', 'r', 200, is_body_sealed=True)
        self.send(
            50,
            51,
            end=RequestEnd.ANSWERED,
            answer=dataclasses.replace(answer, **changes),
        )

    def assert_broken(self, *names: str) -> None:
        """Compare the broken rules."""
        breaches = check_all(self.history)
        self.assertEqual([breach.rule for breach in breaches], list(names))


class LostTest(HistoryTest):
    """Connections that end without a complete answer."""

    def test_cut_after_being_passed_on(self) -> None:
        """Within the slack, a request that runs counts."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.send(100.1, 100.2)
        self.run_at_server(100.15, 100.21)
        self.assert_broken('LOST')

    def test_cut_unread(self) -> None:
        """A request that crosses the close does not count, a later end does."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.send(101, 101.19)
        self.assert_broken()
        self.send(101, 101.21)
        self.assert_broken('LOST')

    def test_window_of_stop(self) -> None:
        """The stop lasts until 1 s after the grace period."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.send(104, 107)
        self.assert_broken('LOST')
        self.send(104, 107.1)
        self.assert_broken()
        self.send(99, 99.9)
        self.assert_broken()

    def test_later_signals_change_no_bound(self) -> None:
        """The stop begins with the first SIGTERM."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.signal(signal.SIGTERM, _STOP_AT + 4)
        self.send(103.5, 105.5)
        self.run_at_server(103.6, 105.5)
        self.assert_broken('LOST')

    def test_passed_on_without_planned_work(self) -> None:
        """A node that keeps running counts only if the request has run."""
        self.send(50, 51)
        self.assert_broken()
        self.run_at_server(50.1, 51)
        self.assert_broken('LOST')

    def test_reload(self) -> None:
        """Requests sent up to 2 s after SIGHUP count, also without a run."""
        self.signal(signal.SIGHUP, _STOP_AT)
        self.send(102, 102.5)
        self.assert_broken('LOST')
        self.send(102.1, 102.5)
        self.assert_broken()

    def test_garbled(self) -> None:
        """Bytes that are no response break two rules."""
        self.send(50, 51, end=RequestEnd.GARBLED, answer=Answer())
        self.run_at_server(50.1, 51)
        self.assert_broken('MIXED', 'LOST')

    def test_ends_by_caller(self) -> None:
        """Requests that their callers end do not count."""
        self.signal(signal.SIGTERM, _STOP_AT)
        for end in (RequestEnd.TIME_LIMIT, RequestEnd.ABANDONED):
            self.send(101, 102, end=end)
            self.assert_broken()


class ExcuseTest(HistoryTest):
    """What excuses a request that was cut off during a stop."""

    def setUp(self) -> None:
        """Stop the entry node."""
        super().setUp()
        self.signal(signal.SIGTERM, _STOP_AT)

    def test_server_broke_off(self) -> None:
        """A server that breaks off excuses."""
        self.send(101, 102)
        self.run_at_server(101.1, 102, RunEnd.BROKE_OFF)
        self.assert_broken()

    def test_time_limit(self) -> None:
        """The shorter time limit must be reached."""
        self.send(101, 102, time_limit=1.0)
        self.run_at_server(101.1)
        self.assert_broken()
        self.send(101, 102, time_limit=1.001)
        self.assert_broken('LOST')

    def test_late_caller(self) -> None:
        """The time limit counts from before the request was written."""
        self.send(101.1, 102, began_at=101, time_limit=1.0)
        self.run_at_server(101.1, 102)
        self.assert_broken()

    def test_long_work(self) -> None:
        """Work in the last sixth excuses requests sent in the first 3 s."""
        self.run_at_server(103.1, 105)
        self.send(103, 105.5)
        self.assert_broken()
        self.send(103.01, 105.5)
        self.assert_broken('LOST')

    def test_short_work(self) -> None:
        """Work that ends before the last sixth does not excuse."""
        self.run_at_server(101, 104.99)
        self.send(101, 104.99)
        self.assert_broken('LOST')

    def test_freeze(self) -> None:
        """A suspension counts until 3 s before the request was sent."""
        self.send(101, 102)
        self.run_at_server(101.1, 102)
        self.signal(signal.SIGSTOP, 90, _EXIT)
        self.signal(signal.SIGCONT, 97.9, _EXIT)
        self.assert_broken('LOST')
        self.signal(signal.SIGSTOP, 97.95, _EXIT)
        self.signal(signal.SIGCONT, 98, _EXIT)
        self.assert_broken()

    def test_freeze_elsewhere(self) -> None:
        """The suspension of a node that has no part does not excuse."""
        self.send(101, 102)
        self.run_at_server(101.1, 102)
        self.signal(signal.SIGSTOP, 101, _OTHER)
        self.assert_broken('LOST')

    def test_long_work_of_a_request_cut_off_early(self) -> None:
        """The connection must still be open in the last sixth."""
        self.run_at_server(101, 105.5, RunEnd.ANSWERED)
        self.send(101, 102)
        self.assert_broken('LOST')

    def test_kill(self) -> None:
        """SIGKILL before the end of the grace period excuses."""
        self.send(103.5, 105.9)
        self.run_at_server(103.6, 105.9)
        self.assert_broken('LOST')
        self.signal(signal.SIGKILL, 105.9)
        self.end_process(105.9, -signal.SIGKILL)
        self.assert_broken()

    def test_kill_at_grace(self) -> None:
        """SIGKILL at the end of the grace period does not excuse."""
        self.send(103.5, 106)
        self.run_at_server(103.6, 106)
        self.signal(signal.SIGKILL, 106)
        self.end_process(106.01, -signal.SIGKILL)
        self.assert_broken('LOST', 'GRACE')


class OwnAnswerTest(HistoryTest):
    """Answers of a node while a server is at work."""

    def test_stop_of_entry(self) -> None:
        """An answer without a seal in place of a run that goes on counts."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.send(101, 102, end=RequestEnd.ANSWERED, answer=Answer(502))
        self.run_at_server(101.1, 102.1)
        self.assert_broken('LOST')

    def test_stop_of_exit(self) -> None:
        """The stop of the node beside the server counts too."""
        self.send(101, 102, end=RequestEnd.ANSWERED, answer=Answer(502))
        self.run_at_server(101.1, 101.9)
        self.assert_broken()
        self.signal(signal.SIGTERM, _STOP_AT, _EXIT)
        self.assert_broken('LOST')

    def test_time_limit(self) -> None:
        """At the time limit a node may answer itself."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.run_at_server(101.1, 102.1)
        self.send(
            101,
            102,
            end=RequestEnd.ANSWERED,
            answer=Answer(504),
            time_limit=1.0,
        )
        self.assert_broken()

    def test_answer_of_server(self) -> None:
        """A failure that the server gave itself is its whole answer."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.run_at_server(101.1, 101.9, RunEnd.ANSWERED, status=500)
        answer = Answer(500, 'r', 'r', 500, is_body_sealed=True)
        self.send(101, 102, end=RequestEnd.ANSWERED, answer=answer)
        self.assert_broken()


class AnswerTest(HistoryTest):
    """Runs and answers."""

    def test_regular_answer(self) -> None:
        """A whole answer to a single run breaks no rule."""
        self.answer()
        self.run_at_server(50.1, 50.9, RunEnd.ANSWERED)
        self.assert_broken()

    def test_twice(self) -> None:
        """Only safe requests may run twice."""
        self.run_at_server(50.1, 50.2)
        self.run_at_server(50.3, 50.9, RunEnd.ANSWERED)
        self.answer()
        self.assert_broken('TWICE')
        self.history.requests_by_id['r'].is_safe = True
        self.assert_broken()

    def test_refused(self) -> None:
        """Each status that promises no run, after a run, counts."""
        self.run_at_server(50.1, 50.9, RunEnd.ANSWERED)
        for status in (408, 421, 429, 503):
            self.answer(status=status, sealed_id='', request_id='')
            self.assert_broken('REFUSED')
        self.answer(status=502, sealed_id='', request_id='')
        self.assert_broken()

    def test_refused_before_run(self) -> None:
        """A refusal without a run is true."""
        self.answer(status=503, sealed_id='', request_id='')
        self.assert_broken()

    def test_mixed(self) -> None:
        """Foreign, partial, unsealed and changed answers count."""
        self.run_at_server(50.1, 50.9, RunEnd.ANSWERED)
        for changes in (
            {'request_id': 'other'},
            {'sealed_id': 'other'},
            {'sealed_id': ''},
            {'is_body_sealed': False},
            {'extra_bytes': 1},
            {'status': 500},
        ):
            with self.subTest(changes=changes):
                self.answer(**changes)
                self.assert_broken('MIXED')

    def test_success_without_run(self) -> None:
        """A success that no run gave counts."""
        self.answer()
        self.assert_broken('MIXED')

    def test_unasked(self) -> None:
        """Unknown ids and changed parts count."""
        self.answer()
        self.run_at_server(50.1, 50.9, RunEnd.ANSWERED)
        run = self.history.runs_by_id[1]
        for name in ('method', 'path', 'caller_service', 'organisation'):
            changed = dataclasses.replace(_CONTENT, **{name: 'other'})
            run.content = changed
            self.assert_broken('UNASKED')
        run.content = dataclasses.replace(_CONTENT, body=b'other')
        self.assert_broken('UNASKED')
        self.history.requests_by_id.clear()
        self.assert_broken('UNASKED')

    def test_wrong_service(self) -> None:
        """A run at a service that the route does not name counts."""
        self.answer()
        self.run_at_server(50.1, 50.9, RunEnd.ANSWERED, service='deposits')
        self.assert_broken('ROUTE')


class ConfigurationTest(HistoryTest):
    """Routes that are added, moved and removed by new versions."""

    def handle(self, sent_at: float, *services: str, status: int = 0) -> None:
        """Run the request at servers, or let its node answer it."""
        self.history.runs_by_id.clear()
        self.history.run_ids_by_request_id.clear()
        for service in services:
            self.run_at_server(sent_at + 0.1, service=service)
        end = RequestEnd.ANSWERED if status else RequestEnd.TIME_LIMIT
        answer = Answer(status) if status else None
        self.send(sent_at, sent_at + 1, end=end, answer=answer)

    def test_run_by_old_service(self) -> None:
        """The old service counts later than 2 s after the ack."""
        self.configure(50, 'deposits')
        self.handle(52, 'bookings')
        self.assert_broken()
        self.handle(52.01, 'bookings')
        self.assert_broken('CONFIG')
        self.handle(52.01, 'deposits')
        self.assert_broken()

    def test_late_caller(self) -> None:
        """The age of a version counts from before the request was written."""
        self.configure(50, 'deposits')
        self.handle(52.01, 'bookings')
        self.history.requests_by_id['r'].began_at = 52
        self.assert_broken()

    def test_run_of_removed_route(self) -> None:
        """A run of a route that has been removed counts."""
        self.configure(50, '')
        self.handle(52.01, 'bookings')
        self.assert_broken('CONFIG')
        self.handle(52.01, status=404)
        self.assert_broken()

    def test_denial_of_added_route(self) -> None:
        """A denial counts once the route is there, also as 401 and 403."""
        self.history.versions.clear()
        self.configure(0, '')
        self.configure(50, 'bookings')
        self.handle(51.9, status=404)
        self.assert_broken()
        for status in (401, 403, 404):
            self.handle(52.01, status=status)
            self.assert_broken('CONFIG')
        self.handle(52.01, status=503)
        self.assert_broken()

    def test_changes_in_series(self) -> None:
        """Each version since the last one that must be in force is allowed."""
        self.configure(50, 'deposits')
        self.configure(51, 'tracings')
        self.handle(52.9, 'deposits')
        self.assert_broken()
        self.handle(53.1, 'deposits')
        self.assert_broken('CONFIG')

    def test_out_of_touch(self) -> None:
        """A node counts if nothing has disturbed it for 3 s."""
        self.configure(50, 'deposits')
        self.handle(60, 'bookings')
        self.history.processes_by_id[_ENTRY].started_at = 57.1
        self.assert_broken()
        self.history.processes_by_id[_ENTRY].started_at = 57
        self.assert_broken('CONFIG')
        self.signal(signal.SIGSTOP, 56)
        self.signal(signal.SIGCONT, 57)
        self.assert_broken()
        self.history.signals_by_id.clear()
        self.signal(signal.SIGTERM, 60.9)
        self.assert_broken()

    def test_return_to_older_version(self) -> None:
        """What a node has applied stays in force, also out of touch."""
        self.configure(50, 'deposits')
        self.signal(signal.SIGTERM, 51.5)
        self.handle(51, 'bookings')
        self.assert_broken()
        first = self.history.requests_by_id['r']
        run = Run(9, 'first', 'i-b', 'b', 'deposits', _CONTENT, 50.7)
        self.history.add_run(run)
        self.history.requests_by_id['first'] = dataclasses.replace(
            first, id='first', began_at=50.6, sent_at=50.6
        )
        self.assert_broken('CONFIG')
        run.started_at = 50.76
        self.assert_broken()

    def test_denial_by_all_versions(self) -> None:
        """A denial that no version allows counts from any node."""
        self.configure(50, 'deposits')
        self.signal(signal.SIGTERM, 50)
        for status in (401, 403, 404):
            self.handle(51, status=status)
            self.assert_broken('DENIED')

    def test_service_of_no_version(self) -> None:
        """A service that only a later version names counts."""
        self.configure(50, 'deposits')
        self.handle(49.5, 'deposits')
        self.assert_broken('ROUTE')
        first = self.history.requests_by_id['r']
        self.history.requests_by_id['later'] = dataclasses.replace(
            first, id='later', began_at=49.9, sent_at=49.9, ended_at=49.95
        )
        self.history.add_run(
            Run(9, 'later', 'i-b', 'b', 'bookings', _CONTENT, 49.92)
        )
        self.assert_broken('ROUTE')


class ServerTest(HistoryTest):
    """Backend servers that leave or are cold."""

    def run_many(self, count: int, started_at: float, **changes: Any) -> None:
        """Run requests that are idempotent, 10 ms after they were sent."""
        for number in range(count):
            self.run_at_server(started_at, **changes)
        self.send(
            started_at - 0.01,
            started_at + 1,
            end=RequestEnd.TIME_LIMIT,
            is_safe=True,
        )

    def test_run_after_drain(self) -> None:
        """A run later than 2 s after the ack counts."""
        self.history.left_at_by_instance['i-b'] = 50
        self.run_many(1, 52)
        self.assert_broken()
        self.run_many(1, 52.01)
        self.assert_broken('DRAIN')

    def test_drain_by_nodes_out_of_touch(self) -> None:
        """The node that took the request and the server's must be in touch."""
        self.history.left_at_by_instance['i-b'] = 50
        self.run_many(1, 55)
        for process_id in (_ENTRY, _EXIT):
            self.history.processes_by_id[process_id].started_at = 53
            self.assert_broken()
            self.history.processes_by_id[process_id].started_at = 0
        self.assert_broken('DRAIN')

    def test_run_in_drained_domain(self) -> None:
        """A run later than 5 s after the ack counts until the drain's end."""
        self.history.domain_by_vm['b'] = 'domain'
        drain = DomainDrain('domain', 50)
        self.history.domain_drains.append(drain)
        self.run_many(1, 55)
        self.assert_broken()
        self.run_many(1, 55.01)
        self.assert_broken('EVAC')
        drain.ended_at = 55.01
        self.assert_broken()
        drain.ended_at = 56
        self.history.processes_by_id[_ENTRY].started_at = 53
        self.assert_broken()
        self.history.processes_by_id[_ENTRY].started_at = 0
        self.history.domain_by_vm['b'] = 'other'
        self.assert_broken()

    def test_cold_server(self) -> None:
        """A cold server gets 35 requests in one second at most."""
        self.run_many(35, 50, is_cold=True)
        self.assert_broken()
        self.run_many(1, 50.9, is_cold=False)
        self.run_many(1, 50.9, instance='i-c', is_cold=True)
        self.send(49.99, 51, end=RequestEnd.TIME_LIMIT, is_safe=True)
        self.assert_broken()
        self.run_at_server(50.9, is_cold=True)
        self.assert_broken('FAILBACK')
        self.send(49.89, 51, end=RequestEnd.TIME_LIMIT, is_safe=True)
        self.assert_broken()

    def test_ready_after_stop(self) -> None:
        """Two nodes, and over a quarter, must not count as ready 4 s later."""
        processes = self.history.processes_by_id
        for process_id in range(4, 9):
            processes[process_id] = NodeProcess(process_id, 'd', 0, 'd.log', 0)
        for process in processes.values():
            process.is_ready_at_stop = True
        processes[_ENTRY].is_ready_after_stop = True
        processes[_EXIT].is_ready_after_stop = True
        self.assert_broken()
        processes[_OTHER].is_ready_after_stop = True
        self.assert_broken('DRAIN', 'DRAIN', 'DRAIN')


class ProcessTest(HistoryTest):
    """Ends of processes."""

    def test_regular_stop(self) -> None:
        """An end with 0, or by SIGTERM before it is handled, is regular."""
        self.signal(signal.SIGTERM, _STOP_AT)
        for code in (0, -signal.SIGTERM):
            self.end_process(105, code)
            self.assert_broken()

    def test_ended_by_itself(self) -> None:
        """An end without SIGTERM or with a failure counts."""
        self.end_process(105, 0)
        self.assert_broken('ENDED')
        self.signal(signal.SIGTERM, _STOP_AT)
        self.end_process(105, 1)
        self.assert_broken('ENDED')

    def test_still_there_at_grace(self) -> None:
        """A process that is killed at the end of its grace period counts."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.signal(signal.SIGKILL, _STOP_AT + 6)
        self.end_process(106.01, -signal.SIGKILL)
        self.assert_broken('GRACE')

    def test_suspended_in_grace(self) -> None:
        """A suspension in the grace period excuses."""
        self.signal(signal.SIGTERM, _STOP_AT)
        self.signal(signal.SIGSTOP, 105)
        self.signal(signal.SIGKILL, _STOP_AT + 6)
        self.end_process(106.01, -signal.SIGKILL)
        self.assert_broken()
