"""Comparison of the committed reference pages with the code."""

from __future__ import annotations

import unittest

from tools.reference import FOLDER, pages


class ReferencePagesTest(unittest.TestCase):
    """The committed pages are up to date."""

    def test_pages_are_current(self) -> None:
        """Each committed page equals the generated one."""
        for name, text in pages().items():
            with self.subTest(name):
                committed = (FOLDER / name).read_text(encoding='utf-8')
                self.assertEqual(committed, text)
