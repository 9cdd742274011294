"""Stand-ins for external systems, used by tests, tools and the demonstration.

They run as processes of their own or inside the process of a test.
"""

from __future__ import annotations
