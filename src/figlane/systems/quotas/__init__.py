"""Quotas of organisations: buckets with an owner, and rights to mint tokens."""

from __future__ import annotations
