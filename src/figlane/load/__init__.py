"""Open-loop load generator and benchmark experiments."""

from __future__ import annotations
