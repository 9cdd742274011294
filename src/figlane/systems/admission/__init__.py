"""Executions at their exit node: queue, limits, cold starts and the ledger."""

from __future__ import annotations
