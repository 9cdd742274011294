"""Overload control layer for service call graphs."""

from __future__ import annotations
