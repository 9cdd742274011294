"""Tests of the systems in configuration."""

from __future__ import annotations
