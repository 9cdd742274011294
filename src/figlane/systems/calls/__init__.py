"""Calls at their entry node: identification, routing, retries and replies."""

from __future__ import annotations
