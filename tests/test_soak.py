"""Short seeded runs of node processes that are disturbed under load."""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_SEEDS = (19, 1)
_RUN_LIMIT_SECONDS = 100
_END_LIMIT_SECONDS = 10


class SoakTest(unittest.TestCase):
    """Eight VMs whose nodes are stopped and started under load."""

    def test_no_rule_is_broken(self) -> None:
        """Callers and backend servers see no broken rule."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                code, text = _soak('--small', f'--seed={seed}')
                self.assertEqual(code, 0, text)


def _soak(*arguments: str) -> tuple[int, str]:
    command = (sys.executable, '-m', 'tools.soaking.main', *arguments)
    with subprocess.Popen(
        command,
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    ) as process:
        try:
            text, _ = process.communicate(timeout=_RUN_LIMIT_SECONDS)
        except subprocess.TimeoutExpired:
            # The run ends its own processes.
            process.send_signal(signal.SIGTERM)
            text, _ = process.communicate(timeout=_END_LIMIT_SECONDS)
        return process.returncode, text
