"""Tests of the commands of the ``figlane`` client."""

from __future__ import annotations
