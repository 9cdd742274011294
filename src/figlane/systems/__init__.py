"""Systems: functions that run over the tables in a fixed order each tick."""

from __future__ import annotations
