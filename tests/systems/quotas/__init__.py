"""Tests of the systems in quotas."""

from __future__ import annotations
