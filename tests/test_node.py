"""Command line of the node: validation of settings."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from figlane.node import main

_EXAMPLES = Path(__file__).parent.parent / 'examples'
_GOOD = (
    ('node_id', 'node-1'),
    ('failure_domain', 'waco-north'),
    ('platform', '127.0.0.1:8400'),
)


class CheckTest(unittest.TestCase):
    """The option ``--check``."""

    def test_examples(self) -> None:
        """The settings of the examples are valid."""
        paths = sorted(_EXAMPLES.glob('*/node.json'))
        self.assertEqual(len(paths), 2)
        for path in paths:
            with self.subTest(path=path.parent.name):
                self.assertEqual(_check(path)[0], 0)

    def test_every_error_has_its_path(self) -> None:
        """All errors are reported in one run, each with its path."""
        code, output = _check_settings(node_id='Bad', entry='here', extra=1)
        self.assertEqual(code, 2)
        for json_path in ('$.node_id', '$.entry', '$.extra'):
            self.assertIn(f'{json_path}:', output)

    def test_unknown_policies(self) -> None:
        """Unknown policies are reported with the registered names."""
        policies = {'routing': 'magic', 'rate': 'free', 'shedding': 'none'}
        code, output = _check_settings(policies=policies)
        self.assertEqual(code, 2)
        self.assertIn('$.policies.routing: no policy is named magic', output)
        self.assertIn('$.policies.rate: no policy is named free', output)
        self.assertIn('two-choices', output)
        self.assertNotIn('$.policies.shedding', output)


def _check_settings(**changes: Any) -> tuple[int, str]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        path.write_text(json.dumps({**dict(_GOOD), **changes}))
        return _check(path)


def _check(path: Path) -> tuple[int, str]:
    output = io.StringIO()
    with (
        contextlib.redirect_stderr(output),
        contextlib.redirect_stdout(output),
    ):
        code = main(['--settings', str(path), '--check'])
    return code, output.getvalue()
