"""Tests of the systems in calls."""

from __future__ import annotations
