"""Run ``figlane-platform-node`` from a checkout, without installation."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from figlane.platform.node import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main())
