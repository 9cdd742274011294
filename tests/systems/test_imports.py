"""Architecture test: decision code imports neither adapters nor codecs."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

import figlane

_PACKAGE = Path(figlane.__file__).parent
_DECISION_PACKAGES = ('entities', 'systems')
_FORBIDDEN = (
    'asyncio',
    'blacksheep',
    'figlane.adapters',
    'figlane.clock',
    'figlane.composition',
    'figlane.settings',
    'figlane.wire',
    'httptools',
    'msgspec',
    'statsd',
    'structlog',
    'time',
    'zmq',
)


class ImportRuleTest(unittest.TestCase):
    """Checks the imports of all modules of entities and systems."""

    def test_no_adapter_or_codec(self) -> None:
        """No entity or system imports an adapter, a codec or a clock."""
        for folder in _DECISION_PACKAGES:
            for path in sorted((_PACKAGE / folder).glob('**/*.py')):
                for name in _imported_names(path):
                    with self.subTest(path=path.name, name=name):
                        self.assertFalse(_is_forbidden(name))

    def test_check_finds_modules_and_violations(self) -> None:
        """The check finds the modules of systems and detects a violation."""
        paths = list((_PACKAGE / 'systems').rglob('*.py'))
        self.assertGreater(len(paths), 5)
        self.assertTrue(_is_forbidden('figlane.wire.peer'))


def _is_forbidden(name: str) -> bool:
    return any(
        name == forbidden or name.startswith(f'{forbidden}.')
        for forbidden in _FORBIDDEN
    )


def _imported_names(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
