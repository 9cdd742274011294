"""Benchmark experiments, each a registered class."""

from __future__ import annotations
