"""Tests of the systems in membership."""

from __future__ import annotations
