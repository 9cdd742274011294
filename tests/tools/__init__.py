"""Tests of the tools."""

from __future__ import annotations
