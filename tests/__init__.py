"""Tests of single modules, of simulated fleets and of whole processes."""

from __future__ import annotations
