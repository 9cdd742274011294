"""Tests of the ``figlane`` command-line client."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import hashlib
import io
import json
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest.mock import patch

from figlane.adapters.platform_client import PlatformClient
from figlane.cli import build_parser, main
from figlane.commands.advice import ADVICE_BY_KIND
from figlane.commands.change import (
    Changed,
    ChangeOutcome,
    Edit,
    VersionConflict,
    change_object,
)
from figlane.commands.exit_code import ExitCode
from figlane.commands.notification import notify_nodes
from figlane.commands.registry import runners, summary_of
from figlane.errors import ErrorKind
from figlane.wire.checking import parse_text
from standins.fleet import Fleet, call, wait_until

_EXAMPLES = Path(__file__).parent.parent / 'examples'


class CheckTest(unittest.TestCase):
    """Validation of documents by the command ``check``."""

    def test_examples_are_valid(self) -> None:
        """All example documents are valid."""
        for kind, count in (
            ('service', 8),
            ('organisation', 16),
            ('domain', 8),
        ):
            paths = sorted(_EXAMPLES.glob(f'*/{kind}s/*.json'))
            self.assertEqual(len(paths), count)
            for path in paths:
                with self.subTest(path=path.name):
                    words = ('check', '--kind', kind, str(path))
                    self.assertEqual(_run(*words)[0], 0)

    def test_example_organisations_exist(self) -> None:
        """Each organisation named by an example service has a document."""
        for path in sorted(_EXAMPLES.glob('*/services/*.json')):
            document = parse_text(path.read_text(encoding='utf-8'))
            folder = path.parent.parent / 'organisations'
            for organisation in document['organisations']:
                with self.subTest(path=path.name, name=organisation):
                    self.assertTrue((folder / f'{organisation}.json').exists())

    def test_all_errors_have_paths(self) -> None:
        """All errors of a document are reported, each with its path."""
        text = """{
          "service": "Bad Name",
          "routes": [{"name": "a", "path": "x", "methods": ["FETCH"]}],
          "extra": 1
        }"""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'document.json'
            path.write_text(text, encoding='utf-8')
            code, output = _run('check', str(path))
        self.assertEqual(code, 2)
        for place in (
            '$.service',
            '$.routes[0].path',
            '$.routes[0].methods[0]',
            '$.extra',
        ):
            self.assertIn(f'{place}:', output)


class HelpTest(unittest.TestCase):
    """Help texts, explanations and options common to all commands."""

    def test_every_command_has_examples(self) -> None:
        """The help of each command has a summary and valid examples."""
        for name in runners.by_key:
            with self.subTest(name):
                self.assertTrue(summary_of(name))
                lines = _examples(name)
                self.assertTrue(lines)
                for line in lines:
                    words = line.split()
                    self.assertEqual(words[:2], ['figlane', name])
                    build_parser().parse_args(words[1:])

    def test_every_kind_is_explained(self) -> None:
        """Each error kind has advice, which is shown without a platform."""
        self.assertEqual(set(ADVICE_BY_KIND), set(ErrorKind))
        for kind in ErrorKind:
            code, printed = _run_json('explain', kind.value)
            self.assertEqual(code, 0)
            self.assertEqual(printed['kind'], kind.value)

    def test_platform_address(self) -> None:
        """The address is read from the options, settings or environment."""
        node = _EXAMPLES / 'brazos-bend' / 'node.json'
        cases = (
            (('--platform', '127.0.0.1:1'), {}, ExitCode.UNAVAILABLE),
            (('--settings', str(node)), {}, ExitCode.UNAVAILABLE),
            ((), {'FIGLANE_PLATFORM': '127.0.0.1:1'}, ExitCode.UNAVAILABLE),
            ((), {'FIGLANE_PLATFORM': ''}, ExitCode.BAD_INPUT),
            (('--platform', 'somewhere'), {}, ExitCode.BAD_INPUT),
            (('--settings', 'nowhere.json'), {}, ExitCode.BAD_INPUT),
        )
        for arguments, environment, expected in cases:
            with (
                self.subTest(arguments=arguments, environment=environment),
                patch.dict('os.environ', environment),
            ):
                code, _ = _run('history', 'bookings', *arguments)
                self.assertEqual(code, expected)


class PlatformTest(unittest.TestCase):
    """Commands run against a simulated platform and two nodes."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start a simulated platform, two nodes and a backend server."""
        cls.fleet = Fleet()
        cls.enterClassContext(cls.fleet)
        cls.fleet.start_node('node-a', 'domain-a')
        cls.fleet.start_node('node-b', 'domain-b')
        cls.fleet.start_backend('node-b', 'bookings')
        wait_until(cls._is_fleet_ready)

    def test_apply_shows_difference_and_version(self) -> None:
        """Apply creates, changes or keeps a document; history lists changes."""
        path = self._document('ledger')
        self.assertEqual(self._run('diff', path)[0], ExitCode.DIFFERENT)
        code, printed = self._run('apply', path, '--wait', '--as', 'ann')
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(printed['nodes'], 2)
        self._assert_in_force('service/ledger', printed['version'])
        path = self._document('ledger', importance=77)
        code, changed = self._run('apply', path, '--as', 'bob')
        self.assertEqual(
            changed['differences'],
            ['$.routes.read.importance: 60 -> 77'],
        )
        code, same = self._run('apply', path)
        self.assertEqual((code, same['differences']), (ExitCode.OK, []))
        self.assertEqual(self._run('diff', path)[0], ExitCode.OK)
        code, history = self._run('history', 'ledger')
        self.assertEqual(
            [(entry['by'], entry['version']) for entry in history['changes']],
            [('bob', changed['version']), ('ann', printed['version'])],
        )

    def test_version_conflict_reports_author(self) -> None:
        """A version conflict reports the author of the stored version."""
        path = self._document('races')
        _, first = self._run('apply', path, '--as', 'ann')
        path = self._document('races', importance=61)
        _, second = self._run('apply', path, '--as', 'bob')
        path = self._document('races', importance=62)
        version = str(first['version'])
        code, printed = self._run('apply', path, '--if-version', version)
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertEqual(printed['winner']['by'], 'bob')
        self.assertEqual(printed['version'], second['version'])
        self.assertIn('bob', printed['error'])

    def test_concurrent_writes_conflict(self) -> None:
        """Of concurrent writes to a version, one succeeds, others conflict."""
        outcomes = self._run_concurrent_edits(retries_on_conflict=False)
        written = [row for row in outcomes if isinstance(row, Changed)]
        conflicts = [
            row for row in outcomes if isinstance(row, VersionConflict)
        ]
        self.assertEqual((len(written), len(conflicts)), (1, 5))
        for conflict in conflicts:
            self.assertEqual(conflict.version, written[0].version)
            self.assertTrue(conflict.conflicting_change['by'])

    def test_concurrent_edits_with_retry(self) -> None:
        """Concurrent edits with ``retries_on_conflict`` are all written."""
        outcomes = self._run_concurrent_edits(retries_on_conflict=True)
        self.assertTrue(all(isinstance(row, Changed) for row in outcomes))
        versions = {row.version for row in outcomes}
        self.assertEqual(len(versions), len(outcomes))

    def test_platform_faults(self) -> None:
        """Each fault of the platform results in the expected exit code."""
        cases = (
            ({'lose_answers': 1, 'lose_kind': 'service'}, ExitCode.OK, True),
            ({'lose_answers': 2, 'lose_kind': 'service'}, ExitCode.OK, True),
            ({'slow_seconds': 0.2}, ExitCode.OK, False),
            ({'down': True}, ExitCode.UNAVAILABLE, False),
        )
        for number, (faults, expected, is_confirmed) in enumerate(cases):
            path = self._document(f'faults-{number}')
            with self.subTest(faults=faults):
                self._set_platform_faults(**faults)
                code, printed = self._run('apply', path)
                self._set_platform_faults()
                self.assertEqual(code, expected)
                confirmed = printed.get('settled_by_reading_back', False)
                self.assertEqual(confirmed, is_confirmed)
        self._set_platform_faults(down=True)
        for words in (
            ('history', 'bookings'),
            ('key', 'list', 'marlin'),
            ('key', 'grant', 'marlin'),
            ('domain', 'take-out', 'domain-b'),
            ('status',),
            ('drain', 'node-a'),
            ('explain', 'f' * 32),
        ):
            with self.subTest(words=words):
                self.assertEqual(self._run(*words)[0], ExitCode.UNAVAILABLE)
        self._set_platform_faults()

    def test_keys(self) -> None:
        """Grant stores only a key's hash; withdraw removes it."""
        code, granted = self._run('key', 'grant', 'marlin', '--wait')
        self.assertEqual(code, ExitCode.OK)
        stored = self._object('organisation', 'marlin')
        digest = hashlib.sha256(granted['key'].encode()).hexdigest()
        self.assertEqual(stored['key_hashes'], [digest])
        self.assertNotIn(granted['key'], str(stored))
        _, listed = self._run('key', 'list', 'marlin')
        self.assertEqual(listed['keys'][0]['id'], granted['key_id'])
        self.assertTrue(listed['keys'][0]['granted_at'])
        words = ('key', 'withdraw', 'marlin', granted['key_id'], '--wait')
        code, printed = self._run(*words)
        self.assertEqual(code, ExitCode.OK)
        self._assert_in_force('organisation/marlin', printed['version'])
        stored = self._object('organisation', 'marlin')
        self.assertEqual((stored['key_hashes'], stored['granted_at']), ([], {}))
        self.assertEqual(self._run(*words)[0], ExitCode.NOT_FOUND)
        code, _ = self._run('key', 'withdraw', 'nobody', 'abc')
        self.assertEqual(code, ExitCode.NOT_FOUND)
        code, _ = self._run('key', 'withdraw', 'marlin')
        self.assertEqual(code, ExitCode.BAD_INPUT)

    def test_apply_keeps_keys(self) -> None:
        """Applying a document without keys keeps the granted keys."""
        _, granted = self._run('key', 'grant', 'hearne')
        path = self.fleet.folder / 'hearne.json'
        path.write_text('{"organisation": "hearne"}', encoding='utf-8')
        words = ('apply', '--kind', 'organisation', str(path))
        code, printed = self._run(*words)
        self.assertEqual((code, printed['version']), (0, granted['version']))

    def test_domain(self) -> None:
        """A failure domain is taken out of service and returned."""
        for action, taken_out in (('take-out', True), ('return', False)):
            code, _ = self._run('domain', action, 'domain-b', '--wait')
            self.assertEqual(code, ExitCode.OK)
            stored = self._object('domain', 'domain-b')
            self.assertEqual(stored['taken_out'], taken_out)
        code, refused = self._run('domain', 'take-out', 'domian-b')
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn('domain-a, domain-b', refused['error'])

    def test_status(self) -> None:
        """The status lists each node with its service, phase and limit."""
        code, shown = self._run('status', '--watch', '0.01', '--count', '2')
        self.assertEqual(code, ExitCode.OK)
        by_node = {node['node']: node for node in shown['nodes']}
        self.assertEqual(by_node['node-b']['service'], 'bookings')
        self.assertEqual(by_node['node-b']['phase'], 'serving')
        self.assertGreater(by_node['node-b']['limit'], 0)
        self.assertEqual(by_node['node-a']['phase'], 'idle')
        code, lines = _run('status', *self._platform())
        self.assertIn('node-a', lines)

    def test_wait_timeout_reports_lagging_node(self) -> None:
        """If the wait times out, a suspended node is reported as lagging."""
        path = self._document('lagging')
        self.fleet.process_by_name['node-a'].signal(signal.SIGSTOP)
        try:
            code, waited = self._run(
                'apply',
                path,
                '--wait',
                '--wait-seconds',
                '0',
            )
        finally:
            self.fleet.process_by_name['node-a'].signal(signal.SIGCONT)
        self.assertEqual(code, ExitCode.NOT_IN_FORCE)
        self.assertIn('node-a', waited['lagging'])

    def test_explain_call(self) -> None:
        """A refused call is found by its id; an unknown id is an error."""
        address = self.fleet.process_by_name['node-a'].printed_addresses[
            'entry'
        ]
        refused = call('GET', f'http://{address}/nowhere/1')
        code, explained = self._run('explain', refused.decoded_body['call'])
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(explained['kind'], 'unknown-service')
        self.assertEqual(explained['node'], 'node-a')
        self.assertEqual(self._run('explain', 'f' * 32)[0], ExitCode.NOT_FOUND)

    def test_change_reaches_nodes_without_platform(self) -> None:
        """A node that is notified of a change pushes it without the platform.

        Guards against a withdrawn key that stays valid because the platform
        fails right after accepting the change.
        """
        content = {'organisation': 'notified', 'key_hashes': ['a' * 64]}
        states = [self.fleet.state(node) for node in ('node-a', 'node-b')]
        version = max(max(state['versions'].values()) for state in states) + 1
        addresses = [
            self.fleet.process_by_name['node-a'].printed_addresses['admin']
        ]
        self._set_platform_faults(down=True)
        self.addCleanup(self._set_platform_faults)
        asyncio.run(
            notify_nodes(addresses, 'organisation/notified', version, content),
        )
        wait_until(
            lambda: self._has_change('node-a') and self._has_change('node-b')
        )

    def test_drain_of_unknown_node(self) -> None:
        """Draining a node that does not exist is an error."""
        self.assertEqual(self._run('drain', 'nobody')[0], ExitCode.NOT_FOUND)

    def test_drain(self) -> None:
        """The status shows a drained node as leaving."""
        node = self.fleet.start_node('node-c', 'domain-a')
        words = (
            'drain',
            'node-c',
            '--address',
            node.printed_addresses['admin'],
        )
        code, drained = self._run(*words)
        wait_until(lambda: self._phase('node-c') == 'leaving')
        node.stop()
        self.assertEqual(code, ExitCode.OK)
        self.assertTrue(drained['draining'])

    @classmethod
    def _is_fleet_ready(cls) -> bool:
        code, printed = cls._run('status')
        return [node['service'] for node in printed.get('nodes', ())] == [
            '-',
            'bookings',
        ]

    @classmethod
    def _run(cls, *words: str) -> tuple[int, Any]:
        return _run_json(*words, *cls._platform())

    @classmethod
    def _platform(cls) -> tuple[str, str]:
        return '--platform', cls.fleet.platform_address

    def _phase(self, node_id: str) -> str:
        _, printed = self._run('status')
        by_node = {node['node']: node for node in printed['nodes']}
        return by_node[node_id]['phase'] if node_id in by_node else ''

    def _run_concurrent_edits(
        self, *, retries_on_conflict: bool
    ) -> list[ChangeOutcome]:
        edits = [
            Edit(
                'domain',
                f'race-{retries_on_conflict}',
                functools.partial(_add_note, number),
                f'operator-{number}',
                'race',
                if_version=None if retries_on_conflict else 0,
                retries_on_conflict=retries_on_conflict,
            )
            for number in range(6)
        ]
        return asyncio.run(_change_all(self.fleet.platform_address, edits))

    def _document(self, service: str, importance: int = 60) -> str:
        path = self.fleet.folder / f'{service}-document.json'
        path.write_text(
            json.dumps(
                {
                    'service': service,
                    'routes': [
                        {
                            'name': 'read',
                            'path': '/**',
                            'methods': ['GET'],
                            'importance': importance,
                        },
                    ],
                },
            ),
            encoding='utf-8',
        )
        return str(path)

    def _object(self, kind: str, name: str) -> dict:
        address = self.fleet.platform_address
        url = f'http://{address}/v1/objects/{kind}/{name}'
        return call('GET', url).decoded_body['value']

    def _has_change(self, node: str) -> bool:
        return 'organisation/notified' in self.fleet.state(node)['versions']

    def _set_platform_faults(self, **faults: Any) -> None:
        url = f'http://{self.fleet.platform_address}/control'
        call('PUT', url, body=json.dumps(faults).encode())

    def _assert_in_force(self, key: str, version: int) -> None:
        for node in ('node-a', 'node-b'):
            versions = self.fleet.state(node)['versions']
            self.assertGreaterEqual(versions[key], version)


async def _change_all(address: str, edits: list[Edit]) -> list[ChangeOutcome]:
    return await asyncio.gather(*(_change(address, edit) for edit in edits))


async def _change(address: str, edit: Edit) -> ChangeOutcome:
    platform = PlatformClient(asyncio.get_running_loop(), address)
    try:
        return await change_object(platform, edit)
    finally:
        platform.close()


def _add_note(number: int, stored: dict | None) -> dict:
    notes = (stored or {}).get('notes', [])
    return {'notes': [*notes, number]}


def _examples(name: str) -> list[str]:
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.suppress(SystemExit),
    ):
        build_parser().parse_args([name, '--help'])
    _, _, examples = output.getvalue().partition('examples:\n')
    return [line.strip() for line in examples.splitlines() if line.strip()]


def _run_json(*words: str) -> tuple[int, Any]:
    output = io.StringIO()
    with (
        contextlib.redirect_stderr(io.StringIO()),
        contextlib.redirect_stdout(output),
    ):
        code = main((*words, '--json'))
    return code, json.loads(output.getvalue().splitlines()[-1])


def _run(*arguments: str) -> tuple[int, str]:
    output = io.StringIO()
    with (
        contextlib.redirect_stderr(output),
        contextlib.redirect_stdout(output),
    ):
        code = main(arguments)
    return code, output.getvalue()
