"""Development tools, which are run from a checkout."""

from __future__ import annotations
