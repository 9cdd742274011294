"""Runs of real node processes that are disturbed under load."""

from __future__ import annotations
