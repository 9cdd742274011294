"""Tests of codecs and validation."""

from __future__ import annotations
