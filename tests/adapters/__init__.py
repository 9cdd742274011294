"""Tests of the network, logging and timer adapters."""

from __future__ import annotations
