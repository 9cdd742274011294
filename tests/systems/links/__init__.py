"""Tests of the systems in links."""

from __future__ import annotations
