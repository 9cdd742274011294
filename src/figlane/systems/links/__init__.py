"""Links between nodes: handshakes, liveness and messages."""

from __future__ import annotations
