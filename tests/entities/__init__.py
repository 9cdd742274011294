"""Tests of entities and tables."""

from __future__ import annotations
