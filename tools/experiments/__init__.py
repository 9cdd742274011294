"""Experiments and measurements with node processes on one machine."""

from __future__ import annotations
