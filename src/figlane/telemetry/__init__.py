"""Export of metrics and trace spans."""

from __future__ import annotations
