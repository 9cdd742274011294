"""Codecs and validation of peer messages, documents and settings."""

from __future__ import annotations
