"""Tests that the platform adapter and the other packages stay separate."""

from __future__ import annotations

import platform
import re
import unittest
from pathlib import Path

import figlane

_PACKAGE = Path(figlane.__file__).parent
_ROOT = _PACKAGE.parent.parent
_ADAPTER = _PACKAGE / 'platform'
_PLATFORM_NAMES = re.compile(
    'figlane-(response-seal|target-instance|not-executed|caller-service'
    '|cold-ms|instance-id|tenant)'
    '|api-key|heartbeat_addr|cold_remaining|traffic_split|path_prefix'
    '|figlane-members|evacuations|sidecar|back end',
    re.IGNORECASE,
)


class BoundaryTest(unittest.TestCase):
    """Searches the sources for names and imports in the wrong place."""

    def test_names_only_in_adapter(self) -> None:
        """Names that the platform defines occur only in the adapter."""
        for folder in (_PACKAGE, _ROOT / 'tools', _ROOT / 'standins'):
            for path in sorted(folder.rglob('*.py')):
                if _ADAPTER in path.parents or 'platform' in path.name:
                    continue
                with self.subTest(path=str(path.relative_to(_ROOT))):
                    text = path.read_text(encoding='utf-8')
                    self.assertIsNone(_PLATFORM_NAMES.search(text))

    def test_pattern_matches_adapter(self) -> None:
        """The pattern matches names that the adapter does use."""
        texts = [
            path.read_text(encoding='utf-8') for path in _ADAPTER.glob('*.py')
        ]
        self.assertGreater(
            sum(map(bool, map(_PLATFORM_NAMES.search, texts))), 3
        )

    def test_adapter_imports_no_systems(self) -> None:
        """No module of the adapter refers to ``figlane.systems``."""
        for path in sorted(_ADAPTER.glob('*.py')):
            with self.subTest(path=path.name):
                text = path.read_text(encoding='utf-8')
                self.assertNotIn('figlane.systems', text)

    def test_standard_module_is_not_shadowed(self) -> None:
        """The adapter's package does not shadow the standard ``platform``."""
        self.assertTrue(platform.python_version())
