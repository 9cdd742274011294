"""Commands of the ``figlane`` command-line client."""

from __future__ import annotations
