"""Network, logging and timer adapters around the entity tables."""

from __future__ import annotations
