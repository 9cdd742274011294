"""Tests of the systems in admission."""

from __future__ import annotations
