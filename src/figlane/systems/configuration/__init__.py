"""Configuration objects: following the store, and exchange between nodes."""

from __future__ import annotations
