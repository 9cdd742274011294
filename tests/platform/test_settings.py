"""Tests of loading and validating the settings file."""

from __future__ import annotations

import contextlib
import io
import re
import tempfile
import unittest
from pathlib import Path

from figlane.platform.node import main
from figlane.platform.settings import load_platform_settings
from figlane.wire.checking import CheckError

_SETTINGS = """
self:
  node: "vm-1"
  ip: "10.1.0.26"
  zone: "waco"
  app_addr: "10.1.0.26:8547"
  service: "shop"
  unknown: [1]
network:
  listen:
    outbound: "10.1.0.26:8548"
    ready: "10.1.0.26:8546"
    control: "10.1.0.26:8540"
  internal_ports: [7000, 7015]
platform:
  heartbeat: "1500ms"
  platform:
    address: "10.200.1.7:8545"
terms:
  bounds:
    grace: "6s"
    quota_window: "5s"
    quota_slack: 30
"""


class SettingsTest(unittest.TestCase):
    """A settings file in the platform's format."""

    def setUp(self) -> None:
        """Choose a temporary path for the file."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / 'local.yaml'

    def test_fields(self) -> None:
        """The fields are mapped to figlane's settings, times to seconds."""
        self.path.write_text(_SETTINGS, encoding='utf-8')
        settings = load_platform_settings(self.path)
        self.assertEqual(settings.node_id, 'vm-1')
        self.assertEqual(settings.failure_domain, 'waco')
        self.assertEqual(settings.peer, '10.1.0.26:7000')
        self.assertEqual(settings.announcement_seconds, 1.5)
        self.assertEqual(settings.grace_seconds, 6)
        self.assertEqual(settings.quota_bounds.slack, 30)

    def test_problems(self) -> None:
        """An error names the field, or the file if it is not valid YAML."""
        cases = (
            ('node: "vm-1"', 'node: 5', '$.self.node'),
            ('  ip: "10.1.0.26"\n', '', '$.self.ip'),
            ('"10.1.0.26:8548"', '"nowhere"', '$.network.listen.outbound'),
            ('[7000, 7015]', '[0, 7015]', '$.network.internal_ports[0]'),
            ('"1500ms"', '"fast"', '$'),
            ('quota_slack: 30', 'quota_slack: "x"', '.quota_slack'),
            ('self:', 'self: [', 'local.yaml'),
        )
        for old, new, path in cases:
            with self.subTest(new=new):
                text = _SETTINGS.replace(old, new)
                self.path.write_text(text, encoding='utf-8')
                with self.assertRaisesRegex(CheckError, re.escape(path)):
                    load_platform_settings(self.path)

    def test_check(self) -> None:
        """``--check`` exits with 0 for a valid file, 2 for an invalid one."""
        for text, code in ((_SETTINGS, 0), ('{}', 2), ('', 2)):
            with self.subTest(code=code):
                self.path.write_text(text, encoding='utf-8')
                written = io.StringIO()
                with (
                    contextlib.redirect_stdout(written),
                    contextlib.redirect_stderr(written),
                ):
                    arguments = ['--settings', str(self.path), '--check']
                    self.assertEqual(main(arguments), code)
                self.assertIn(str(self.path), written.getvalue())
