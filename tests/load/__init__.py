"""Tests of the load generator and the benchmark experiments."""

from __future__ import annotations
