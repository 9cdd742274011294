"""Run ``figlane-platform-node`` from a checkout, without installation."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# The imports take a while, in which a reload must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from figlane.platform.node import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main())
