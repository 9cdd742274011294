"""Entity classes of a node, its tables, and the inbox and outbox rows."""

from __future__ import annotations
