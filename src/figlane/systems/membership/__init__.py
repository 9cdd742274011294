"""Members: how nodes join, detect failures, leave, and are selected."""

from __future__ import annotations
